//! `sweep`: one value of a scenario over a range.

use super::options::load_scenario;
use super::output::write_json;
use super::CommandResult;
use clap::Args;
use opalpulley_lab::experiments::sweep::sweep;
use opalpulley_lab::subject::ForwarderVariant;
use std::path::PathBuf;
use std::process::ExitCode;

/// Options of `sweep`.
#[derive(Args)]
pub struct Options {
    scenario: PathBuf,
    /// As in forwarders.slots or destinations[0].rate
    #[arg(long)]
    key: String,
    #[arg(long, required = true, value_delimiter = ',')]
    values: Vec<String>,
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    #[arg(long = "make", default_value_t = ForwarderVariant::True)]
    variant: ForwarderVariant,
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Plays the scenario with each value and prints a row for each.
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
