//! The core alone: `opalpulley::Forwarder` without sockets, on a simulated clock.

use super::command::Outputs;
use clap::Args;

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// How many destinations, one run each
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 4_000, 16_000, 60_000])]
    pub sizes: Vec<u32>,
    #[command(flatten)]
    pub outputs: Outputs,
}

pub fn run(_options: &Options) -> Result<(), String> {
    Err("capacity core is not measured yet".into())
}
