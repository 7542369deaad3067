//! The simulated clock: a deterministic event loop round the very core that is in service. Forwarders, clients, discovery,
//! connections and receivers of a scenario in one thread; the same scenario and seed give the same run.
//!
//! Owns all of the simulated world. A packet leaves with its end, a trip with its outcome, an event as it happens.

mod clients;
mod stations;
mod troubles;

use crate::chance::stream;
use crate::load::{Due, Loads, ReplayError};
use crate::oracle::Oracle;
use crate::receivers::{Receivers, Says};
use crate::scenario::{Effect, Scenario};
use crate::subject::Make;
use crate::tally::{Clock, Outcome, Tally, Tick};
use crate::world::Layout;
use opalpulley::{
    EndpointId, EndpointListUpdate, EndpointStatus, Event, MessageId, Micros, TimerToken,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use stations::Station;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

const SWEEP: Micros = 250_000; // between the oracle's looks
const LAST: Micros = 3_000_000; // after the last expiry: restarts may still owe something

/// What happens next.
enum Happening {
    Due(Due),
    HandIn {
        packet: u64,
    },
    Alarm {
        forwarder: u32,
        life: u32,
        token: TimerToken,
    },
    /// The bytes of a call go, on a connection that came up late.
    Goes {
        trip: u64,
    },
    /// A call's last byte reaches its target.
    Reaches {
        trip: u64,
    },
    /// The head of an answer tells a wait; the outcome follows.
    Told {
        trip: u64,
        wait: Micros,
    },
    /// A trip's outcome reaches its forwarder.
    Ends {
        trip: u64,
        outcome: opalpulley::Outcome,
    },
    ProbeReaches {
        forwarder: u32,
        life: u32,
        target: EndpointId,
        sent: Micros,
    },
    ProbeEnds {
        forwarder: u32,
        life: u32,
        target: EndpointId,
        sent: Micros,
        outcome: opalpulley::Outcome,
    },
    News {
        forwarder: u32,
        news: EndpointListUpdate,
    },
    /// A call for the list is answered, or has failed.
    Asked {
        forwarder: u32,
        life: u32,
        told: bool,
    },
    Gossip {
        from: u32,
        to: u32,
        message: Vec<u8>,
    },
    Trouble {
        number: usize,
        on: bool,
    },
    /// Of a drain, one target after the other.
    Drains {
        target: usize,
        gone: bool,
    },
    Back {
        forwarder: u32,
        folder: bool,
    },
    Resumes {
        forwarder: u32,
    },
    Sweep,
}

struct Entry {
    at: Micros,
    number: u64,
    what: Happening,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.number == other.number
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    /// The earliest first; of those at one time, the one that was arranged first.
    fn cmp(&self, other: &Entry) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A packet as its client knows it.
struct Packet {
    due: Due,
    expires: Micros,
    returns: u32,
    again: bool,
    tries: u32,
}

/// A trip that is out.
struct Trip {
    forwarder: u32,
    packet: MessageId,
    duty: u64,
    of: u64,
    number: u8,
    target: EndpointId,
    sent: Micros,
    mark: Option<u64>,
    /// Its connection is still to come up.
    late: bool,
}

/// Connections to one target: how many are open, and those that stand idle, by forwarder, each since when.
#[derive(Default)]
struct Connections {
    busy: u32,
    idle: BTreeMap<u32, Vec<Micros>>,
}

/// What a run did, for the record: events of the core, wall-clock free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    pub happenings: u64,
    pub core_events: u64,
    pub core_actions: u64,
    pub most_held: usize,
    /// Calls for the list, and forwarders that discovery does not tell of changes at the end.
    pub list_calls: u64,
    pub unheard: usize,
}

pub struct Sim {
    scenario: Scenario,
    layout: Layout,
    make: Make,
    seed: u64,
    now: Micros,
    queue: BinaryHeap<Entry>,
    arranged: u64,
    loads: Loads,
    stations: Vec<Station>,
    standing: Vec<(u32, EndpointStatus)>,
    packets: HashMap<u64, Packet>,
    next_packet: u64,
    next_duty: u64,
    trips: HashMap<u64, Trip>,
    next_trip: u64,
    connections: Vec<Connections>,
    receivers: Receivers,
    oracle: Oracle,
    tally: Tally,
    clients: Pcg64Mcg,
    lags: Pcg64Mcg,
    lateness: Pcg64Mcg,
    /// Until when discovery tells nothing.
    stale_until: Micros,
    /// Until when discovery has calls to work off.
    discovery_busy: Micros,
    pending_troubles: usize,
    work: Work,
}

impl Sim {
    pub fn new(scenario: &Scenario, seed: u64, make: Make) -> Result<Sim, ReplayError> {
        let layout = Layout::new(scenario);
        let mut sim = Sim {
            loads: Loads::new(scenario, &layout, seed)?,
            receivers: Receivers::new(scenario, &layout, seed),
            // What reaches a receiver was sent before it: on one clock nothing else passes between.
            oracle: Oracle::new(scenario, 0),
            tally: Tally::new(scenario),
            stations: (0..scenario.forwarders.count)
                .map(|n| Station::new(scenario, seed, n))
                .collect(),
            standing: vec![(0, EndpointStatus::Ready); layout.targets.len()],
            connections: layout
                .targets
                .iter()
                .map(|_| Connections::default())
                .collect(),
            scenario: scenario.clone(),
            layout,
            make,
            seed,
            now: 0,
            queue: BinaryHeap::new(),
            arranged: 0,
            packets: HashMap::new(),
            next_packet: 0,
            next_duty: 0,
            trips: HashMap::new(),
            next_trip: 0,
            clients: stream(seed, "clients", 0),
            lags: stream(seed, "lags", 0),
            lateness: stream(seed, "lateness", 0),
            stale_until: 0,
            discovery_busy: 0,
            pending_troubles: 0,
            work: Work::default(),
        };
        for (number, trouble) in sim.scenario.troubles.clone().iter().enumerate() {
            sim.pending_troubles += 1;
            sim.arrange(trouble.at.0, Happening::Trouble { number, on: true });
        }
        (0..scenario.forwarders.count).for_each(|f| sim.start(f));
        sim.arrange(SWEEP, Happening::Sweep);
        sim.next_due();
        Ok(sim)
    }

    /// Runs to the end and closes the books; `watch` hears how far it is, of how much, µs.
    pub fn run(self, watch: impl FnMut(Micros, Micros)) -> Outcome {
        self.run_until(Micros::MAX, watch).0
    }

    /// The same, cut off at a time: packets that are open then are counted as such and owed nothing.
    pub fn run_until(
        mut self,
        cut: Micros,
        mut watch: impl FnMut(Micros, Micros),
    ) -> (Outcome, Work) {
        let whole = (self.scenario.lasts.0 + self.scenario.longest_expiry() + LAST).min(cut);
        while let Some(Entry { at, what, .. }) = self.queue.pop() {
            if at > whole || self.quiet() {
                break;
            }
            self.now = at;
            self.work.happenings += 1;
            if self.work.happenings.is_multiple_of(4096) {
                watch(at, whole);
            }
            self.happen(what);
        }
        self.tally.counts.open = self.packets.len() as u64;
        self.work.unheard = self.stations.iter().filter(|s| s.up() && !s.hears).count();
        for fall in &self.receivers.falls {
            if fall.blamed {
                let what = format!(
                    "target {} fell over: {} calls in the window, {:.1} allowed",
                    fall.target, fall.calls, fall.budget
                );
                self.oracle
                    .broken(crate::oracle::Rule::PushedOver, fall.at, what);
            }
        }
        let name = format!("{:?}", self.make);
        let mut outcome =
            self.tally
                .close(self.now, &self.scenario, Clock::Simulated, self.seed, &name);
        outcome.broken = self
            .oracle
            .counts
            .iter()
            .map(|(r, n)| (r.to_string(), *n))
            .collect();
        outcome.breaks = self.oracle.breaks;
        outcome.falls = self.receivers.falls.len() as u64;
        (outcome, self.work)
    }

    /// The load has ended, everything is over and nothing more will go wrong.
    fn quiet(&self) -> bool {
        self.now > self.scenario.lasts.0
            && self.packets.is_empty()
            && self.trips.is_empty()
            && self.pending_troubles == 0
    }

    fn arrange(&mut self, at: Micros, what: Happening) {
        self.arranged += 1;
        self.queue.push(Entry {
            at: at.max(self.now),
            number: self.arranged,
            what,
        });
    }

    fn next_due(&mut self) {
        if let Some(due) = self.loads.next() {
            self.arrange(due.at, Happening::Due(due));
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Due(due) => {
                self.next_due();
                self.packet_due(due);
            }
            Happening::HandIn { packet } => self.hand_in(packet),
            Happening::Alarm {
                forwarder,
                life,
                token,
            } => self.give(forwarder, life, Event::TimerFired { token }),
            Happening::Goes { trip } => self.goes(trip),
            Happening::Reaches { trip } => self.reaches(trip),
            Happening::Told { trip, wait } => self.wait_told(trip, wait),
            Happening::Ends { trip, outcome } => self.trip_ends(trip, outcome),
            Happening::ProbeReaches {
                forwarder,
                life,
                target,
                sent,
            } => {
                let fate = self
                    .receivers
                    .probe(self.now, Layout::target(target), forwarder);
                let outcome = match fate.says {
                    Says::Served => opalpulley::Outcome::Delivered,
                    Says::Crowded => opalpulley::Outcome::Rejected { retry_after: None },
                    Says::Silent => opalpulley::Outcome::Timeout,
                    _ => opalpulley::Outcome::NoConnection,
                };
                let patience = if fate.says == Says::Silent {
                    self.scenario.network.connect_within.0
                } else {
                    0
                };
                let at = fate.at + self.scenario.network.delay.0 + patience;
                self.arrange(
                    at,
                    Happening::ProbeEnds {
                        forwarder,
                        life,
                        target,
                        sent,
                        outcome,
                    },
                );
            }
            Happening::ProbeEnds {
                forwarder,
                life,
                target,
                sent,
                outcome,
            } => {
                let took = self.now - sent;
                self.give(
                    forwarder,
                    life,
                    Event::HealthCheckEnded {
                        endpoint: target,
                        outcome,
                        took,
                        report: Vec::new(),
                    },
                );
            }
            Happening::News { forwarder, news } => self.news(forwarder, news),
            Happening::Asked {
                forwarder,
                life,
                told,
            } => self.asked(forwarder, life, told),
            Happening::Gossip { from, to, message } => {
                let life = self.stations[to as usize].life;
                self.give(
                    to,
                    life,
                    Event::Gossip {
                        from: from as u16,
                        payload: message,
                    },
                );
            }
            Happening::Trouble { number, on } => self.trouble(number, on),
            Happening::Drains { target, gone } => self.drains(target, gone),
            Happening::Back { forwarder, folder } => self.back(forwarder, folder),
            Happening::Resumes { forwarder } => self.resumes(forwarder),
            Happening::Sweep => {
                self.oracle.sweep(self.now);
                let held = self.oracle.held()
                    + self.receivers.held()
                    + self.packets.len()
                    + self.trips.len();
                self.work.most_held = self.work.most_held.max(held);
                self.arrange(self.now + SWEEP, Happening::Sweep);
            }
        }
    }

    /// What binds at this moment binds the call, whenever it was chosen.
    fn goes(&mut self, number: u64) {
        let Some(trip) = self.trips.get_mut(&number) else {
            return;
        }; // taken back, or called off
        trip.late = false;
        let (forwarder, target, of) = (trip.forwarder, trip.target, trip.of);
        let place = Layout::target(target);
        let what = format!("packet {of} of forwarder {forwarder} to target {place}, chosen before");
        self.oracle.check_bound(
            forwarder,
            place,
            target.incarnation,
            self.layout.targets[place].gate,
            self.now,
            &what,
        );
        self.arrange(
            self.now + self.scenario.network.delay.0,
            Happening::Reaches { trip: number },
        );
    }

    fn reaches(&mut self, number: u64) {
        let Some(trip) = self.trips.get(&number) else {
            return;
        }; // it was called off on its way
        let target = Layout::target(trip.target);
        let (forwarder, packet, duty) = (trip.forwarder, trip.of, trip.duty);
        let fate = self.receivers.call(self.now, target, forwarder, trip.mark);
        if let Some(ran) = fate.ran {
            self.oracle.took_effect(packet, duty, ran);
        }
        use opalpulley::Outcome as O;
        let outcome = match fate.says {
            Says::Served | Says::ServedThenReset | Says::Endless => O::Delivered,
            Says::Erred => O::Error,
            Says::Full { wait } => O::Rejected { retry_after: wait },
            Says::Crowded => O::Rejected { retry_after: None },
            Says::Refused | Says::Cut => O::NoConnection,
            Says::Reset | Says::Garbled | Says::FullCut { .. } => O::Reset,
            Says::Silent => return,
        };
        let at = fate.at.max(self.now) + self.scenario.network.delay.0;
        if let Says::FullCut { wait: Some(wait) } = fate.says {
            self.arrange(at, Happening::Told { trip: number, wait });
        }
        self.arrange(
            at,
            Happening::Ends {
                trip: number,
                outcome,
            },
        );
    }

    /// Takes an idle connection or opens one; gives what it costs in time and how late it comes up beside that, or none
    /// where the target takes no more.
    fn connect(&mut self, forwarder: u32, target: usize) -> Option<(Micros, Micros)> {
        let group = &self.scenario.destinations[self.layout.targets[target].group];
        let (now, idle_for) = (self.now, group.idle.0 - group.idle.0 / 10);
        let c = &mut self.connections[target];
        let mut kept = c.idle.get_mut(&forwarder).and_then(|idle| {
            idle.retain(|since| since + idle_for > now);
            idle.pop()
        });
        if group.connections > 0 && kept.is_none() {
            let open =
                |c: &Connections| c.busy as usize + c.idle.values().map(Vec::len).sum::<usize>();
            if open(c) >= group.connections as usize {
                c.idle
                    .values_mut()
                    .for_each(|idle| idle.retain(|since| since + group.idle.0 > now));
                c.idle.retain(|_, idle| !idle.is_empty());
                if open(c) >= group.connections as usize {
                    return None;
                }
            }
        }
        c.busy += 1;
        match kept.take() {
            Some(_) => Some((0, 0)),
            None => {
                self.tally.counts.handshakes += 1;
                let late = self.scenario.network.late.as_ref();
                let late = late.filter(|late| self.lateness.random_bool(late.share));
                let late = late.map_or(0, |late| self.lateness.random_range(0..=late.most.0));
                Some((2 * self.scenario.network.delay.0 + group.handshake.0, late))
            }
        }
    }

    /// The connection of a trip: idle again, or gone.
    fn release(&mut self, forwarder: u32, target: usize, usable: bool) {
        let c = &mut self.connections[target];
        c.busy = c.busy.saturating_sub(1);
        if usable {
            c.idle.entry(forwarder).or_default().push(self.now);
        }
    }

    fn mark(&self, packet: u64, profile: u16) -> Option<u64> {
        let marked = self.scenario.profiles[usize::from(profile)].effect == Effect::Fingerprinted;
        marked.then_some(packet)
    }

    fn count_outcome(&mut self, outcome: opalpulley::Outcome) {
        use opalpulley::Outcome as O;
        let (name, tick) = match outcome {
            O::Delivered => ("delivered", Tick::Good),
            O::Error => ("error", Tick::Failed),
            O::Rejected { .. } => ("refused", Tick::Refused),
            O::Timeout => ("time-out", Tick::Failed),
            O::NoConnection => ("no-connection", Tick::Failed),
            O::Reset => ("reset", Tick::Failed),
            O::Cancelled => ("called-off", Tick::Failed),
            O::WithdrawnBeforeSend => ("taken-back", Tick::Failed),
            O::NotAttempted { .. } => ("moot", Tick::Failed),
        };
        self.tally.outcome(name);
        self.tally.tick(self.now, tick);
    }
}

#[cfg(test)]
mod tests;
