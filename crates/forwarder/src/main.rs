//! The program on the platform: start-up configuration from the environment, control by signals, the log on standard error.

use opalpulley_forwarder::{run, ProcessControl, StartupConfig};
use slog::{error, o, Drain, Logger};
use std::io;
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

/// Lines that wait to be written. Further ones are counted and dropped.
const LOG_QUEUE_LINES: usize = 1024;

/// The exit code where the start-up configuration can't be used.
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
    // Debug lines never appear, because the level is fixed.
    let drain = slog::LevelFilter::new(drain, slog::Level::Info).fuse();
    (Logger::root(drain, o!()), guard)
}

/// Handles signals from now on: SIGTERM ends the process in order, SIGHUP reloads its configuration. Either would kill a
/// process without a handler.
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

async fn forward_reload_requests(mut sighup: Signal, reload_requests: mpsc::Sender<()>) {
    while sighup.recv().await.is_some() && !reload_requests.is_closed() {
        // A request that waits already covers those that come meanwhile.
        let _ = reload_requests.try_send(());
    }
}

/// Resolves with the first signal.
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
            error!(log, "forwarder failed"; "problem" => %error);
            ExitCode::FAILURE
        }
    }
}

/// Runs a forwarder on this thread.
fn run_to_end(startup: StartupConfig, log: &Logger) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async { run(startup, handle_signals()?, log.clone()).await })
}
