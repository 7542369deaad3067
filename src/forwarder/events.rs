//! Applies an event, and the messages of destinations to the forwarder.

use super::mailbox::{DestinationMessage, EndedAttempt, EndpointMessage, ForwarderMessage};
use super::{Forwarder, TICK_TIMER};
use crate::destination::Destination;
use crate::model::{
    Action, DeliveryClassId, DestinationId, EndpointId, Event, MessageId, Micros, OrderKey,
    OrderRelease, Outcome,
};
use crate::policy::attempt_timeout::{self, Permits};
use crate::policy::ordering::QueuedMessage;

impl Forwarder {
    /// Applies one event; messages to the parts carry the rest. Long, for it has an arm an event.
    pub(super) fn apply(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(update) => self.apply_list(now, update, actions),
            Event::Submitted(submission) => self.submit(now, submission),
            Event::AttemptEnded {
                id,
                endpoint,
                outcome,
                took,
                completed,
                ..
            } => {
                let ended = EndedAttempt {
                    id,
                    endpoint,
                    outcome,
                    took,
                    completed,
                };
                self.end_attempt(now, ended, actions);
            }
            Event::RetryAfterReceived {
                endpoint,
                retry_after,
            } => {
                self.receive_retry_after(endpoint, retry_after);
            }
            Event::Withdrawn { id } => {
                self.send_to_destination_of(id, DestinationMessage::Withdrawn(id));
            }
            Event::HealthCheckEnded {
                endpoint, outcome, ..
            } => {
                let message = EndpointMessage::HealthCheckEnded { outcome };
                self.mailboxes.send_to_endpoint(endpoint, message);
            }
            Event::ReportAcknowledged { id } => {
                let key = self.ordered_queues.acknowledge(id);
                self.release_order(now, id, key);
            }
            Event::PendingReport { id, class, key } => self.await_report(id, class, key),
            Event::TimerFired { token: TICK_TIMER } => self.tick(now),
            Event::ShuttingDown => self.config.concurrency_limit = 0,
            Event::Gossip { from, payload } => self.receive_gossip(now, from, &payload, actions),
            Event::TimerFired { .. } | Event::AnswerStarted { .. } => {}
        }
    }

    fn end_attempt(&mut self, now: Micros, ended: EndedAttempt, actions: &mut Vec<Action>) {
        if ended.outcome == Outcome::Delivered {
            attempt_timeout::observe(&mut self.latency, ended.took);
        }
        self.connection_scarcity.observe(ended.outcome);
        if matches!(ended.outcome, Outcome::Rejected { .. }) {
            if let Some(endpoint) = self.endpoints.get(&ended.endpoint) {
                let destination = endpoint.destination;
                let gossip = self
                    .gossip
                    .announce_rejection(now, destination, &self.config);
                actions.extend(gossip);
            }
        }
        self.send_to_destination_of(ended.id, DestinationMessage::AttemptEnded(ended));
    }

    fn receive_retry_after(&mut self, endpoint: EndpointId, retry_after: Micros) {
        if let Some(known) = self.endpoints.get(&endpoint) {
            let message = DestinationMessage::RetryAfter {
                endpoint,
                retry_after,
            };
            self.mailboxes
                .send_to_destination(known.destination, message);
        }
    }

    /// A completion report of an earlier run: messages of its key wait until it is acknowledged.
    fn await_report(&mut self, id: MessageId, class: DeliveryClassId, key: OrderKey) {
        let class = self.config.classes.get(class.0 as usize);
        if class.is_some_and(|class| class.ordered) {
            let message = QueuedMessage {
                id,
                destination: DestinationId::default(),
            };
            self.ordered_queues.enqueue(key, message);
            self.ordered_queues.await_acknowledgement(key, id);
        }
    }

    fn receive_gossip(
        &mut self,
        now: Micros,
        from: u16,
        payload: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let is_known = |id| self.destinations.contains_key(&id) || self.idle.holds(id);
        let Some(id) = self.gossip.receive(now, from, payload, is_known, actions) else {
            return;
        };
        if !self.apply_peer_rejection_to_idle(now, id) {
            self.mailboxes
                .send_to_destination(id, DestinationMessage::PeerRejected);
        }
    }

    fn send_to_destination_of(&mut self, id: MessageId, message: DestinationMessage) {
        if let Some(location) = self.messages.get(&id) {
            self.mailboxes
                .send_to_destination(location.destination, message);
        }
    }

    /// Looks at all timers.
    fn tick(&mut self, now: Micros) {
        self.next_tick_at = None;
        let is_exhausted = self.calls_in_flight().total >= self.config.concurrency_limit as usize;
        let permits = if is_exhausted {
            Permits::Exhausted
        } else {
            Permits::Free
        };
        for id in self.activities.keys() {
            let message = DestinationMessage::TimerTick { permits };
            self.mailboxes.send_to_destination(*id, message);
        }
        self.ordered_queues.forget_unused(now);
        for key in self.ordered_queues.keys() {
            self.grant_order(now, key);
        }
    }

    /// Tells the message whose turn it is, if there is one.
    pub(super) fn grant_order(&mut self, now: Micros, key: OrderKey) {
        if let Some(message) = self.ordered_queues.granted(now, key) {
            self.mailboxes.send_to_destination(
                message.destination,
                DestinationMessage::OrderGranted(message.id),
            );
        }
    }

    /// A message leaves the queue of its key, if it has one: the next has its turn.
    fn release_order(&mut self, now: Micros, id: MessageId, key: Option<OrderKey>) {
        if let Some(key) = key {
            self.ordered_queues.remove(key, id);
            self.grant_order(now, key);
        }
    }

    /// Handles a message of a destination.
    pub(super) fn handle_message(
        &mut self,
        now: Micros,
        message: ForwarderMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            ForwarderMessage::Act(action) => actions.push(action),
            ForwarderMessage::MessageEnded { id, is_answered } => {
                self.end_message(now, id, is_answered);
            }
            ForwarderMessage::OutcomeUnknown { key } => {
                let settled_at = now + self.config.rules.order_settle_time;
                self.ordered_queues.pause(key, settled_at);
            }
            ForwarderMessage::Candidate(candidate) => self.candidates.push(candidate),
            ForwarderMessage::Activity {
                destination,
                activity: Some(activity),
            } => {
                self.activities.insert(destination, activity);
                self.leave_idle_queue(destination);
            }
            ForwarderMessage::Activity {
                destination,
                activity: None,
            } => {
                self.release_destination(now, destination);
            }
        }
    }

    /// A message has its final answer. Where a call could overtake the answer, the next message of
    /// its key waits until the answer is acknowledged.
    fn end_message(&mut self, now: Micros, id: MessageId, is_answered: bool) {
        let key = self.messages.remove(&id).and_then(|location| location.key);
        let on_acknowledgement = self.config.order_release == OrderRelease::OnAcknowledgement;
        match key {
            Some(key) if is_answered && on_acknowledgement => {
                self.ordered_queues.await_acknowledgement(key, id);
            }
            _ => self.release_order(now, id, key),
        }
    }

    /// Nothing is under way at a destination: it may be forgotten or summarised.
    fn release_destination(&mut self, now: Micros, id: DestinationId) {
        self.activities.remove(&id);
        let is_empty = |d: &Destination| d.endpoints.is_empty() && d.messages.is_empty();
        if self.destinations.get(&id).is_some_and(is_empty) {
            self.leave_idle_queue(id);
            self.destinations.remove(&id);
        }
        self.join_idle_queue(now, id);
    }
}
