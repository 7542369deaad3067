//! A forwarder as the simulated world holds it: the subject, the messages it answers for, its life and its folder.

use super::clients::SubmissionAnswer;
use super::{Attempt, Sim, SimulatedEvent};
use crate::chance::stream;
use crate::oracle::{FinalAnswer, SentCall, TookEffect};
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

const MAX_RECENTLY_FINISHED: usize = 8; // messages just over that are still known: a broken forwarder may send one
const PAUSED_RETRY: Micros = 10_000; // whether a forwarder goes on
const READY: Micros = 1_500_000; // after a restart: from then on what is owed may be overdue

/// A message that the forwarder has accepted.
pub(super) struct HeldMessage {
    pub submission: u64,
    pub client_message: u64,
    pub arrival: Submission,
    pub expires: Micros,
    pub attempts: u32,
    pub out: Vec<(u8, u64)>,
    pub ended: bool,
    pub possible_effect: Option<PossibleEffect>,
}

pub(super) struct SimulatedProcess {
    subject: Option<Box<dyn Subject>>,
    pub incarnation: u32,
    pub paused: bool,
    inbox: VecDeque<Event>, // of one that stands still; emptied as it goes on
    pub open: BTreeMap<MessageId, HeldMessage>, // each leaves with its end and its last outcome
    recently_finished: VecDeque<(MessageId, u64, u64)>,
    next_id: u32,
    /// How far its clock is ahead.
    clock_lead: Micros,
    pub listed: BTreeMap<usize, EndpointEntry>,
    /// Discovery tells it what changes.
    pub follows_list: bool,
    /// When the latest news reach it: they stay in order.
    pub list_update_at: Micros,
}

impl SimulatedProcess {
    pub fn new(scenario: &Scenario, seed: u64, number: u32) -> SimulatedProcess {
        let most = scenario.forwarders.max_clock_skew.0;
        SimulatedProcess {
            subject: None,
            incarnation: 0,
            paused: false,
            inbox: VecDeque::new(),
            open: BTreeMap::new(),
            recently_finished: VecDeque::new(),
            next_id: 0,
            // A second on top: no clock starts at nought.
            clock_lead: 1_000_000 + stream(seed, "clock", u64::from(number)).random_range(0..=most),
            listed: BTreeMap::new(),
            follows_list: false,
            list_update_at: 0,
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
            u64::from(forwarder) << 32 | u64::from(self.processes[forwarder as usize].incarnation),
        )
        .random();
        let subject = self.variant.build(self.scenario.config(forwarder), seed);
        let process = &mut self.processes[forwarder as usize];
        process.subject = Some(subject);
        process.follows_list = self.scenario.network.polled_discovery.is_none();
        if process.listed.is_empty() {
            for (endpoint, (holder, status)) in self.status.iter().enumerate() {
                let listing =
                    self.layout
                        .listing(&self.scenario.destinations, endpoint, *holder, *status);
                process.listed.insert(endpoint, listing);
            }
        }
        let list = process.listed.values().cloned().collect();
        self.run_forwarder(
            forwarder,
            Event::EndpointList(EndpointListUpdate::Cached(list)),
            None,
        );
    }

    /// A message at the door; its answer.
    pub(super) fn accept_submission(
        &mut self,
        forwarder: u32,
        client_message: u64,
        submission: u64,
        expires: Micros,
        arrival: Submission,
    ) -> SubmissionAnswer {
        let process = &mut self.processes[forwarder as usize];
        let id = process.new_id();
        let arrival = Submission { id, ..arrival };
        let held = HeldMessage {
            submission,
            client_message,
            arrival: arrival.clone(),
            expires,
            attempts: 0,
            out: Vec::new(),
            ended: false,
            possible_effect: None,
        };
        process.open.insert(id, held);
        let answered = self.run_forwarder(forwarder, Event::Submitted(arrival), Some(id));
        if !matches!(answered, SubmissionAnswer::Accepted) {
            self.processes[forwarder as usize].open.remove(&id);
        }
        answered
    }

    /// An event for a forwarder in a life of its own; what is for an earlier one is dropped.
    pub(super) fn deliver_event(&mut self, forwarder: u32, incarnation: u32, event: Event) {
        let process = &mut self.processes[forwarder as usize];
        if process.incarnation != incarnation || !process.up() {
            return;
        }
        if process.paused {
            return process.inbox.push_back(event);
        }
        self.run_forwarder(forwarder, event, None);
    }

    fn run_forwarder(
        &mut self,
        forwarder: u32,
        event: Event,
        submitted: Option<MessageId>,
    ) -> SubmissionAnswer {
        let process = &mut self.processes[forwarder as usize];
        let Some(subject) = &mut process.subject else {
            return SubmissionAnswer::Accepted;
        };
        let mut actions = Vec::new();
        subject.handle(self.now + process.clock_lead, event, &mut actions);
        self.work.core_events += 1;
        self.work.core_actions += actions.len() as u64;
        let mut answered = SubmissionAnswer::Accepted;
        for action in actions {
            match action {
                Action::Fail { id } if Some(id) == submitted => answered = SubmissionAnswer::Failed,
                Action::Reject { id, retry_after } if Some(id) == submitted => {
                    answered = SubmissionAnswer::Rejected(retry_after)
                }
                other => self.carry_out(forwarder, other),
            }
        }
        answered
    }

    fn carry_out(&mut self, forwarder: u32, action: Action) {
        let incarnation = self.processes[forwarder as usize].incarnation;
        match action {
            Action::Send {
                id,
                endpoint,
                timeout: limit,
                ..
            } => self.send(forwarder, id, endpoint, limit),
            Action::Fail { id } => self.finish_message(forwarder, id, FinalAnswer::Failed, None),
            Action::Reject { id, retry_after } => {
                self.finish_message(forwarder, id, FinalAnswer::Rejected, retry_after)
            }
            Action::SetTimer { after, token } => {
                self.schedule(
                    self.now + after.max(1),
                    SimulatedEvent::TimerFires {
                        forwarder,
                        incarnation,
                        token,
                    },
                );
            }
            Action::HealthCheck { endpoint } => {
                self.tally.counts.health_checks += 1;
                let limiter = self.layout.endpoints[Layout::endpoint(endpoint)].limiter;
                let what = format!(
                    "a probe of forwarder {forwarder} to target {}",
                    Layout::endpoint(endpoint)
                );
                self.oracle
                    .check_retry_after(forwarder, limiter, self.now, &what);
                let at = self.now + 3 * self.scenario.network.delay.0;
                self.schedule(
                    at,
                    SimulatedEvent::HealthCheckArrives {
                        forwarder,
                        incarnation,
                        endpoint,
                        sent: self.now,
                    },
                );
            }
            Action::Cancel { id, attempt } => {
                let out = self.processes[forwarder as usize].open.get(&id);
                let number = out
                    .and_then(|h| h.out.iter().find(|(t, _)| *t == attempt))
                    .map(|(_, n)| *n);
                if let Some(attempt) = number {
                    self.schedule(
                        self.now,
                        SimulatedEvent::AttemptEnds {
                            attempt,
                            outcome: Outcome::Cancelled,
                        },
                    );
                }
            }
            Action::CloseIdleConnections { endpoint } => {
                self.connections[Layout::endpoint(endpoint)]
                    .idle
                    .remove(&forwarder);
            }
            Action::WatchEndpointList { on: true } => self.ask(forwarder),
            Action::SendGossip {
                peer,
                payload: message,
            } => {
                let others = (0..self.processes.len() as u32).filter(|to| *to != forwarder);
                for to in others
                    .filter(|to| peer.is_none_or(|n| u32::from(n) == *to))
                    .collect::<Vec<_>>()
                {
                    let (at, message) = (self.now + self.scenario.network.delay.0, message.clone());
                    self.schedule(
                        at,
                        SimulatedEvent::Gossip {
                            from: forwarder,
                            to,
                            message,
                        },
                    );
                }
            }
            Action::WithdrawUnsent { endpoint } => {
                let back =
                    |t: &Attempt| t.forwarder == forwarder && t.endpoint == endpoint && t.late;
                let mut late: Vec<u64> = self
                    .attempts
                    .iter()
                    .filter(|(_, t)| back(t))
                    .map(|(n, _)| *n)
                    .collect();
                late.sort_unstable();
                for attempt in late {
                    self.schedule(
                        self.now,
                        SimulatedEvent::AttemptEnds {
                            attempt,
                            outcome: Outcome::WithdrawnBeforeSend,
                        },
                    );
                }
            }
            Action::WatchEndpointList { .. } | Action::FetchEndpointList | Action::Log(_) => {}
        }
    }

    fn send(&mut self, forwarder: u32, id: MessageId, endpoint: EndpointId, limit: Option<Micros>) {
        let now = self.now;
        let place = Layout::endpoint(endpoint);
        let spot = self.layout.endpoints[place];
        let sending = |submission| {
            let (destination, limiter, holder) =
                (spot.destination, spot.limiter, endpoint.incarnation);
            SentCall {
                submission,
                forwarder,
                destination,
                endpoint: place,
                holder,
                limiter,
            }
        };
        let process = &mut self.processes[forwarder as usize];
        let Some(held) = process.open.get_mut(&id) else {
            // Only a broken forwarder comes here.
            if let Some((_, submission, _)) = process
                .recently_finished
                .iter()
                .find(|(over, ..)| *over == id)
                .copied()
            {
                self.oracle.sent(sending(submission), now);
                self.oracle.over(submission, forwarder, now, TookEffect::No);
            }
            return;
        };
        let number = held.attempts.min(255) as u8;
        held.attempts += 1;
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        held.out.push((number, attempt));
        let (submission, client_message, class) =
            (held.submission, held.client_message, held.arrival.class.0);
        let left = held.expires.saturating_sub(now);
        self.oracle.sent(sending(submission), now);
        self.tally.counts.calls += 1;
        self.tally.calls_out += 1;
        self.tally.tick(now, Tick::Call);
        let idempotency_key = self.idempotency_key(client_message, class);
        let connected = self.connect(forwarder, place);
        let late = connected.is_some_and(|(_, late)| late > 0);
        let out = Attempt {
            forwarder,
            message: id,
            submission,
            client_message,
            number,
            endpoint,
            sent: now,
            idempotency_key,
            late,
        };
        self.attempts.insert(attempt, out);
        let delay = self.scenario.network.delay.0;
        match connected {
            Some((cost, late)) => {
                let request_sent = now + cost + late;
                match late {
                    0 => self.schedule(
                        request_sent + delay,
                        SimulatedEvent::RequestArrives { attempt },
                    ),
                    _ => self.schedule(request_sent, SimulatedEvent::RequestSent { attempt }),
                }
                let limit = limit.map_or(left, |l| l.min(left));
                self.schedule(
                    now + limit,
                    SimulatedEvent::AttemptEnds {
                        attempt,
                        outcome: Outcome::Timeout,
                    },
                );
            }
            None => {
                self.connections[place].busy += 1; // it is given back with the outcome
                self.schedule(
                    now + 2 * delay,
                    SimulatedEvent::AttemptEnds {
                        attempt,
                        outcome: Outcome::NoConnection,
                    },
                );
            }
        }
    }

    pub(super) fn attempt_ends(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let (forwarder, paused) = (
            attempt.forwarder,
            self.processes[attempt.forwarder as usize].paused,
        );
        if paused {
            // A process that stands still reads nothing: the answer waits in its socket, its own timers do not ring.
            self.schedule(
                self.now + PAUSED_RETRY,
                SimulatedEvent::AttemptEnds {
                    attempt: number,
                    outcome,
                },
            );
            return;
        }
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        self.tally.calls_out = self.tally.calls_out.saturating_sub(1);
        let place = Layout::endpoint(attempt.endpoint);
        let usable = matches!(
            outcome,
            Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. }
        );
        self.release(forwarder, place, usable);
        self.count_outcome(outcome);
        let perhaps = if outcome.may_have_taken_effect() {
            TookEffect::Perhaps
        } else {
            TookEffect::No
        };
        self.oracle
            .over(attempt.submission, forwarder, attempt.sent, perhaps);
        if outcome == Outcome::WithdrawnBeforeSend {
            self.oracle.withdrawn_before_send(attempt.submission);
        }
        let spot = self.layout.endpoints[place];
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = outcome
        {
            self.oracle
                .retry_after_notified(forwarder, spot.limiter, self.now, self.now + wait);
        }
        let process = &mut self.processes[forwarder as usize];
        let (incarnation, clock_lead) = (process.incarnation, process.clock_lead);
        let Some(held) = process.open.get_mut(&attempt.message) else {
            return;
        };
        held.out.retain(|(_, n)| *n != number);
        held.attempts -= u32::from(outcome == Outcome::WithdrawnBeforeSend);
        if outcome.may_have_taken_effect() && held.possible_effect.is_none() {
            held.possible_effect = Some(PossibleEffect {
                sent_at: attempt.sent + clock_lead,
                zone: ZoneId(spot.zone),
            });
        }
        let served = outcome == Outcome::Delivered && !std::mem::replace(&mut held.ended, true);
        let (closed, attempts) = (held.ended, u32::from(attempt.number));
        if served {
            self.final_answer(
                attempt.client_message,
                attempt.submission,
                FinalAnswer::Served,
                None,
                attempts,
            );
        }
        self.forget(forwarder, attempt.message);
        let took = self.now - attempt.sent;
        let (id, number, endpoint) = (attempt.message, attempt.number, attempt.endpoint);
        self.deliver_event(
            forwarder,
            incarnation,
            Event::AttemptEnded {
                id,
                attempt: number,
                endpoint,
                outcome,
                took,
                completed: closed,
                report: Vec::new(),
            },
        );
    }

    /// The head of its answer tells a wait: heard at once, unless the process stands still.
    pub(super) fn retry_after_received(&mut self, number: u64, wait: Micros) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let (forwarder, endpoint) = (attempt.forwarder, attempt.endpoint);
        let process = &self.processes[forwarder as usize];
        if process.paused {
            return self.schedule(
                self.now + PAUSED_RETRY,
                SimulatedEvent::RetryAfterReceived {
                    attempt: number,
                    wait,
                },
            );
        }
        let (limiter, incarnation) = (
            self.layout.endpoints[Layout::endpoint(endpoint)].limiter,
            process.incarnation,
        );
        self.oracle
            .retry_after_notified(forwarder, limiter, self.now, self.now + wait);
        self.deliver_event(
            forwarder,
            incarnation,
            Event::RetryAfterReceived {
                endpoint,
                retry_after: wait,
            },
        );
    }

    /// Forgets a message that is over and has no attempt out.
    fn forget(&mut self, forwarder: u32, id: MessageId) {
        let process = &mut self.processes[forwarder as usize];
        if process
            .open
            .get(&id)
            .is_some_and(|h| h.ended && h.out.is_empty())
        {
            if let Some(held) = process.open.remove(&id) {
                process
                    .recently_finished
                    .push_front((id, held.submission, held.client_message));
                process.recently_finished.truncate(MAX_RECENTLY_FINISHED);
            }
        }
    }

    fn finish_message(
        &mut self,
        forwarder: u32,
        id: MessageId,
        end: FinalAnswer,
        retry_after: Option<Micros>,
    ) {
        let process = &mut self.processes[forwarder as usize];
        let Some(held) = process.open.get_mut(&id) else {
            if let Some((_, submission, _)) = process
                .recently_finished
                .iter()
                .find(|(over, ..)| *over == id)
                .copied()
            {
                self.oracle.ended(submission, end, self.now); // a broken one's second answer
            }
            return;
        };
        let (submission, client_message) = (held.submission, held.client_message);
        if std::mem::replace(&mut held.ended, true) {
            return self.oracle.ended(submission, end, self.now);
        }
        self.final_answer(client_message, submission, end, retry_after, 0);
        self.forget(forwarder, id);
    }

    /// The process dies. Its calls break off; with the folder, what it held waits for the next life.
    pub(super) fn kill(&mut self, forwarder: u32, folder: bool) {
        let process = &mut self.processes[forwarder as usize];
        if !process.up() {
            return;
        }
        (process.subject, process.paused) = (None, false);
        process.incarnation += 1;
        process.inbox.clear();
        let mut out: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, t)| t.forwarder == forwarder)
            .map(|(n, _)| *n)
            .collect();
        out.sort_unstable();
        for number in out {
            let Some(attempt) = self.attempts.remove(&number) else {
                continue;
            };
            self.tally.calls_out = self.tally.calls_out.saturating_sub(1);
            self.oracle.over(
                attempt.submission,
                forwarder,
                attempt.sent,
                TookEffect::Perhaps,
            );
            let place = Layout::endpoint(attempt.endpoint);
            self.release(forwarder, place, false);
            let (process, zone) = (
                &mut self.processes[forwarder as usize],
                self.layout.endpoints[place].zone,
            );
            let clock_lead = process.clock_lead;
            if let Some(held) = process.open.get_mut(&attempt.message) {
                held.out.clear();
                held.possible_effect = held.possible_effect.or(Some(PossibleEffect {
                    sent_at: attempt.sent + clock_lead,
                    zone: ZoneId(zone),
                }));
            }
        }
        self.connections
            .iter_mut()
            .for_each(|c| _ = c.idle.remove(&forwarder));
        self.oracle.process_ended(forwarder);
        self.oracle.excuse(forwarder, Micros::MAX);
        let process = &mut self.processes[forwarder as usize];
        process.open.retain(|_, h| !h.ended);
        if !folder {
            let lost = std::mem::take(&mut process.open);
            process.listed.clear();
            self.oracle.lost_with_folder(forwarder, self.now);
            for held in lost.into_values() {
                if self.messages.remove(&held.client_message).is_some() {
                    self.tally.counts.gone += 1;
                }
            }
        }
    }

    /// It starts again and takes over what its folder holds.
    pub(super) fn back(&mut self, forwarder: u32, folder: bool) {
        self.oracle.excuse(forwarder, self.now + READY);
        self.start(forwarder);
        if self.processes[forwarder as usize].follows_list {
            self.send_complete_list(forwarder);
        }
        if !folder {
            return;
        }
        let process = &mut self.processes[forwarder as usize];
        let held: Vec<HeldMessage> = std::mem::take(&mut process.open).into_values().collect();
        for mut held in held {
            let process = &mut self.processes[forwarder as usize];
            let id = process.new_id();
            let left = held.expires.saturating_sub(self.now);
            let past = AttemptHistory {
                attempts: held.attempts,
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
            process.open.insert(id, held);
            self.run_forwarder(forwarder, Event::Submitted(arrival), None);
        }
    }

    pub(super) fn resume_process(&mut self, forwarder: u32) {
        let process = &mut self.processes[forwarder as usize];
        if !std::mem::take(&mut process.paused) {
            return;
        }
        self.oracle.excuse(forwarder, self.now + READY);
        while let Some(event) = self.processes[forwarder as usize].inbox.pop_front() {
            self.run_forwarder(forwarder, event, None);
        }
    }

    /// Tells a forwarder what discovery has for it, in order.
    pub(super) fn list_update(&mut self, forwarder: u32, list_update: EndpointListUpdate) {
        let process = &mut self.processes[forwarder as usize];
        if !process.up() || !process.follows_list {
            return; // it catches up at its start, or as it asks
        }
        let (entries, whole) = match &list_update {
            EndpointListUpdate::Changes(entries) => (entries.clone(), false),
            EndpointListUpdate::Complete(entries) | EndpointListUpdate::Cached(entries) => {
                (entries.clone(), true)
            }
            EndpointListUpdate::Failed => (Vec::new(), false),
        };
        if whole {
            let missing: Vec<EndpointEntry> = process
                .listed
                .values()
                .filter(|l| !entries.iter().any(|e| e.endpoint == l.endpoint))
                .cloned()
                .collect();
            for l in missing {
                self.oracle.endpoint_status_notified(
                    forwarder,
                    Layout::endpoint(l.endpoint),
                    l.endpoint.incarnation,
                    false,
                    self.now,
                );
                process.listed.remove(&Layout::endpoint(l.endpoint));
            }
        }
        for entry in &entries {
            let (endpoint, ready) = (
                Layout::endpoint(entry.endpoint),
                entry.status == EndpointStatus::Ready,
            );
            self.oracle.endpoint_status_notified(
                forwarder,
                endpoint,
                entry.endpoint.incarnation,
                ready,
                self.now,
            );
            match entry.status {
                EndpointStatus::Removed
                    if process
                        .listed
                        .get(&endpoint)
                        .is_some_and(|l| l.endpoint == entry.endpoint) =>
                {
                    process.listed.remove(&endpoint);
                }
                EndpointStatus::Removed => {}
                _ => _ = process.listed.insert(endpoint, entry.clone()),
            }
        }
        let incarnation = process.incarnation;
        self.deliver_event(forwarder, incarnation, Event::EndpointList(list_update));
    }
}
