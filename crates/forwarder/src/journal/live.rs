//! The messages that are not over, in memory.

use super::record::{Record, StoredMessage};
use std::collections::BTreeMap;

/// A message, and where its latest copy is.
struct LiveMessage {
    message: StoredMessage,
    /// The number of the segment with its latest copy.
    segment: u64,
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
        self.messages.get(&serial).map(|live| &live.message)
    }

    /// All messages, in the order of their serial numbers.
    pub fn messages(&self) -> Vec<StoredMessage> {
        let messages = self.messages.values();
        messages.map(|live| live.message.clone()).collect()
    }

    /// The messages whose latest copy is in a segment, in the order of their serial numbers.
    pub fn messages_in(&self, segment: u64) -> Vec<StoredMessage> {
        let messages = self.messages.values();
        messages
            .filter(|live| live.segment == segment)
            .map(|live| live.message.clone())
            .collect()
    }

    /// Counts all attempts without an outcome as ones that may have taken effect.
    pub fn assume_effect_of_attempts_out(&mut self) {
        for live in self.messages.values_mut() {
            live.message.assume_effect_of_attempts_out();
        }
    }

    /// Applies a record that was written to this segment, or read from it.
    pub fn apply(&mut self, record: Record, segment: u64) {
        match record {
            Record::Message(message) => self.insert(message, segment),
            Record::OrderedMessage(mut message, key) => {
                message.key = Some(key);
                self.insert(message, segment);
            }
            Record::Ended { serial } => self.remove(serial),
            change => {
                if let Some(live) = self.messages.get_mut(&change.serial()) {
                    live.message.apply(&change);
                }
            }
        }
    }

    /// Adds a message. It replaces an earlier copy of itself.
    fn insert(&mut self, message: StoredMessage, segment: u64) {
        self.remove(message.serial);
        self.reserved_bytes += message.reserved_bytes();
        let live = LiveMessage { message, segment };
        self.messages.insert(live.message.serial, live);
    }

    fn remove(&mut self, serial: u64) {
        if let Some(live) = self.messages.remove(&serial) {
            self.reserved_bytes -= live.message.reserved_bytes();
        }
    }
}
