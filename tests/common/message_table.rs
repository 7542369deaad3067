//! The messages of a forwarder with all attempts at them.

use super::CheckResult;
use opalpulley::*;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// An attempt at a message, sent or waiting for its connection.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub sent_at: Micros,
    pub endpoint: EndpointId,
    pub times_out_at: Micros,
    /// Outcome with which the attempt ends at the next step, set once the forwarder has cancelled
    /// or withdrawn it.
    pub stop_outcome: Option<Outcome>,
    pub outcome: Option<Outcome>,
    /// Time at which the bytes will be sent, in µs, for an attempt whose connection is established
    /// late. `None` once the bytes are sent.
    pub bytes_due_at: Option<Micros>,
}

impl Attempt {
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub fn may_have_taken_effect(&self) -> bool {
        self.outcome.is_some_and(Outcome::may_have_taken_effect)
    }
}

/// A message with its attempts and its state.
#[derive(Clone, Debug)]
pub struct TrackedMessage {
    pub submission: Submission,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    /// Set once the message was delivered, withdrawn by its client, or got its final answer.
    pub completed: bool,
}

impl TrackedMessage {
    /// Returns the last attempt if it is still in flight.
    pub fn attempt_in_flight(&self) -> Option<&Attempt> {
        self.attempts.last().filter(|last| last.is_in_flight())
    }

    /// Returns the first attempt that may have taken effect.
    pub fn first_possible_effect(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.may_have_taken_effect())
    }

    pub fn was_delivered(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == Some(Outcome::Delivered))
    }
}

/// All messages of one run of the forwarder, by id.
#[derive(Default)]
pub struct MessageTable {
    by_id: BTreeMap<MessageId, TrackedMessage>,
    submission_order: Vec<MessageId>,
    /// Messages whose final answer is not acknowledged yet. Filled only where an order key is
    /// released on acknowledgement.
    pub unacknowledged: BTreeSet<MessageId>,
}

impl Index<MessageId> for MessageTable {
    type Output = TrackedMessage;

    fn index(&self, id: MessageId) -> &TrackedMessage {
        &self.by_id[&id]
    }
}

impl MessageTable {
    pub fn insert(&mut self, message: TrackedMessage) {
        let id = message.submission.id;
        self.by_id.insert(id, message);
        self.submission_order.push(id);
    }

    pub fn get(&self, id: MessageId) -> CheckResult<&TrackedMessage> {
        self.by_id.get(&id).ok_or("unknown message".into())
    }

    pub fn get_mut(&mut self, id: MessageId) -> CheckResult<&mut TrackedMessage> {
        self.by_id.get_mut(&id).ok_or("unknown message".into())
    }

    /// Returns the last attempt at a message. Fails if the message is unknown or has no attempt.
    pub fn last_attempt(&self, id: MessageId) -> CheckResult<&Attempt> {
        let last = self.by_id.get(&id).and_then(|m| m.attempts.last());
        last.ok_or("no attempt at this message".into())
    }

    /// Returns the last attempt at a message. Fails if the message is unknown or has no attempt.
    pub fn last_attempt_mut(&mut self, id: MessageId) -> CheckResult<&mut Attempt> {
        let last = self.by_id.get_mut(&id).and_then(|m| m.attempts.last_mut());
        last.ok_or("no attempt at this message".into())
    }

    /// Returns all messages in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &TrackedMessage> {
        self.by_id.values()
    }

    /// Returns all messages in the order of their ids.
    pub fn into_all(self) -> impl Iterator<Item = TrackedMessage> {
        self.by_id.into_values()
    }

    /// Returns the messages that were submitted before this one, in the order of submission.
    pub fn submitted_before(&self, id: MessageId) -> impl Iterator<Item = &TrackedMessage> {
        self.submission_order
            .iter()
            .take_while(move |earlier| **earlier != id)
            .map(|earlier| &self.by_id[earlier])
    }

    /// Returns the ids of the messages with an attempt in flight, in ascending order.
    pub fn ids_in_flight(&self) -> Vec<MessageId> {
        self.all()
            .filter(|message| message.attempt_in_flight().is_some())
            .map(|message| message.submission.id)
            .collect()
    }

    pub fn attempts_in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.all().filter_map(TrackedMessage::attempt_in_flight)
    }

    /// Returns the last attempt at each message, whether it is in flight or has ended.
    pub fn last_attempts_mut(&mut self) -> impl Iterator<Item = &mut Attempt> {
        self.by_id
            .values_mut()
            .filter_map(|message| message.attempts.last_mut())
    }

    /// Returns the lowest id of a message that is not completed.
    pub fn first_pending_id(&self) -> Option<MessageId> {
        self.all()
            .find(|message| !message.completed)
            .map(|message| message.submission.id)
    }

    /// Returns the number of messages that are not completed.
    pub fn pending_count(&self) -> usize {
        self.all().filter(|message| !message.completed).count()
    }
}
