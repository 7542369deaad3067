//! The messages that are not over, in memory.

use super::record::{Record, StoredMessage};
use std::collections::BTreeMap;

/// A message, and where its latest copy is.
struct LiveMessage {
    message: StoredMessage,
    /// The number of the segment with its latest copy.
    segment_number: u64,
}

/// The messages that are not over, by serial number.
#[derive(Default)]
pub struct LiveMessages {
    messages: BTreeMap<u64, LiveMessage>,
    reserved_bytes: u64,
}

impl LiveMessages {
    /// The bytes of the journal that they need until they are over.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    /// Whether the message is not over.
    pub fn contains(&self, serial: u64) -> bool {
        self.messages.contains_key(&serial)
    }

    /// The message with this serial number.
    pub fn get(&self, serial: u64) -> Option<&StoredMessage> {
        self.messages.get(&serial).map(|entry| &entry.message)
    }

    /// All messages, in the order of their serial numbers.
    pub fn messages(&self) -> Vec<StoredMessage> {
        let messages = self.messages.values();
        messages.map(|entry| entry.message.clone()).collect()
    }

    /// The messages whose latest copy is in a segment, in the order of their serial numbers.
    pub fn messages_in_segment(&self, segment_number: u64) -> Vec<StoredMessage> {
        let messages = self.messages.values();
        messages
            .filter(|entry| entry.segment_number == segment_number)
            .map(|entry| entry.message.clone())
            .collect()
    }

    /// Counts all attempts without an outcome as ones that may have taken effect.
    pub fn assume_effect_of_attempts_in_flight(&mut self) {
        for entry in self.messages.values_mut() {
            entry.message.assume_effect_of_attempts_in_flight();
        }
    }

    /// Applies a record that was written to this segment, or read from it.
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

    /// Adds a message. It replaces an earlier copy of itself.
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
