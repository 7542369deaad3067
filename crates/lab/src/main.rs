//! `opalpulley-lab`: the laboratory's program. It reads the command line and hands it to one function a subcommand.
//!
//! Exit codes: 0 all as expected; 1 a rule broken, or an expectation missed; 2 an input that can't be used; 3 a void run, which
//! shows nothing.

mod commands;

use clap::Parser;
use commands::Command;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "opalpulley-lab",
    version,
    about = "The laboratory: scenarios on two clocks, experiments and reports"
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
