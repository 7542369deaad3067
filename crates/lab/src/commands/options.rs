//! Options that several subcommands share.

use super::error::CommandError;
use clap::Args;
use opalpulley_lab::experiments::with_assignments;
use opalpulley_lab::scenario::Scenario;
use opalpulley_lab::subject::ForwarderVariant;
use std::path::{Path, PathBuf};

/// On which clock a scenario is played, and with which forwarder program on sockets.
#[derive(Args, Clone)]
pub struct ClockOptions {
    /// On the simulated clock; so also if no clock is named
    #[arg(long)]
    pub simulated: bool,
    /// On sockets, in real time
    #[arg(long)]
    pub sockets: bool,
    /// The forwarder's program; beside this one if not named
    #[arg(long)]
    pub forwarder: Option<PathBuf>,
    /// A folder for the forwarders' logs
    #[arg(long)]
    pub logs: Option<PathBuf>,
    /// Binds the forwarders to this core
    #[arg(long)]
    pub pin: Option<usize>,
}

/// The seed, the changed values and the forwarder variant of a run.
#[derive(Args, Clone)]
pub struct RunOptions {
    /// The scenario's own if not named
    #[arg(long)]
    pub seed: Option<u64>,
    /// Sets a value, as KEY=VALUE
    #[arg(long)]
    pub set: Vec<String>,
    /// Which forwarder is simulated
    #[arg(long = "make", default_value_t = ForwarderVariant::True)]
    pub variant: ForwarderVariant,
}

impl RunOptions {
    /// Reads a scenario file with the values that were set.
    pub fn load_scenario(&self, path: &Path) -> Result<Scenario, CommandError> {
        load_scenario(path, &self.set)
    }

    /// The seed that was named, else the scenario's own.
    pub fn seed_for(&self, scenario: &Scenario) -> u64 {
        self.seed.unwrap_or(scenario.seed)
    }
}

/// Reads a scenario file; `set` holds values to change, as KEY=VALUE.
pub fn load_scenario(path: &Path, assignments: &[String]) -> Result<Scenario, CommandError> {
    let scenario = Scenario::load(path)?;
    if assignments.is_empty() {
        return Ok(scenario);
    }
    Ok(with_assignments(&scenario, assignments)?)
}
