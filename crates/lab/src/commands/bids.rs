//! `bids`: what the core's own work costs while messages wait in one queue.

use super::CommandResult;
use clap::Args;
use opalpulley_lab::experiments::core_cost::measure;
use std::process::ExitCode;

/// Options of `bids`.
#[derive(Args)]
pub struct Options {
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000, 10000])]
    waiting: Vec<u32>,
    #[arg(long, default_value_t = 2000)]
    rounds: u32,
}

/// Prints a row for each number of waiting messages.
pub fn execute(options: &Options) -> CommandResult {
    println!(
        "{:>10}{:>16}{:>16}",
        "waiting", "arrival ns", "end and bid ns"
    );
    for waiting in &options.waiting {
        let cost = measure(*waiting, options.rounds);
        println!(
            "{waiting:>10}{:>16.0}{:>16.0}",
            cost.submission_ns, cost.attempt_end_ns
        );
    }
    Ok(ExitCode::SUCCESS)
}
