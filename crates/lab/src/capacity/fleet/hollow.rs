//! A hollow forwarder: the real decision core with its gossip codec, between an inbox of timed events and an outbox for the
//! wire. It takes its own stream of messages, keeps the time-outs of attempts and probes, and counts what becomes of each
//! message and what the core's work costs by kind of event.

use super::layout::{destination_of, forwarder_zone, Layout};
use super::messages::{Incoming, Outgoing};
use super::plan::{Plan, LATENCY_TARGET, SECOND};
use super::queue::TimedQueue;
use super::receivers::Receivers;
use super::tally::{MessageCounts, Work, WorkDone, WORK_KINDS};
use crate::random::{exponential, seeded_rng};
use opalpulley::{
    Action, AttemptHistory, DeliveryClassId, DestinationId, EndpointEntry, EndpointId,
    EndpointListUpdate, Event, Forwarder, MessageId, Micros, Outcome, StateCounts, Submission,
    TenantId,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

/// A health check without answer has failed after this time, µs.
const HEALTH_CHECK_TIMEOUT: Micros = 1_500_000;
/// The deadline of a message, as the delivery classes have it, µs.
const DEADLINE: Micros = 28 * SECOND;

struct OpenMessage {
    arrived: Micros,
    to_down: bool,
    judged: bool,
    /// Attempts so far.
    attempts: u8,
    /// The attempt that is out: its target and when it was sent.
    out: Option<(EndpointId, Micros)>,
}

/// A core with its inbox, its outbox and its counts.
pub struct HollowForwarder {
    pub number: u32,
    pub zone: u16,
    pub inbox: TimedQueue<Incoming>,
    pub outbox: Vec<(Micros, Outgoing)>,
    pub counts: MessageCounts,
    pub work: [WorkDone; WORK_KINDS.len()],
    core: Forwarder,
    actions: Vec<Action>,
    open: HashMap<MessageId, OpenMessage>, // a message leaves with its end
    probes: HashMap<EndpointId, Micros>,   // a probe leaves with its answer or time-out
    rng: Pcg64Mcg,
    /// Messages a second that arrive here.
    arrivals: f64,
    stream: u32,
    judged: std::ops::Range<Micros>,
}

impl HollowForwarder {
    /// A forwarder that knows no endpoint yet.
    pub fn new(plan: &Plan, number: u32) -> HollowForwarder {
        HollowForwarder {
            number,
            zone: forwarder_zone(number),
            inbox: TimedQueue::default(),
            outbox: Vec::new(),
            counts: MessageCounts::default(),
            work: Default::default(),
            core: Forwarder::new(plan.settings(number), plan.seed << 20 ^ u64::from(number)),
            actions: Vec::new(),
            open: HashMap::new(),
            probes: HashMap::new(),
            rng: seeded_rng(plan.seed, "messages", u64::from(number)),
            arrivals: 0.0,
            stream: 0,
            judged: plan.judged_from()..plan.judged_until(),
        }
    }

    /// The whole list as it stands at the start.
    pub fn start(&mut self, list: &[EndpointEntry]) {
        self.give(
            0,
            Work::FirstList,
            Event::EndpointListUpdated(EndpointListUpdate::Complete(list.to_vec())),
        );
    }

    /// From now on so many messages a second arrive here.
    pub fn set_arrivals(&mut self, now: Micros, a_second: f64) {
        self.arrivals = a_second;
        self.stream += 1;
        self.next_message(now);
    }

    fn next_message(&mut self, now: Micros) {
        if self.arrivals > 0.0 {
            let gap = exponential(&mut self.rng) / self.arrivals * SECOND as f64;
            self.inbox.push(
                now + gap.max(1.0) as Micros,
                Incoming::Message {
                    stream: self.stream,
                },
            );
        }
    }

    /// Handles all that comes before `until`. What is sent by that lies in the outbox.
    pub fn advance(&mut self, until: Micros, layout: &Layout, receivers: &Receivers) {
        while let Some((now, incoming)) = self.inbox.pop_before(until) {
            self.take(now, incoming, layout, receivers);
        }
    }

    fn take(&mut self, now: Micros, incoming: Incoming, layout: &Layout, receivers: &Receivers) {
        match incoming {
            Incoming::Message { stream } if stream == self.stream => {
                self.next_message(now);
                self.arrive(now, layout, receivers);
            }
            Incoming::Message { .. } => {}
            Incoming::Alarm(token) => self.give(now, Work::Tick, Event::TimerFired { token }),
            Incoming::Answer {
                id,
                attempt,
                outcome,
            } => self.answered(now, id, attempt, outcome),
            Incoming::ProbeAnswer {
                target,
                sent,
                outcome,
            } => self.health_check_ended(now, target, sent, outcome),
            Incoming::Gossip { peer, message } => {
                let payload = message.to_vec();
                self.give(now, Work::Gossip, Event::GossipReceived { peer, payload });
            }
            Incoming::List {
                whole,
                revision,
                listings,
            } => {
                let entries = listings.to_vec();
                let update = match whole {
                    true => EndpointListUpdate::Complete(entries),
                    false => EndpointListUpdate::Changes(entries),
                };
                self.give(now, Work::List, Event::EndpointListUpdated(update));
                self.outbox.push((now, Outgoing::ListInForce { revision }));
            }
        }
    }

    /// A health check is answered or has failed; one that was answered before, or given up, counts for nothing.
    fn health_check_ended(
        &mut self,
        now: Micros,
        target: EndpointId,
        sent: Micros,
        outcome: Outcome,
    ) {
        if self.probes.get(&target) != Some(&sent) {
            return;
        }
        self.probes.remove(&target);
        if outcome != Outcome::Delivered {
            self.met(now, target, sent);
        }
        let event = Event::HealthCheckEnded {
            endpoint: target,
            outcome,
            elapsed: now - sent,
            load_metrics: Vec::new(),
        };
        self.give(now, Work::Probe, event);
    }

    fn arrive(&mut self, now: Micros, layout: &Layout, receivers: &Receivers) {
        let number = layout.draw(&mut self.rng);
        let id = MessageId(self.counts.arrived as u32);
        let (judged, to_down) = (self.judged.contains(&now), receivers.is_down(number));
        self.counts.arrived += 1;
        self.counts.due_to_down += u64::from(judged && to_down);
        self.counts.due_to_up += u64::from(judged && !to_down);
        self.open.insert(
            id,
            OpenMessage {
                arrived: now,
                to_down,
                judged,
                attempts: 0,
                out: None,
            },
        );
        let arrival = Submission {
            id,
            class: DeliveryClassId(self.rng.random_range(0..2)),
            tenant: TenantId(0),
            order_key: None,
            time_left: DEADLINE,
            destination: DestinationId(number),
            resubmitted: false,
            history: AttemptHistory::default(),
        };
        self.give(now, Work::Message, Event::MessageSubmitted(arrival));
    }

    fn answered(&mut self, now: Micros, id: MessageId, attempt_index: u8, outcome: Outcome) {
        let Some(message) = self
            .open
            .get_mut(&id)
            .filter(|m| m.attempts == attempt_index + 1)
        else {
            return;
        };
        let Some((target, sent)) = message.out.take() else {
            return;
        };
        let (in_time, to_down) = (now <= message.arrived + LATENCY_TARGET, message.to_down);
        let counted = message.judged && in_time;
        match outcome {
            Outcome::Delivered => {
                self.open.remove(&id);
                self.counts.delivered += 1;
                self.counts.in_time_to_up += u64::from(counted && !to_down);
                self.counts.in_time_to_down += u64::from(counted && to_down);
            }
            Outcome::Timeout => self.counts.timed_out += 1,
            Outcome::NoConnection => self.counts.no_connection += 1,
            Outcome::Cancelled => self.counts.called_off += 1,
            _ => {}
        }
        if matches!(
            outcome,
            Outcome::Timeout | Outcome::NoConnection | Outcome::Cancelled
        ) {
            self.met(now, target, sent);
        }
        let (elapsed, closed) = (now - sent, outcome == Outcome::Delivered);
        let event = Event::AttemptEnded {
            id,
            attempt_index,
            endpoint: target,
            outcome,
            elapsed,
            message_completed: closed,
            load_metrics: Vec::new(),
        };
        self.give(now, Work::Message, event);
    }

    /// A call or probe has failed: where that was by an outage of the destination, the forwarder has met it.
    fn met(&mut self, now: Micros, target: EndpointId, tried: Micros) {
        self.outbox.push((
            now,
            Outgoing::MetFailure {
                destination: destination_of(target),
                tried,
            },
        ));
    }

    /// Has the core handle one event, books the time, and carries out its actions.
    fn give(&mut self, now: Micros, work: Work, event: Event) {
        let HollowForwarder { core, actions, .. } = self;
        self.work[work as usize].measure(|| core.handle(now, event, actions));
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                ..
            } => self.send(now, id, endpoint, timeout),
            Action::CancelAttempt { id, attempt_index } => {
                self.answer_at(now, id, attempt_index, Outcome::Cancelled);
            }
            Action::StartHealthCheck { endpoint } => self.send_health_check(now, endpoint),
            Action::Fail { id } => {
                if self.open.remove(&id).is_some() {
                    self.counts.failed += 1;
                }
            }
            Action::Reject { id, .. } => {
                if self.open.remove(&id).is_some() {
                    self.counts.rejected += 1;
                }
            }
            Action::SetTimer { delay, token } => {
                self.inbox.push(now + delay, Incoming::Alarm(token))
            }
            Action::SendGossip { peer, payload } => {
                let message = payload.into();
                let gossip = Outgoing::Gossip { to: peer, message };
                self.outbox.push((now, gossip));
            }
            Action::LogError(_) => self.counts.faults += 1,
            // A call goes whole as it is sent, and discovery holds a watch open for each forwarder.
            Action::WithdrawUnsent { .. }
            | Action::CloseIdleConnections { .. }
            | Action::WatchEndpointList { .. } => {}
            Action::FetchEndpointList | Action::Log(_) => {}
        }
    }

    fn send(&mut self, now: Micros, id: MessageId, target: EndpointId, timeout: Option<Micros>) {
        let Some(message) = self.open.get_mut(&id) else {
            return;
        };
        let attempt = message.attempts;
        message.attempts += 1;
        message.out = Some((target, now));
        self.counts.attempts += 1;
        let call = Outgoing::Call {
            id,
            attempt,
            target,
        };
        self.outbox.push((now, call));
        if let Some(timeout) = timeout {
            self.answer_at(now + timeout, id, attempt, Outcome::Timeout);
        }
    }

    /// Has an attempt end with an outcome at a time.
    fn answer_at(&mut self, at: Micros, id: MessageId, attempt: u8, outcome: Outcome) {
        let answer = Incoming::Answer {
            id,
            attempt,
            outcome,
        };
        self.inbox.push(at, answer);
    }

    fn send_health_check(&mut self, now: Micros, target: EndpointId) {
        self.counts.probes += 1;
        self.probes.insert(target, now);
        self.outbox.push((now, Outgoing::Probe { target }));
        let failed = Incoming::ProbeAnswer {
            target,
            sent: now,
            outcome: Outcome::Timeout,
        };
        self.inbox.push(now + HEALTH_CHECK_TIMEOUT, failed);
    }

    /// How much the core holds in full and as summaries.
    pub fn state_counts(&self) -> StateCounts {
        self.core.state_counts()
    }

    /// Messages that have no end yet.
    pub fn open(&self) -> usize {
        self.open.len()
    }
}
