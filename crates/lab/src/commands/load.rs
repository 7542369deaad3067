//! `load`: the load tool alone, at forwarders that run already.

use super::options::WorldOptions;
use super::output::{progress_bar, progress_of};
use super::play::runtime;
use super::{CommandResult, EXIT_VOID};
use clap::Args;
use opalpulley_lab::sockets::without_forwarders::run_load_only;
use opalpulley_lab::tally::Outcome;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Options of `load`.
#[derive(Args)]
pub struct Options {
    scenario: PathBuf,
    /// Where they listen
    #[arg(long, required = true, value_delimiter = ',')]
    to: Vec<SocketAddr>,
    #[command(flatten)]
    world: WorldOptions,
}

/// Submits the scenario's load to the forwarders and prints what they answered.
pub fn execute(options: &Options) -> CommandResult {
    let scenario = options.world.load_scenario(&options.scenario)?;
    let bar = progress_bar(&scenario.name);
    let seed = options.world.seed_for(&scenario);
    let load = run_load_only(&scenario, seed, &options.to, progress_of(&bar));
    let outcome = runtime()?.block_on(load)?;
    bar.finish_and_clear();
    print_counts(&outcome);
    Ok(match outcome.void {
        Some(_) => ExitCode::from(EXIT_VOID),
        None => ExitCode::SUCCESS,
    })
}

fn print_counts(outcome: &Outcome) {
    let counts = &outcome.counts;
    println!(
        "due {}, submitted {}, rejected {}, turned away {}",
        counts.due, counts.submissions, counts.rejections, counts.turned_away
    );
    for (name, count) in &counts.outcomes {
        println!("{name}: {count}");
    }
    println!("the load tool was {} us late at p99", outcome.load_late);
}
