//! Applies the events of the caller, and the events that the parts send to the forwarder.

use super::mailbox::{DestinationEvent, EndedAttempt, EndpointEvent, ForwarderEvent};
use super::{Forwarder, TICK_TIMER};
use crate::destination::Destination;
use crate::model::{
    Action, DeliveryClassId, DestinationId, EndpointId, Event, MessageId, Micros, OrderKey,
    OrderRelease, Outcome,
};
use crate::policy::attempt_timeout::{self, Permits};
use crate::policy::ordering::QueuedMessage;

impl Forwarder {
    /// Applies one event of the caller. What concerns a destination or an endpoint is sent to its
    /// mailbox.
    pub(super) fn apply_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointListUpdated(update) => self.apply_list_update(now, update, actions),
            Event::MessageSubmitted(submission) => self.submit(now, submission),
            Event::AttemptEnded {
                id,
                endpoint,
                outcome,
                elapsed,
                message_completed,
                ..
            } => {
                let ended = EndedAttempt {
                    id,
                    endpoint,
                    outcome,
                    elapsed,
                    message_completed,
                };
                self.end_attempt(now, ended, actions);
            }
            Event::RetryAfterReceived {
                endpoint,
                retry_after,
            } => {
                self.receive_retry_after(endpoint, retry_after);
            }
            Event::MessageWithdrawn { id } => {
                self.send_to_destination_of(id, DestinationEvent::MessageWithdrawn(id));
            }
            Event::HealthCheckEnded {
                endpoint, outcome, ..
            } => {
                let event = EndpointEvent::HealthCheckEnded { outcome };
                self.mailboxes.send_to_endpoint(endpoint, event);
            }
            Event::FinalAnswerAcknowledged { id } => {
                let order_key = self.ordered_queues.acknowledge(id);
                self.release_order(now, id, order_key);
            }
            Event::CompletionReportPending {
                id,
                class,
                order_key,
            } => self.await_completion_report(id, class, order_key),
            Event::TimerFired { token: TICK_TIMER } => self.tick(now),
            Event::ShuttingDown => self.config.concurrency_limit = 0,
            Event::GossipReceived { peer, payload } => {
                self.receive_gossip(now, peer, &payload, actions)
            }
            Event::TimerFired { .. } | Event::ResponseStarted { .. } => {}
        }
    }

    fn end_attempt(&mut self, now: Micros, ended: EndedAttempt, actions: &mut Vec<Action>) {
        if ended.outcome == Outcome::Delivered {
            attempt_timeout::observe(&mut self.overall_latency, ended.elapsed);
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
        self.send_to_destination_of(ended.id, DestinationEvent::AttemptEnded(ended));
    }

    fn receive_retry_after(&mut self, endpoint: EndpointId, retry_after: Micros) {
        if let Some(known) = self.endpoints.get(&endpoint) {
            let event = DestinationEvent::RetryAfterReceived {
                endpoint,
                retry_after,
            };
            self.mailboxes.send_to_destination(known.destination, event);
        }
    }

    /// Holds the messages of an order key back until the completion report of an earlier run of the
    /// process is acknowledged.
    fn await_completion_report(
        &mut self,
        id: MessageId,
        class: DeliveryClassId,
        order_key: OrderKey,
    ) {
        let class = self.config.classes.get(class.0 as usize);
        if class.is_some_and(|class| class.ordered) {
            let message = QueuedMessage {
                id,
                destination: DestinationId::default(),
            };
            self.ordered_queues.enqueue(order_key, message);
            self.ordered_queues.await_acknowledgement(order_key, id);
        }
    }

    fn receive_gossip(
        &mut self,
        now: Micros,
        peer: u16,
        payload: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let is_known = |id| self.destinations.contains_key(&id) || self.idle.contains(id);
        let Some(id) = self.gossip.receive(now, peer, payload, is_known, actions) else {
            return;
        };
        if !self.apply_peer_rejection_to_idle(now, id) {
            self.mailboxes
                .send_to_destination(id, DestinationEvent::PeerRejectionReceived);
        }
    }

    fn send_to_destination_of(&mut self, id: MessageId, event: DestinationEvent) {
        if let Some(location) = self.messages.get(&id) {
            self.mailboxes
                .send_to_destination(location.destination, event);
        }
    }

    /// Sends a tick to each active destination and updates the order keys.
    fn tick(&mut self, now: Micros) {
        self.next_tick_at = None;
        let is_exhausted = self.calls_in_flight().total >= self.config.concurrency_limit as usize;
        let permits = if is_exhausted {
            Permits::Exhausted
        } else {
            Permits::Free
        };
        for id in self.activities.keys() {
            let event = DestinationEvent::TimerTick { permits };
            self.mailboxes.send_to_destination(*id, event);
        }
        self.ordered_queues.remove_unused_keys(now);
        for order_key in self.ordered_queues.keys() {
            self.grant_order(now, order_key);
        }
    }

    /// Notifies the message whose turn it is, if there is one.
    pub(super) fn grant_order(&mut self, now: Micros, order_key: OrderKey) {
        if let Some(message) = self.ordered_queues.next_message(now, order_key) {
            self.mailboxes.send_to_destination(
                message.destination,
                DestinationEvent::OrderGranted(message.id),
            );
        }
    }

    /// Removes a message from the queue of its order key, if it has one, and grants the next
    /// message its turn.
    fn release_order(&mut self, now: Micros, id: MessageId, order_key: Option<OrderKey>) {
        if let Some(order_key) = order_key {
            self.ordered_queues.remove(order_key, id);
            self.grant_order(now, order_key);
        }
    }

    /// Handles an event that a destination or an endpoint sent to the forwarder.
    pub(super) fn handle_forwarder_event(
        &mut self,
        now: Micros,
        event: ForwarderEvent,
        actions: &mut Vec<Action>,
    ) {
        match event {
            ForwarderEvent::ActionEmitted(action) => actions.push(action),
            ForwarderEvent::MessageEnded {
                id,
                is_answered_by_core,
            } => {
                self.end_message(now, id, is_answered_by_core);
            }
            ForwarderEvent::OutcomeUnknown { order_key } => {
                let settled_at = now + self.config.rules.order_settle_time;
                self.ordered_queues.pause(order_key, settled_at);
            }
            ForwarderEvent::CandidateOffered(candidate) => self.candidates.push(candidate),
            ForwarderEvent::ActivityUpdated {
                destination,
                activity: Some(activity),
            } => {
                self.activities.insert(destination, activity);
                self.cancel_scheduled_summary(destination);
            }
            ForwarderEvent::ActivityUpdated {
                destination,
                activity: None,
            } => {
                self.deactivate_destination(now, destination);
            }
        }
    }

    /// Removes a message that has its final answer. If the configuration releases an order key on
    /// acknowledgement, the next message of the key waits until the answer of the core is
    /// acknowledged, because its call could otherwise overtake the answer.
    fn end_message(&mut self, now: Micros, id: MessageId, is_answered_by_core: bool) {
        let order_key = self
            .messages
            .remove(&id)
            .and_then(|location| location.order_key);
        let on_acknowledgement = self.config.order_release == OrderRelease::OnAcknowledgement;
        match order_key {
            Some(order_key) if is_answered_by_core && on_acknowledgement => {
                self.ordered_queues.await_acknowledgement(order_key, id);
            }
            _ => self.release_order(now, id, order_key),
        }
    }

    /// Removes a destination that has no messages, calls and timers from the active ones. It is
    /// dropped if it has no endpoints, and scheduled for a summary otherwise.
    fn deactivate_destination(&mut self, now: Micros, id: DestinationId) {
        self.activities.remove(&id);
        let is_empty = |d: &Destination| d.endpoints.is_empty() && d.messages.is_empty();
        if self.destinations.get(&id).is_some_and(is_empty) {
            self.cancel_scheduled_summary(id);
            self.destinations.remove(&id);
        }
        self.schedule_summary(now, id);
    }
}
