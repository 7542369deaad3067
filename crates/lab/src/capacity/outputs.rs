//! Where a capacity measurement writes its figures, beside the terminal.

use clap::Args;
use std::path::PathBuf;

/// The files that a measurement writes, as options of the command line.
#[derive(Args, Clone, Debug)]
pub struct Outputs {
    /// Writes the figures and slopes as JSON
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Writes a plot of each slope as SVG
    #[arg(long)]
    pub plot: Option<PathBuf>,
}
