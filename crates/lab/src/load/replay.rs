//! Reads submission times from a file.

use opalpulley::Micros;
use std::path::{Path, PathBuf};

/// Why a replay file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    File {
        file: PathBuf,
        source: std::io::Error,
    },
    /// A line of the file is invalid. `line_number` counts from 1.
    #[error("{}:{line_number}: {line}: {problem}", file.display())]
    Line {
        file: PathBuf,
        line_number: usize,
        line: String,
        problem: ReplayLineError,
    },
}

/// Why a line of a replay file is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplayLineError {
    /// The first column is not a number.
    #[error("the first column must be a time in seconds")]
    Time,
    /// The second column is not the number of a destination.
    #[error("the second column must be the number of a destination")]
    Destination,
    /// The time is negative or too late, or the destination doesn't exist.
    #[error("the time or the destination is out of range")]
    OutOfRange,
}

/// Exclusive upper bound on a time in a replay file, in seconds.
const REPLAY_TIME_LIMIT_SECONDS: f64 = 1e9;

/// The time at which a message is due, in µs from the start of the run, and the index of its destination if it is fixed.
pub(super) type ReplayEntry = (Micros, Option<u32>);

/// Reads a replay file and returns its entries sorted by time. Empty lines and comments (`#`) are skipped. Fails if the file
/// can't be read or a line is invalid.
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

/// Parses a line: a time in seconds, optionally followed by a comma and the number of a destination.
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
