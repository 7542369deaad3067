//! The subcommand `load`, which submits the load of a scenario to forwarders that are already running.

use super::options::RunOptions;
use super::output::{progress_bar, progress_callback};
use super::run_scenario::build_runtime;
use super::{CommandResult, EXIT_INVALID_RUN};
use clap::Args;
use opalpulley_lab::sockets::without_forwarders::run_load_only;
use opalpulley_lab::tally::Outcome;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Options of the subcommand `load`.
#[derive(Args)]
pub struct Options {
    /// The scenario file
    scenario: PathBuf,
    /// The addresses on which the forwarders listen
    #[arg(long, required = true, value_delimiter = ',')]
    to: Vec<SocketAddr>,
    #[command(flatten)]
    run: RunOptions,
}

/// Submits the load of the scenario to the forwarders and prints the counts of their answers.
pub fn execute(options: &Options) -> CommandResult {
    let scenario = options.run.load_scenario(&options.scenario)?;
    let bar = progress_bar(&scenario.name);
    let seed = options.run.seed_for(&scenario);
    let load = run_load_only(&scenario, seed, &options.to, progress_callback(&bar));
    let outcome = build_runtime()?.block_on(load)?;
    bar.finish_and_clear();
    print_counts(&outcome);
    Ok(match outcome.void {
        Some(_) => ExitCode::from(EXIT_INVALID_RUN),
        None => ExitCode::SUCCESS,
    })
}

fn print_counts(outcome: &Outcome) {
    let counts = &outcome.counts;
    println!(
        "due {}, submitted {}, rejected {}, without an available forwarder {}",
        counts.due, counts.submissions, counts.rejections, counts.turned_away
    );
    for (name, count) in &counts.outcomes {
        println!("{name}: {count}");
    }
    println!(
        "the load generator submitted {} us late at p99",
        outcome.load_late
    );
}
