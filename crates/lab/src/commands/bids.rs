//! The subcommand `bids`, which measures the cost of core events while messages wait in one queue.

use super::CommandResult;
use clap::Args;
use opalpulley_lab::experiments::core_cost::measure;
use std::process::ExitCode;

/// Options of the subcommand `bids`.
#[derive(Args)]
pub struct Options {
    /// Numbers of waiting messages to measure with
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000, 10000])]
    waiting: Vec<u32>,
    /// Measured rounds for each number of waiting messages
    #[arg(long, default_value_t = 2000)]
    rounds: u32,
}

/// Measures the costs and prints one row for each number of waiting messages.
pub fn execute(options: &Options) -> CommandResult {
    println!(
        "{:>10}{:>16}{:>16}",
        "waiting", "submission ns", "attempt end ns"
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
