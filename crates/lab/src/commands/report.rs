//! The subcommand `report`, which writes an HTML report of outcomes that were written as JSON.

use super::error::CommandError;
use super::output::write_file;
use super::CommandResult;
use clap::Args;
use opalpulley_lab::report;
use opalpulley_lab::tally::Outcome;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Options of the subcommand `report`.
#[derive(Args)]
pub struct Options {
    /// JSON files, each with one outcome or a list of outcomes
    #[arg(required = true)]
    outcomes: Vec<PathBuf>,
    /// The file for the report
    #[arg(long, default_value = "report.html")]
    to: PathBuf,
}

/// Reads the outcomes, writes their report and prints its path.
pub fn execute(options: &Options) -> CommandResult {
    let mut outcomes = Vec::new();
    for path in &options.outcomes {
        outcomes.extend(read_outcomes(path)?);
    }
    write_file(&options.to, &report::html(&outcomes)?)?;
    println!("{}", options.to.display());
    Ok(ExitCode::SUCCESS)
}

/// Reads a JSON file that contains one outcome or a list of outcomes.
fn read_outcomes(path: &Path) -> Result<Vec<Outcome>, CommandError> {
    let text = std::fs::read_to_string(path).map_err(CommandError::file(path))?;
    if let Ok(outcomes) = serde_json::from_str::<Vec<Outcome>>(&text) {
        return Ok(outcomes);
    }
    let outcome = serde_json::from_str(&text).map_err(|source| CommandError::Outcome {
        path: path.to_owned(),
        source,
    })?;
    Ok(vec![outcome])
}
