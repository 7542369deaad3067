//! The command line of `capacity fleet`, and how one run is shown.

use super::figures::table;
use super::plan::{FullDestinations, Incident, Plan};
use super::plots::plot;
use super::report::FleetOutcome;
use crate::capacity::error::CapacityError;
use crate::capacity::outputs::Outputs;
use clap::Args;
use std::path::Path;

/// Messages a second of one forwarder where the fleet's are not named.
const DEFAULT_MESSAGES_PER_FORWARDER: f64 = 200.0;

/// Options of `capacity fleet`.
#[derive(Args, Clone, Debug)]
pub struct Options {
    #[arg(long, default_value_t = 400)]
    pub forwarders: u32,
    /// Each with one target
    #[arg(long, default_value_t = 8_000)]
    pub destinations: u32,
    /// Simulated time, s
    #[arg(long, default_value_t = 60)]
    pub seconds: u32,
    /// Messages a second for the whole fleet; 200 a forwarder where it is not named
    #[arg(long)]
    pub events_a_second: Option<f64>,
    /// Part of the destinations that is down at any time
    #[arg(long, default_value_t = 0.041)]
    pub down_share: f64,
    /// Mean length of an outage, s
    #[arg(long, default_value_t = 60.0)]
    pub outage_seconds: f64,
    /// Part of the destinations that gets more than it takes
    #[arg(long, default_value_t = 0.004)]
    pub at_limit_share: f64,
    /// Exponent of Zipf's law over the destinations
    #[arg(long, default_value_t = 0.8)]
    pub skew: f64,
    /// Changes of configuration
    #[arg(long, default_value_t = 430.0)]
    pub changes_a_day: f64,
    /// From a quarter to half of the run
    #[arg(long, value_enum, default_value_t = Incident::None)]
    pub event: Incident,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Destinations that a forwarder holds in full before it holds idle ones as summaries; `all` for no such bound
    #[arg(long, value_name = "all|N", default_value_t = FullDestinations::Beyond(1_024))]
    pub full_destinations: FullDestinations,
    /// Forwarders that the settings name, to see the measurement fail
    #[arg(long)]
    pub configured_forwarders: Option<u32>,
    /// The run is the same with any number
    #[arg(long, default_value_t = 2)]
    pub threads: usize,
    #[command(flatten)]
    pub outputs: Outputs,
}

impl Options {
    /// The plan of a run with these options.
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

/// Plays one run and shows it. The error is told to the person in these words.
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
