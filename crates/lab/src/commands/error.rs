//! The errors of the subcommands.

use super::EXIT_INVALID_RUN;
use opalpulley_lab::capacity::error::CapacityError;
use opalpulley_lab::experiments::ExperimentError;
use opalpulley_lab::load::ReplayError;
use opalpulley_lab::report::PlotError;
use opalpulley_lab::scenario::ScenarioError;
use opalpulley_lab::sockets::SocketsError;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code for an input, a file or a program that can't be used.
const EXIT_UNUSABLE_INPUT: u8 = 2;

/// Why a subcommand could not be executed. The program prints its text on one line.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A scenario file can't be read or is invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// An experiment failed.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// The submission times of a load can't be read from their file.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// A run on sockets failed.
    #[error(transparent)]
    Sockets(#[from] SocketsError),
    /// A plot of a report could not be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// A capacity measurement failed.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// A file or directory can't be read or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// A file does not contain an outcome as JSON.
    #[error("{}: the file does not contain an outcome as JSON: {source}", path.display())]
    Outcome {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// Another build of this program can't be run, or the temporary file for its outcome can't be used.
    #[error("{}: can't run this build: {source}", build.display())]
    OtherBuild { build: PathBuf, source: io::Error },
    /// Another build of this program wrote no readable outcome.
    #[error("{}: this build wrote no readable outcome: {source}; its stderr: {stderr}", build.display())]
    OtherBuildOutcome {
        build: PathBuf,
        source: serde_json::Error,
        stderr: String,
    },
    /// The forwarder program does not exist.
    #[error("{}: no such program; build it, or name one with --forwarder", program.display())]
    NoForwarderProgram { program: PathBuf },
    /// A value can't be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A scenario can't be serialized as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// The asynchronous runtime for sockets can't be started.
    #[error(transparent)]
    Runtime(io::Error),
    /// A run of a comparison is invalid, so the two sides can't be compared.
    #[error("a compared run is invalid: {reason}")]
    InvalidRun { reason: String },
}

impl CommandError {
    /// Returns an argument for `map_err` that adds the path of the file or directory to the error.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> CommandError + '_ {
        |source| CommandError::File {
            path: path.to_owned(),
            source,
        }
    }

    /// Returns the exit code of a program that fails with this error.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::InvalidRun { .. } => EXIT_INVALID_RUN,
            _ => EXIT_UNUSABLE_INPUT,
        })
    }
}
