//! The core with so many messages that wait, measured in this process, which has to be a fresh one.

use crate::capacity::core::world::{Plan, Spread, World, SECOND};
use crate::capacity::error::CapacityError;
use crate::capacity::usage::{own_memory, own_processor_time};
use clap::Args;
use opalpulley::{EndpointListUpdate, Event};
use serde::{Deserialize, Serialize};

const EXPIRY: u64 = 3_600 * SECOND; // long beside the time in which the messages are submitted
const SETTLED: u64 = 5; // simulated s after the last message, until every destination is ejected

/// What one size is measured with.
#[derive(Args, Clone, Debug)]
pub struct Setup {
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
pub struct CorePoint {
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
pub fn measure(setup: &Setup) -> Result<CorePoint, CapacityError> {
    let plan = Plan::new(
        setup.destinations,
        Spread::Uniform,
        setup.rate,
        None,
        setup.seed,
    );
    let mut world = World::new(Plan {
        room: 2 * setup.messages,
        expiry: EXPIRY,
        ..plan
    });
    let lines = (0..world.targets())
        .map(|n| world.listing(n, 1.0))
        .collect();
    world.handle(Event::EndpointListUpdated(EndpointListUpdate::Complete(
        lines,
    )));
    world.refuse_all();
    let (before, begun) = (own_memory()?, own_processor_time()?);
    let mut counts = world.run(u64::from(setup.messages) / setup.rate, setup.rate)?;
    let settling = world.run(SETTLED, 0)?;
    counts.given_up += settling.given_up;
    Ok(CorePoint {
        messages: counts.messages as f64,
        waiting: counts.messages as f64
            - (counts.given_up + counts.delivered + settling.delivered) as f64,
        memory: own_memory()?.saturating_sub(before) as f64,
        surroundings: world.due() as f64,
        processor: (own_processor_time()? - begun).as_secs_f64() * 1e6,
    })
}
