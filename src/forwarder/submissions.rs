//! Accepts submitted messages.

use super::mailbox::DestinationEvent;
use super::{Forwarder, MessageLocation};
use crate::destination::Message;
use crate::model::{Micros, Submission};
use crate::policy::admission;
use crate::policy::ordering::QueuedMessage;

impl Forwarder {
    /// Sends a submitted message to its destination. An unknown class is treated as the last
    /// configured one.
    pub(super) fn submit(&mut self, now: Micros, submission: Submission) {
        let class_index = (submission.class.0 as usize).min(self.config.classes.len() - 1);
        let message = self.new_message(now, class_index, &submission);
        let order_key = message.order_key;
        let id = submission.id;
        let destination = submission.destination;
        if let Some(order_key) = order_key {
            let queued = QueuedMessage { id, destination };
            self.ordered_queues.enqueue(order_key, queued);
            // An attempt of an earlier run of the process may still be running at the receiver.
            if submission.history.possible_effect.is_some() {
                let settled_at = now + self.config.rules.order_settle_time;
                self.ordered_queues.pause(order_key, settled_at);
            }
        }
        self.messages.insert(
            id,
            MessageLocation {
                destination,
                order_key,
            },
        );
        self.destinations.entry(destination).or_default().id = destination;
        self.mailboxes
            .send_to_destination(destination, DestinationEvent::MessageSubmitted(message));
        if let Some(order_key) = order_key {
            self.grant_order(now, order_key);
        }
        self.shed_load_if_overloaded();
    }

    fn new_message(&mut self, now: Micros, class_index: usize, submission: &Submission) -> Message {
        let class_config = &self.config.classes[class_index];
        let weight_factor = self
            .tenant_quotas
            .weight_factor(now, submission.tenant, &self.config);
        let order_key = submission.order_key.filter(|_| class_config.ordered);
        Message {
            id: submission.id,
            class_index,
            weight: class_config.priority_weight * weight_factor,
            objective_at: admission::objective_at(now, submission, class_config),
            deadline: now + submission.time_left,
            attempts: submission.history.attempts,
            order_key,
            is_order_granted: order_key.is_none(),
            possible_effect: submission.history.possible_effect,
            backoff_until: now,
            ..Message::default()
        }
    }

    /// Requests the destination with the longest queue to give up a message if the forwarder holds
    /// too many.
    fn shed_load_if_overloaded(&mut self) {
        if !admission::is_overloaded(self.messages.len(), self.config.max_messages) {
            return;
        }
        let longest_queue = self
            .activities
            .iter()
            .max_by_key(|(_, activity)| activity.waiting_messages)
            .map(|(id, _)| *id);
        if let Some(id) = longest_queue {
            self.mailboxes
                .send_to_destination(id, DestinationEvent::LoadSheddingRequested);
        }
    }
}
