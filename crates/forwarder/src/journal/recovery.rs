//! The replay of the segments at startup.

use super::live::LiveMessages;
use super::record;
use super::segment::{self, Segment};
use std::fs;
use std::io;
use std::path::Path;

/// The state after the replay of the segments that have been read so far.
#[derive(Default)]
pub struct Replay {
    /// The unfinished messages.
    pub live: LiveMessages,
    /// The next serial number, higher than any that was read.
    pub next_serial: u64,
}

impl Replay {
    /// Applies the records of a segment. Segments must be read in the order of their numbers. Reading stops at the
    /// first record that is cut off or damaged, because the rest of the file cannot be decoded, and the file is
    /// truncated there.
    pub fn read_segment(&mut self, dir: &Path, number: u64) -> io::Result<Segment> {
        let path = segment::path(dir, number);
        let bytes = fs::read(&path)?;
        let mut valid_bytes = 0;
        while let Some((record, frame_len)) = record::decode_frame(&bytes[valid_bytes..]) {
            valid_bytes += frame_len;
            self.next_serial = self.next_serial.max(record.serial() + 1);
            self.live.apply(record, number);
        }
        if valid_bytes < bytes.len() {
            segment::truncate(&path, valid_bytes as u64)?;
        }
        Ok(Segment {
            number,
            bytes: valid_bytes as u64,
        })
    }
}
