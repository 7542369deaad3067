//! The messages in flight: accepted, and not yet over.

use crate::protocol::SubmittedMessage;
use opalpulley::{EndpointId, MessageId, Micros};
use std::collections::BTreeMap;

/// A message that is not over. It is over once its ending is decided and none of its attempts is out.
pub struct InFlightMessage {
    /// Its serial number in the journal.
    pub serial: u64,
    /// What the client submitted.
    pub submitted: SubmittedMessage,
    /// After this moment, in µs, it must not be delivered.
    pub deadline: Micros,
    /// How many attempts were started, those of previous runs included. It is the number of the next attempt.
    pub attempts_started: u32,
    /// The attempts whose outcome is not known.
    pub outstanding_attempts: Vec<OutstandingAttempt>,
    /// Whether it is decided how the message ends. Attempts may still be out.
    pub ending_decided: bool,
}

impl InFlightMessage {
    /// A message without an attempt out.
    pub fn new(
        serial: u64,
        submitted: SubmittedMessage,
        deadline: Micros,
        attempts_started: u32,
    ) -> InFlightMessage {
        InFlightMessage {
            serial,
            submitted,
            deadline,
            attempts_started,
            outstanding_attempts: Vec::new(),
            ending_decided: false,
        }
    }

    /// Counts one more attempt and gives its number. Numbers stay at 255 from there on.
    pub fn take_attempt_index(&mut self) -> u8 {
        let attempt_index = self.attempts_started.min(u32::from(u8::MAX)) as u8;
        self.attempts_started += 1;
        attempt_index
    }

    fn is_finished(&self) -> bool {
        self.ending_decided && self.outstanding_attempts.is_empty()
    }
}

/// An attempt whose outcome is not known.
#[derive(Clone, Copy)]
pub struct OutstandingAttempt {
    /// Its number, from 0.
    pub attempt_index: u8,
    /// Where it was sent.
    pub endpoint: EndpointId,
}

/// The messages in flight, found by the core's id and by the client's.
#[derive(Default)]
pub struct InFlightMessages {
    messages: BTreeMap<MessageId, InFlightMessage>,
    /// The core's id of each message, by the request id that its client gave it.
    ids_by_request_id: BTreeMap<String, MessageId>,
    last_id: u32,
}

impl InFlightMessages {
    /// How many messages are in flight.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// The message with this id.
    pub fn get(&self, id: MessageId) -> Option<&InFlightMessage> {
        self.messages.get(&id)
    }

    /// The message with this id.
    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut InFlightMessage> {
        self.messages.get_mut(&id)
    }

    /// The message with this id, if its ending is not decided.
    pub fn get_undecided(&mut self, id: MessageId) -> Option<&mut InFlightMessage> {
        self.messages
            .get_mut(&id)
            .filter(|message| !message.ending_decided)
    }

    /// The message that a client gave this request id.
    pub fn get_by_request_id(&self, request_id: &str) -> Option<&InFlightMessage> {
        let id = self.ids_by_request_id.get(request_id)?;
        self.messages.get(id)
    }

    /// The endpoint that an attempt is out to.
    pub fn endpoint_of_attempt(&self, id: MessageId, attempt_index: u8) -> Option<EndpointId> {
        let message = self.messages.get(&id)?;
        let outstanding = message
            .outstanding_attempts
            .iter()
            .find(|outstanding| outstanding.attempt_index == attempt_index)?;
        Some(outstanding.endpoint)
    }

    /// Whether any message has an attempt out.
    pub fn has_outstanding_attempts(&self) -> bool {
        self.messages
            .values()
            .any(|message| !message.outstanding_attempts.is_empty())
    }

    /// An id that no message in flight has. Ids are used again once their messages are over.
    pub fn unused_id(&mut self) -> MessageId {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            let id = MessageId(self.last_id);
            if !self.messages.contains_key(&id) {
                return id;
            }
        }
    }

    /// Adds a message.
    pub fn insert(&mut self, id: MessageId, message: InFlightMessage) {
        let request_id = message.submitted.request_id.clone();
        self.ids_by_request_id.insert(request_id, id);
        self.messages.insert(id, message);
    }

    /// Removes a message, if it is over.
    pub fn remove_if_finished(&mut self, id: MessageId) {
        if !self.get(id).is_some_and(InFlightMessage::is_finished) {
            return;
        }
        if let Some(message) = self.messages.remove(&id) {
            self.ids_by_request_id.remove(&message.submitted.request_id);
        }
    }

    /// Removes all messages and gives them, in the order of their ids.
    pub fn take_all(&mut self) -> BTreeMap<MessageId, InFlightMessage> {
        self.ids_by_request_id.clear();
        std::mem::take(&mut self.messages)
    }
}

#[cfg(test)]
impl InFlightMessages {
    /// All messages, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (MessageId, &InFlightMessage)> {
        self.messages.iter().map(|(id, message)| (*id, message))
    }

    /// Whether nothing is kept of any message.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty() && self.ids_by_request_id.is_empty()
    }
}
