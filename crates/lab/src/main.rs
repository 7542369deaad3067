//! The program `opalpulley-lab`. It parses the command line and calls the function of the subcommand.
//!
//! Exit codes: 0 if every result is as expected; 1 if a rule was broken or an expectation missed; 2 if an input is unusable;
//! 3 if a run is invalid, that is, if nothing about the forwarder can be concluded from it.

mod commands;

use clap::Parser;
use commands::Command;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "opalpulley-lab",
    version,
    about = "Runs scenarios and experiments on the simulated clock or on sockets, and reports their outcomes"
)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    match CommandLine::parse().command.execute() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("opalpulley-lab: {error}");
            error.exit_code()
        }
    }
}
