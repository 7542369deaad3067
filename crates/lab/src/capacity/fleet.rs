//! A fleet of hollow forwarders in one process: the real decision core and gossip codec of each, an in-memory wire that counts
//! bytes, simple receivers, a discovery, and one simulated clock. It measures what control costs a forwarder, and what the
//! fleet as a whole does to destinations that are down or have just come back.
//!
//! The run goes by short windows of time. Nothing on the wire is faster than a window, so within one the forwarders can't
//! influence each other and are handled side by side; what they send is carried on in a fixed order afterwards. A run is
//! the same whatever the number of threads.

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

/// Time that is handled at once: under the least delay.
const TIME_STEP: Micros = MIN_DELAY - 1_000;
/// What happens in the world outside the forwarders.
enum ExternalEvent {
    Call {
        forwarder: u32,
        sent_at: Micros,
        id: MessageId,
        attempt: u8,
        endpoint: EndpointId,
    },
    HealthCheck {
        forwarder: u32,
        sent_at: Micros,
        endpoint: EndpointId,
    },
    Outage {
        destination: u32,
        begins: bool,
    },
    Discovery(DiscoveryEvent),
    ConfigChange {
        is_random: bool,
    },
    Incident {
        begins: bool,
    },
}

struct Fleet<'a> {
    plan: &'a Plan,
    layout: Layout,
    forwarders: Vec<SimulatedForwarder>,
    receivers: Receivers,
    outages: Outages,
    discovery: Discovery,
    network: Network,
    events: EventQueue<ExternalEvent>,
    changes: ConfigChanges,
}

/// Plays a plan with so many threads.
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

/// Has each forwarder do its part, on so many threads.
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

    /// Whatever is under way from the first moment on.
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

    /// Plays the run window by window; gives what happened in each second.
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

    fn schedule_config_change(&mut self, now: Micros) {
        if let Some(gap) = self.changes.draw_delay() {
            self.events
                .push(now + gap, ExternalEvent::ConfigChange { is_random: true });
        }
    }

    /// Handles all that happens outside the forwarders before `until`.
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

    /// A health check reaches its destination.
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

    /// An outage begins or ends; the next change of the same destination is drawn.
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

    /// The configuration changes; where the change was drawn by chance, the next one is drawn.
    fn apply_config_change(&mut self, now: Micros, is_random: bool) {
        if is_random {
            self.schedule_config_change(now);
        }
        let entries = self.changes.draw_change(&self.layout, &mut self.receivers);
        let propagations = self.discovery.apply_change(now, entries);
        self.schedule_discovery(propagations);
    }

    fn schedule_discovery(&mut self, events: Vec<(Micros, DiscoveryEvent)>) {
        for (at, event) in events {
            self.events.push(at, ExternalEvent::Discovery(event));
        }
    }

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
