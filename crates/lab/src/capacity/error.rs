//! Why a capacity measurement could not be carried out.

use super::fleet::plan::BadPlan;
use crate::report::PlotError;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Why a capacity measurement could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The program that is running can't be found, so no fresh process can be started.
    #[error("this program's own path: {0}")]
    OwnPath(#[source] io::Error),
    /// A fresh process failed; its words say why.
    #[error("{stderr}")]
    FreshProcess { stderr: String },
    /// The core could not be measured at one size.
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
    /// Figures can't be read or written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// The kernel's account of a process lacks a value.
    #[error("{path}: {text}")]
    MalformedProcFile { path: String, text: String },
    /// The kernel's account of a process has no such line.
    #[error("/proc/{pid}/status has no {name}")]
    MissingStatusLine { pid: u32, name: String },
    /// The processor time of this process can't be read.
    #[error("the processor time can't be read: {0}")]
    ProcessorTime(#[source] nix::Error),
    /// A plot can't be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// The plan of a fleet can't be run.
    #[error(transparent)]
    Plan(#[from] BadPlan),
    /// The skew of the traffic can't be drawn from.
    #[error(transparent)]
    Zipf(#[from] rand_distr::ZipfError),
    /// The forwarder's program is not there.
    #[error("{}: no such program; build it, or name one with --forwarder", program.display())]
    NoForwarderProgram { program: PathBuf },
    /// The forwarder's program or its folder can't be used.
    #[error("{}: {source}", program.display())]
    Program { program: PathBuf, source: io::Error },
    /// The forwarder's process ended at once.
    #[error("{}: ended at once", program.display())]
    ExitedAtStart { program: PathBuf },
    /// The forwarder did not answer `GET /up` in time.
    #[error("not up within {timeout:?}; its log: {log}")]
    NotReady { timeout: Duration, log: String },
    /// The forwarder did not come up with a list of this length.
    #[error("{listed_targets} targets: {source}")]
    AtListLength {
        listed_targets: u32,
        source: Box<CapacityError>,
    },
}

impl CapacityError {
    /// For a file that can't be read or written; an argument for `map_err`.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> CapacityError {
        |source| CapacityError::File {
            path: path.into(),
            source,
        }
    }
}
