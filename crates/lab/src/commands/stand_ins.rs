//! The subcommand `stand-ins`, which serves the receivers and discovery of a scenario to try a forwarder by hand.

use super::error::CommandError;
use super::options::RunOptions;
use super::output::write_json;
use super::run_scenario::build_runtime;
use super::CommandResult;
use clap::Args;
use opalpulley_lab::scenario::Scenario;
use opalpulley_lab::sockets::without_forwarders::start_stand_ins;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Options of the subcommand `stand-ins`.
#[derive(Args)]
pub struct Options {
    /// The scenario file
    scenario: PathBuf,
    #[command(flatten)]
    run: RunOptions,
    /// The loopback port of discovery
    #[arg(long, default_value_t = 8500)]
    discovery_port: u16,
    /// Writes the start-up configuration of a forwarder for this scenario into this file
    #[arg(long = "papers")]
    startup_config: Option<PathBuf>,
    /// The listen address in the start-up configuration
    #[arg(long, default_value = "127.0.0.1:7070")]
    listen: SocketAddr,
}

/// Starts the receivers and discovery, prints their addresses and serves until Ctrl-C.
pub fn execute(options: &Options) -> CommandResult {
    let scenario = options.run.load_scenario(&options.scenario)?;
    let seed = options.run.seed_for(&scenario);
    build_runtime()?.block_on(serve(&scenario, seed, options))
}

async fn serve(scenario: &Scenario, seed: u64, options: &Options) -> CommandResult {
    let addresses = start_stand_ins(scenario, seed, options.discovery_port).await?;
    let discovery = addresses.discovery;
    if let Some(path) = &options.startup_config {
        write_startup_config(path, scenario, seed, options.listen, discovery)?;
        println!("start-up configuration: {}", path.display());
    }
    println!("discovery and completion reports at {discovery}");
    let endpoints = addresses.endpoints.iter();
    let endpoints: Vec<String> = endpoints.map(ToString::to_string).collect();
    println!("receivers at {}", endpoints.join(", "));
    if let Err(error) = tokio::signal::ctrl_c().await {
        eprintln!("opalpulley-lab: stopped because Ctrl-C can't be awaited: {error}");
    }
    Ok(ExitCode::SUCCESS)
}

fn write_startup_config(
    path: &Path,
    scenario: &Scenario,
    seed: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> Result<(), CommandError> {
    let mut config = scenario.startup_config(0, seed);
    config["listen"] = listen.to_string().into();
    config["discovery"] = discovery.to_string().into();
    config["settings"]["Balancers"] = 1.into();
    write_json(path, &config)
}
