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
use ring::{Ring, SpaceLimits, SEGMENTS};
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
            JournalError::Encode(problem) => write!(f, "{problem}"),
            JournalError::Io(problem) => write!(f, "{problem}"),
            JournalError::Full => write!(f, "the journal is full"),
        }
    }
}

impl std::error::Error for JournalError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            JournalError::Encode(problem) => Some(problem),
            JournalError::Io(problem) => Some(problem),
            JournalError::Full => None,
        }
    }
}

impl From<postcard::Error> for JournalError {
    fn from(problem: postcard::Error) -> JournalError {
        JournalError::Encode(problem)
    }
}

impl From<io::Error> for JournalError {
    fn from(problem: io::Error) -> JournalError {
        JournalError::Io(problem)
    }
}

/// The journal of one forwarder.
pub struct Journal {
    ring: Ring,
    live: LiveMessages,
    next_serial: u64,
}

impl Journal {
    /// Opens the journal in a directory, with a limit in bytes. Returns the messages that are not over, in the order in
    /// which they were accepted. Fails where the directory or a segment can't be read or written.
    pub fn open(dir: &Path, limit: u64) -> io::Result<(Journal, Vec<StoredMessage>)> {
        let numbers = segment::numbers(dir)?;
        let next_number = numbers.last().map_or(0, |last| last + 1);
        let mut replay = Replay::default();
        let mut sealed = VecDeque::new();
        for number in numbers {
            sealed.push_back(replay.read_segment(dir, number)?);
        }
        let active = ActiveSegment::create(dir, next_number)?;
        let mut journal = Journal {
            ring: Ring::new(dir, SpaceLimits::new(limit), sealed, active),
            live: replay.live,
            next_serial: replay.next_serial,
        };
        let messages = journal.recover_messages();
        Ok((journal, messages))
    }

    /// The messages that are not over, in the order in which they were accepted. The outcomes of their attempts are
    /// lost, so that each attempt out may have taken effect.
    pub fn recover_messages(&mut self) -> Vec<StoredMessage> {
        self.live.assume_effect_of_attempts_out();
        self.live.messages()
    }

    /// Whether a message can be stored until it is over, also while a segment with it is freed.
    pub fn has_room(&self, message: &StoredMessage) -> bool {
        let limits = self.ring.limits();
        limits.has_room(self.live.reserved_bytes(), message.reserved_bytes())
    }

    /// Records that a message is accepted. Returns its serial number.
    pub fn accept(&mut self, mut message: StoredMessage) -> Result<u64, JournalError> {
        let serial = self.next_serial;
        self.next_serial += 1;
        message.serial = serial;
        self.append(Record::message(message))?;
        Ok(serial)
    }

    /// Records that an attempt starts at `started_at`, in Unix µs, to an endpoint of that zone.
    pub fn attempt_started(
        &mut self,
        serial: u64,
        attempt: u8,
        started_at: Micros,
        zone: u16,
    ) -> Result<(), JournalError> {
        self.append(Record::AttemptStarted {
            serial,
            attempt,
            started_at,
            zone,
        })
    }

    /// Records that an attempt is over, and whether it may have taken effect.
    pub fn attempt_ended(
        &mut self,
        serial: u64,
        attempt: u8,
        may_have_taken_effect: bool,
    ) -> Result<(), JournalError> {
        self.append(Record::AttemptEnded {
            serial,
            attempt,
            may_have_taken_effect,
        })
    }

    /// Records that nothing of an attempt was sent: its number is free again. The message is written once more as it
    /// was before the attempt, because earlier versions that read this journal know no record for that.
    pub fn attempt_withdrawn(&mut self, serial: u64, attempt: u8) -> Result<(), JournalError> {
        let Some(mut message) = self.live.get(serial).cloned() else {
            return Ok(());
        };
        message.attempts_out.retain(|out| out.attempt != attempt);
        message.attempts = u32::from(attempt);
        self.append(Record::message(message))
    }

    /// Records the final answer to a message, which the platform has not acknowledged yet.
    pub fn report_pending(&mut self, serial: u64, ending: Ending) -> Result<(), JournalError> {
        self.append(Record::PendingReport { serial, ending })
    }

    /// Records that a message is over and needs no report any more.
    pub fn ended(&mut self, serial: u64) -> Result<(), JournalError> {
        if !self.live.contains(serial) {
            return Ok(());
        }
        self.append(Record::Ended { serial })
    }

    fn append(&mut self, record: Record) -> Result<(), JournalError> {
        let bytes = record::encode(&record)?;
        self.make_room(bytes.len() as u64)?;
        self.write(&bytes, record)
    }

    fn write(&mut self, bytes: &[u8], record: Record) -> Result<(), JournalError> {
        let segment = self.ring.append(bytes)?;
        self.live.apply(record, segment);
        Ok(())
    }

    /// Frees the oldest segments until so many bytes fit and the spare space is free.
    fn make_room(&mut self, bytes: u64) -> Result<(), JournalError> {
        let max_freed = 2 * SEGMENTS + self.ring.segment_count();
        for _ in 0..max_freed {
            if self.ring.fits_beside_spare(bytes) {
                return Ok(());
            }
            let Some(oldest) = self.ring.oldest_sealed() else {
                return Ok(());
            };
            self.copy_live_messages(oldest)?;
            self.ring.delete_oldest_sealed()?;
        }
        if self.ring.fits(bytes) {
            Ok(())
        } else {
            Err(JournalError::Full)
        }
    }

    /// Writes the messages of a segment once more, so that it can be deleted.
    fn copy_live_messages(&mut self, segment: u64) -> Result<(), JournalError> {
        for message in self.live.messages_in(segment) {
            let record = Record::message(message);
            let bytes = record::encode(&record)?;
            self.write(&bytes, record)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
