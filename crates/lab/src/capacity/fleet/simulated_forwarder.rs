//! A simulated forwarder: the real decision core with its gossip codec, between an inbox of timed inputs and an outbox for
//! the network. It generates the messages that clients submit to it, keeps the timeouts of attempts and health checks, and
//! counts the outcomes of the messages and the processor time of the core by kind of event.

use super::counters::{EventCost, EventKind, MessageCounts, EVENT_KINDS};
use super::event_queue::EventQueue;
use super::forwarder_io::{ForwarderInput, ForwarderOutput};
use super::layout::{destination_of, forwarder_zone, Layout};
use super::plan::{Plan, LATENCY_TARGET, SECOND};
use super::receivers::Receivers;
use crate::random::{exponential, seeded_rng};
use opalpulley::{
    Action, AttemptHistory, DeliveryClassId, DestinationId, EndpointEntry, EndpointId,
    EndpointListUpdate, Event, Forwarder, MessageId, Micros, Outcome, StateCounts, Submission,
    TenantId,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

/// Time after which a health check without a response has failed, in µs.
const HEALTH_CHECK_TIMEOUT: Micros = 1_500_000;
/// Time from the arrival of a message to its deadline, in µs, equal to the time to live of the delivery classes.
const DEADLINE: Micros = 28 * SECOND;

/// An unfinished message: one that is not delivered, failed or rejected. Unlike in the dispatcher, an attempt may be in
/// flight when the message is removed.
struct UnfinishedMessage {
    /// Simulated time of its submission, in µs.
    arrived_at: Micros,
    /// Whether its destination was down when it was submitted.
    destination_was_down: bool,
    /// Whether it counts towards the share delivered on time.
    measured: bool,
    /// Number of attempts started.
    attempts: u8,
    /// Endpoint and start, in µs, of the attempt in flight.
    in_flight: Option<(EndpointId, Micros)>,
}

/// A decision core with its inbox, outbox and counts.
pub struct SimulatedForwarder {
    /// Number of the forwarder in the fleet, from 0.
    pub id: u32,
    pub zone: u16,
    /// Inputs that are due at simulated times.
    pub inbox: EventQueue<ForwarderInput>,
    /// Outputs of the current time step with the time of each in µs, in the order in which the forwarder produced them.
    pub outbox: Vec<(Micros, ForwarderOutput)>,
    pub counts: MessageCounts,
    /// Indexed by [`EventKind`].
    pub costs: [EventCost; EVENT_KINDS.len()],
    core: Forwarder,
    /// Buffer for the core's actions, empty between events.
    actions: Vec<Action>,
    /// The unfinished messages, until they are delivered, failed or rejected.
    unfinished_messages: HashMap<MessageId, UnfinishedMessage>,
    /// Start of the health check in flight at each endpoint, in µs, until its response or timeout.
    health_checks: HashMap<EndpointId, Micros>,
    rng: Pcg64Mcg,
    /// Mean number of messages per second that clients submit here.
    arrival_rate: f64,
    /// Counts the changes of `arrival_rate`, so that an arrival scheduled at an earlier rate is ignored.
    generation: u32,
    /// Simulated times, in µs, at which an arriving message counts towards the share delivered on time.
    measured_arrivals: std::ops::Range<Micros>,
}

impl SimulatedForwarder {
    /// Creates a forwarder that knows no endpoints and receives no messages.
    pub fn new(plan: &Plan, id: u32) -> SimulatedForwarder {
        SimulatedForwarder {
            id,
            zone: forwarder_zone(id),
            inbox: EventQueue::default(),
            outbox: Vec::new(),
            counts: MessageCounts::default(),
            costs: Default::default(),
            core: Forwarder::new(plan.forwarder_config(id), plan.seed << 20 ^ u64::from(id)),
            actions: Vec::new(),
            unfinished_messages: HashMap::new(),
            health_checks: HashMap::new(),
            rng: seeded_rng(plan.seed, "messages", u64::from(id)),
            arrival_rate: 0.0,
            generation: 0,
            measured_arrivals: plan.measured_from()..plan.measured_until(),
        }
    }

    /// Has the core apply the complete endpoint list at the start of the run.
    pub fn load_initial_list(&mut self, list: &[EndpointEntry]) {
        self.handle_event(
            0,
            EventKind::FirstList,
            Event::EndpointListUpdated(EndpointListUpdate::Complete(list.to_vec())),
        );
    }

    /// Sets the mean number of messages per second that arrive from now on, and replaces the scheduled arrival.
    pub fn set_arrival_rate(&mut self, now: Micros, per_second: f64) {
        self.arrival_rate = per_second;
        self.generation += 1;
        self.schedule_next_message(now);
    }

    /// Schedules the next arrival after an exponentially distributed interval, unless the rate is 0.
    fn schedule_next_message(&mut self, now: Micros) {
        if self.arrival_rate > 0.0 {
            let interval = exponential(&mut self.rng) / self.arrival_rate * SECOND as f64;
            self.inbox.push(
                now + interval.max(1.0) as Micros,
                ForwarderInput::Message {
                    generation: self.generation,
                },
            );
        }
    }

    /// Handles all inputs that are due before `until`. What the forwarder sends is left in the outbox.
    pub fn advance(&mut self, until: Micros, layout: &Layout, receivers: &Receivers) {
        while let Some((now, input)) = self.inbox.pop_before(until) {
            self.handle_input(now, input, layout, receivers);
        }
    }

    /// Handles one input that is due now.
    fn handle_input(
        &mut self,
        now: Micros,
        input: ForwarderInput,
        layout: &Layout,
        receivers: &Receivers,
    ) {
        match input {
            ForwarderInput::Message { generation } if generation == self.generation => {
                self.schedule_next_message(now);
                self.submit_message(now, layout, receivers);
            }
            ForwarderInput::Message { .. } => {}
            ForwarderInput::Timer(token) => {
                self.handle_event(now, EventKind::Tick, Event::TimerFired { token })
            }
            ForwarderInput::AttemptEnded {
                id,
                attempt,
                outcome,
            } => self.end_attempt(now, id, attempt, outcome),
            ForwarderInput::HealthCheckEnded {
                endpoint,
                sent_at,
                outcome,
            } => self.end_health_check(now, endpoint, sent_at, outcome),
            ForwarderInput::Gossip { peer, payload } => {
                let payload = payload.to_vec();
                self.handle_event(
                    now,
                    EventKind::Gossip,
                    Event::GossipReceived { peer, payload },
                );
            }
            ForwarderInput::EndpointList {
                complete,
                revision,
                entries,
            } => {
                let entries = entries.to_vec();
                let update = match complete {
                    true => EndpointListUpdate::Complete(entries),
                    false => EndpointListUpdate::Changes(entries),
                };
                self.handle_event(now, EventKind::List, Event::EndpointListUpdated(update));
                self.outbox
                    .push((now, ForwarderOutput::ListInForce { revision }));
            }
        }
    }

    /// Handles the end of a health check. An end is ignored if the health check has ended before or was replaced by a newer
    /// one.
    fn end_health_check(
        &mut self,
        now: Micros,
        endpoint: EndpointId,
        sent_at: Micros,
        outcome: Outcome,
    ) {
        if self.health_checks.get(&endpoint) != Some(&sent_at) {
            return;
        }
        self.health_checks.remove(&endpoint);
        if outcome != Outcome::Delivered {
            self.report_failure(now, endpoint, sent_at);
        }
        let event = Event::HealthCheckEnded {
            endpoint,
            outcome,
            elapsed: now - sent_at,
            load_metrics: Vec::new(),
        };
        self.handle_event(now, EventKind::Probe, event);
    }

    /// Submits a message to a random destination to the core.
    fn submit_message(&mut self, now: Micros, layout: &Layout, receivers: &Receivers) {
        let destination = layout.draw_destination(&mut self.rng);
        let id = MessageId(self.counts.arrived as u32);
        let (measured, destination_was_down) = (
            self.measured_arrivals.contains(&now),
            receivers.is_down(destination),
        );
        self.counts.arrived += 1;
        self.counts.eligible_while_down += u64::from(measured && destination_was_down);
        self.counts.eligible_while_up += u64::from(measured && !destination_was_down);
        self.unfinished_messages.insert(
            id,
            UnfinishedMessage {
                arrived_at: now,
                destination_was_down,
                measured,
                attempts: 0,
                in_flight: None,
            },
        );
        let submission = Submission {
            id,
            class: DeliveryClassId(self.rng.random_range(0..2)),
            tenant: TenantId(0),
            order_key: None,
            time_left: DEADLINE,
            destination: DestinationId(destination),
            resubmitted: false,
            history: AttemptHistory::default(),
        };
        self.handle_event(now, EventKind::Message, Event::MessageSubmitted(submission));
    }

    /// Handles the end of an attempt. An end is ignored if the attempt has ended before, a later one has started, or the
    /// message is no longer unfinished.
    fn end_attempt(&mut self, now: Micros, id: MessageId, attempt_index: u8, outcome: Outcome) {
        let Some(message) = self
            .unfinished_messages
            .get_mut(&id)
            .filter(|m| m.attempts == attempt_index + 1)
        else {
            return;
        };
        let Some((endpoint, sent_at)) = message.in_flight.take() else {
            return;
        };
        let (on_time, destination_was_down) = (
            now <= message.arrived_at + LATENCY_TARGET,
            message.destination_was_down,
        );
        let counted = message.measured && on_time;
        match outcome {
            Outcome::Delivered => {
                self.unfinished_messages.remove(&id);
                self.counts.delivered += 1;
                self.counts.on_time_while_up += u64::from(counted && !destination_was_down);
                self.counts.on_time_while_down += u64::from(counted && destination_was_down);
            }
            Outcome::Timeout => self.counts.timed_out += 1,
            Outcome::NoConnection => self.counts.no_connection += 1,
            Outcome::Cancelled => self.counts.cancelled += 1,
            _ => {}
        }
        if matches!(
            outcome,
            Outcome::Timeout | Outcome::NoConnection | Outcome::Cancelled
        ) {
            self.report_failure(now, endpoint, sent_at);
        }
        let (elapsed, completed) = (now - sent_at, outcome == Outcome::Delivered);
        let event = Event::AttemptEnded {
            id,
            attempt_index,
            endpoint,
            outcome,
            elapsed,
            message_completed: completed,
            load_metrics: Vec::new(),
        };
        self.handle_event(now, EventKind::Message, event);
    }

    /// Reports to the observer that a call or health check has failed. If an outage of the destination was the cause, the
    /// forwarder has noticed the outage by it.
    fn report_failure(&mut self, now: Micros, endpoint: EndpointId, attempt_sent_at: Micros) {
        self.outbox.push((
            now,
            ForwarderOutput::FailureSeen {
                destination: destination_of(endpoint),
                attempt_sent_at,
            },
        ));
    }

    /// Has the core handle one event, measures the processor time, and performs the core's actions.
    fn handle_event(&mut self, now: Micros, kind: EventKind, event: Event) {
        let SimulatedForwarder { core, actions, .. } = self;
        self.costs[kind as usize].measure(|| core.handle(now, event, actions));
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.perform(now, action);
        }
        self.actions = actions;
    }

    /// Performs one action of the core.
    fn perform(&mut self, now: Micros, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                ..
            } => self.start_attempt(now, id, endpoint, timeout),
            Action::CancelAttempt { id, attempt_index } => {
                self.schedule_attempt_end(now, id, attempt_index, Outcome::Cancelled);
            }
            Action::StartHealthCheck { endpoint } => self.start_health_check(now, endpoint),
            Action::Fail { id } => {
                if self.unfinished_messages.remove(&id).is_some() {
                    self.counts.failed += 1;
                }
            }
            Action::Reject { id, .. } => {
                if self.unfinished_messages.remove(&id).is_some() {
                    self.counts.rejected += 1;
                }
            }
            Action::SetTimer { delay, token } => {
                self.inbox.push(now + delay, ForwarderInput::Timer(token))
            }
            Action::SendGossip { peer, payload } => {
                let payload = payload.into();
                let gossip = ForwarderOutput::Gossip { to: peer, payload };
                self.outbox.push((now, gossip));
            }
            Action::LogError(_) => self.counts.core_errors += 1,
            // A call is sent completely at its start, so nothing is left to withdraw. Discovery holds a watch open for each
            // forwarder without being asked.
            Action::WithdrawUnsent { .. }
            | Action::CloseIdleConnections { .. }
            | Action::WatchEndpointList { .. } => {}
            Action::FetchEndpointList | Action::Log(_) => {}
        }
    }

    /// Starts an attempt of an unfinished message: transmits the call and schedules its timeout, if it has one.
    fn start_attempt(
        &mut self,
        now: Micros,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Option<Micros>,
    ) {
        let Some(message) = self.unfinished_messages.get_mut(&id) else {
            return;
        };
        let attempt = message.attempts;
        message.attempts += 1;
        message.in_flight = Some((endpoint, now));
        self.counts.attempts += 1;
        let call = ForwarderOutput::Call {
            id,
            attempt,
            endpoint,
        };
        self.outbox.push((now, call));
        if let Some(timeout) = timeout {
            self.schedule_attempt_end(now + timeout, id, attempt, Outcome::Timeout);
        }
    }

    /// Schedules the end of an attempt. It has no effect if the attempt ends earlier.
    fn schedule_attempt_end(&mut self, at: Micros, id: MessageId, attempt: u8, outcome: Outcome) {
        let input = ForwarderInput::AttemptEnded {
            id,
            attempt,
            outcome,
        };
        self.inbox.push(at, input);
    }

    /// Starts a health check and schedules its timeout.
    fn start_health_check(&mut self, now: Micros, endpoint: EndpointId) {
        self.counts.health_checks += 1;
        self.health_checks.insert(endpoint, now);
        self.outbox
            .push((now, ForwarderOutput::HealthCheck { endpoint }));
        let timeout = ForwarderInput::HealthCheckEnded {
            endpoint,
            sent_at: now,
            outcome: Outcome::Timeout,
        };
        self.inbox.push(now + HEALTH_CHECK_TIMEOUT, timeout);
    }

    /// Returns the numbers of destinations and endpoints that the core holds in full and as summaries.
    pub fn state_counts(&self) -> StateCounts {
        self.core.state_counts()
    }

    /// Returns the number of messages that are not yet delivered, failed or rejected.
    pub fn unfinished_message_count(&self) -> usize {
        self.unfinished_messages.len()
    }
}
