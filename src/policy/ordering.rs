//! Delivers the messages of an order key one at a time, in the order of submission.
//!
//! The next message of a key may be sent once its predecessor has a final answer and, if the
//! deployment requires it, once the final answer has been acknowledged. A key is paused after an
//! attempt with an unknown outcome, and after an attempt that an earlier run of the forwarder left
//! unfinished, because the endpoint may still be processing the message.
//!
//! The operators' service rules require this order and the pauses.

use crate::model::{DestinationId, MessageId, Micros, OrderKey, Outcome};
use std::collections::{BTreeMap, VecDeque};

/// A message in the queue of its order key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedMessage {
    /// Identifies the message.
    pub id: MessageId,
    /// The destination at which the message waits.
    pub destination: DestinationId,
}

/// The messages of one order key, in the order of submission.
#[derive(Debug, Default)]
struct KeyQueue {
    messages: VecDeque<QueuedMessage>,
    /// 0 if the key has never been paused.
    paused_until: Micros,
}

/// Holds the queue of each order key. Owned by the forwarder.
#[derive(Debug, Default)]
pub struct OrderedQueues {
    keys: BTreeMap<OrderKey, KeyQueue>,
    /// Messages whose final answer has not been acknowledged, with their order keys.
    unacknowledged: BTreeMap<MessageId, OrderKey>,
}

impl OrderedQueues {
    /// Appends a message to the queue of its key.
    pub fn enqueue(&mut self, key: OrderKey, message: QueuedMessage) {
        self.keys
            .entry(key)
            .or_default()
            .messages
            .push_back(message);
    }

    /// Pauses the key until the given time. An earlier pause that lasts longer stays in force. Does
    /// nothing if the key has no queue.
    pub fn pause(&mut self, key: OrderKey, until: Micros) {
        if let Some(queue) = self.keys.get_mut(&key) {
            queue.paused_until = queue.paused_until.max(until);
        }
    }

    /// Removes a message from the queue of its key. The caller must have given the final answer.
    pub fn remove(&mut self, key: OrderKey, id: MessageId) {
        if let Some(queue) = self.keys.get_mut(&key) {
            queue.messages.retain(|message| message.id != id);
        }
    }

    /// Records that the final answer to a message awaits its acknowledgement. The message stays in
    /// the queue until the caller removes it.
    pub fn await_acknowledgement(&mut self, key: OrderKey, id: MessageId) {
        self.unacknowledged.insert(id, key);
    }

    /// Records that the final answer to a message was acknowledged. Returns the order key of the
    /// message, or `None` if no acknowledgement was awaited.
    pub fn acknowledge(&mut self, id: MessageId) -> Option<OrderKey> {
        self.unacknowledged.remove(&id)
    }

    /// Returns the first message of the key, or `None` if the key is paused or has no message.
    pub fn next_message(&self, now: Micros, key: OrderKey) -> Option<QueuedMessage> {
        let queue = self.keys.get(&key)?;
        if queue.paused_until > now {
            return None;
        }
        queue.messages.front().copied()
    }

    /// Removes the keys whose queue is empty and whose pause is over.
    pub fn remove_unused_keys(&mut self, now: Micros) {
        self.keys
            .retain(|_, queue| !queue.messages.is_empty() || queue.paused_until > now);
    }

    /// Returns all order keys that have a queue.
    pub fn keys(&self) -> Vec<OrderKey> {
        self.keys.keys().copied().collect()
    }

    /// Returns whether no order key has a queue.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// Returns whether the endpoint may still be processing an attempt with this outcome when the next
/// message is sent.
pub fn is_outcome_unknown(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Timeout | Outcome::ConnectionReset | Outcome::Cancelled
    )
}

#[cfg(test)]
mod tests;
