//! Simulates a fleet of forwarders in one process: the real decision core and gossip codec of each forwarder, an in-memory
//! network that counts bytes, simple receivers, service discovery and one simulated clock. It measures what control traffic
//! and control work cost a forwarder, and the load that the whole fleet puts on destinations that are down or have just
//! recovered.
//!
//! A run advances in short time steps. No network delay is shorter than a step, so the forwarders can't influence each other
//! within a step and are handled in parallel. What they send is transmitted after the step, in the order of the forwarders'
//! numbers, so the outcome of a run does not depend on the number of threads.

pub mod config_changes;
pub mod counters;
pub mod destination_states;
pub mod discovery;
pub mod event_queue;
mod figures;
pub mod forwarder_io;
mod incidents;
pub mod layout;
pub mod network;
pub mod observer;
pub mod options;
pub mod outages;
pub mod plan;
mod plots;
pub mod receivers;
pub mod report;
pub mod simulated_forwarder;
mod transport;

use config_changes::ConfigChanges;
use discovery::{Discovery, DiscoveryEvent};
use event_queue::EventQueue;
use forwarder_io::ForwarderInput;
use layout::Layout;
use network::{Network, MIN_DELAY};
use opalpulley::{EndpointId, MessageId, Micros};
use outages::Outages;
use plan::{Plan, PlanError, SECOND};
use receivers::Receivers;
use report::{collect_counts, Counts, FleetOutcome, Measurements, SecondCounts};
use simulated_forwarder::SimulatedForwarder;
use std::time::Instant;
use transport::{new_arrival, response_outcome};

/// Length of a time step, in µs. It is shorter than [`MIN_DELAY`], so nothing sent within a step arrives within it.
const TIME_STEP: Micros = MIN_DELAY - 1_000;

/// An event outside the forwarders: at a destination, in discovery or in the network.
enum ExternalEvent {
    /// A call reaches its endpoint.
    Call {
        forwarder: u32,
        sent_at: Micros,
        id: MessageId,
        /// Index of the attempt among those of the message, from 0.
        attempt: u8,
        endpoint: EndpointId,
    },
    /// A health check reaches its endpoint.
    HealthCheck {
        forwarder: u32,
        sent_at: Micros,
        endpoint: EndpointId,
    },
    /// An outage of one destination begins or ends.
    Outage {
        destination: u32,
        begins: bool,
    },
    Discovery(DiscoveryEvent),
    /// The configuration changes. A random change schedules its successor; a change that belongs to an incident doesn't.
    ConfigChange {
        is_random: bool,
    },
    /// The incident of the plan begins or ends.
    Incident {
        begins: bool,
    },
}

/// The state of one run.
struct Fleet<'a> {
    plan: &'a Plan,
    layout: Layout,
    /// Indexed by the forwarder's number.
    forwarders: Vec<SimulatedForwarder>,
    receivers: Receivers,
    outages: Outages,
    discovery: Discovery,
    network: Network,
    /// Pending events outside the forwarders; each forwarder has a queue of its own.
    events: EventQueue<ExternalEvent>,
    changes: ConfigChanges,
}

/// Runs a plan on `threads` threads. Returns an error if the plan is invalid.
pub fn run(plan: &Plan, threads: usize) -> Result<FleetOutcome, PlanError> {
    plan.check()?;
    let (started_at, resident_before) = (Instant::now(), report::resident_bytes());
    let mut fleet = Fleet::new(plan);
    for_each_parallel(&mut fleet.forwarders, threads, |forwarder| {
        forwarder.load_initial_list(fleet.discovery.complete_list())
    });
    fleet.schedule_initial_events();
    let (start_time, resident_at_start) = (started_at.elapsed(), report::resident_bytes());
    let per_second_counts = fleet.run_to_end(threads);
    let measured = Measurements::new(
        plan,
        &fleet.forwarders,
        resident_before,
        resident_at_start,
        start_time,
        started_at.elapsed(),
    );
    let counts: Counts = collect_counts(
        plan,
        &fleet.forwarders,
        &fleet.network,
        &fleet.receivers,
        &fleet.discovery,
    );
    Ok(FleetOutcome {
        plan: plan.clone(),
        counts,
        per_second_counts,
        measured,
    })
}

/// Calls `work` once for each forwarder, in up to `threads` threads, and returns when all calls have returned.
fn for_each_parallel(
    forwarders: &mut [SimulatedForwarder],
    threads: usize,
    work: impl Fn(&mut SimulatedForwarder) + Sync,
) {
    let chunk_len = forwarders.len().div_ceil(threads.max(1)).max(1);
    if chunk_len >= forwarders.len() {
        return forwarders.iter_mut().for_each(work);
    }
    std::thread::scope(|scope| {
        for chunk in forwarders.chunks_mut(chunk_len) {
            scope.spawn(|| chunk.iter_mut().for_each(&work));
        }
    });
}

impl<'a> Fleet<'a> {
    fn new(plan: &'a Plan) -> Fleet<'a> {
        let layout = Layout::new(plan);
        Fleet {
            plan,
            forwarders: (0..plan.forwarders)
                .map(|id| SimulatedForwarder::new(plan, id))
                .collect(),
            receivers: Receivers::new(plan, &layout),
            outages: Outages::new(plan),
            discovery: Discovery::new(plan.seed, plan.forwarders, &layout),
            network: Network::new(plan.seed, plan.forwarders),
            events: EventQueue::default(),
            changes: ConfigChanges::new(plan),
            layout,
        }
    }

    /// Schedules the events that the run starts with: message arrivals, watches, outages, changes and the incident.
    fn schedule_initial_events(&mut self) {
        let bytes = discovery::response_bytes(0, true, self.discovery.complete_list());
        self.network
            .control
            .iter_mut()
            .for_each(|control| control.first_list_in.add_http_message(bytes));
        let per_forwarder = self.plan.events_a_second / f64::from(self.plan.forwarders);
        self.forwarders
            .iter_mut()
            .for_each(|forwarder| forwarder.set_arrival_rate(0, per_forwarder));
        for (at, event) in self.discovery.initial_watches() {
            self.events.push(at, ExternalEvent::Discovery(event));
        }
        for destination in 0..self.plan.destinations {
            if let Some(at) = self.outages.first_start() {
                self.events.push(
                    at,
                    ExternalEvent::Outage {
                        destination,
                        begins: true,
                    },
                );
            }
        }
        self.schedule_config_change(0);
        self.schedule_incident();
    }

    /// Advances the run step by step to its end. Returns the counts of each simulated second.
    fn run_to_end(&mut self, threads: usize) -> Vec<SecondCounts> {
        let mut per_second_counts = Vec::new();
        let mut totals = None;
        let (mut step_start, end) = (0, self.plan.end());
        while step_start < end {
            let step_end = (step_start + TIME_STEP).min(end);
            self.handle_external_events(step_end);
            let (layout, receivers) = (&self.layout, &self.receivers);
            for_each_parallel(&mut self.forwarders, threads, |forwarder| {
                forwarder.advance(step_end, layout, receivers)
            });
            self.transmit_outboxes();
            if step_end / SECOND > step_start / SECOND {
                let (network, receivers) = (&self.network, &self.receivers);
                let second = SecondCounts::since(&mut totals, &self.forwarders, network, receivers);
                per_second_counts.push(second);
            }
            step_start = step_end;
        }
        per_second_counts
    }

    /// Schedules the next random change of configuration, if the plan has any.
    fn schedule_config_change(&mut self, now: Micros) {
        if let Some(delay) = self.changes.draw_delay() {
            self.events
                .push(now + delay, ExternalEvent::ConfigChange { is_random: true });
        }
    }

    /// Handles the events outside the forwarders that are due before `step_end`.
    fn handle_external_events(&mut self, step_end: Micros) {
        while let Some((now, event)) = self.events.pop_before(step_end) {
            match event {
                ExternalEvent::Call {
                    forwarder,
                    sent_at,
                    id,
                    attempt,
                    endpoint,
                } => {
                    let arrival = new_arrival(now, forwarder, sent_at, endpoint);
                    let response = self.receivers.call(arrival, endpoint.incarnation);
                    if let Some((after, outcome)) = response_outcome(response) {
                        let input = ForwarderInput::AttemptEnded {
                            id,
                            attempt,
                            outcome,
                        };
                        self.send_response(now + after, forwarder, endpoint, input);
                    }
                }
                ExternalEvent::HealthCheck {
                    forwarder,
                    sent_at,
                    endpoint,
                } => self.handle_health_check(now, forwarder, sent_at, endpoint),
                ExternalEvent::Outage {
                    destination,
                    begins,
                } => self.toggle_outage(now, destination, begins),
                ExternalEvent::Discovery(event) => self.handle_discovery(now, event),
                ExternalEvent::ConfigChange { is_random } => {
                    self.apply_config_change(now, is_random)
                }
                ExternalEvent::Incident { begins } => self.apply_incident(now, begins),
            }
        }
    }

    /// Handles a health check that reaches its destination.
    fn handle_health_check(
        &mut self,
        now: Micros,
        forwarder: u32,
        sent_at: Micros,
        endpoint: EndpointId,
    ) {
        let arrival = new_arrival(now, forwarder, sent_at, endpoint);
        let response = self.receivers.health_check(arrival, endpoint.incarnation);
        if let Some((after, outcome)) = response_outcome(response) {
            let input = ForwarderInput::HealthCheckEnded {
                endpoint,
                sent_at,
                outcome,
            };
            self.send_response(now + after, forwarder, endpoint, input);
        }
    }

    /// Begins or ends an outage, and schedules the opposite change of the same destination.
    fn toggle_outage(&mut self, now: Micros, destination: u32, begins: bool) {
        if begins {
            self.receivers.start_outage(destination);
        } else {
            self.receivers.end_outage(now, destination);
        }
        let next = ExternalEvent::Outage {
            destination,
            begins: !begins,
        };
        self.events
            .push(now + self.outages.draw_duration(begins), next);
    }

    /// Draws and publishes a change of configuration. A random change also schedules the next one.
    fn apply_config_change(&mut self, now: Micros, is_random: bool) {
        if is_random {
            self.schedule_config_change(now);
        }
        let entries = self.changes.draw_change(&self.layout, &mut self.receivers);
        let propagations = self.discovery.apply_change(now, entries);
        self.schedule_discovery(propagations);
    }

    /// Schedules events of discovery at their times.
    fn schedule_discovery(&mut self, events: Vec<(Micros, DiscoveryEvent)>) {
        for (at, event) in events {
            self.events.push(at, ExternalEvent::Discovery(event));
        }
    }

    /// Handles an event of discovery, and delivers the response that it may produce to the forwarder.
    fn handle_discovery(&mut self, now: Micros, event: DiscoveryEvent) {
        let mut follow_ups = Vec::new();
        let response = self
            .discovery
            .handle(now, event, &mut self.network, &mut follow_ups);
        self.schedule_discovery(follow_ups);
        if let Some((forwarder, response)) = response {
            let (complete, revision, entries) =
                (response.complete, response.revision, response.entries);
            let list = ForwarderInput::EndpointList {
                complete,
                revision,
                entries,
            };
            self.forwarders[forwarder as usize]
                .inbox
                .push(response.arrives_at, list);
        }
    }
}

#[cfg(test)]
mod tests;
