//! The subcommands. Each has a module with its options and its `execute` function.

mod bids;
mod catalogue;
mod compare;
mod error;
mod hunt;
mod load;
mod options;
mod output;
mod report;
mod run;
mod run_scenario;
mod stand_ins;
mod sweep;

use clap::Subcommand;
use error::CommandError;
use opalpulley_lab::capacity;
use std::process::ExitCode;

/// The exit code of a subcommand that ran, or the reason why it could not run.
type CommandResult = Result<ExitCode, CommandError>;

/// Exit code for an invalid run: the machine or the load generator was too slow, or a forwarder crashed, so that nothing can
/// be concluded from the run.
const EXIT_INVALID_RUN: u8 = 3;

/// A subcommand with its options.
#[derive(Subcommand)]
pub enum Command {
    /// Runs a scenario on the simulated clock or on sockets and checks its outcome
    Run(run::Options),
    /// Submits the load of a scenario to forwarders that are already running
    Load(load::Options),
    /// Serves the receivers and discovery of a scenario, to try a forwarder by hand
    StandIns(stand_ins::Options),
    /// Compares two variants of a scenario, or two builds, in runs that are paired by seed
    Compare(compare::Options),
    /// Runs a scenario with each of several values of one key
    Sweep(sweep::Options),
    /// Runs random variants of a scenario, and shrinks the one that breaks a rule or loses the most weight
    Hunt(hunt::Options),
    /// Writes an HTML report of outcomes that were written as JSON
    Report(report::Options),
    /// Measures the wall-clock time that core events take while a given number of messages waits in one queue
    Bids(bids::Options),
    /// Measures the memory and CPU use of the core and the forwarder program at several sizes, with the slope of each figure
    #[command(subcommand)]
    Capacity(capacity::command::Command),
    /// Runs every scenario in a directory
    Catalogue(catalogue::Options),
}

impl Command {
    /// Executes the subcommand and returns the exit code of the program.
    ///
    /// Fails if an input is unusable, if a file can't be read or written, or if a compared run is invalid.
    pub fn execute(self) -> CommandResult {
        match self {
            Command::Run(options) => run::execute(&options),
            Command::Load(options) => load::execute(&options),
            Command::StandIns(options) => stand_ins::execute(&options),
            Command::Compare(options) => compare::execute(options),
            Command::Sweep(options) => sweep::execute(&options),
            Command::Hunt(options) => hunt::execute(&options),
            Command::Report(options) => report::execute(&options),
            Command::Bids(options) => bids::execute(&options),
            Command::Capacity(command) => {
                capacity::command::run(command)?;
                Ok(ExitCode::SUCCESS)
            }
            Command::Catalogue(options) => catalogue::execute(&options),
        }
    }
}
