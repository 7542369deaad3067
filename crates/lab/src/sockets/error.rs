//! Why a run on sockets could not be carried out.

use crate::load::ReplayError;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// Why a run on sockets could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum SocketsError {
    /// The stand-ins could not be started.
    #[error("the stage could not be set: {0}")]
    Setup(#[source] io::Error),
    /// The load tool could not be started.
    #[error("the load tool could not start: {0}")]
    LoadGenerator(#[source] io::Error),
    /// The load can't be replayed from its file.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// A forwarder's program, its folder or its log can't be used.
    #[error("{}: {source}", program.display())]
    Program { program: PathBuf, source: io::Error },
    /// A forwarder's process ended before it was up.
    #[error("forwarder {forwarder} ended as it started: {status}")]
    EndedAtStart { forwarder: u32, status: ExitStatus },
    /// A forwarder did not answer `GET /up` in time.
    #[error("forwarder {forwarder} was not up after {waited:?}")]
    NotUp { forwarder: u32, waited: Duration },
}
