//! The error type of the capacity measurements.

use super::fleet::plan::PlanError;
use crate::report::PlotError;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// The reason why a capacity measurement failed. Its text is printed to the user in one line.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The path of this program can't be determined, so that no fresh process can be started.
    #[error("the path of this program can't be determined: {0}")]
    OwnPath(#[source] io::Error),
    /// A fresh process of this program failed; the text is what it wrote to its standard error.
    #[error("{stderr}")]
    FreshProcess { stderr: String },
    /// The measurement of the core failed at one size.
    #[error("{destinations} destinations, {full_destinations} in full, {targets_each} targets each: {source}")]
    AtCoreSize {
        destinations: u32,
        full_destinations: String,
        targets_each: u32,
        source: Box<CapacityError>,
    },
    /// A socket, a process or the runtime can't be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Figures can't be serialized or deserialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// A file below `/proc` does not have the expected format; `text` is its content.
    #[error("{path} does not have the expected format: {text}")]
    MalformedProcFile { path: String, text: String },
    /// `/proc/<pid>/status` lacks a line or has no number in kB in it.
    #[error("/proc/{pid}/status has no line `{name}` with a value in kB")]
    MissingStatusLine { pid: u32, name: String },
    /// The processor-time clock of this process can't be read.
    #[error("the processor time can't be read: {0}")]
    ProcessorTime(#[source] nix::Error),
    /// A plot can't be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// The plan of a simulated fleet is invalid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The Zipf distribution of the traffic has invalid parameters.
    #[error(transparent)]
    Zipf(#[from] rand_distr::ZipfError),
    /// The forwarder program does not exist.
    #[error("{}: no such program; build it, or name one with --forwarder", program.display())]
    NoForwarderProgram { program: PathBuf },
    /// The forwarder program can't be started, or its folder can't be written.
    #[error("{}: {source}", program.display())]
    Program { program: PathBuf, source: io::Error },
    /// The forwarder process exited before its process id could be read.
    #[error("{}: the process exited at its start", program.display())]
    ExitedAtStart { program: PathBuf },
    /// The forwarder did not answer `GET /up` with status 200 within the timeout; `log` is its standard error.
    #[error("the forwarder was not ready within {timeout:?}; its log: {log}")]
    NotReady { timeout: Duration, log: String },
    /// The forwarder could not be measured with an endpoint list of this length.
    #[error("{listed_targets} targets: {source}")]
    AtListLength {
        listed_targets: u32,
        source: Box<CapacityError>,
    },
}

impl CapacityError {
    /// Returns a function for `map_err` that turns an I/O error on `path` into [`CapacityError::File`].
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> CapacityError {
        |source| CapacityError::File {
            path: path.into(),
            source,
        }
    }
}
