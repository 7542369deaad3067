//! The command line of `opalpulley-lab capacity`, with one subcommand per measurement.

use super::{backlog, core, fleet, process};
use crate::capacity::error::CapacityError;
use clap::Subcommand;

/// A measurement of `opalpulley-lab capacity`, with its options.
#[derive(Subcommand, Clone, Debug)]
pub enum Command {
    /// The core alone, without sockets, on a simulated clock
    Core(core::Options),
    /// Prints the figures of one size of `core` as JSON; `core` runs it in a fresh process per size
    #[command(hide = true)]
    CorePoint(core::measurement::CoreOptions),
    /// One real forwarder on loopback sockets
    Process(process::Options),
    /// Waiting messages in the core, and in one real forwarder that is killed and restarted
    Backlog(backlog::Options),
    /// Prints the figures of the core at one size of `backlog` as JSON; `backlog` runs it in a fresh process per size
    #[command(hide = true)]
    BacklogPoint(backlog::core_measurement::CoreBacklogOptions),
    /// A fleet of forwarders without sockets in one process, on a simulated clock
    Fleet(fleet::options::Options),
}

/// Runs a measurement and prints its figures to the standard output.
pub fn run(command: Command) -> Result<(), CapacityError> {
    match command {
        Command::Core(options) => core::run(&options),
        Command::CorePoint(options) => print_json(&core::measurement::measure(&options)?),
        Command::Process(options) => process::run(&options),
        Command::Backlog(options) => backlog::run(&options),
        Command::BacklogPoint(options) => {
            print_json(&backlog::core_measurement::measure(&options)?)
        }
        Command::Fleet(options) => fleet::options::run(&options),
    }
}

fn print_json(figures: &impl serde::Serialize) -> Result<(), CapacityError> {
    println!("{}", serde_json::to_string(figures)?);
    Ok(())
}
