//! The ring of segments, and the accounting of its space.

use super::segment::{self, ActiveSegment, Segment};
use std::collections::VecDeque;
use std::io;
use std::path::{Path, PathBuf};

/// The limit is divided into so many segments: freeing one copies a sixteenth of it at most.
pub const TARGET_SEGMENT_COUNT: u64 = 16;

/// A message takes at most this part of the limit, so that copying one always fits.
const MAX_MESSAGE_DIVISOR: u64 = 8;

/// Bytes of the largest message that the protocol admits, rounded up.
const MAX_MESSAGE_BYTES: u64 = 67_000;

/// The share of the usable space that live messages may take. A freed segment is copied by that share on average.
const MAX_LIVE_FRACTION: f64 = 0.75;

/// How the limit of the journal is divided.
#[derive(Clone, Copy)]
pub struct SpaceLimits {
    total_bytes: u64,
}

impl SpaceLimits {
    /// The division of so many bytes.
    pub fn new(total_bytes: u64) -> SpaceLimits {
        SpaceLimits { total_bytes }
    }

    /// The size at which a segment is full.
    fn max_segment_bytes(self) -> u64 {
        self.total_bytes / TARGET_SEGMENT_COUNT
    }

    fn max_message_bytes(self) -> u64 {
        (self.total_bytes / MAX_MESSAGE_DIVISOR).min(MAX_MESSAGE_BYTES)
    }

    /// Kept free: a segment that is being filled, while another one or one large message is copied.
    fn spare_bytes(self) -> u64 {
        let segment_bytes = self.max_segment_bytes();
        segment_bytes + segment_bytes.max(self.max_message_bytes())
    }

    /// Whether a message can be stored until it is over. Both sizes are what [`StoredMessage::reserved_bytes`] says.
    ///
    /// [`StoredMessage::reserved_bytes`]: super::StoredMessage::reserved_bytes
    pub fn has_space_for(self, live_bytes: u64, message_bytes: u64) -> bool {
        let usable_bytes = self.total_bytes - self.spare_bytes() - self.max_segment_bytes();
        let max_live_bytes = MAX_LIVE_FRACTION * usable_bytes as f64;
        message_bytes <= self.max_message_bytes()
            && (live_bytes + message_bytes) as f64 <= max_live_bytes
    }
}

/// The segments, from the oldest sealed one to the active one.
pub struct SegmentRing {
    dir: PathBuf,
    limits: SpaceLimits,
    sealed: VecDeque<Segment>,
    active: ActiveSegment,
}

impl SegmentRing {
    /// The ring of the segments in a directory, the oldest first.
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

    /// How its space is divided.
    pub fn limits(&self) -> SpaceLimits {
        self.limits
    }

    /// How many segments there are, the active one included.
    pub fn segment_count(&self) -> u64 {
        self.sealed.len() as u64 + 1
    }

    /// The number of the oldest segment that is not written any more.
    pub fn oldest_sealed_number(&self) -> Option<u64> {
        self.sealed.front().map(|segment| segment.number)
    }

    /// Whether so many bytes fit the limit.
    pub fn fits_within_limit(&self, bytes: u64) -> bool {
        self.used_bytes() + bytes <= self.limits.total_bytes
    }

    /// Whether so many bytes fit and leave the spare space free.
    pub fn fits_within_limit_with_spare(&self, bytes: u64) -> bool {
        self.fits_within_limit(bytes + self.limits.spare_bytes())
    }

    fn used_bytes(&self) -> u64 {
        let sealed_bytes: u64 = self.sealed.iter().map(Segment::bytes_on_disk).sum();
        sealed_bytes + self.active.segment.bytes_on_disk()
    }

    /// Appends a record to the active segment, or to a new one where that is full. Returns the number of the segment.
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

    /// Deletes the oldest segment that is not written any more.
    pub fn delete_oldest_sealed(&mut self) -> io::Result<()> {
        match self.sealed.pop_front() {
            Some(oldest) => segment::delete(&self.dir, oldest.number),
            None => Ok(()),
        }
    }
}
