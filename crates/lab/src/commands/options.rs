//! Options that several subcommands share.

use super::error::CommandError;
use clap::Args;
use opalpulley_lab::experiments::with_assignments;
use opalpulley_lab::scenario::Scenario;
use opalpulley_lab::subject::ForwarderVariant;
use std::path::{Path, PathBuf};

/// The clocks on which a scenario is run, and the forwarder processes of a run on sockets.
#[derive(Args, Clone)]
pub struct ClockOptions {
    /// Runs on the simulated clock; the default if no clock is named
    #[arg(long)]
    pub simulated: bool,
    /// Runs on sockets in real time
    #[arg(long)]
    pub sockets: bool,
    /// The forwarder program for sockets; by default the one in the directory of this program
    #[arg(long)]
    pub forwarder: Option<PathBuf>,
    /// The directory for the logs of the forwarders; no logs are kept by default
    #[arg(long)]
    pub logs: Option<PathBuf>,
    /// Binds the forwarders to the CPU core with this number
    #[arg(long)]
    pub pin: Option<usize>,
}

/// The seed, the changed scenario values and the forwarder variant of a run.
#[derive(Args, Clone)]
pub struct RunOptions {
    /// The seed of the run; by default the one in the scenario file
    #[arg(long)]
    pub seed: Option<u64>,
    /// Sets a value in the scenario, as KEY=VALUE; may be given several times
    #[arg(long)]
    pub set: Vec<String>,
    /// The forwarder variant to simulate
    #[arg(long = "make", default_value_t = ForwarderVariant::True)]
    pub variant: ForwarderVariant,
}

impl RunOptions {
    /// Reads a scenario file and applies the values that `--set` gives.
    pub fn load_scenario(&self, path: &Path) -> Result<Scenario, CommandError> {
        load_scenario(path, &self.set)
    }

    /// Returns the seed of the command line, or the one of the scenario if none is named.
    pub fn seed_for(&self, scenario: &Scenario) -> u64 {
        self.seed.unwrap_or(scenario.seed)
    }
}

/// Reads a scenario file and applies the assignments, each written as KEY=VALUE.
pub fn load_scenario(path: &Path, assignments: &[String]) -> Result<Scenario, CommandError> {
    let scenario = Scenario::load(path)?;
    if assignments.is_empty() {
        return Ok(scenario);
    }
    Ok(with_assignments(&scenario, assignments)?)
}
