//! The segment files. Each file is named after its segment number, and only the newest one is written.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Unit in which the size of a file counts against the limit, in bytes. It matches the platform's accounting.
pub const BLOCK_BYTES: u64 = 512;

const FILE_SUFFIX: &str = ".journal";

/// The number and size of a segment file.
pub struct Segment {
    /// Number of the segment. Later segments have higher numbers.
    pub number: u64,
    /// Size of the records in the file, in bytes.
    pub bytes: u64,
}

impl Segment {
    /// Returns the space that the file takes on disk, in bytes.
    pub fn bytes_on_disk(&self) -> u64 {
        self.bytes.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
    }
}

/// The segment that new records are appended to.
pub struct ActiveSegment {
    /// Number and size of the segment.
    pub segment: Segment,
    file: File,
}

impl ActiveSegment {
    /// Creates an empty segment file in `dir`.
    pub fn create(dir: &Path, number: u64) -> io::Result<ActiveSegment> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path(dir, number))?;
        let segment = Segment { number, bytes: 0 };
        Ok(ActiveSegment { segment, file })
    }

    /// Appends an encoded record. If the write fails, the part that was written is cut off, because it would hide all
    /// records after it.
    pub fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        if let Err(error) = self.file.write_all(frame) {
            self.file.set_len(self.segment.bytes)?;
            return Err(error);
        }
        self.segment.bytes += frame.len() as u64;
        Ok(())
    }
}

/// Returns the path of a segment file.
pub fn path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{number:012}{FILE_SUFFIX}"))
}

/// Returns the numbers of the segments in a directory in ascending order. Other files are ignored.
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

/// Truncates a segment file to `len` bytes.
pub fn truncate(path: &Path, len: u64) -> io::Result<()> {
    OpenOptions::new().write(true).open(path)?.set_len(len)
}

/// Deletes a segment file.
pub fn delete(dir: &Path, number: u64) -> io::Result<()> {
    fs::remove_file(path(dir, number))
}
