//! The unfinished messages in memory.

use super::record::{Record, StoredMessage};
use crate::protocol::Ending;
use opalpulley::recovery::RecoveredMessage;
use std::collections::BTreeMap;

/// An unfinished message and the place of its latest copy.
struct LiveMessage {
    message: StoredMessage,
    /// Number of the segment that holds the latest copy.
    segment_number: u64,
}

/// The unfinished messages, by serial number.
#[derive(Default)]
pub struct LiveMessages {
    messages: BTreeMap<u64, LiveMessage>,
    reserved_bytes: u64,
}

impl LiveMessages {
    /// Returns the space in the journal that all messages need until they are finished, in bytes.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    /// Returns whether the message is unfinished.
    pub fn contains(&self, serial: u64) -> bool {
        self.messages.contains_key(&serial)
    }

    /// Returns the message with this serial number, if it is unfinished.
    pub fn get(&self, serial: u64) -> Option<&StoredMessage> {
        self.messages.get(&serial).map(|entry| &entry.message)
    }

    /// Returns all messages in the order of their serial numbers.
    pub fn messages(&self) -> Vec<StoredMessage> {
        let messages = self.messages.values();
        messages.map(|entry| entry.message.clone()).collect()
    }

    /// Returns the messages whose latest copy is in a segment, in the order of their serial numbers.
    pub fn messages_in_segment(&self, segment_number: u64) -> Vec<StoredMessage> {
        let messages = self.messages.values();
        messages
            .filter(|entry| entry.segment_number == segment_number)
            .map(|entry| entry.message.clone())
            .collect()
    }

    /// Counts all attempts in flight as attempts that may have taken effect.
    pub fn assume_effect_of_attempts_in_flight(&mut self) {
        for entry in self.messages.values_mut() {
            entry.message.assume_effect_of_attempts_in_flight();
        }
    }

    /// Fails a message whose class has changed, if that requires it and its final answer is not decided yet. Returns whether
    /// it has failed.
    pub fn apply_recovered(&mut self, serial: u64, recovered: RecoveredMessage) -> bool {
        let Some(entry) = self.messages.get_mut(&serial) else {
            return false;
        };
        let message = &mut entry.message;
        let fails = match recovered {
            RecoveredMessage::Continue => false,
            RecoveredMessage::ContinueIfUntried => message.may_have_taken_effect(),
            RecoveredMessage::Fail => true,
        };
        if !fails || message.pending_report.is_some() {
            return false;
        }
        message.pending_report = Some(Ending::Failed);
        true
    }

    /// Applies a record that was written to the given segment or read from it.
    pub fn apply(&mut self, record: Record, segment_number: u64) {
        match record {
            Record::Message(message) => self.insert(message, segment_number),
            Record::OrderedMessage(mut message, order_key) => {
                message.order_key = Some(order_key);
                self.insert(message, segment_number);
            }
            Record::MessageEnded { serial } => self.remove(serial),
            update => {
                if let Some(entry) = self.messages.get_mut(&update.serial()) {
                    entry.message.apply(&update);
                }
            }
        }
    }

    /// Adds a message, which replaces an earlier copy of itself.
    fn insert(&mut self, message: StoredMessage, segment_number: u64) {
        self.remove(message.serial);
        self.reserved_bytes += message.reserved_bytes();
        let entry = LiveMessage {
            message,
            segment_number,
        };
        self.messages.insert(entry.message.serial, entry);
    }

    fn remove(&mut self, serial: u64) {
        if let Some(entry) = self.messages.remove(&serial) {
            self.reserved_bytes -= entry.message.reserved_bytes();
        }
    }
}
