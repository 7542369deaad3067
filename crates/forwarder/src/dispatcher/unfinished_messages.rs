//! The unfinished messages: those whose ending is not decided, whether they wait or are being attempted, and those that
//! still have an outstanding attempt.

use crate::protocol::SubmittedMessage;
use opalpulley::{EndpointId, MessageId, Micros};
use std::collections::BTreeMap;

/// An unfinished message. It is removed from the table once its ending is decided and none of its attempts is
/// outstanding.
///
/// The journal keeps a message until its completion report is acknowledged or, if it has none, until its ending is
/// decided. A message may therefore leave this table earlier or later than the journal.
pub struct UnfinishedMessage {
    /// Serial number of the message in the journal.
    pub serial: u64,
    /// The message as the client submitted it.
    pub submitted: SubmittedMessage,
    /// Deadline in µs: after it the message must not be delivered.
    pub deadline: Micros,
    /// Number of attempts started, including those of previous runs, without attempts withdrawn before they were sent. It
    /// is also the index of the next attempt.
    pub attempts_started: u32,
    /// The attempts whose outcome is not known yet.
    pub outstanding_attempts: Vec<OutstandingAttempt>,
    /// Whether it is decided how the message ends. Attempts may still be outstanding.
    pub ending_decided: bool,
}

impl UnfinishedMessage {
    /// Creates a message without an outstanding attempt.
    pub fn new(
        serial: u64,
        submitted: SubmittedMessage,
        deadline: Micros,
        attempts_started: u32,
    ) -> UnfinishedMessage {
        UnfinishedMessage {
            serial,
            submitted,
            deadline,
            attempts_started,
            outstanding_attempts: Vec::new(),
            ending_decided: false,
        }
    }

    /// Counts the next attempt and returns its index. All attempts from the 256th on have the index 255.
    pub fn take_attempt_index(&mut self) -> u8 {
        let attempt_index = self.attempts_started.min(u32::from(u8::MAX)) as u8;
        self.attempts_started += 1;
        attempt_index
    }

    fn can_be_removed(&self) -> bool {
        self.ending_decided && self.outstanding_attempts.is_empty()
    }
}

/// An attempt whose outcome is not known yet.
#[derive(Clone, Copy)]
pub struct OutstandingAttempt {
    /// Index of the attempt among those at the message, from 0.
    pub attempt_index: u8,
    /// The endpoint to which the attempt was sent.
    pub endpoint: EndpointId,
    /// Whether the start of the attempt is in the journal.
    pub is_journalled: bool,
}

/// The unfinished messages, by the core's id and by the client's request id. Owned by the dispatcher.
#[derive(Default)]
pub struct UnfinishedMessages {
    messages: BTreeMap<MessageId, UnfinishedMessage>,
    /// The core's id of each message, by the client's request id.
    ids_by_request_id: BTreeMap<String, MessageId>,
    last_id: u32,
}

impl UnfinishedMessages {
    /// Returns the number of unfinished messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Returns the message with this id.
    pub fn get(&self, id: MessageId) -> Option<&UnfinishedMessage> {
        self.messages.get(&id)
    }

    /// Returns the message with this id, for changes.
    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut UnfinishedMessage> {
        self.messages.get_mut(&id)
    }

    /// Returns the message with this id if its ending is not decided.
    pub fn get_undecided(&mut self, id: MessageId) -> Option<&mut UnfinishedMessage> {
        self.messages
            .get_mut(&id)
            .filter(|message| !message.ending_decided)
    }

    /// Returns the message with this request id.
    pub fn get_by_request_id(&self, request_id: &str) -> Option<&UnfinishedMessage> {
        let id = self.ids_by_request_id.get(request_id)?;
        self.messages.get(id)
    }

    /// Returns an outstanding attempt at a message whose ending is not decided, with the serial number of the message.
    pub fn undecided_attempt(
        &mut self,
        id: MessageId,
        attempt_index: u8,
    ) -> Option<(u64, &mut OutstandingAttempt)> {
        let message = self.get_undecided(id)?;
        let attempt = message
            .outstanding_attempts
            .iter_mut()
            .find(|attempt| attempt.attempt_index == attempt_index)?;
        Some((message.serial, attempt))
    }

    /// Returns the endpoint of an outstanding attempt.
    pub fn endpoint_of_attempt(&self, id: MessageId, attempt_index: u8) -> Option<EndpointId> {
        let message = self.messages.get(&id)?;
        let outstanding = message
            .outstanding_attempts
            .iter()
            .find(|outstanding| outstanding.attempt_index == attempt_index)?;
        Some(outstanding.endpoint)
    }

    /// Returns whether any message has an outstanding attempt.
    pub fn has_outstanding_attempts(&self) -> bool {
        self.messages
            .values()
            .any(|message| !message.outstanding_attempts.is_empty())
    }

    /// Returns an id that no unfinished message has. An id may be reused once its message has been removed.
    pub fn unused_id(&mut self) -> MessageId {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            let id = MessageId(self.last_id);
            if !self.messages.contains_key(&id) {
                return id;
            }
        }
    }

    /// Adds a message. Its id must be unused.
    pub fn insert(&mut self, id: MessageId, message: UnfinishedMessage) {
        let request_id = message.submitted.request_id.clone();
        self.ids_by_request_id.insert(request_id, id);
        self.messages.insert(id, message);
    }

    /// Removes a message if its ending is decided and none of its attempts is outstanding.
    pub fn remove_if_possible(&mut self, id: MessageId) {
        if !self.get(id).is_some_and(UnfinishedMessage::can_be_removed) {
            return;
        }
        if let Some(message) = self.messages.remove(&id) {
            self.ids_by_request_id.remove(&message.submitted.request_id);
        }
    }

    /// Removes and returns all messages, in the order of their ids.
    pub fn take_all(&mut self) -> BTreeMap<MessageId, UnfinishedMessage> {
        self.ids_by_request_id.clear();
        std::mem::take(&mut self.messages)
    }
}

#[cfg(test)]
impl UnfinishedMessages {
    /// Returns all messages, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (MessageId, &UnfinishedMessage)> {
        self.messages.iter().map(|(id, message)| (*id, message))
    }

    /// Returns whether neither a message nor a request id is left.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty() && self.ids_by_request_id.is_empty()
    }
}
