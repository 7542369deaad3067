//! The subcommands: a module each, with its options and the function that carries it out.

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

/// How a subcommand ended: the program's exit code, or why it could not be carried out.
type CommandResult = Result<ExitCode, CommandError>;

/// A run that shows nothing: the machine or the load tool was too slow, or a forwarder crashed.
const EXIT_VOID: u8 = 3;

/// One subcommand with its options.
#[derive(Subcommand)]
pub enum Command {
    /// Plays a scenario, simulated or on sockets, and judges it
    Run(run::Options),
    /// The load tool alone, at forwarders that run already
    Load(load::Options),
    /// Only the world: receivers and discovery, to try a forwarder by hand
    StandIns(stand_ins::Options),
    /// Two variants of a scenario, or two builds, paired by seed
    Compare(compare::Options),
    /// One value over a range
    Sweep(sweep::Options),
    /// Draws worlds round a scenario until a rule breaks or the loss is greatest, and shrinks the worst
    Hunt(hunt::Options),
    /// One page from outcomes that were written as JSON
    Report(report::Options),
    /// What the core's own work costs while so many messages wait in one queue
    Bids(bids::Options),
    /// What the core and the program hold and use at several sizes, with the slope of each figure
    #[command(subcommand)]
    Capacity(capacity::command::Command),
    /// Plays every scenario of a folder
    Catalogue(catalogue::Options),
}

impl Command {
    /// Carries out the subcommand; returns the program's exit code.
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
