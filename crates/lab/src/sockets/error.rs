//! Errors of runs on sockets.

use crate::load::ReplayError;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// The reason why a run on sockets could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum SocketsError {
    /// The temporary folder, the stand-ins or the load generator of a run could not be set up.
    #[error("the run could not be set up: {0}")]
    Setup(#[source] io::Error),
    /// The load generator could not be started without forwarders.
    #[error("the load generator could not be started: {0}")]
    LoadGenerator(#[source] io::Error),
    /// The load could not be replayed from its file.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// The program of a forwarder could not be started, or its folder or log could not be written.
    #[error("{}: {source}", program.display())]
    Program { program: PathBuf, source: io::Error },
    /// The process of a forwarder exited before it was ready.
    #[error("forwarder {forwarder} ended as it started: {status}")]
    EndedAtStart { forwarder: u32, status: ExitStatus },
    /// A forwarder did not answer `GET /up` with status 200 in time.
    #[error("forwarder {forwarder} was not up after {waited:?}")]
    NotUp { forwarder: u32, waited: Duration },
}
