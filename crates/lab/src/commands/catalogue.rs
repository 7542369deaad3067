//! `catalogue`: plays every scenario of a folder.

use super::error::CommandError;
use super::options::{ClockOptions, WorldOptions};
use super::output::{create_folder, write_file};
use super::play::{exit_code, play};
use super::CommandResult;
use clap::Args;
use opalpulley_lab::report;
use opalpulley_lab::tally::Outcome;
use std::path::{Path, PathBuf};

/// Options of `catalogue`.
#[derive(Args)]
pub struct Options {
    #[arg(default_value = "lab/scenarios")]
    folder: PathBuf,
    #[command(flatten)]
    clocks: ClockOptions,
    #[command(flatten)]
    world: WorldOptions,
    /// Writes a page for each scenario
    #[arg(long)]
    reports: Option<PathBuf>,
    /// Only those that last no longer, s
    #[arg(long)]
    shorter_than: Option<f64>,
}

/// Plays the folder's scenarios in the order of their names and prints a line for each run.
pub fn execute(options: &Options) -> CommandResult {
    let files = scenario_files(&options.folder)?;
    if let Some(reports) = &options.reports {
        create_folder(reports)?;
    }
    let mut all = Vec::new();
    for file in files {
        let scenario = options.world.load_scenario(&file)?;
        let longest = options.shorter_than.unwrap_or(f64::INFINITY);
        if scenario.lasts.seconds() > longest {
            continue;
        }
        let outcomes = play(&scenario, &options.clocks, &options.world)?;
        outcomes.iter().for_each(print_line);
        if let Some(reports) = &options.reports {
            let page = reports.join(format!("{}.html", scenario.name));
            write_file(&page, &report::html(&outcomes)?)?;
        }
        all.extend(outcomes);
    }
    Ok(exit_code(&all))
}

/// The TOML files of a folder, by name.
fn scenario_files(folder: &Path) -> Result<Vec<PathBuf>, CommandError> {
    let entries = std::fs::read_dir(folder).map_err(CommandError::file(folder))?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| {
        file.extension()
            .is_some_and(|extension| extension == "toml")
    });
    files.sort();
    Ok(files)
}

fn print_line(outcome: &Outcome) {
    let misses = outcome.misses();
    let judgement = if misses.is_empty() {
        "as expected".to_owned()
    } else {
        misses.join("; ")
    };
    let p99_ms = outcome.latency.p99 as f64 / 1e3;
    let served = outcome.served_share();
    println!(
        "{:<24}{:<11}served {served:.4}  p99 {p99_ms:>9.1} ms  {judgement}",
        outcome.scenario,
        format!("{:?}", outcome.clock)
    );
}
