//! The subcommand `run`, which runs one scenario and checks its outcome.

use super::options::{ClockOptions, RunOptions};
use super::output::{write_file, write_json};
use super::run_scenario::{exit_code, run_scenario};
use super::CommandResult;
use clap::Args;
use opalpulley_lab::report;
use opalpulley_lab::tally::Outcome;
use std::path::{Path, PathBuf};

/// Options of the subcommand `run`.
#[derive(Args)]
pub struct Options {
    /// The scenario file
    scenario: PathBuf,
    #[command(flatten)]
    clocks: ClockOptions,
    #[command(flatten)]
    run: RunOptions,
    /// Writes the outcome as JSON into this file; a list of two outcomes if both clocks are named
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes the report as HTML into this file, and the outcome as JSON beside it
    #[arg(long)]
    report: Option<PathBuf>,
}

impl Options {
    /// Returns the path for the outcome as JSON: the named file, else a file beside the report.
    fn json_path(&self) -> Option<PathBuf> {
        let beside_report = || Some(self.report.as_ref()?.with_extension("json"));
        self.json.clone().or_else(beside_report)
    }
}

/// Runs the scenario, prints its figures and writes the requested files.
pub fn execute(options: &Options) -> CommandResult {
    let scenario = options.run.load_scenario(&options.scenario)?;
    let outcomes = run_scenario(&scenario, &options.clocks, &options.run)?;
    for outcome in &outcomes {
        print!("{}", report::text(outcome));
    }
    if let Some(path) = options.json_path() {
        write_outcomes(&path, &outcomes)?;
    }
    if let Some(path) = &options.report {
        write_file(path, &report::html(&outcomes)?)?;
    }
    Ok(exit_code(&outcomes))
}

/// Writes one outcome as an object and several as a list. The subcommand `report` reads both.
fn write_outcomes(path: &Path, outcomes: &[Outcome]) -> Result<(), super::CommandError> {
    match outcomes {
        [outcome] => write_json(path, outcome),
        outcomes => write_json(path, &outcomes),
    }
}
