//! The subcommand `sweep`, which runs a scenario with each of several values of one key.

use super::options::load_scenario;
use super::output::write_json;
use super::CommandResult;
use clap::Args;
use opalpulley_lab::experiments::sweep::sweep;
use opalpulley_lab::subject::ForwarderVariant;
use std::path::PathBuf;
use std::process::ExitCode;

/// Options of the subcommand `sweep`.
#[derive(Args)]
pub struct Options {
    /// The scenario file
    scenario: PathBuf,
    /// The key to vary, such as forwarders.slots or destinations[0].rate
    #[arg(long)]
    key: String,
    /// The values of the key
    #[arg(long, required = true, value_delimiter = ',')]
    values: Vec<String>,
    /// Number of runs with each value; the seeds count from 1
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// The forwarder variant to simulate
    #[arg(long = "make", default_value_t = ForwarderVariant::True)]
    variant: ForwarderVariant,
    /// Writes the rows as JSON into this file
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs the scenario with each value and prints one row of mean figures for each.
pub fn execute(options: &Options) -> CommandResult {
    let scenario = load_scenario(&options.scenario, &[])?;
    let rows = sweep(
        &scenario,
        &options.key,
        &options.values,
        options.seeds,
        options.variant,
    )?;
    println!("{rows}");
    if let Some(path) = &options.json {
        write_json(path, &rows)?;
    }
    Ok(ExitCode::SUCCESS)
}
