//! Options for the files that a capacity measurement writes in addition to its output on the terminal.

use clap::Args;
use std::path::PathBuf;

/// Command-line options for the output files of a measurement; a file that is not named is not written.
#[derive(Args, Clone, Debug)]
pub struct Outputs {
    /// Writes the figures and slopes as JSON
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Writes a plot of each figure as SVG
    #[arg(long)]
    pub plot: Option<PathBuf>,
}
