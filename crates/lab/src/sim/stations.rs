//! A forwarder as the simulated world holds it: the subject, the packets it answers for, its life and its folder.

use super::clients::Answered;
use super::{Happening, Sim, Trip};
use crate::chance::stream;
use crate::oracle::{Final, Ran, Sending};
use crate::scenario::Scenario;
use crate::subject::Subject;
use crate::tally::Tick;
use crate::world::Layout;
use opalpulley::{
    Action, AttemptHistory, EndpointEntry, EndpointId, EndpointListUpdate, EndpointStatus, Event,
    MessageId, Micros, Outcome, PossibleEffect, Submission, ZoneId,
};
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};

const LATELY: usize = 8; // packets just over that are still known: a broken forwarder may send one
const LOOK_AGAIN: Micros = 10_000; // whether a forwarder goes on
const READY: Micros = 1_500_000; // after a restart: from then on what is owed may be overdue

/// A packet that the forwarder has taken on.
pub(super) struct Held {
    pub duty: u64,
    pub of: u64,
    pub arrival: Submission,
    pub expires: Micros,
    pub trips: u32,
    pub out: Vec<(u8, u64)>,
    pub ended: bool,
    pub possible_effect: Option<PossibleEffect>,
}

pub(super) struct Station {
    subject: Option<Box<dyn Subject>>,
    pub life: u32,
    pub paused: bool,
    inbox: VecDeque<Event>, // of one that stands still; emptied as it goes on
    pub open: BTreeMap<MessageId, Held>, // each leaves with its end and its last outcome
    lately: VecDeque<(MessageId, u64, u64)>,
    next_id: u32,
    /// How far its clock is ahead.
    ahead: Micros,
    pub listed: BTreeMap<usize, EndpointEntry>,
    /// Discovery tells it what changes.
    pub hears: bool,
    /// When the latest news reach it: they stay in order.
    pub news_at: Micros,
}

impl Station {
    pub fn new(scenario: &Scenario, seed: u64, number: u32) -> Station {
        let most = scenario.forwarders.clocks_differ.0;
        Station {
            subject: None,
            life: 0,
            paused: false,
            inbox: VecDeque::new(),
            open: BTreeMap::new(),
            lately: VecDeque::new(),
            next_id: 0,
            // A second on top: no clock starts at nought.
            ahead: 1_000_000 + stream(seed, "clock", u64::from(number)).random_range(0..=most),
            listed: BTreeMap::new(),
            hears: false,
            news_at: 0,
        }
    }

    pub fn up(&self) -> bool {
        self.subject.is_some()
    }

    fn new_id(&mut self) -> MessageId {
        loop {
            self.next_id = self.next_id.wrapping_add(1);
            if !self.open.contains_key(&MessageId(self.next_id)) {
                return MessageId(self.next_id);
            }
        }
    }
}

impl Sim {
    /// A new life, with the list that it had last; a first one with the list as it is.
    pub(super) fn start(&mut self, forwarder: u32) {
        let seed = stream(
            self.seed,
            "forwarder",
            u64::from(forwarder) << 32 | u64::from(self.stations[forwarder as usize].life),
        )
        .random();
        let subject = self.make.build(self.scenario.config(forwarder), seed);
        let station = &mut self.stations[forwarder as usize];
        station.subject = Some(subject);
        station.hears = self.scenario.network.asked.is_none();
        if station.listed.is_empty() {
            for (target, (holder, standing)) in self.standing.iter().enumerate() {
                let listing =
                    self.layout
                        .listing(&self.scenario.destinations, target, *holder, *standing);
                station.listed.insert(target, listing);
            }
        }
        let list = station.listed.values().cloned().collect();
        self.decide(
            forwarder,
            Event::EndpointList(EndpointListUpdate::Cached(list)),
            None,
        );
    }

    /// A packet at the door; its answer.
    pub(super) fn take_on(
        &mut self,
        forwarder: u32,
        of: u64,
        duty: u64,
        expires: Micros,
        arrival: Submission,
    ) -> Answered {
        let station = &mut self.stations[forwarder as usize];
        let id = station.new_id();
        let arrival = Submission { id, ..arrival };
        let held = Held {
            duty,
            of,
            arrival: arrival.clone(),
            expires,
            trips: 0,
            out: Vec::new(),
            ended: false,
            possible_effect: None,
        };
        station.open.insert(id, held);
        let answered = self.decide(forwarder, Event::Submitted(arrival), Some(id));
        if !matches!(answered, Answered::Taken) {
            self.stations[forwarder as usize].open.remove(&id);
        }
        answered
    }

    /// An event for a forwarder in a life of its own; what is for an earlier one is dropped.
    pub(super) fn give(&mut self, forwarder: u32, life: u32, event: Event) {
        let station = &mut self.stations[forwarder as usize];
        if station.life != life || !station.up() {
            return;
        }
        if station.paused {
            return station.inbox.push_back(event);
        }
        self.decide(forwarder, event, None);
    }

    fn decide(&mut self, forwarder: u32, event: Event, handed_in: Option<MessageId>) -> Answered {
        let station = &mut self.stations[forwarder as usize];
        let Some(subject) = &mut station.subject else {
            return Answered::Taken;
        };
        let mut actions = Vec::new();
        subject.handle(self.now + station.ahead, event, &mut actions);
        self.work.core_events += 1;
        self.work.core_actions += actions.len() as u64;
        let mut answered = Answered::Taken;
        for action in actions {
            match action {
                Action::Fail { id } if Some(id) == handed_in => answered = Answered::WrittenOff,
                Action::Reject {
                    id,
                    retry_after: come_back,
                } if Some(id) == handed_in => answered = Answered::Deferred(come_back),
                other => self.carry_out(forwarder, other),
            }
        }
        answered
    }

    fn carry_out(&mut self, forwarder: u32, action: Action) {
        let life = self.stations[forwarder as usize].life;
        match action {
            Action::Send {
                id,
                endpoint: target,
                timeout: limit,
                ..
            } => self.send(forwarder, id, target, limit),
            Action::Fail { id } => self.finish(forwarder, id, Final::WrittenOff, None),
            Action::Reject {
                id,
                retry_after: come_back,
            } => self.finish(forwarder, id, Final::Deferred, come_back),
            Action::SetTimer { after, token } => {
                self.arrange(
                    self.now + after.max(1),
                    Happening::Alarm {
                        forwarder,
                        life,
                        token,
                    },
                );
            }
            Action::HealthCheck { endpoint: target } => {
                self.tally.counts.probes += 1;
                let gate = self.layout.targets[Layout::target(target)].gate;
                let what = format!(
                    "a probe of forwarder {forwarder} to target {}",
                    Layout::target(target)
                );
                self.oracle.check_wait(forwarder, gate, self.now, &what);
                let at = self.now + 3 * self.scenario.network.delay.0;
                self.arrange(
                    at,
                    Happening::ProbeReaches {
                        forwarder,
                        life,
                        target,
                        sent: self.now,
                    },
                );
            }
            Action::Cancel { id, attempt: trip } => {
                let out = self.stations[forwarder as usize].open.get(&id);
                let number = out
                    .and_then(|h| h.out.iter().find(|(t, _)| *t == trip))
                    .map(|(_, n)| *n);
                if let Some(trip) = number {
                    self.arrange(
                        self.now,
                        Happening::Ends {
                            trip,
                            outcome: Outcome::Cancelled,
                        },
                    );
                }
            }
            Action::CloseIdleConnections { endpoint: target } => {
                self.connections[Layout::target(target)]
                    .idle
                    .remove(&forwarder);
            }
            Action::WatchEndpointList { on: true } => self.ask(forwarder),
            Action::SendGossip {
                peer,
                payload: message,
            } => {
                let others = (0..self.stations.len() as u32).filter(|to| *to != forwarder);
                for to in others
                    .filter(|to| peer.is_none_or(|n| u32::from(n) == *to))
                    .collect::<Vec<_>>()
                {
                    let (at, message) = (self.now + self.scenario.network.delay.0, message.clone());
                    self.arrange(
                        at,
                        Happening::Gossip {
                            from: forwarder,
                            to,
                            message,
                        },
                    );
                }
            }
            Action::WithdrawUnsent { endpoint: target } => {
                let back = |t: &Trip| t.forwarder == forwarder && t.target == target && t.late;
                let mut late: Vec<u64> = self
                    .trips
                    .iter()
                    .filter(|(_, t)| back(t))
                    .map(|(n, _)| *n)
                    .collect();
                late.sort_unstable();
                for trip in late {
                    self.arrange(
                        self.now,
                        Happening::Ends {
                            trip,
                            outcome: Outcome::WithdrawnBeforeSend,
                        },
                    );
                }
            }
            Action::WatchEndpointList { .. }
            | Action::FetchEndpointList
            | Action::Log(_)
            | Action::LogError(_) => {}
        }
    }

    fn send(&mut self, forwarder: u32, id: MessageId, target: EndpointId, limit: Option<Micros>) {
        let now = self.now;
        let place = Layout::target(target);
        let spot = self.layout.targets[place];
        let sending = |duty| {
            let (destination, gate, holder) = (spot.destination, spot.gate, target.incarnation);
            Sending {
                duty,
                forwarder,
                destination,
                target: place,
                holder,
                gate,
            }
        };
        let station = &mut self.stations[forwarder as usize];
        let Some(held) = station.open.get_mut(&id) else {
            // Only a broken forwarder comes here.
            if let Some((_, duty, _)) = station
                .lately
                .iter()
                .find(|(over, ..)| *over == id)
                .copied()
            {
                self.oracle.sent(sending(duty), now);
                self.oracle.over(duty, forwarder, now, Ran::No);
            }
            return;
        };
        let number = held.trips.min(255) as u8;
        held.trips += 1;
        let trip = self.next_trip;
        self.next_trip += 1;
        held.out.push((number, trip));
        let (duty, of, profile) = (held.duty, held.of, held.arrival.class.0);
        let left = held.expires.saturating_sub(now);
        self.oracle.sent(sending(duty), now);
        self.tally.counts.calls += 1;
        self.tally.calls_out += 1;
        self.tally.tick(now, Tick::Call);
        let mark = self.mark(of, profile);
        let connected = self.connect(forwarder, place);
        let late = connected.is_some_and(|(_, late)| late > 0);
        let out = Trip {
            forwarder,
            packet: id,
            duty,
            of,
            number,
            target,
            sent: now,
            mark,
            late,
        };
        self.trips.insert(trip, out);
        let delay = self.scenario.network.delay.0;
        match connected {
            Some((cost, late)) => {
                let goes = now + cost + late;
                match late {
                    0 => self.arrange(goes + delay, Happening::Reaches { trip }),
                    _ => self.arrange(goes, Happening::Goes { trip }),
                }
                let limit = limit.map_or(left, |l| l.min(left));
                self.arrange(
                    now + limit,
                    Happening::Ends {
                        trip,
                        outcome: Outcome::Timeout,
                    },
                );
            }
            None => {
                self.connections[place].busy += 1; // it is given back with the outcome
                self.arrange(
                    now + 2 * delay,
                    Happening::Ends {
                        trip,
                        outcome: Outcome::NoConnection,
                    },
                );
            }
        }
    }

    pub(super) fn trip_ends(&mut self, number: u64, outcome: Outcome) {
        let Some(trip) = self.trips.get(&number) else {
            return;
        };
        let (forwarder, paused) = (
            trip.forwarder,
            self.stations[trip.forwarder as usize].paused,
        );
        if paused {
            // A process that stands still reads nothing: the answer waits in its socket, its own timers do not ring.
            self.arrange(
                self.now + LOOK_AGAIN,
                Happening::Ends {
                    trip: number,
                    outcome,
                },
            );
            return;
        }
        let Some(trip) = self.trips.remove(&number) else {
            return;
        };
        self.tally.calls_out = self.tally.calls_out.saturating_sub(1);
        let place = Layout::target(trip.target);
        let usable = matches!(
            outcome,
            Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. }
        );
        self.release(forwarder, place, usable);
        self.count_outcome(outcome);
        let perhaps = if outcome.may_have_taken_effect() {
            Ran::Perhaps
        } else {
            Ran::No
        };
        self.oracle.over(trip.duty, forwarder, trip.sent, perhaps);
        if outcome == Outcome::WithdrawnBeforeSend {
            self.oracle.never_went(trip.duty);
        }
        let spot = self.layout.targets[place];
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = outcome
        {
            self.oracle
                .told_to_wait(forwarder, spot.gate, self.now, self.now + wait);
        }
        let station = &mut self.stations[forwarder as usize];
        let (life, ahead) = (station.life, station.ahead);
        let Some(held) = station.open.get_mut(&trip.packet) else {
            return;
        };
        held.out.retain(|(_, n)| *n != number);
        held.trips -= u32::from(outcome == Outcome::WithdrawnBeforeSend);
        if outcome.may_have_taken_effect() && held.possible_effect.is_none() {
            held.possible_effect = Some(PossibleEffect {
                sent_at: trip.sent + ahead,
                zone: ZoneId(spot.zone),
            });
        }
        let served = outcome == Outcome::Delivered && !std::mem::replace(&mut held.ended, true);
        let (closed, trips) = (held.ended, u32::from(trip.number));
        if served {
            self.final_answer(trip.of, trip.duty, Final::Served, None, trips);
        }
        self.forget(forwarder, trip.packet);
        let took = self.now - trip.sent;
        let (id, number, target) = (trip.packet, trip.number, trip.target);
        self.give(
            forwarder,
            life,
            Event::AttemptEnded {
                id,
                attempt: number,
                endpoint: target,
                outcome,
                took,
                completed: closed,
                report: Vec::new(),
            },
        );
    }

    /// The head of its answer tells a wait: heard at once, unless the process stands still.
    pub(super) fn wait_told(&mut self, number: u64, wait: Micros) {
        let Some(trip) = self.trips.get(&number) else {
            return;
        };
        let (forwarder, target) = (trip.forwarder, trip.target);
        let station = &self.stations[forwarder as usize];
        if station.paused {
            return self.arrange(
                self.now + LOOK_AGAIN,
                Happening::Told { trip: number, wait },
            );
        }
        let (gate, life) = (
            self.layout.targets[Layout::target(target)].gate,
            station.life,
        );
        self.oracle
            .told_to_wait(forwarder, gate, self.now, self.now + wait);
        self.give(
            forwarder,
            life,
            Event::RetryAfterReceived {
                endpoint: target,
                retry_after: wait,
            },
        );
    }

    /// Forgets a packet that is over and has no trip out.
    fn forget(&mut self, forwarder: u32, id: MessageId) {
        let station = &mut self.stations[forwarder as usize];
        if station
            .open
            .get(&id)
            .is_some_and(|h| h.ended && h.out.is_empty())
        {
            if let Some(held) = station.open.remove(&id) {
                station.lately.push_front((id, held.duty, held.of));
                station.lately.truncate(LATELY);
            }
        }
    }

    fn finish(&mut self, forwarder: u32, id: MessageId, end: Final, come_back: Option<Micros>) {
        let station = &mut self.stations[forwarder as usize];
        let Some(held) = station.open.get_mut(&id) else {
            if let Some((_, duty, _)) = station
                .lately
                .iter()
                .find(|(over, ..)| *over == id)
                .copied()
            {
                self.oracle.ended(duty, end, self.now); // a broken one's second answer
            }
            return;
        };
        let (duty, of) = (held.duty, held.of);
        if std::mem::replace(&mut held.ended, true) {
            return self.oracle.ended(duty, end, self.now);
        }
        self.final_answer(of, duty, end, come_back, 0);
        self.forget(forwarder, id);
    }

    /// The process dies. Its calls break off; with the folder, what it held waits for the next life.
    pub(super) fn kill(&mut self, forwarder: u32, folder: bool) {
        let station = &mut self.stations[forwarder as usize];
        if !station.up() {
            return;
        }
        (station.subject, station.paused) = (None, false);
        station.life += 1;
        station.inbox.clear();
        let mut out: Vec<u64> = self
            .trips
            .iter()
            .filter(|(_, t)| t.forwarder == forwarder)
            .map(|(n, _)| *n)
            .collect();
        out.sort_unstable();
        for number in out {
            let Some(trip) = self.trips.remove(&number) else {
                continue;
            };
            self.tally.calls_out = self.tally.calls_out.saturating_sub(1);
            self.oracle
                .over(trip.duty, forwarder, trip.sent, Ran::Perhaps);
            let place = Layout::target(trip.target);
            self.release(forwarder, place, false);
            let (station, zone) = (
                &mut self.stations[forwarder as usize],
                self.layout.targets[place].zone,
            );
            let ahead = station.ahead;
            if let Some(held) = station.open.get_mut(&trip.packet) {
                held.out.clear();
                held.possible_effect = held.possible_effect.or(Some(PossibleEffect {
                    sent_at: trip.sent + ahead,
                    zone: ZoneId(zone),
                }));
            }
        }
        self.connections
            .iter_mut()
            .for_each(|c| _ = c.idle.remove(&forwarder));
        self.oracle.restarted(forwarder);
        self.oracle.excuse(forwarder, Micros::MAX);
        let station = &mut self.stations[forwarder as usize];
        station.open.retain(|_, h| !h.ended);
        if !folder {
            let lost = std::mem::take(&mut station.open);
            station.listed.clear();
            self.oracle.lost_with_folder(forwarder, self.now);
            for held in lost.into_values() {
                if self.packets.remove(&held.of).is_some() {
                    self.tally.counts.gone += 1;
                }
            }
        }
    }

    /// It starts again and takes over what its folder holds.
    pub(super) fn back(&mut self, forwarder: u32, folder: bool) {
        self.oracle.excuse(forwarder, self.now + READY);
        self.start(forwarder);
        if self.stations[forwarder as usize].hears {
            self.catch_up(forwarder);
        }
        if !folder {
            return;
        }
        let station = &mut self.stations[forwarder as usize];
        let held: Vec<Held> = std::mem::take(&mut station.open).into_values().collect();
        for mut held in held {
            let station = &mut self.stations[forwarder as usize];
            let id = station.new_id();
            let left = held.expires.saturating_sub(self.now);
            let past = AttemptHistory {
                attempts: held.trips,
                possible_effect: held.possible_effect,
            };
            held.arrival = Submission {
                id,
                time_left: left,
                resubmitted: true,
                history: past,
                ..held.arrival
            };
            let arrival = held.arrival.clone();
            station.open.insert(id, held);
            self.decide(forwarder, Event::Submitted(arrival), None);
        }
    }

    pub(super) fn resumes(&mut self, forwarder: u32) {
        let station = &mut self.stations[forwarder as usize];
        if !std::mem::take(&mut station.paused) {
            return;
        }
        self.oracle.excuse(forwarder, self.now + READY);
        while let Some(event) = self.stations[forwarder as usize].inbox.pop_front() {
            self.decide(forwarder, event, None);
        }
    }

    /// Tells a forwarder what discovery has for it, in order.
    pub(super) fn news(&mut self, forwarder: u32, news: EndpointListUpdate) {
        let station = &mut self.stations[forwarder as usize];
        if !station.up() || !station.hears {
            return; // it catches up at its start, or as it asks
        }
        let (entries, whole) = match &news {
            EndpointListUpdate::Changes(entries) => (entries.clone(), false),
            EndpointListUpdate::Complete(entries) | EndpointListUpdate::Cached(entries) => {
                (entries.clone(), true)
            }
            EndpointListUpdate::Failed => (Vec::new(), false),
        };
        if whole {
            let missing: Vec<EndpointEntry> = station
                .listed
                .values()
                .filter(|l| !entries.iter().any(|e| e.endpoint == l.endpoint))
                .cloned()
                .collect();
            for l in missing {
                self.oracle.told_standing(
                    forwarder,
                    Layout::target(l.endpoint),
                    l.endpoint.incarnation,
                    false,
                    self.now,
                );
                station.listed.remove(&Layout::target(l.endpoint));
            }
        }
        for entry in &entries {
            let (target, ready) = (
                Layout::target(entry.endpoint),
                entry.status == EndpointStatus::Ready,
            );
            self.oracle.told_standing(
                forwarder,
                target,
                entry.endpoint.incarnation,
                ready,
                self.now,
            );
            match entry.status {
                EndpointStatus::Removed
                    if station
                        .listed
                        .get(&target)
                        .is_some_and(|l| l.endpoint == entry.endpoint) =>
                {
                    station.listed.remove(&target);
                }
                EndpointStatus::Removed => {}
                _ => _ = station.listed.insert(target, entry.clone()),
            }
        }
        let life = station.life;
        self.give(forwarder, life, Event::EndpointList(news));
    }
}
