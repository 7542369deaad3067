//! The core with so many messages that wait, measured in this process, which has to be a fresh one.

use crate::capacity::core::environment::{EnvironmentConfig, SimulatedEnvironment, Spread, SECOND};
use crate::capacity::error::CapacityError;
use crate::capacity::usage::{own_processor_time, own_resident_bytes};
use clap::Args;
use opalpulley::{EndpointListUpdate, Event};
use serde::{Deserialize, Serialize};

const TIME_TO_LIVE: u64 = 3_600 * SECOND; // long beside the time in which the messages are submitted
const SETTLE_SECONDS: u64 = 5; // simulated s after the last message, until every destination is ejected

/// What one size is measured with.
#[derive(Args, Clone, Debug)]
pub struct CoreBacklogOptions {
    #[arg(long)]
    pub messages: u32,
    #[arg(long)]
    pub destinations: u32,
    /// Messages a second
    #[arg(long)]
    pub rate: u64,
    #[arg(long)]
    pub seed: u64,
}

/// The figures of one number of messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CoreBacklogMeasurement {
    pub messages: f64,
    /// Those without a final answer at the end.
    pub waiting: f64,
    /// Resident memory that came with them, bytes; that of the simulated surroundings included.
    pub memory: f64,
    /// Timers and answers that the surroundings hold at the end.
    pub surroundings: f64,
    /// Processor time, us.
    pub processor: f64,
}

/// Lets so many messages wait in the core, and measures what they take.
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
