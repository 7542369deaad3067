//! The journal stores the unfinished messages and what is known of their attempts, so that they survive the end of the
//! process. It is a ring of small segment files in the state directory. A message is finished once it needs neither
//! another attempt nor a completion report.
//!
//! Each change is appended as one record to the newest segment. The oldest segment is freed by copying the unfinished
//! messages in it to the newest segment and deleting the file, so both copies count against the size limit for a while.
//! Writes go to the page cache, which survives the process, so they are not synced.
//!
//! [`record`] defines the format, [`segment`] the files, [`ring`] the accounting of space, [`live`] the messages in
//! memory, and [`recovery`] the replay at startup. [`names`] stores what the numbers in the records stand for, and
//! [`translation`] gives them those of this run.

mod live;
mod names;
mod record;
mod recovery;
mod ring;
mod segment;
mod translation;

pub use names::StoredNames;
pub use record::StoredMessage;

use crate::protocol::Ending;
use live::LiveMessages;
use names::NameTable;
use opalpulley::Micros;
use record::Record;
use recovery::Replay;
use ring::{SegmentRing, SpaceLimits, TARGET_SEGMENT_COUNT};
use segment::ActiveSegment;
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::path::Path;

/// The reason why a record was not written.
#[derive(Debug)]
pub enum JournalError {
    /// The record cannot be encoded.
    Encode(postcard::Error),
    /// A segment file cannot be created, written or deleted.
    Io(io::Error),
    /// The record does not fit within the size limit, even after every segment that can be freed has been freed.
    Full,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Encode(error) => write!(f, "cannot encode the record: {error}"),
            JournalError::Io(error) => write!(f, "cannot access a segment file: {error}"),
            JournalError::Full => write!(f, "the journal has reached its size limit"),
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

/// The journal of one forwarder, owned by its dispatcher.
pub struct Journal {
    ring: SegmentRing,
    live: LiveMessages,
    names: NameTable,
    next_serial: u64,
    failed_count: usize,
}

impl Journal {
    /// Opens the journal in `dir`, whose files may take `limit_bytes` on disk. `names` are those in the settings of this run.
    /// Returns the unfinished messages in the order in which they were accepted. Fails if the directory or a file cannot be
    /// read or written.
    pub fn open(
        dir: &Path,
        limit_bytes: u64,
        names: StoredNames,
    ) -> io::Result<(Journal, Vec<StoredMessage>)> {
        let numbers = segment::list_numbers(dir)?;
        let active_number = numbers.last().map_or(0, |last| last + 1);
        let oldest_number = numbers.first().copied().unwrap_or(active_number);
        let names = NameTable::open(dir, names, oldest_number, active_number)?;
        let mut replay = Replay::new(&names);
        let mut sealed = VecDeque::new();
        for number in numbers {
            sealed.push_back(replay.read_segment(dir, number)?);
        }
        let recovery = replay.finish();
        let active = ActiveSegment::create(dir, active_number)?;
        let limits = SpaceLimits::new(limit_bytes.saturating_sub(names.bytes_on_disk()?));
        let mut journal = Journal {
            ring: SegmentRing::new(dir, limits, sealed, active),
            live: recovery.live,
            names,
            next_serial: recovery.next_serial,
            failed_count: recovery.failed_count,
        };
        let messages = journal.recover_messages();
        Ok((journal, messages))
    }

    /// Returns the number of messages that failed when the journal was opened, because their delivery class has changed.
    pub fn failed_count(&self) -> usize {
        self.failed_count
    }

    /// Returns the unfinished messages in the order in which they were accepted. The outcomes of attempts in flight are
    /// lost, so each of these attempts counts as one that may have taken effect.
    pub fn recover_messages(&mut self) -> Vec<StoredMessage> {
        self.live.assume_effect_of_attempts_in_flight();
        self.live.messages()
    }

    /// Returns whether the journal has space for a message until it is finished, including the space for copying it
    /// while a segment is freed.
    pub fn has_space_for(&self, message: &StoredMessage) -> bool {
        let limits = self.ring.limits();
        limits.has_space_for(self.live.reserved_bytes(), message.reserved_bytes())
    }

    /// Records an accepted message and returns its serial number, which replaces the one in `message`.
    pub fn record_message(&mut self, mut message: StoredMessage) -> Result<u64, JournalError> {
        let serial = self.next_serial;
        self.next_serial += 1;
        message.serial = serial;
        self.append_record(Record::message(message))?;
        Ok(serial)
    }

    /// Records that an attempt to an endpoint in `zone` starts at `started_at`, in µs since the Unix epoch.
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

    /// Records that an attempt ended, and whether it may have taken effect.
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

    /// Records that an attempt was withdrawn before any of it was sent, which frees its index. The message is written
    /// again in its state before the attempt, because earlier versions that read this journal have no record for a
    /// withdrawal.
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

    /// Records that a message is finished. Does nothing if the journal holds no such message.
    pub fn record_message_end(&mut self, serial: u64) -> Result<(), JournalError> {
        if !self.live.contains(serial) {
            return Ok(());
        }
        self.append_record(Record::MessageEnded { serial })
    }

    fn append_record(&mut self, record: Record) -> Result<(), JournalError> {
        self.names.store()?;
        let frame = record::encode_frame(&record)?;
        self.free_space_for(frame.len() as u64)?;
        self.write_record(&frame, record)
    }

    fn write_record(&mut self, frame: &[u8], record: Record) -> Result<(), JournalError> {
        let segment_number = self.ring.append(frame)?;
        self.live.apply(record, segment_number);
        Ok(())
    }

    /// Frees the oldest segments until `record_bytes` fit and leave the spare space free, or until no sealed segment is
    /// left. Fails if `record_bytes` do not fit within the size limit after the maximum number of segments has been
    /// freed.
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

    /// Copies the unfinished messages of a segment to the active one, so that the segment can be deleted.
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
mod names_tests;
#[cfg(test)]
mod tests;
