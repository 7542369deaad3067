//! The command line of `capacity fleet`, and the output of a run.

use super::figures::table;
use super::plan::{FullDestinations, Incident, Plan};
use super::plots::plot;
use super::report::FleetOutcome;
use crate::capacity::error::CapacityError;
use crate::capacity::outputs::Outputs;
use clap::Args;
use std::path::Path;

/// Messages per second for each forwarder if the options don't give the rate of the fleet.
const DEFAULT_MESSAGES_PER_FORWARDER: f64 = 200.0;

/// Options of `capacity fleet`.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Number of forwarders
    #[arg(long, default_value_t = 400)]
    pub forwarders: u32,
    /// Number of destinations, each with one endpoint
    #[arg(long, default_value_t = 8_000)]
    pub destinations: u32,
    /// Simulated time, in seconds
    #[arg(long, default_value_t = 60)]
    pub seconds: u32,
    /// Messages per second for the whole fleet [default: 200 for each forwarder]
    #[arg(long)]
    pub events_a_second: Option<f64>,
    /// Share of the destinations that is down at any time
    #[arg(long, default_value_t = 0.041)]
    pub down_share: f64,
    /// Mean duration of an outage, in seconds
    #[arg(long, default_value_t = 60.0)]
    pub outage_seconds: f64,
    /// Share of the destinations that are sent more messages than their rate allows
    #[arg(long, default_value_t = 0.004)]
    pub at_limit_share: f64,
    /// Exponent of the Zipf distribution of the messages over the destinations
    #[arg(long, default_value_t = 0.8)]
    pub skew: f64,
    /// Mean number of random changes of configuration in a simulated day
    #[arg(long, default_value_t = 430.0)]
    pub changes_a_day: f64,
    /// Incident that lasts from a quarter to half of the run
    #[arg(long, value_enum, default_value_t = Incident::None)]
    pub event: Incident,
    /// Seed of all random streams; the same seed reproduces the counts of a run
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Destinations that a forwarder holds in full before it holds idle ones as summaries; `all` for no limit
    #[arg(long, value_name = "all|N", default_value_t = FullDestinations::Beyond(1_024))]
    pub full_destinations: FullDestinations,
    /// Fleet size in the forwarders' configuration, to check that the measurement detects a wrong one
    #[arg(long)]
    pub configured_forwarders: Option<u32>,
    /// Number of threads; it does not change the counts of a run
    #[arg(long, default_value_t = 2)]
    pub threads: usize,
    #[command(flatten)]
    pub outputs: Outputs,
}

impl Options {
    /// Builds the plan of a run with these options.
    pub fn plan(&self) -> Plan {
        let default_rate = DEFAULT_MESSAGES_PER_FORWARDER * f64::from(self.forwarders);
        Plan {
            forwarders: self.forwarders,
            destinations: self.destinations,
            seconds: self.seconds,
            events_a_second: self.events_a_second.unwrap_or(default_rate),
            down_share: self.down_share,
            outage_seconds: self.outage_seconds,
            at_limit_share: self.at_limit_share,
            skew: self.skew,
            changes_a_day: self.changes_a_day,
            incident: self.event,
            seed: self.seed,
            full_destinations: self.full_destinations,
            configured_forwarders: self.configured_forwarders,
        }
    }
}

/// Runs the plan of the options, prints its figures and writes the requested files. Fails if the plan is invalid or a file
/// can't be written; the error's text is meant for the user.
pub fn run(options: &Options) -> Result<(), CapacityError> {
    let outcome = super::run(&options.plan(), options.threads)?;
    println!("{}", table(&outcome));
    println!(
        "  held in full before idle ones are summarised: {}",
        outcome.plan.full_destinations
    );
    print_changes(&outcome);
    let write =
        |path: &Path, text: String| std::fs::write(path, text).map_err(CapacityError::file(path));
    if let Some(path) = &options.outputs.json {
        write(path, serde_json::to_string_pretty(&outcome)? + "\n")?;
    }
    if let Some(path) = &options.outputs.plot {
        write(path, plot(&outcome)?)?;
    }
    Ok(())
}

/// Prints when each change of configuration was in force.
fn print_changes(outcome: &FleetOutcome) {
    let format_seconds =
        |value: Option<f64>| value.map_or("-".to_owned(), |seconds| format!("{seconds:.2}"));
    for change in &outcome.counts.changes {
        println!(
            "  change made at {:.2} s: in force after {} s at half, {} s at the last (first region {}, second {}), missing at {}",
            change.made_at,
            format_seconds(change.median),
            format_seconds(change.last),
            format_seconds(change.last_by_region[0]),
            format_seconds(change.last_by_region[1]),
            change.missing
        );
    }
}
