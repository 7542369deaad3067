//! Why a subcommand could not be carried out.

use super::EXIT_VOID;
use opalpulley_lab::capacity::error::CapacityError;
use opalpulley_lab::experiments::ExperimentError;
use opalpulley_lab::load::ReplayError;
use opalpulley_lab::report::PlotError;
use opalpulley_lab::scenario::ScenarioError;
use opalpulley_lab::sockets::SocketsError;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// An input, a file or a program that can't be used.
const EXIT_UNUSABLE_INPUT: u8 = 2;

/// Why a subcommand could not be carried out; its text is the one line that the program prints.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A scenario file is wrong.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// An experiment could not be carried out.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// The load can't be replayed from its file.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// A run on sockets could not be carried out.
    #[error(transparent)]
    Sockets(#[from] SocketsError),
    /// A plot of the report could not be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// A capacity measurement could not be carried out.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// A file or folder can't be read or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// A file does not hold an outcome as JSON.
    #[error("{}: {source}", path.display())]
    Outcome {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// Another build of this program can't be run.
    #[error("{}: {source}", build.display())]
    OtherBuild { build: PathBuf, source: io::Error },
    /// Another build of this program wrote no outcome.
    #[error("{}: {source}; it said {stderr}", build.display())]
    OtherBuildOutcome {
        build: PathBuf,
        source: serde_json::Error,
        stderr: String,
    },
    /// The forwarder's program is not there.
    #[error("{}: no such program; build it, or name one with --forwarder", program.display())]
    NoForwarderProgram { program: PathBuf },
    /// Figures can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A scenario can't be written as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// The runtime for sockets can't be started.
    #[error(transparent)]
    Runtime(io::Error),
    /// One of the runs that are compared shows nothing.
    #[error("a run is void: {reason}")]
    VoidRun { reason: String },
}

impl CommandError {
    /// For a file or folder that can't be read or written; an argument for `map_err`.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> CommandError + '_ {
        |source| CommandError::File {
            path: path.to_owned(),
            source,
        }
    }

    /// The exit code of the program that ends with this error.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::VoidRun { .. } => EXIT_VOID,
            _ => EXIT_UNUSABLE_INPUT,
        })
    }
}
