//! The command line of `opalpulley-lab capacity`: one variant for each thing that is measured.

use super::{backlog, core, fleet, process};
use crate::capacity::error::CapacityError;
use clap::Subcommand;

/// One thing that `opalpulley-lab capacity` measures, with its options.
#[derive(Subcommand, Clone, Debug)]
pub enum Command {
    /// The core alone, without sockets, on a simulated clock
    Core(core::Options),
    /// One size of `core`, as JSON: run by `core` itself, each in a fresh process
    #[command(hide = true)]
    CorePoint(core::measurement::CoreOptions),
    /// One real forwarder on loopback sockets
    Process(process::Options),
    /// Messages that wait: in the core, and in one real forwarder that is killed and started again
    Backlog(backlog::Options),
    /// One size of `backlog` in the core, as JSON: run by `backlog` itself, each in a fresh process
    #[command(hide = true)]
    BacklogPoint(backlog::core_measurement::CoreBacklogOptions),
    /// A fleet of hollow forwarders in one process, on a simulated clock
    Fleet(fleet::options::Options),
}

/// Runs one measurement and prints its figures.
pub fn run(command: Command) -> Result<(), CapacityError> {
    match command {
        Command::Core(options) => core::run(&options),
        Command::CorePoint(setup) => print_json(&core::measurement::measure(&setup)?),
        Command::Process(options) => process::run(&options),
        Command::Backlog(options) => backlog::run(&options),
        Command::BacklogPoint(setup) => print_json(&backlog::core_measurement::measure(&setup)?),
        Command::Fleet(options) => fleet::options::run(&options),
    }
}

fn print_json(figures: &impl serde::Serialize) -> Result<(), CapacityError> {
    println!("{}", serde_json::to_string(figures)?);
    Ok(())
}
