//! The simulated clock: a deterministic event loop around the core that runs in production. It simulates the forwarders,
//! clients, discovery, connections and receivers of a scenario in one thread; the same scenario and seed give the same run.
//!
//! `Sim` owns the whole state of the simulation. A message is removed when it ends, an attempt with its outcome, and an event
//! when it happens. `event` defines the events and their queue, and `handlers` dispatches each event to the module that
//! handles it: `clients`, `attempts`, `connections`, `health_checks`, `discovery`, `simulated_process`, `lifecycle` or
//! `faults`.

mod attempts;
mod clients;
mod connections;
mod discovery;
mod event;
mod faults;
mod handlers;
mod health_checks;
mod lifecycle;
mod simulated_process;

use crate::load::{Loads, ReplayError};
use crate::oracle::Oracle;
use crate::random::seeded_rng;
use crate::receivers::Receivers;
use crate::scenario::Scenario;
use crate::subject::ForwarderVariant;
use crate::tally::{Clock, Outcome, Tally};
use crate::world::Layout;
use attempts::Attempt;
use clients::ClientMessage;
use connections::Connections;
use discovery::ListedEndpoint;
use event::{EventQueue, SimulatedEvent};
use opalpulley::{EndpointStatus, Micros};
use rand_pcg::Pcg64Mcg;
use simulated_process::SimulatedProcess;
use std::collections::HashMap;

/// Interval between the oracle's checks for overdue final answers, µs.
const OVERDUE_CHECK_INTERVAL: Micros = 250_000;
/// Time for which a run continues after the last deadline, µs: a restarted forwarder may still owe a final answer.
const TIME_AFTER_LAST_DEADLINE: Micros = 3_000_000;
/// Number of events between two progress reports.
const EVENTS_PER_PROGRESS_REPORT: u64 = 4096;

/// Statistics of a run beside its outcome. They don't depend on the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunStats {
    /// Number of simulated events.
    pub events: u64,
    /// Number of events that forwarders handled.
    pub core_events: u64,
    /// Number of actions that forwarders returned.
    pub core_actions: u64,
    /// Maximum number of entries in the tables of the laboratory at one time.
    pub peak_table_entries: usize,
    /// Number of polls of the endpoint list.
    pub list_polls: u64,
    /// Number of forwarders that run at the end and get no list updates.
    pub forwarders_without_list_updates: usize,
}

/// A run of one scenario on the simulated clock.
pub struct Sim {
    scenario: Scenario,
    layout: Layout,
    variant: ForwarderVariant,
    seed: u64,
    now: Micros,
    queue: EventQueue,
    loads: Loads,
    processes: Vec<SimulatedProcess>,
    /// The entry of each endpoint in the endpoint list.
    listed_endpoints: Vec<ListedEndpoint>,
    /// Unfinished messages, by the client's number.
    messages: HashMap<u64, ClientMessage>,
    next_message: u64,
    next_submission: u64,
    /// Attempts in flight, by attempt number.
    attempts: HashMap<u64, Attempt>,
    next_attempt: u64,
    /// Connections to each endpoint, by endpoint index.
    connections: Vec<Connections>,
    receivers: Receivers,
    oracle: Oracle,
    tally: Tally,
    /// Random numbers of the clients: the choice of a forwarder, and the jitter of a resubmission.
    client_rng: Pcg64Mcg,
    /// Random numbers of discovery: the lags of updates, and the entries that a partial list lacks.
    discovery_rng: Pcg64Mcg,
    /// Random numbers of late connections.
    connection_rng: Pcg64Mcg,
    /// Instant until which discovery sends no updates, µs.
    discovery_stale_until: Micros,
    /// Time until which processes that start get no confirmed list, in µs.
    discovery_down_until: Micros,
    /// Instant at which discovery will have answered all queued polls, µs.
    discovery_busy_until: Micros,
    /// Number of faults that have not ended.
    pending_faults: usize,
    stats: RunStats,
}

impl Sim {
    /// Sets up the simulation, schedules the faults and starts the forwarders. Fails if a recorded load can't be replayed.
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        variant: ForwarderVariant,
    ) -> Result<Sim, ReplayError> {
        let loads = Loads::new(scenario, &Layout::new(scenario), seed)?;
        let mut sim = Sim::empty(scenario, seed, variant, loads);
        for (fault_index, fault) in sim.scenario.faults.clone().iter().enumerate() {
            sim.pending_faults += 1;
            let fault_begins = SimulatedEvent::FaultChanges {
                fault: fault_index,
                begins: true,
            };
            sim.schedule(fault.at.0, fault_begins);
        }
        for forwarder in 0..scenario.forwarders.count {
            sim.start_process(forwarder);
        }
        sim.schedule(OVERDUE_CHECK_INTERVAL, SimulatedEvent::OverdueCheck);
        sim.schedule_next_due();
        Ok(sim)
    }

    /// Returns a simulation in which no process runs and no event is scheduled.
    fn empty(scenario: &Scenario, seed: u64, variant: ForwarderVariant, loads: Loads) -> Sim {
        let layout = Layout::new(scenario);
        let endpoints = layout.endpoints.len();
        let ready = ListedEndpoint {
            incarnation: 0,
            status: EndpointStatus::Ready,
        };
        Sim {
            loads,
            receivers: Receivers::new(scenario, &layout, seed),
            // On one clock a call is observed at the instant when it is sent, so the oracle needs no slack.
            oracle: Oracle::new(scenario, 0),
            tally: Tally::new(scenario),
            processes: (0..scenario.forwarders.count)
                .map(|number| SimulatedProcess::new(scenario, seed, number))
                .collect(),
            listed_endpoints: vec![ready; endpoints],
            connections: (0..endpoints).map(|_| Connections::default()).collect(),
            scenario: scenario.clone(),
            layout,
            variant,
            seed,
            now: 0,
            queue: EventQueue::default(),
            messages: HashMap::new(),
            next_message: 0,
            next_submission: 0,
            attempts: HashMap::new(),
            next_attempt: 0,
            client_rng: seeded_rng(seed, "clients", 0),
            discovery_rng: seeded_rng(seed, "lags", 0),
            connection_rng: seeded_rng(seed, "lateness", 0),
            discovery_stale_until: 0,
            discovery_down_until: 0,
            discovery_busy_until: 0,
            pending_faults: 0,
            stats: RunStats::default(),
        }
    }

    /// Runs to the end and returns the outcome. `progress` is called with the simulated time and the end of the run, µs.
    pub fn run(self, progress: impl FnMut(Micros, Micros)) -> Outcome {
        self.run_until(Micros::MAX, progress).0
    }

    /// Runs to the end or until `cut_off_at`, µs. Messages that are unfinished at that time are counted in `Counts::open`, and
    /// the oracle expects no final answer for them.
    pub fn run_until(
        mut self,
        cut_off_at: Micros,
        mut progress: impl FnMut(Micros, Micros),
    ) -> (Outcome, RunStats) {
        let last_deadline = self.scenario.lasts.0 + self.scenario.max_time_to_live();
        let ends_at = (last_deadline + TIME_AFTER_LAST_DEADLINE).min(cut_off_at);
        while let Some((at, event)) = self.queue.pop() {
            if at > ends_at || self.is_over() {
                break;
            }
            self.now = at;
            self.stats.events += 1;
            if self.stats.events.is_multiple_of(EVENTS_PER_PROGRESS_REPORT) {
                progress(at, ends_at);
            }
            self.handle(event);
        }
        self.close()
    }

    /// Closes the tally and returns the outcome and the statistics.
    fn close(mut self) -> (Outcome, RunStats) {
        self.tally.counts.open = self.messages.len() as u64;
        let processes = self.processes.iter();
        self.stats.forwarders_without_list_updates = processes
            .filter(|process| process.is_up() && !process.follows_list)
            .count();
        self.oracle
            .judge_overload_failures(&self.receivers.overload_failures);
        let name = self.variant.name_in_outcomes();
        let mut outcome =
            self.tally
                .into_outcome(self.now, &self.scenario, Clock::Simulated, self.seed, name);
        outcome.broken = self.oracle.violation_counts_by_name();
        outcome.breaks = self.oracle.violations;
        outcome.falls = self.receivers.overload_failures.len() as u64;
        (outcome, self.stats)
    }

    /// Returns whether the load, all messages, all attempts and all faults have ended.
    fn is_over(&self) -> bool {
        self.now > self.scenario.lasts.0
            && self.messages.is_empty()
            && self.attempts.is_empty()
            && self.pending_faults == 0
    }

    /// Schedules an event at `at`, or now if `at` has passed.
    fn schedule(&mut self, at: Micros, event: SimulatedEvent) {
        self.queue.push(at.max(self.now), event);
    }

    /// Schedules the next message of the load.
    fn schedule_next_due(&mut self) {
        if let Some(due) = self.loads.next() {
            self.schedule(due.at, SimulatedEvent::Due(due));
        }
    }
}

#[cfg(test)]
mod tests;
