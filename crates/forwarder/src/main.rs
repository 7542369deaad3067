//! The program on the platform: start-up configuration from the environment, orders from signals, the log to standard error.

use opalpulley_forwarder::{run, Orders, StartupConfig};
use slog::{error, o, Drain, Logger};
use std::io;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

const LOG_LINES: usize = 1024; // waiting to be written: further ones are counted and dropped

fn logger() -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(io::stderr());
    let lines = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build()
        .fuse();
    let (drain, guard) = slog_async::Async::new(lines)
        .chan_size(LOG_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = slog::LevelFilter::new(drain, slog::Level::Info).fuse();
    (Logger::root(drain, o!()), guard)
}

/// Guards the process from the first moment on: a signal without a handler would end it.
fn orders() -> io::Result<Orders> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let (again, reload) = mpsc::channel(1);
    tokio::spawn(async move {
        // One that waits already covers those that come meanwhile.
        while hang_up.recv().await.is_some() && !again.is_closed() {
            let _ = again.try_send(());
        }
    });
    let end = async move {
        if term.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    };
    Ok(Orders {
        end: Box::pin(end),
        reload,
        reread: Box::new(StartupConfig::from_env),
    })
}

fn main() -> ExitCode {
    let startup = match StartupConfig::from_env() {
        Ok(startup) => startup,
        Err(problem) => {
            eprintln!("opalpulley: {problem}");
            return ExitCode::from(2);
        }
    };
    let (log, _guard) = logger();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let ended = runtime
        .and_then(|runtime| runtime.block_on(async { run(startup, orders()?, log.clone()).await }));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!(log, "can't go on"; "problem" => %problem);
            ExitCode::FAILURE
        }
    }
}
