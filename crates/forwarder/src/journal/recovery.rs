//! The replay of the segments at a start.

use super::live::LiveMessages;
use super::record;
use super::segment::{self, Segment};
use std::fs;
use std::io;
use std::path::Path;

/// What the segments that were read so far say.
#[derive(Default)]
pub struct Replay {
    /// The messages that are not over.
    pub live: LiveMessages,
    /// Higher than any serial number that was read.
    pub next_serial: u64,
}

impl Replay {
    /// Applies the records of the next segment. A record that is cut off or damaged ends it: the rest of the file can't
    /// be read, and is cut off.
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
