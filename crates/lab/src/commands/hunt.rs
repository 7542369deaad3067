//! `hunt`: draws worlds round a scenario and saves the worst, shrunk.

use super::error::CommandError;
use super::options::load_scenario;
use super::output::{create_dir, progress_bar, write_file};
use super::CommandResult;
use clap::Args;
use opalpulley_lab::experiments::worst_case::{find_worst_case, WorstCase};
use opalpulley_lab::report;
use opalpulley_lab::subject::ForwarderVariant;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Options of `hunt`.
#[derive(Args)]
pub struct Options {
    scenario: PathBuf,
    #[arg(long, default_value_t = 200)]
    worlds: usize,
    /// The first seed; worlds take those after it
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long = "make", default_value_t = ForwarderVariant::True)]
    variant: ForwarderVariant,
    /// Where what was found is saved
    #[arg(long, default_value = "found")]
    save: PathBuf,
}

/// Hunts, prints the worst world's figures and saves it as a scenario.
pub fn execute(options: &Options) -> CommandResult {
    let scenario = load_scenario(&options.scenario, &[])?;
    let bar = progress_bar("worlds");
    let scenario_count = options.worlds;
    let worst = find_worst_case(
        &scenario,
        options.seed,
        scenario_count,
        options.variant,
        |finished| {
            bar.set_length(scenario_count as u64);
            bar.set_position(finished as u64);
        },
    )?;
    bar.finish_and_clear();
    println!(
        "the worst of {} worlds, seed {}, after {} runs of shrinking:",
        worst.generated_scenarios, worst.seed, worst.shrink_runs
    );
    print!("{}", report::text(&worst.outcome));
    let path = save_scenario(&worst, &options.save)?;
    println!("saved as {}", path.display());
    Ok(match worst.outcome.broken.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Writes the world as a scenario file with its seed; returns the file's path.
fn save_scenario(worst: &WorstCase, dir: &Path) -> Result<PathBuf, CommandError> {
    create_dir(dir)?;
    let mut scenario = worst.scenario.clone();
    scenario.seed = worst.seed;
    let path = dir.join(format!("{}.toml", scenario.name));
    write_file(&path, &toml::to_string(&scenario)?)?;
    Ok(path)
}
