//! The subcommand `catalogue`, which runs every scenario in a directory.

use super::error::CommandError;
use super::options::{ClockOptions, RunOptions};
use super::output::{create_dir, write_file};
use super::run_scenario::{exit_code, run_scenario};
use super::CommandResult;
use clap::Args;
use opalpulley_lab::report;
use opalpulley_lab::tally::Outcome;
use std::path::{Path, PathBuf};

/// Options of the subcommand `catalogue`.
#[derive(Args)]
pub struct Options {
    /// The directory of the scenario files (TOML)
    #[arg(default_value = "lab/scenarios")]
    folder: PathBuf,
    #[command(flatten)]
    clocks: ClockOptions,
    #[command(flatten)]
    run: RunOptions,
    /// Writes an HTML report for each scenario into this directory
    #[arg(long)]
    reports: Option<PathBuf>,
    /// Skips scenarios whose load lasts longer than this, in seconds
    #[arg(long)]
    shorter_than: Option<f64>,
}

/// Runs the scenarios of the directory in the order of their file names and prints one line for each run.
pub fn execute(options: &Options) -> CommandResult {
    let files = scenario_files(&options.folder)?;
    if let Some(reports_dir) = &options.reports {
        create_dir(reports_dir)?;
    }
    let mut all_outcomes = Vec::new();
    for file in files {
        let scenario = options.run.load_scenario(&file)?;
        let max_duration_s = options.shorter_than.unwrap_or(f64::INFINITY);
        if scenario.lasts.seconds() > max_duration_s {
            continue;
        }
        let outcomes = run_scenario(&scenario, &options.clocks, &options.run)?;
        outcomes.iter().for_each(print_outcome);
        if let Some(reports_dir) = &options.reports {
            let page_path = reports_dir.join(format!("{}.html", scenario.name));
            write_file(&page_path, &report::html(&outcomes)?)?;
        }
        all_outcomes.extend(outcomes);
    }
    Ok(exit_code(&all_outcomes))
}

/// Lists the TOML files in a directory, sorted by name.
fn scenario_files(dir: &Path) -> Result<Vec<PathBuf>, CommandError> {
    let entries = std::fs::read_dir(dir).map_err(CommandError::file(dir))?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| {
        file.extension()
            .is_some_and(|extension| extension == "toml")
    });
    files.sort();
    Ok(files)
}

fn print_outcome(outcome: &Outcome) {
    let misses = outcome.misses();
    let verdict = if misses.is_empty() {
        "as expected".to_owned()
    } else {
        misses.join("; ")
    };
    let p99_ms = outcome.latency.p99 as f64 / 1e3;
    let served_share = outcome.served_share();
    println!(
        "{:<24}{:<11}served {served_share:.4}  p99 {p99_ms:>9.1} ms  {verdict}",
        outcome.scenario,
        format!("{:?}", outcome.clock)
    );
}
