//! A fleet of hollow forwarders in one process: the real decision core and gossip codec of each, an in-memory wire that counts
//! bytes, simple receivers, a discovery, and one simulated clock. It measures what control costs a forwarder, and what the
//! fleet as a whole does to destinations that are down or have just come back.
//!
//! The run goes by short windows of time. Nothing on the wire is faster than a window, so within one the forwarders can't
//! influence each other and are handled side by side; what they send is carried on in a fixed order afterwards. A run is
//! the same whatever the number of threads.

pub mod config_changes;
pub mod discovery;
mod exchange;
mod figures;
pub mod hollow;
mod incidents;
pub mod layout;
pub mod messages;
pub mod onlooker;
pub mod options;
pub mod outages;
pub mod plan;
mod plots;
pub mod queue;
pub mod receivers;
pub mod report;
pub mod states;
pub mod tally;
pub mod wire;

use config_changes::ConfigChanges;
use discovery::{Discovery, DiscoveryEvent};
use exchange::{arrived, outcome_of};
use hollow::HollowForwarder;
use layout::Layout;
use messages::Incoming;
use opalpulley::{EndpointId, MessageId, Micros};
use outages::Outages;
use plan::{BadPlan, Plan, SECOND};
use queue::TimedQueue;
use receivers::Receivers;
use report::{counts, Column, Counts, FleetOutcome, Measured};
use std::time::Instant;
use wire::{Wire, LEAST_DELAY};

/// Time that is handled at once: under the least delay.
const WINDOW: Micros = LEAST_DELAY - 1_000;
/// What happens in the world outside the forwarders.
enum WorldEvent {
    Call {
        forwarder: u32,
        sent: Micros,
        id: MessageId,
        attempt: u8,
        target: EndpointId,
    },
    Probe {
        forwarder: u32,
        sent: Micros,
        target: EndpointId,
    },
    Outage {
        destination: u32,
        begins: bool,
    },
    Discovery(DiscoveryEvent),
    Change {
        drawn: bool,
    },
    Incident {
        begins: bool,
    },
}

struct Fleet<'a> {
    plan: &'a Plan,
    layout: Layout,
    forwarders: Vec<HollowForwarder>,
    receivers: Receivers,
    outages: Outages,
    discovery: Discovery,
    wire: Wire,
    events: TimedQueue<WorldEvent>,
    changes: ConfigChanges,
}

/// Plays a plan with so many threads.
pub fn run(plan: &Plan, threads: usize) -> Result<FleetOutcome, BadPlan> {
    plan.check()?;
    let (began, before) = (Instant::now(), report::resident_bytes());
    let mut fleet = Fleet::new(plan);
    in_parallel(&mut fleet.forwarders, threads, |forwarder| {
        forwarder.start(fleet.discovery.whole_list())
    });
    fleet.begin();
    let (started, resident_at_start) = (began.elapsed(), report::resident_bytes());
    let columns = fleet.play(threads);
    let measured = Measured::new(
        plan,
        &fleet.forwarders,
        before,
        resident_at_start,
        started,
        began.elapsed(),
    );
    let counts: Counts = counts(
        plan,
        &fleet.forwarders,
        &fleet.wire,
        &fleet.receivers,
        &fleet.discovery,
    );
    Ok(FleetOutcome {
        plan: plan.clone(),
        counts,
        columns,
        measured,
    })
}

/// Has each forwarder do its part, on so many threads.
fn in_parallel(
    forwarders: &mut [HollowForwarder],
    threads: usize,
    work: impl Fn(&mut HollowForwarder) + Sync,
) {
    let part = forwarders.len().div_ceil(threads.max(1)).max(1);
    if part >= forwarders.len() {
        return forwarders.iter_mut().for_each(work);
    }
    std::thread::scope(|scope| {
        for part in forwarders.chunks_mut(part) {
            scope.spawn(|| part.iter_mut().for_each(&work));
        }
    });
}

impl<'a> Fleet<'a> {
    fn new(plan: &'a Plan) -> Fleet<'a> {
        let layout = Layout::new(plan);
        Fleet {
            plan,
            forwarders: (0..plan.forwarders)
                .map(|number| HollowForwarder::new(plan, number))
                .collect(),
            receivers: Receivers::new(plan, &layout),
            outages: Outages::new(plan),
            discovery: Discovery::new(plan.seed, plan.forwarders, &layout),
            wire: Wire::new(plan.seed, plan.forwarders),
            events: TimedQueue::default(),
            changes: ConfigChanges::new(plan),
            layout,
        }
    }

    /// Whatever is under way from the first moment on.
    fn begin(&mut self) {
        let bytes = discovery::answer_bytes(0, true, self.discovery.whole_list());
        self.wire
            .control
            .iter_mut()
            .for_each(|control| control.first_list_in.http(bytes));
        let each = self.plan.events_a_second / f64::from(self.plan.forwarders);
        self.forwarders
            .iter_mut()
            .for_each(|forwarder| forwarder.set_arrivals(0, each));
        for (at, event) in self.discovery.first_watches() {
            self.events.push(at, WorldEvent::Discovery(event));
        }
        for destination in 0..self.plan.destinations {
            if let Some(at) = self.outages.first() {
                self.events.push(
                    at,
                    WorldEvent::Outage {
                        destination,
                        begins: true,
                    },
                );
            }
        }
        self.schedule_change(0);
        self.schedule_incident();
    }

    /// Plays the run window by window; gives what happened in each second.
    fn play(&mut self, threads: usize) -> Vec<Column> {
        let mut columns = Vec::new();
        let mut base = None;
        let (mut window, end) = (0, self.plan.end());
        while window < end {
            let until = (window + WINDOW).min(end);
            self.handle_world(until);
            let (layout, receivers) = (&self.layout, &self.receivers);
            in_parallel(&mut self.forwarders, threads, |forwarder| {
                forwarder.advance(until, layout, receivers)
            });
            self.carry();
            if until / SECOND > window / SECOND {
                let (wire, receivers) = (&self.wire, &self.receivers);
                let column = Column::since(&mut base, &self.forwarders, wire, receivers);
                columns.push(column);
            }
            window = until;
        }
        columns
    }

    fn schedule_change(&mut self, now: Micros) {
        if let Some(gap) = self.changes.next_after() {
            self.events
                .push(now + gap, WorldEvent::Change { drawn: true });
        }
    }

    /// Handles all that happens outside the forwarders before `until`.
    fn handle_world(&mut self, until: Micros) {
        while let Some((now, event)) = self.events.pop_before(until) {
            match event {
                WorldEvent::Call {
                    forwarder,
                    sent,
                    id,
                    attempt,
                    target,
                } => {
                    let arrived = arrived(now, forwarder, sent, target);
                    let reply = self.receivers.call(arrived, target.incarnation);
                    if let Some((after, outcome)) = outcome_of(reply) {
                        let answer = Incoming::Answer {
                            id,
                            attempt,
                            outcome,
                        };
                        self.reply(now + after, forwarder, target, answer);
                    }
                }
                WorldEvent::Probe {
                    forwarder,
                    sent,
                    target,
                } => self.health_check_arrives(now, forwarder, sent, target),
                WorldEvent::Outage {
                    destination,
                    begins,
                } => self.outage_changes(now, destination, begins),
                WorldEvent::Discovery(event) => self.handle_discovery(now, event),
                WorldEvent::Change { drawn } => self.change_configuration(now, drawn),
                WorldEvent::Incident { begins } => self.incident(now, begins),
            }
        }
    }

    /// A health check reaches its destination.
    fn health_check_arrives(
        &mut self,
        now: Micros,
        forwarder: u32,
        sent: Micros,
        target: EndpointId,
    ) {
        let arrived = arrived(now, forwarder, sent, target);
        let reply = self.receivers.health_check(arrived, target.incarnation);
        if let Some((after, outcome)) = outcome_of(reply) {
            let answer = Incoming::ProbeAnswer {
                target,
                sent,
                outcome,
            };
            self.reply(now + after, forwarder, target, answer);
        }
    }

    /// An outage begins or ends; the next change of the same destination is drawn.
    fn outage_changes(&mut self, now: Micros, destination: u32, begins: bool) {
        if begins {
            self.receivers.fail(destination);
        } else {
            self.receivers.recover(now, destination);
        }
        let next = WorldEvent::Outage {
            destination,
            begins: !begins,
        };
        self.events.push(now + self.outages.lasts(begins), next);
    }

    /// The configuration changes; where the change was drawn by chance, the next one is drawn.
    fn change_configuration(&mut self, now: Micros, drawn: bool) {
        if drawn {
            self.schedule_change(now);
        }
        let listings = self.changes.draw(&self.layout, &mut self.receivers);
        let reaching = self.discovery.change(now, listings);
        self.later(reaching);
    }

    fn later(&mut self, events: Vec<(Micros, DiscoveryEvent)>) {
        for (at, event) in events {
            self.events.push(at, WorldEvent::Discovery(event));
        }
    }

    fn handle_discovery(&mut self, now: Micros, event: DiscoveryEvent) {
        let mut later = Vec::new();
        let answer = self
            .discovery
            .handle(now, event, &mut self.wire, &mut later);
        self.later(later);
        if let Some((forwarder, answer)) = answer {
            let (whole, revision, listings) = (answer.whole, answer.revision, answer.listings);
            let list = Incoming::List {
                whole,
                revision,
                listings,
            };
            self.forwarders[forwarder as usize]
                .inbox
                .push(answer.arrives, list);
        }
    }
}

#[cfg(test)]
mod tests;
