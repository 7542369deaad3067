//! The journal: what survives the process. It stores the messages that are not over, with what is known of their
//! attempts, as a ring of small segment files in the state directory.
//!
//! Each change is one record, appended to the newest segment. The oldest segment is freed by copying the messages that
//! still live in it to the newest one and deleting it, so both copies count against the limit. Writes go to the page
//! cache, which survives the process. So no write is synced.
//!
//! [`record`] has the format, [`segment`] the files, [`ring`] the accounting of space, [`live`] the messages in memory,
//! and [`recovery`] the replay at a start.

mod live;
mod record;
mod recovery;
mod ring;
mod segment;

pub use record::StoredMessage;

use crate::protocol::Ending;
use live::LiveMessages;
use opalpulley::Micros;
use record::Record;
use recovery::Replay;
use ring::{SegmentRing, SpaceLimits, TARGET_SEGMENT_COUNT};
use segment::ActiveSegment;
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::path::Path;

/// Why a record was not written.
#[derive(Debug)]
pub enum JournalError {
    /// The record can't be encoded.
    Encode(postcard::Error),
    /// A segment could not be created, written or deleted.
    Io(io::Error),
    /// The record does not fit the limit, although all is freed that can be.
    Full,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Encode(error) => write!(f, "{error}"),
            JournalError::Io(error) => write!(f, "{error}"),
            JournalError::Full => write!(f, "the journal is full"),
        }
    }
}

impl std::error::Error for JournalError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            JournalError::Encode(error) => Some(error),
            JournalError::Io(error) => Some(error),
            JournalError::Full => None,
        }
    }
}

impl From<postcard::Error> for JournalError {
    fn from(error: postcard::Error) -> JournalError {
        JournalError::Encode(error)
    }
}

impl From<io::Error> for JournalError {
    fn from(error: io::Error) -> JournalError {
        JournalError::Io(error)
    }
}

/// The journal of one forwarder.
pub struct Journal {
    ring: SegmentRing,
    live: LiveMessages,
    next_serial: u64,
}

impl Journal {
    /// Opens the journal in a directory, with a limit in bytes. Returns the messages that are not over, in the order in
    /// which they were accepted. Fails where the directory or a segment can't be read or written.
    pub fn open(dir: &Path, limit_bytes: u64) -> io::Result<(Journal, Vec<StoredMessage>)> {
        let numbers = segment::list_numbers(dir)?;
        let active_number = numbers.last().map_or(0, |last| last + 1);
        let mut replay = Replay::default();
        let mut sealed = VecDeque::new();
        for number in numbers {
            sealed.push_back(replay.read_segment(dir, number)?);
        }
        let active = ActiveSegment::create(dir, active_number)?;
        let mut journal = Journal {
            ring: SegmentRing::new(dir, SpaceLimits::new(limit_bytes), sealed, active),
            live: replay.live,
            next_serial: replay.next_serial,
        };
        let messages = journal.recover_messages();
        Ok((journal, messages))
    }

    /// The messages that are not over, in the order in which they were accepted. The outcomes of their attempts are
    /// lost, so that each attempt out may have taken effect.
    pub fn recover_messages(&mut self) -> Vec<StoredMessage> {
        self.live.assume_effect_of_attempts_in_flight();
        self.live.messages()
    }

    /// Whether a message can be stored until it is over, also while a segment with it is freed.
    pub fn has_space_for(&self, message: &StoredMessage) -> bool {
        let limits = self.ring.limits();
        limits.has_space_for(self.live.reserved_bytes(), message.reserved_bytes())
    }

    /// Records that a message is accepted. Returns its serial number.
    pub fn record_message(&mut self, mut message: StoredMessage) -> Result<u64, JournalError> {
        let serial = self.next_serial;
        self.next_serial += 1;
        message.serial = serial;
        self.append_record(Record::message(message))?;
        Ok(serial)
    }

    /// Records that an attempt starts at `started_at`, in Unix µs, to an endpoint of that zone.
    pub fn record_attempt_start(
        &mut self,
        serial: u64,
        attempt_index: u8,
        started_at: Micros,
        zone: u16,
    ) -> Result<(), JournalError> {
        self.append_record(Record::AttemptStarted {
            serial,
            attempt_index,
            started_at,
            zone,
        })
    }

    /// Records that an attempt is over, and whether it may have taken effect.
    pub fn record_attempt_end(
        &mut self,
        serial: u64,
        attempt_index: u8,
        may_have_taken_effect: bool,
    ) -> Result<(), JournalError> {
        self.append_record(Record::AttemptEnded {
            serial,
            attempt_index,
            may_have_taken_effect,
        })
    }

    /// Records that nothing of an attempt was sent: its number is free again. The message is written once more as it
    /// was before the attempt, because earlier versions that read this journal know no record for that.
    pub fn record_attempt_withdrawal(
        &mut self,
        serial: u64,
        attempt_index: u8,
    ) -> Result<(), JournalError> {
        let Some(mut message) = self.live.get(serial).cloned() else {
            return Ok(());
        };
        message
            .attempts_in_flight
            .retain(|in_flight| in_flight.attempt_index != attempt_index);
        message.attempts_started = u32::from(attempt_index);
        self.append_record(Record::message(message))
    }

    /// Records the final answer to a message, which the platform has not acknowledged yet.
    pub fn record_pending_report(
        &mut self,
        serial: u64,
        ending: Ending,
    ) -> Result<(), JournalError> {
        self.append_record(Record::PendingReport { serial, ending })
    }

    /// Records that a message is over and needs no report any more.
    pub fn record_message_end(&mut self, serial: u64) -> Result<(), JournalError> {
        if !self.live.contains(serial) {
            return Ok(());
        }
        self.append_record(Record::MessageEnded { serial })
    }

    fn append_record(&mut self, record: Record) -> Result<(), JournalError> {
        let frame = record::encode_frame(&record)?;
        self.free_space_for(frame.len() as u64)?;
        self.write_record(&frame, record)
    }

    fn write_record(&mut self, frame: &[u8], record: Record) -> Result<(), JournalError> {
        let segment_number = self.ring.append(frame)?;
        self.live.apply(record, segment_number);
        Ok(())
    }

    /// Frees the oldest segments until so many bytes fit and the spare space is free.
    fn free_space_for(&mut self, record_bytes: u64) -> Result<(), JournalError> {
        let max_freed_segments = 2 * TARGET_SEGMENT_COUNT + self.ring.segment_count();
        for _ in 0..max_freed_segments {
            if self.ring.fits_within_limit_with_spare(record_bytes) {
                return Ok(());
            }
            let Some(oldest) = self.ring.oldest_sealed_number() else {
                return Ok(());
            };
            self.copy_live_messages(oldest)?;
            self.ring.delete_oldest_sealed()?;
        }
        if self.ring.fits_within_limit(record_bytes) {
            Ok(())
        } else {
            Err(JournalError::Full)
        }
    }

    /// Writes the messages of a segment once more, so that it can be deleted.
    fn copy_live_messages(&mut self, segment_number: u64) -> Result<(), JournalError> {
        for message in self.live.messages_in_segment(segment_number) {
            let record = Record::message(message);
            let frame = record::encode_frame(&record)?;
            self.write_record(&frame, record)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
