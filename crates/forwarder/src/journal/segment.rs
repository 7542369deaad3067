//! The segment files. Each is named by its number; only the newest one is written.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The size of a file counts in units of so many bytes, as the platform counts it.
pub const BLOCK_BYTES: u64 = 512;

const FILE_SUFFIX: &str = ".journal";

/// The number and size of a segment file.
pub struct Segment {
    /// The numbers of later segments are higher.
    pub number: u64,
    /// The bytes of its records.
    pub bytes: u64,
}

impl Segment {
    /// The bytes that it takes on disk.
    pub fn bytes_on_disk(&self) -> u64 {
        self.bytes.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
    }
}

/// The segment that is written.
pub struct ActiveSegment {
    /// Its number and size.
    pub segment: Segment,
    file: File,
}

impl ActiveSegment {
    /// Creates an empty segment.
    pub fn create(dir: &Path, number: u64) -> io::Result<ActiveSegment> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path(dir, number))?;
        let segment = Segment { number, bytes: 0 };
        Ok(ActiveSegment { segment, file })
    }

    /// Appends a record. Where that fails, the part that was written is cut off: it would hide all records behind it.
    pub fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        if let Err(error) = self.file.write_all(frame) {
            self.file.set_len(self.segment.bytes)?;
            return Err(error);
        }
        self.segment.bytes += frame.len() as u64;
        Ok(())
    }
}

/// The path of a segment.
pub fn path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{number:012}{FILE_SUFFIX}"))
}

/// The numbers of the segments in a directory, ascending. Other files are ignored.
pub fn list_numbers(dir: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(dir)? {
        let file_name = entry?.file_name();
        if let Some(number) = file_name.to_str().and_then(parse_segment_number) {
            numbers.push(number);
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn parse_segment_number(file_name: &str) -> Option<u64> {
    file_name.strip_suffix(FILE_SUFFIX)?.parse().ok()
}

/// Cuts a segment off after so many bytes.
pub fn truncate(path: &Path, len: u64) -> io::Result<()> {
    OpenOptions::new().write(true).open(path)?.set_len(len)
}

/// Deletes a segment.
pub fn delete(dir: &Path, number: u64) -> io::Result<()> {
    fs::remove_file(path(dir, number))
}
