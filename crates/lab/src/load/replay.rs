//! Submission times that are read from a file.

use opalpulley::Micros;
use std::path::{Path, PathBuf};

/// Why a file of submission times can't be replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    File {
        file: PathBuf,
        source: std::io::Error,
    },
    /// A line of it is wrong.
    #[error("{}:{line_number}: {line}: {problem}", file.display())]
    Line {
        file: PathBuf,
        line_number: usize,
        line: String,
        problem: ReplayLineError,
    },
}

/// What is wrong with a line of a file of submission times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplayLineError {
    /// The first column is no number.
    #[error("write a time in seconds first")]
    Time,
    /// The second column is no number.
    #[error("the destination is a number")]
    Destination,
    /// The time is negative or too late, or there is no such destination.
    #[error("the time or the destination is out of range")]
    OutOfRange,
}

/// A replayed time must be earlier, s.
const REPLAY_TIME_LIMIT_SECONDS: f64 = 1e9;

/// When a replayed message is due, and its destination where the file names one.
pub(super) type ReplayEntry = (Micros, Option<u32>);

/// Reads a file of submission times, sorted by time. Empty lines and comments (`#`) are passed over.
pub(super) fn read_replay_file(
    file: &Path,
    destination_count: usize,
) -> Result<Vec<ReplayEntry>, ReplayError> {
    let text = std::fs::read_to_string(file).map_err(|source| ReplayError::File {
        file: file.to_owned(),
        source,
    })?;
    let mut entries = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        let entry = parse_line(line, destination_count).map_err(|problem| ReplayError::Line {
            file: file.to_owned(),
            line_number: index + 1,
            line: line.to_owned(),
            problem,
        })?;
        entries.push(entry);
    }
    entries.sort_unstable();
    Ok(entries)
}

/// Reads one line: a time in seconds, then the number of a destination where one is named.
fn parse_line(line: &str, destination_count: usize) -> Result<ReplayEntry, ReplayLineError> {
    let mut columns = line.split(',').map(str::trim);
    let seconds: f64 = columns
        .next()
        .unwrap_or("")
        .parse()
        .map_err(|_| ReplayLineError::Time)?;
    let destination: Option<u32> = columns
        .next()
        .map(|column| column.parse().map_err(|_| ReplayLineError::Destination))
        .transpose()?;
    let unknown = destination.is_some_and(|number| number as usize >= destination_count);
    if unknown || !(0.0..REPLAY_TIME_LIMIT_SECONDS).contains(&seconds) {
        return Err(ReplayLineError::OutOfRange);
    }
    Ok(((seconds * 1e6) as Micros, destination))
}
