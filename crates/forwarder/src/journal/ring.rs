//! The ring of segments, and the accounting of its space.

use super::segment::{self, ActiveSegment, Segment};
use std::collections::VecDeque;
use std::io;
use std::path::{Path, PathBuf};

/// Number of segments that the size limit is divided into. Freeing a segment copies at most a sixteenth of the limit.
pub const TARGET_SEGMENT_COUNT: u64 = 16;

/// Divisor of the size limit that bounds the size of one message, so that there is always space to copy one.
const MAX_MESSAGE_DIVISOR: u64 = 8;

/// Size of the largest message that the protocol admits, in bytes, rounded up.
const MAX_MESSAGE_BYTES: u64 = 67_000;

/// Fraction of the usable space that unfinished messages may reserve. On average, freeing a segment copies this
/// fraction of it.
const MAX_LIVE_FRACTION: f64 = 0.75;

/// The division of the journal's size limit.
#[derive(Clone, Copy)]
pub struct SpaceLimits {
    total_bytes: u64,
}

impl SpaceLimits {
    /// Divides a limit of `total_bytes` on disk.
    pub fn new(total_bytes: u64) -> SpaceLimits {
        SpaceLimits { total_bytes }
    }

    /// Returns the size at which a segment counts as full, in bytes.
    fn max_segment_bytes(self) -> u64 {
        self.total_bytes / TARGET_SEGMENT_COUNT
    }

    fn max_message_bytes(self) -> u64 {
        (self.total_bytes / MAX_MESSAGE_DIVISOR).min(MAX_MESSAGE_BYTES)
    }

    /// Returns the space that is kept free, in bytes: for the segment that is being filled, and for the copy of another
    /// segment or of one large message.
    fn spare_bytes(self) -> u64 {
        let segment_bytes = self.max_segment_bytes();
        segment_bytes + segment_bytes.max(self.max_message_bytes())
    }

    /// Returns whether a message of `message_bytes` can be stored until it is finished, beside unfinished messages of
    /// `live_bytes`. Both sizes are those that [`StoredMessage::reserved_bytes`] returns.
    ///
    /// [`StoredMessage::reserved_bytes`]: super::StoredMessage::reserved_bytes
    pub fn has_space_for(self, live_bytes: u64, message_bytes: u64) -> bool {
        let usable_bytes = self.total_bytes - self.spare_bytes() - self.max_segment_bytes();
        let max_live_bytes = MAX_LIVE_FRACTION * usable_bytes as f64;
        message_bytes <= self.max_message_bytes()
            && (live_bytes + message_bytes) as f64 <= max_live_bytes
    }
}

/// The segments on disk, from the oldest sealed segment to the active one.
pub struct SegmentRing {
    dir: PathBuf,
    limits: SpaceLimits,
    sealed: VecDeque<Segment>,
    active: ActiveSegment,
}

impl SegmentRing {
    /// Creates the ring from the segments in `dir`. The sealed segments must be given oldest first.
    pub fn new(
        dir: &Path,
        limits: SpaceLimits,
        sealed: VecDeque<Segment>,
        active: ActiveSegment,
    ) -> SegmentRing {
        SegmentRing {
            dir: dir.to_owned(),
            limits,
            sealed,
            active,
        }
    }

    /// Returns the division of the size limit.
    pub fn limits(&self) -> SpaceLimits {
        self.limits
    }

    /// Returns the number of segments, including the active one.
    pub fn segment_count(&self) -> u64 {
        self.sealed.len() as u64 + 1
    }

    /// Returns the number of the oldest segment that is no longer written, if there is one.
    pub fn oldest_sealed_number(&self) -> Option<u64> {
        self.sealed.front().map(|segment| segment.number)
    }

    /// Returns whether `bytes` more fit within the size limit.
    pub fn fits_within_limit(&self, bytes: u64) -> bool {
        self.used_bytes() + bytes <= self.limits.total_bytes
    }

    /// Returns whether `bytes` more fit within the size limit and leave the spare space free.
    pub fn fits_within_limit_with_spare(&self, bytes: u64) -> bool {
        self.fits_within_limit(bytes + self.limits.spare_bytes())
    }

    fn used_bytes(&self) -> u64 {
        let sealed_bytes: u64 = self.sealed.iter().map(Segment::bytes_on_disk).sum();
        sealed_bytes + self.active.segment.bytes_on_disk()
    }

    /// Appends an encoded record to the active segment, or to a new segment if the active one is full. Returns the
    /// number of the segment.
    pub fn append(&mut self, frame: &[u8]) -> io::Result<u64> {
        let active = &self.active.segment;
        let bytes_after = active.bytes + frame.len() as u64;
        if active.bytes > 0 && bytes_after > self.limits.max_segment_bytes() {
            self.start_segment()?;
        }
        self.active.append(frame)?;
        Ok(self.active.segment.number)
    }

    fn start_segment(&mut self) -> io::Result<()> {
        let new_segment = ActiveSegment::create(&self.dir, self.active.segment.number + 1)?;
        let previous = std::mem::replace(&mut self.active, new_segment);
        self.sealed.push_back(previous.segment);
        Ok(())
    }

    /// Deletes the oldest segment that is no longer written, if there is one.
    pub fn delete_oldest_sealed(&mut self) -> io::Result<()> {
        match self.sealed.pop_front() {
            Some(oldest) => segment::delete(&self.dir, oldest.number),
            None => Ok(()),
        }
    }
}
