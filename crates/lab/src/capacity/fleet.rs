//! A fleet of hollow forwarders in one process: the real decision core and gossip codec of each, an in-memory wire that counts
//! bytes, simple receivers, a discovery, and one simulated clock. It measures what control costs a forwarder, and what the
//! fleet as a whole does to destinations that are down or have just come back.
//!
//! The run goes by short windows of time. Nothing on the wire is faster than a window, so within one the forwarders can't
//! influence each other and are handled side by side; what they send is carried on in a fixed order afterwards. A run is
//! the same whatever the number of threads.

pub mod config_changes;
pub mod discovery;
pub mod hollow;
mod incidents;
pub mod layout;
pub mod messages;
pub mod onlooker;
pub mod options;
pub mod outages;
pub mod plan;
pub mod queue;
pub mod receivers;
pub mod report;
pub mod states;
pub mod tally;
pub mod wire;

use config_changes::ConfigChanges;
use discovery::{Discovery, DiscoveryEvent};
use hollow::HollowForwarder;
use layout::{destination_of, forwarder_zone, Layout};
use messages::{Incoming, Outgoing};
use opalpulley::{EndpointId, MessageId, Micros, Outcome};
use outages::Outages;
use plan::{BadPlan, Plan, SECOND};
use queue::TimedQueue;
use receivers::{Receivers, Reply};
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
    let mut base = None;
    in_parallel(&mut fleet.forwarders, threads, |forwarder| {
        forwarder.start(fleet.discovery.whole_list())
    });
    fleet.begin();
    let (started, resident_at_start) = (began.elapsed(), report::resident_bytes());
    let mut columns = Vec::new();
    let mut window = 0;
    while window < plan.end() {
        let until = (window + WINDOW).min(plan.end());
        fleet.handle_world(until);
        let Fleet {
            forwarders,
            layout,
            receivers,
            ..
        } = &mut fleet;
        in_parallel(forwarders, threads, |forwarder| {
            forwarder.advance(until, layout, receivers)
        });
        fleet.carry();
        if until / SECOND > window / SECOND {
            columns.push(Column::since(
                &mut base,
                &fleet.forwarders,
                &fleet.wire,
                &fleet.receivers,
            ));
        }
        window = until;
    }
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
                    let (destination, holder) = (destination_of(target), target.incarnation);
                    let reply = self
                        .receivers
                        .call(now, destination, holder, forwarder, sent);
                    if let Some((after, outcome)) = outcome_of(reply) {
                        self.reply(
                            now + after,
                            forwarder,
                            target,
                            Incoming::Answer {
                                id,
                                attempt,
                                outcome,
                            },
                        );
                    }
                }
                WorldEvent::Probe {
                    forwarder,
                    sent,
                    target,
                } => {
                    let (destination, holder) = (destination_of(target), target.incarnation);
                    let reply = self
                        .receivers
                        .probe(now, destination, holder, forwarder, sent);
                    if let Some((after, outcome)) = outcome_of(reply) {
                        let answer = Incoming::ProbeAnswer {
                            target,
                            sent,
                            outcome,
                        };
                        self.reply(now + after, forwarder, target, answer);
                    }
                }
                WorldEvent::Outage {
                    destination,
                    begins,
                } => {
                    match begins {
                        true => self.receivers.fail(destination),
                        false => self.receivers.recover(now, destination),
                    }
                    let next = now + self.outages.lasts(begins);
                    self.events.push(
                        next,
                        WorldEvent::Outage {
                            destination,
                            begins: !begins,
                        },
                    );
                }
                WorldEvent::Discovery(event) => self.handle_discovery(now, event),
                WorldEvent::Change { drawn } => {
                    if drawn {
                        self.schedule_change(now);
                    }
                    let listings = self.changes.draw(&self.layout, &mut self.receivers);
                    let reaching = self.discovery.change(now, listings);
                    self.later(reaching);
                }
                WorldEvent::Incident { begins } => self.incident(now, begins),
            }
        }
    }

    /// An answer goes back, unless a cut is in its way.
    fn reply(&mut self, at: Micros, forwarder: u32, target: EndpointId, answer: Incoming) {
        let zone = self.layout.destinations[destination_of(target) as usize].zone;
        if self.wire.cut.passes(zone, forwarder_zone(forwarder)) {
            let arrives = at + self.wire.call_delay();
            self.forwarders[forwarder as usize]
                .inbox
                .push(arrives, answer);
        } else {
            self.wire.attempts_lost += 1;
        }
    }

    fn later(&mut self, events: Vec<(Micros, DiscoveryEvent)>) {
        events
            .into_iter()
            .for_each(|(at, event)| self.events.push(at, WorldEvent::Discovery(event)));
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

    /// Takes what the forwarders have sent to where it goes, in the order of their numbers.
    fn carry(&mut self) {
        for sender in 0..self.forwarders.len() {
            let mut outbox = std::mem::take(&mut self.forwarders[sender].outbox);
            outbox
                .drain(..)
                .for_each(|(sent, what)| self.carry_one(sender as u32, sent, what));
            self.forwarders[sender].outbox = outbox;
        }
    }

    fn carry_one(&mut self, forwarder: u32, sent: Micros, what: Outgoing) {
        match what {
            Outgoing::Call {
                id,
                attempt,
                target,
            } => self.attempt(
                forwarder,
                sent,
                target,
                WorldEvent::Call {
                    forwarder,
                    sent,
                    id,
                    attempt,
                    target,
                },
            ),
            Outgoing::Probe { target } => self.attempt(
                forwarder,
                sent,
                target,
                WorldEvent::Probe {
                    forwarder,
                    sent,
                    target,
                },
            ),
            Outgoing::Gossip { to, message } => {
                self.wire.control[forwarder as usize]
                    .gossip_out
                    .datagram(message.len());
                let peers = match to {
                    Some(peer) => u32::from(peer)..u32::from(peer) + 1,
                    None => 0..self.plan.forwarders,
                };
                for peer in peers.filter(|peer| *peer != forwarder && *peer < self.plan.forwarders)
                {
                    if !self
                        .wire
                        .cut
                        .passes(forwarder_zone(forwarder), forwarder_zone(peer))
                    {
                        self.wire.gossip_lost += 1;
                        continue;
                    }
                    let arrives = sent + self.wire.gossip_delay();
                    self.wire.control[peer as usize]
                        .gossip_in
                        .datagram(message.len());
                    let gossip = Incoming::Gossip {
                        from: forwarder as u16,
                        message: message.clone(),
                    };
                    self.forwarders[peer as usize].inbox.push(arrives, gossip);
                }
            }
            Outgoing::MetFailure { destination, tried } => {
                self.receivers.met(destination, forwarder, tried, sent)
            }
            Outgoing::ListInForce { revision } => {
                self.discovery.in_force(sent, forwarder, revision)
            }
        }
    }

    fn attempt(&mut self, forwarder: u32, sent: Micros, target: EndpointId, arrival: WorldEvent) {
        let zone = self.layout.destinations[destination_of(target) as usize].zone;
        if self.wire.cut.passes(forwarder_zone(forwarder), zone) {
            let arrives = sent + self.wire.call_delay();
            self.events.push(arrives, arrival);
        } else {
            self.wire.attempts_lost += 1;
        }
    }
}

/// What the forwarder sees of a reply, and after how long; none where nothing comes back.
fn outcome_of(reply: Reply) -> Option<(Micros, Outcome)> {
    match reply {
        Reply::Served(after) => Some((after, Outcome::Delivered)),
        Reply::Full { retry_after } => Some((
            0,
            Outcome::Rejected {
                retry_after: Some(retry_after),
            },
        )),
        Reply::Refused => Some((0, Outcome::NoConnection)),
        Reply::Nothing => None,
    }
}

#[cfg(test)]
mod tests;
