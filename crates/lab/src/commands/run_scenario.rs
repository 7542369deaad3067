//! Runs one scenario on the requested clocks and derives the exit code from its outcomes.

use super::error::CommandError;
use super::options::{ClockOptions, RunOptions};
use super::output::{create_dir, progress_bar, progress_callback};
use super::EXIT_INVALID_RUN;
use opalpulley_lab::scenario::Scenario;
use opalpulley_lab::sim::Sim;
use opalpulley_lab::sockets::run::{default_forwarder_program, run, SocketRunOptions};
use opalpulley_lab::tally::Outcome;
use std::process::ExitCode;
use std::time::Instant;

/// Runs a scenario on each requested clock, or on the simulated one if none is requested.
///
/// Fails if the load can't be read, the forwarder program does not exist, or the run on sockets fails.
pub fn run_scenario(
    scenario: &Scenario,
    clocks: &ClockOptions,
    options: &RunOptions,
) -> Result<Vec<Outcome>, CommandError> {
    let seed = options.seed_for(scenario);
    let mut outcomes = Vec::new();
    if clocks.simulated || !clocks.sockets {
        outcomes.push(run_simulated(scenario, seed, options)?);
    }
    if clocks.sockets {
        outcomes.push(run_on_sockets(scenario, seed, clocks)?);
    }
    Ok(outcomes)
}

fn run_simulated(
    scenario: &Scenario,
    seed: u64,
    options: &RunOptions,
) -> Result<Outcome, CommandError> {
    let bar = progress_bar(&scenario.name);
    let started_at = Instant::now();
    let sim = Sim::new(scenario, seed, options.variant)?;
    let (outcome, work) = sim.run_until(u64::MAX, progress_callback(&bar));
    bar.finish_and_clear();
    let elapsed_s = started_at.elapsed().as_secs_f64();
    eprintln!(
        "simulated in {elapsed_s:.2} s: {} simulated events, {} core events ({:.0} per second)",
        work.events,
        work.core_events,
        work.core_events as f64 / elapsed_s
    );
    Ok(outcome)
}

fn run_on_sockets(
    scenario: &Scenario,
    seed: u64,
    clocks: &ClockOptions,
) -> Result<Outcome, CommandError> {
    let program = clocks
        .forwarder
        .clone()
        .unwrap_or_else(default_forwarder_program);
    if !program.is_file() {
        return Err(CommandError::NoForwarderProgram { program });
    }
    if let Some(logs) = &clocks.logs {
        create_dir(logs)?;
    }
    let socket_options = SocketRunOptions {
        program,
        log_folder: clocks.logs.clone(),
        pinned_core: clocks.pin,
    };
    let bar = progress_bar(&scenario.name);
    let (outcome, usage) = build_runtime()?.block_on(run(
        scenario,
        seed,
        &socket_options,
        progress_callback(&bar),
    ))?;
    bar.finish_and_clear();
    eprintln!(
        "forwarders used {:.1} us of CPU time per message, {:.2} CPU cores, {:.1} MB in the largest process",
        usage.cpu_micros as f64 / outcome.counts.due.max(1) as f64,
        usage.cpu_micros as f64 / 1e6 / usage.seconds,
        usage.peak_memory_bytes as f64 / 1e6
    );
    Ok(outcome)
}

/// Builds the asynchronous runtime that runs on sockets need.
pub fn build_runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)
}

/// Returns the exit code for the outcomes. An invalid run takes precedence over a missed expectation.
pub fn exit_code(outcomes: &[Outcome]) -> ExitCode {
    if outcomes.iter().any(|outcome| outcome.void.is_some()) {
        return ExitCode::from(EXIT_INVALID_RUN);
    }
    if outcomes.iter().any(|outcome| !outcome.misses().is_empty()) {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
