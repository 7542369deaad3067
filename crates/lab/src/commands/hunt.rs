//! The subcommand `hunt`, which runs random variants of a scenario and saves the worst one after shrinking it.

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

/// Options of the subcommand `hunt`.
#[derive(Args)]
pub struct Options {
    /// The scenario file that the variants are generated from
    scenario: PathBuf,
    /// Number of random variants to run; at least one is run
    #[arg(long, default_value_t = 200)]
    worlds: usize,
    /// The seed of the first variant; each further variant takes the next one
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The forwarder variant to simulate
    #[arg(long = "make", default_value_t = ForwarderVariant::True)]
    variant: ForwarderVariant,
    /// The directory for the scenario that was found
    #[arg(long, default_value = "found")]
    save: PathBuf,
}

/// Searches for the worst variant, prints its figures and saves it as a scenario file.
pub fn execute(options: &Options) -> CommandResult {
    let scenario = load_scenario(&options.scenario, &[])?;
    let bar = progress_bar("scenarios");
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
        "worst of {} scenarios: seed {}, shrunk in {} runs",
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

/// Writes the scenario with its seed into a file and returns the path of the file.
fn save_scenario(worst: &WorstCase, dir: &Path) -> Result<PathBuf, CommandError> {
    create_dir(dir)?;
    let mut scenario = worst.scenario.clone();
    scenario.seed = worst.seed;
    let path = dir.join(format!("{}.toml", scenario.name));
    write_file(&path, &toml::to_string(&scenario)?)?;
    Ok(path)
}
