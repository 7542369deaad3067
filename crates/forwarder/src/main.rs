//! The forwarder program: startup configuration from the environment, control by signals, and the log on standard
//! error.

use opalpulley_forwarder::{run, ProcessControl, StartupConfig};
use slog::{error, o, Drain, Logger};
use std::io;
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Upper bound on the number of log lines that wait to be written. Further lines are counted and dropped.
const LOG_QUEUE_LINES: usize = 1024;

/// Exit code if the startup configuration cannot be used.
const EXIT_BAD_CONFIG: u8 = 2;

fn create_logger() -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(io::stderr());
    let formatter = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build()
        .fuse();
    let (drain, guard) = slog_async::Async::new(formatter)
        .chan_size(LOG_QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    // The level is fixed, so debug lines are never written.
    let drain = slog::LevelFilter::new(drain, slog::Level::Info).fuse();
    (Logger::root(drain, o!()), guard)
}

/// Installs the signal handlers: SIGTERM shuts the process down in order, SIGHUP reloads its configuration. Without a
/// handler, either signal would kill the process. Fails if a handler cannot be installed.
fn handle_signals() -> io::Result<ProcessControl> {
    let sigterm = signal(SignalKind::terminate())?;
    let sighup = signal(SignalKind::hangup())?;
    let (reload_requests, reload) = mpsc::channel(1);
    tokio::spawn(forward_reload_requests(sighup, reload_requests));
    Ok(ProcessControl {
        terminate: Box::pin(wait_for_signal(sigterm)),
        reload,
        read_config: Box::new(StartupConfig::from_env),
    })
}

/// Requests a reload for each SIGHUP, with the time of the signal, until the forwarder ends.
async fn forward_reload_requests(mut sighup: Signal, reload_requests: mpsc::Sender<Instant>) {
    while sighup.recv().await.is_some() && !reload_requests.is_closed() {
        // A request that is still queued covers the later ones.
        let _ = reload_requests.try_send(Instant::now());
    }
}

/// Resolves with the first signal, and never if the signals end without one.
async fn wait_for_signal(mut signal: Signal) {
    if signal.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}

fn main() -> ExitCode {
    let startup = match StartupConfig::from_env() {
        Ok(startup) => startup,
        Err(error) => {
            eprintln!("opalpulley: {error}");
            return ExitCode::from(EXIT_BAD_CONFIG);
        }
    };
    let (log, _guard) = create_logger();
    match run_to_end(startup, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "forwarder could not be started"; "problem" => %error);
            ExitCode::FAILURE
        }
    }
}

/// Runs a forwarder on the current thread until it has shut down.
fn run_to_end(startup: StartupConfig, log: &Logger) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async { run(startup, handle_signals()?, log.clone()).await })
}
