//! Measures the core with a backlog of waiting messages. The measurement runs in this process, which has to be a fresh
//! one: memory that an earlier measurement freed would be reused and not counted.

use crate::capacity::core::environment::{EnvironmentConfig, SimulatedEnvironment, Spread, SECOND};
use crate::capacity::error::CapacityError;
use crate::capacity::usage::{own_processor_time, own_resident_bytes};
use clap::Args;
use opalpulley::{EndpointListUpdate, Event};
use serde::{Deserialize, Serialize};

/// Time to live of each message, in µs: much longer than the submission phase, so that no message expires.
const TIME_TO_LIVE: u64 = 3_600 * SECOND;
/// Simulated time after the last message, in s, in which every destination becomes ejected.
const SETTLE_SECONDS: u64 = 5;

/// Options of the hidden subcommand `capacity backlog-point`, which measures one size.
#[derive(Args, Clone, Debug)]
pub struct CoreBacklogOptions {
    /// Number of messages, rounded down to whole seconds of --rate
    #[arg(long)]
    pub messages: u32,
    /// Number of destinations, all of which refuse connections
    #[arg(long)]
    pub destinations: u32,
    /// Messages submitted per simulated second
    #[arg(long)]
    pub rate: u64,
    /// Seed of the core and of its simulated environment
    #[arg(long)]
    pub seed: u64,
}

/// The figures of the core at one backlog size; its fields are keys of the JSON that the subcommand prints.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CoreBacklogMeasurement {
    /// Number of messages submitted.
    pub messages: f64,
    /// Number of messages that were neither delivered, failed nor rejected by the end.
    pub waiting: f64,
    /// Growth of the resident memory from the first message to the end, in bytes, including the simulated environment.
    pub memory: f64,
    /// Number of events that the simulated environment has scheduled at the end.
    pub surroundings: f64,
    /// Processor time from the first message to the end, in µs, including the simulated environment.
    pub processor: f64,
}

/// Submits the messages to a core whose destinations all refuse connections, and measures its memory and processor
/// time.
pub fn measure(options: &CoreBacklogOptions) -> Result<CoreBacklogMeasurement, CapacityError> {
    let config = EnvironmentConfig::new(
        options.destinations,
        Spread::Uniform,
        options.rate,
        None,
        options.seed,
    );
    let mut environment = SimulatedEnvironment::new(EnvironmentConfig {
        max_messages: 2 * options.messages,
        time_to_live: TIME_TO_LIVE,
        ..config
    });
    let entries = (0..environment.endpoint_count())
        .map(|endpoint_index| environment.endpoint_entry(endpoint_index, 1.0))
        .collect();
    environment.handle(Event::EndpointListUpdated(EndpointListUpdate::Complete(
        entries,
    )));
    environment.refuse_all();
    let (memory_before, processor_time_before) = (own_resident_bytes()?, own_processor_time()?);
    let mut counts =
        environment.run_traffic(u64::from(options.messages) / options.rate, options.rate)?;
    let settle_counts = environment.run_traffic(SETTLE_SECONDS, 0)?;
    counts.given_up += settle_counts.given_up;
    Ok(CoreBacklogMeasurement {
        messages: counts.messages as f64,
        waiting: counts.messages as f64
            - (counts.given_up + counts.delivered + settle_counts.delivered) as f64,
        memory: own_resident_bytes()?.saturating_sub(memory_before) as f64,
        surroundings: environment.scheduled_count() as f64,
        processor: (own_processor_time()? - processor_time_before).as_secs_f64() * 1e6,
    })
}
