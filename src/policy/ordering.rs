//! One message of an order key at a time, in the order of submission.
//!
//! A key's next message is granted once the one before has its final answer, and where the
//! deployment asks for it, once that answer has been acknowledged. After an attempt whose outcome
//! is not known, or one that an earlier run of the forwarder left, the key is paused: the
//! endpoint may still work on it.
//! Source: the operators' rule on order by key.

use crate::model::{DestinationId, MessageId, Micros, OrderKey, Outcome};
use std::collections::{BTreeMap, VecDeque};

/// A message that waits for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedMessage {
    /// The message.
    pub id: MessageId,
    /// Where it waits.
    pub destination: DestinationId,
}

#[derive(Debug, Default)]
struct KeyQueue {
    messages: VecDeque<QueuedMessage>,
    paused_until: Micros,
}

/// The queue of each order key. A key leaves once its queue is empty and its pause over.
#[derive(Debug, Default)]
pub struct OrderedQueues {
    keys: BTreeMap<OrderKey, KeyQueue>,
    /// Messages whose final answer is not acknowledged yet; each leaves as it is.
    unacknowledged: BTreeMap<MessageId, OrderKey>,
}

impl OrderedQueues {
    /// A message comes last in the queue of its key.
    pub fn enqueue(&mut self, key: OrderKey, message: QueuedMessage) {
        self.keys
            .entry(key)
            .or_default()
            .messages
            .push_back(message);
    }

    /// The key grants nothing until then, or longer where it is paused for longer.
    pub fn pause(&mut self, key: OrderKey, until: Micros) {
        if let Some(queue) = self.keys.get_mut(&key) {
            queue.paused_until = queue.paused_until.max(until);
        }
    }

    /// A message has its final answer, and comes out of the queue.
    pub fn remove(&mut self, key: OrderKey, id: MessageId) {
        if let Some(queue) = self.keys.get_mut(&key) {
            queue.messages.retain(|message| message.id != id);
        }
    }

    /// A message has its final answer, and stays in the queue until that is acknowledged.
    pub fn await_acknowledgement(&mut self, key: OrderKey, id: MessageId) {
        self.unacknowledged.insert(id, key);
    }

    /// The final answer to a message is acknowledged: gives its key, where it waited for that.
    pub fn acknowledge(&mut self, id: MessageId) -> Option<OrderKey> {
        self.unacknowledged.remove(&id)
    }

    /// The message whose turn it is, unless its key is paused.
    pub fn next_message(&self, now: Micros, key: OrderKey) -> Option<QueuedMessage> {
        let queue = self.keys.get(&key)?;
        if queue.paused_until > now {
            return None;
        }
        queue.messages.front().copied()
    }

    /// Forgets the keys that hold nothing back any more.
    pub fn remove_unused_keys(&mut self, now: Micros) {
        self.keys
            .retain(|_, queue| !queue.messages.is_empty() || queue.paused_until > now);
    }

    /// All keys.
    pub fn keys(&self) -> Vec<OrderKey> {
        self.keys.keys().copied().collect()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// Whether an attempt with this outcome may still be at work when the next message is sent.
pub fn is_outcome_unknown(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Timeout | Outcome::ConnectionReset | Outcome::Cancelled
    )
}

#[cfg(test)]
mod tests;
