//! Plays one scenario on the clocks that were asked for, and judges its outcomes.

use super::error::CommandError;
use super::options::{ClockOptions, WorldOptions};
use super::output::{create_folder, progress_bar, progress_of};
use super::EXIT_VOID;
use opalpulley_lab::scenario::Scenario;
use opalpulley_lab::sim::Sim;
use opalpulley_lab::sockets::run::{default_forwarder_program, run, SocketRunOptions};
use opalpulley_lab::tally::Outcome;
use std::process::ExitCode;
use std::time::Instant;

/// Plays a scenario on each clock that was asked for; the simulated one where none was.
pub fn play(
    scenario: &Scenario,
    clocks: &ClockOptions,
    world: &WorldOptions,
) -> Result<Vec<Outcome>, CommandError> {
    let seed = world.seed_for(scenario);
    let mut outcomes = Vec::new();
    if clocks.simulated || !clocks.sockets {
        outcomes.push(play_simulated(scenario, seed, world)?);
    }
    if clocks.sockets {
        outcomes.push(play_on_sockets(scenario, seed, clocks)?);
    }
    Ok(outcomes)
}

fn play_simulated(
    scenario: &Scenario,
    seed: u64,
    world: &WorldOptions,
) -> Result<Outcome, CommandError> {
    let bar = progress_bar(&scenario.name);
    let started = Instant::now();
    let sim = Sim::new(scenario, seed, world.variant)?;
    let (outcome, work) = sim.run_until(u64::MAX, progress_of(&bar));
    bar.finish_and_clear();
    let seconds = started.elapsed().as_secs_f64();
    eprintln!(
        "simulated in {seconds:.2} s: {} happenings, {} events of the core ({:.0} a second)",
        work.events,
        work.core_events,
        work.core_events as f64 / seconds
    );
    Ok(outcome)
}

fn play_on_sockets(
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
        create_folder(logs)?;
    }
    let means = SocketRunOptions {
        program,
        log_folder: clocks.logs.clone(),
        pinned_core: clocks.pin,
    };
    let bar = progress_bar(&scenario.name);
    let (outcome, usage) = runtime()?.block_on(run(scenario, seed, &means, progress_of(&bar)))?;
    bar.finish_and_clear();
    eprintln!(
        "forwarders used {:.1} us of CPU a message, {:.2} of a core, {:.1} MB the largest",
        usage.cpu_micros as f64 / outcome.counts.due.max(1) as f64,
        usage.cpu_micros as f64 / 1e6 / usage.seconds,
        usage.peak_memory_bytes as f64 / 1e6
    );
    Ok(outcome)
}

/// The runtime for what runs on sockets.
pub fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)
}

/// The exit code for these outcomes: void before missed before as expected.
pub fn exit_code(outcomes: &[Outcome]) -> ExitCode {
    if outcomes.iter().any(|outcome| outcome.void.is_some()) {
        return ExitCode::from(EXIT_VOID);
    }
    if outcomes.iter().any(|outcome| !outcome.misses().is_empty()) {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
