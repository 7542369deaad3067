//! The simulated clock: a deterministic event loop round the very core that is in service. Forwarders, clients, discovery,
//! connections and receivers of a scenario in one thread; the same scenario and seed give the same run.
//!
//! Owns all of the simulated world. A message leaves with its end, an attempt with its outcome, an event as it happens.

mod clients;
mod faults;
mod simulated_process;

use crate::chance::stream;
use crate::load::{Due, Loads, ReplayError};
use crate::oracle::Oracle;
use crate::receivers::{ReceiverReply, Receivers};
use crate::scenario::{DeliverySemantics, Scenario};
use crate::subject::ForwarderVariant;
use crate::tally::{Clock, Outcome, Tally, Tick};
use crate::world::Layout;
use opalpulley::{
    EndpointId, EndpointListUpdate, EndpointStatus, Event, MessageId, Micros, TimerToken,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use simulated_process::SimulatedProcess;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

const SWEEP: Micros = 250_000; // between the oracle's looks
const LAST: Micros = 3_000_000; // after the last deadline: restarts may still owe something

/// What happens next.
enum SimulatedEvent {
    Due(Due),
    Submit {
        message: u64,
    },
    TimerFires {
        forwarder: u32,
        incarnation: u32,
        token: TimerToken,
    },
    /// The bytes of a call go, on a connection that came up late.
    RequestSent {
        attempt: u64,
    },
    /// A call's last byte reaches its endpoint.
    RequestArrives {
        attempt: u64,
    },
    /// The head of an answer tells a wait; the outcome follows.
    RetryAfterReceived {
        attempt: u64,
        wait: Micros,
    },
    /// An attempt's outcome reaches its forwarder.
    AttemptEnds {
        attempt: u64,
        outcome: opalpulley::Outcome,
    },
    HealthCheckArrives {
        forwarder: u32,
        incarnation: u32,
        endpoint: EndpointId,
        sent: Micros,
    },
    HealthCheckEnds {
        forwarder: u32,
        incarnation: u32,
        endpoint: EndpointId,
        sent: Micros,
        outcome: opalpulley::Outcome,
    },
    ListUpdate {
        forwarder: u32,
        list_update: EndpointListUpdate,
    },
    /// A call for the list is answered, or has failed.
    PollAnswered {
        forwarder: u32,
        incarnation: u32,
        told: bool,
    },
    Gossip {
        from: u32,
        to: u32,
        message: Vec<u8>,
    },
    FaultChanges {
        number: usize,
        on: bool,
    },
    /// Of a drain, one endpoint after the other.
    EndpointDrains {
        endpoint: usize,
        gone: bool,
    },
    ProcessRestarts {
        forwarder: u32,
        folder: bool,
    },
    ProcessResumes {
        forwarder: u32,
    },
    OracleSweep,
}

struct QueuedEvent {
    at: Micros,
    number: u64,
    what: SimulatedEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &QueuedEvent) -> bool {
        self.number == other.number
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &QueuedEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    /// The earliest first; of those at one time, the one that was arranged first.
    fn cmp(&self, other: &QueuedEvent) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A message as its client knows it.
struct ClientMessage {
    due: Due,
    expires: Micros,
    resubmissions: u32,
    resubmitted: bool,
    tries: u32,
}

/// An attempt that is out.
struct Attempt {
    forwarder: u32,
    message: MessageId,
    submission: u64,
    client_message: u64,
    number: u8,
    endpoint: EndpointId,
    sent: Micros,
    idempotency_key: Option<u64>,
    /// Its connection is still to come up.
    late: bool,
}

/// Connections to one endpoint: how many are open, and those that stand idle, by forwarder, each since when.
#[derive(Default)]
struct Connections {
    busy: u32,
    idle: BTreeMap<u32, Vec<Micros>>,
}

/// What a run did, for the record: events of the core, wall-clock free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    pub events: u64,
    pub core_events: u64,
    pub core_actions: u64,
    pub most_held: usize,
    /// Calls for the list, and forwarders that discovery does not tell of changes at the end.
    pub list_calls: u64,
    pub without_list_updates: usize,
}

pub struct Sim {
    scenario: Scenario,
    layout: Layout,
    variant: ForwarderVariant,
    seed: u64,
    now: Micros,
    queue: BinaryHeap<QueuedEvent>,
    scheduled_count: u64,
    loads: Loads,
    processes: Vec<SimulatedProcess>,
    status: Vec<(u32, EndpointStatus)>,
    messages: HashMap<u64, ClientMessage>,
    next_message: u64,
    next_submission: u64,
    attempts: HashMap<u64, Attempt>,
    next_attempt: u64,
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
    pending_faults: usize,
    work: Work,
}

impl Sim {
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        variant: ForwarderVariant,
    ) -> Result<Sim, ReplayError> {
        let layout = Layout::new(scenario);
        let mut sim = Sim {
            loads: Loads::new(scenario, &layout, seed)?,
            receivers: Receivers::new(scenario, &layout, seed),
            // What reaches a receiver was sent before it: on one clock nothing else passes between.
            oracle: Oracle::new(scenario, 0),
            tally: Tally::new(scenario),
            processes: (0..scenario.forwarders.count)
                .map(|n| SimulatedProcess::new(scenario, seed, n))
                .collect(),
            status: vec![(0, EndpointStatus::Ready); layout.endpoints.len()],
            connections: layout
                .endpoints
                .iter()
                .map(|_| Connections::default())
                .collect(),
            scenario: scenario.clone(),
            layout,
            variant,
            seed,
            now: 0,
            queue: BinaryHeap::new(),
            scheduled_count: 0,
            messages: HashMap::new(),
            next_message: 0,
            next_submission: 0,
            attempts: HashMap::new(),
            next_attempt: 0,
            clients: stream(seed, "clients", 0),
            lags: stream(seed, "lags", 0),
            lateness: stream(seed, "lateness", 0),
            stale_until: 0,
            discovery_busy: 0,
            pending_faults: 0,
            work: Work::default(),
        };
        for (number, fault) in sim.scenario.faults.clone().iter().enumerate() {
            sim.pending_faults += 1;
            sim.schedule(
                fault.at.0,
                SimulatedEvent::FaultChanges { number, on: true },
            );
        }
        (0..scenario.forwarders.count).for_each(|f| sim.start(f));
        sim.schedule(SWEEP, SimulatedEvent::OracleSweep);
        sim.next_due();
        Ok(sim)
    }

    /// Runs to the end and closes the books; `watch` hears how far it is, of how much, µs.
    pub fn run(self, watch: impl FnMut(Micros, Micros)) -> Outcome {
        self.run_until(Micros::MAX, watch).0
    }

    /// The same, cut off at a time: messages that are open then are counted as such and owed nothing.
    pub fn run_until(
        mut self,
        cut: Micros,
        mut watch: impl FnMut(Micros, Micros),
    ) -> (Outcome, Work) {
        let whole = (self.scenario.lasts.0 + self.scenario.longest_time_to_live() + LAST).min(cut);
        while let Some(QueuedEvent { at, what, .. }) = self.queue.pop() {
            if at > whole || self.is_over() {
                break;
            }
            self.now = at;
            self.work.events += 1;
            if self.work.events.is_multiple_of(4096) {
                watch(at, whole);
            }
            self.handle(what);
        }
        self.tally.counts.open = self.messages.len() as u64;
        self.work.without_list_updates = self
            .processes
            .iter()
            .filter(|s| s.up() && !s.follows_list)
            .count();
        for fall in &self.receivers.falls {
            if fall.blamed {
                let what = format!(
                    "target {} fell over: {} calls in the window, {:.1} allowed",
                    fall.endpoint, fall.calls, fall.budget
                );
                self.oracle
                    .broken(crate::oracle::Rule::PushedOver, fall.at, what);
            }
        }
        let name = self.variant.name_in_outcomes();
        let mut outcome =
            self.tally
                .close(self.now, &self.scenario, Clock::Simulated, self.seed, name);
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
    fn is_over(&self) -> bool {
        self.now > self.scenario.lasts.0
            && self.messages.is_empty()
            && self.attempts.is_empty()
            && self.pending_faults == 0
    }

    fn schedule(&mut self, at: Micros, what: SimulatedEvent) {
        self.scheduled_count += 1;
        self.queue.push(QueuedEvent {
            at: at.max(self.now),
            number: self.scheduled_count,
            what,
        });
    }

    fn next_due(&mut self) {
        if let Some(due) = self.loads.next() {
            self.schedule(due.at, SimulatedEvent::Due(due));
        }
    }

    fn handle(&mut self, what: SimulatedEvent) {
        match what {
            SimulatedEvent::Due(due) => {
                self.next_due();
                self.message_due(due);
            }
            SimulatedEvent::Submit { message } => self.submit(message),
            SimulatedEvent::TimerFires {
                forwarder,
                incarnation,
                token,
            } => self.deliver_event(forwarder, incarnation, Event::TimerFired { token }),
            SimulatedEvent::RequestSent { attempt } => self.request_sent(attempt),
            SimulatedEvent::RequestArrives { attempt } => self.request_arrives(attempt),
            SimulatedEvent::RetryAfterReceived { attempt, wait } => {
                self.retry_after_received(attempt, wait)
            }
            SimulatedEvent::AttemptEnds { attempt, outcome } => self.attempt_ends(attempt, outcome),
            SimulatedEvent::HealthCheckArrives {
                forwarder,
                incarnation,
                endpoint,
                sent,
            } => {
                let fate =
                    self.receivers
                        .health_check(self.now, Layout::endpoint(endpoint), forwarder);
                let outcome = match fate.says {
                    ReceiverReply::Served => opalpulley::Outcome::Delivered,
                    ReceiverReply::Overloaded => {
                        opalpulley::Outcome::Rejected { retry_after: None }
                    }
                    ReceiverReply::Silent => opalpulley::Outcome::Timeout,
                    _ => opalpulley::Outcome::NoConnection,
                };
                let timeout = if fate.says == ReceiverReply::Silent {
                    self.scenario.network.connect_timeout.0
                } else {
                    0
                };
                let at = fate.at + self.scenario.network.delay.0 + timeout;
                self.schedule(
                    at,
                    SimulatedEvent::HealthCheckEnds {
                        forwarder,
                        incarnation,
                        endpoint,
                        sent,
                        outcome,
                    },
                );
            }
            SimulatedEvent::HealthCheckEnds {
                forwarder,
                incarnation,
                endpoint,
                sent,
                outcome,
            } => {
                let took = self.now - sent;
                self.deliver_event(
                    forwarder,
                    incarnation,
                    Event::HealthCheckEnded {
                        endpoint,
                        outcome,
                        took,
                        report: Vec::new(),
                    },
                );
            }
            SimulatedEvent::ListUpdate {
                forwarder,
                list_update,
            } => self.list_update(forwarder, list_update),
            SimulatedEvent::PollAnswered {
                forwarder,
                incarnation,
                told,
            } => self.asked(forwarder, incarnation, told),
            SimulatedEvent::Gossip { from, to, message } => {
                let incarnation = self.processes[to as usize].incarnation;
                self.deliver_event(
                    to,
                    incarnation,
                    Event::Gossip {
                        from: from as u16,
                        payload: message,
                    },
                );
            }
            SimulatedEvent::FaultChanges { number, on } => self.fault(number, on),
            SimulatedEvent::EndpointDrains { endpoint, gone } => {
                self.endpoint_drains(endpoint, gone)
            }
            SimulatedEvent::ProcessRestarts { forwarder, folder } => self.back(forwarder, folder),
            SimulatedEvent::ProcessResumes { forwarder } => self.resume_process(forwarder),
            SimulatedEvent::OracleSweep => {
                self.oracle.sweep(self.now);
                let held = self.oracle.held()
                    + self.receivers.held()
                    + self.messages.len()
                    + self.attempts.len();
                self.work.most_held = self.work.most_held.max(held);
                self.schedule(self.now + SWEEP, SimulatedEvent::OracleSweep);
            }
        }
    }

    /// What binds at this moment binds the call, whenever it was chosen.
    fn request_sent(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        }; // withdrawn, or cancelled
        attempt.late = false;
        let (forwarder, endpoint, client_message) =
            (attempt.forwarder, attempt.endpoint, attempt.client_message);
        let place = Layout::endpoint(endpoint);
        let what = format!(
            "packet {client_message} of forwarder {forwarder} to target {place}, chosen before"
        );
        self.oracle.check_bound(
            forwarder,
            place,
            endpoint.incarnation,
            self.layout.endpoints[place].limiter,
            self.now,
            &what,
        );
        self.schedule(
            self.now + self.scenario.network.delay.0,
            SimulatedEvent::RequestArrives { attempt: number },
        );
    }

    fn request_arrives(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        }; // it was cancelled on its way
        let endpoint = Layout::endpoint(attempt.endpoint);
        let (forwarder, message, submission) = (
            attempt.forwarder,
            attempt.client_message,
            attempt.submission,
        );
        let fate = self
            .receivers
            .call(self.now, endpoint, forwarder, attempt.idempotency_key);
        if let Some(ran) = fate.ran {
            self.oracle.took_effect(message, submission, ran);
        }
        use opalpulley::Outcome as O;
        let outcome = match fate.says {
            ReceiverReply::Served | ReceiverReply::ServedThenReset | ReceiverReply::Endless => {
                O::Delivered
            }
            ReceiverReply::Erred => O::Error,
            ReceiverReply::TooManyRequests { wait } => O::Rejected { retry_after: wait },
            ReceiverReply::Overloaded => O::Rejected { retry_after: None },
            ReceiverReply::Refused | ReceiverReply::ClosedEarly => O::NoConnection,
            ReceiverReply::Reset
            | ReceiverReply::Garbled
            | ReceiverReply::TooManyRequestsTruncated { .. } => O::Reset,
            ReceiverReply::Silent => return,
        };
        let at = fate.at.max(self.now) + self.scenario.network.delay.0;
        if let ReceiverReply::TooManyRequestsTruncated { wait: Some(wait) } = fate.says {
            self.schedule(
                at,
                SimulatedEvent::RetryAfterReceived {
                    attempt: number,
                    wait,
                },
            );
        }
        self.schedule(
            at,
            SimulatedEvent::AttemptEnds {
                attempt: number,
                outcome,
            },
        );
    }

    /// Takes an idle connection or opens one; gives what it costs in time and how late it comes up beside that, or none
    /// where the endpoint takes no more.
    fn connect(&mut self, forwarder: u32, endpoint: usize) -> Option<(Micros, Micros)> {
        let group = &self.scenario.destinations[self.layout.endpoints[endpoint].group];
        let (now, idle_for) = (self.now, group.idle_timeout.0 - group.idle_timeout.0 / 10);
        let c = &mut self.connections[endpoint];
        let mut kept = c.idle.get_mut(&forwarder).and_then(|idle| {
            idle.retain(|since| since + idle_for > now);
            idle.pop()
        });
        if group.max_connections > 0 && kept.is_none() {
            let open =
                |c: &Connections| c.busy as usize + c.idle.values().map(Vec::len).sum::<usize>();
            if open(c) >= group.max_connections as usize {
                c.idle
                    .values_mut()
                    .for_each(|idle| idle.retain(|since| since + group.idle_timeout.0 > now));
                c.idle.retain(|_, idle| !idle.is_empty());
                if open(c) >= group.max_connections as usize {
                    return None;
                }
            }
        }
        c.busy += 1;
        match kept.take() {
            Some(_) => Some((0, 0)),
            None => {
                self.tally.counts.handshakes += 1;
                let late = self.scenario.network.late_connections.as_ref();
                let late = late.filter(|late| self.lateness.random_bool(late.share));
                let late = late.map_or(0, |late| self.lateness.random_range(0..=late.most.0));
                Some((2 * self.scenario.network.delay.0 + group.handshake.0, late))
            }
        }
    }

    /// The connection of an attempt: idle again, or gone.
    fn release(&mut self, forwarder: u32, endpoint: usize, usable: bool) {
        let c = &mut self.connections[endpoint];
        c.busy = c.busy.saturating_sub(1);
        if usable {
            c.idle.entry(forwarder).or_default().push(self.now);
        }
    }

    fn idempotency_key(&self, message: u64, class: u16) -> Option<u64> {
        let marked = self.scenario.classes[usize::from(class)].semantics
            == DeliverySemantics::IdempotencyKeyed;
        marked.then_some(message)
    }

    fn count_outcome(&mut self, outcome: opalpulley::Outcome) {
        use opalpulley::Outcome as O;
        let (name, tick) = match outcome {
            O::Delivered => ("delivered", Tick::CallSucceeded),
            O::Error => ("error", Tick::CallFailed),
            O::Rejected { .. } => ("refused", Tick::CallRefused),
            O::Timeout => ("time-out", Tick::CallFailed),
            O::NoConnection => ("no-connection", Tick::CallFailed),
            O::Reset => ("reset", Tick::CallFailed),
            O::Cancelled => ("called-off", Tick::CallFailed),
            O::WithdrawnBeforeSend => ("taken-back", Tick::CallFailed),
            O::NotAttempted { .. } => ("moot", Tick::CallFailed),
        };
        self.tally.outcome(name);
        self.tally.tick(self.now, tick);
    }
}

#[cfg(test)]
mod tests;
