//! The core at one size, measured in this process. It has to be a fresh one: memory that an earlier size has used would
//! count as free.

use super::environment::{EnvironmentConfig, SimulatedEnvironment, Spread};
use super::FullDestinations;
use crate::capacity::error::CapacityError;
use crate::capacity::usage::{own_processor_time, own_resident_bytes};
use clap::Args;
use opalpulley::{EndpointListUpdate, Event};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Entries in one step of building the list: what a step uses besides stays small.
const ENTRIES_PER_STEP: u32 = 1_000;
/// The rate of a single change, as a multiple of the listed rate.
const CHANGED_RATE_FACTOR: f64 = 1.5;
/// Single changes of the list, to average over.
pub const SINGLE_CHANGE_COUNT: u32 = 200;

/// What one size is measured with.
#[derive(Args, Clone, Debug)]
pub struct CoreOptions {
    #[arg(long)]
    pub destinations: u32,
    #[arg(long)]
    pub targets_each: u32,
    #[arg(long)]
    pub spread: Spread,
    /// Messages a second
    #[arg(long)]
    pub rate: u64,
    /// Simulated seconds of each stretch
    #[arg(long)]
    pub seconds: u64,
    /// Part of the destinations that is down in the last stretch
    #[arg(long)]
    pub down: f64,
    #[arg(long)]
    pub full_destinations: FullDestinations,
    #[arg(long)]
    pub seed: u64,
}

/// `opalpulley::StateCounts`, as JSON.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct DestinationStateCounts {
    pub full: f64,
    pub most_full: f64,
    pub summaries: f64,
    pub bounds: f64,
    pub restored: f64,
    pub summarised: f64,
}

impl DestinationStateCounts {
    fn of(environment: &SimulatedEnvironment) -> DestinationStateCounts {
        let counts = environment.state_counts();
        DestinationStateCounts {
            full: counts.full as f64,
            most_full: counts.most_full as f64,
            summaries: counts.summaries as f64,
            bounds: counts.bounds as f64,
            restored: counts.restored as f64,
            summarised: counts.summarised as f64,
        }
    }
}

/// One stretch of simulated time.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Phase {
    /// Simulated, s.
    pub seconds: f64,
    pub messages: f64,
    pub events: f64,
    pub calls: f64,
    pub probes: f64,
    pub delivered: f64,
    pub given_up: f64,
    /// Processor time, us, the simulated surroundings included.
    pub processor: f64,
    /// Resident memory at its end beyond that before the core was made, bytes.
    pub memory: f64,
    /// At its end.
    pub held: DestinationStateCounts,
}

/// The figures of one size.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CoreMeasurement {
    pub destinations: u32,
    pub targets: u32,
    /// Resident memory with the list taken in by steps, and after it came once more as a whole, bytes.
    pub memory_listed: f64,
    pub memory_whole: f64,
    /// Processor time to take the list in by steps, of one whole list, of one changed line, us.
    pub listing: f64,
    pub whole_list: f64,
    pub one_change: f64,
    /// After the list was taken in by steps, and after the single changes.
    pub held_listed: DestinationStateCounts,
    pub held_changed: DestinationStateCounts,
    pub traffic: Phase,
    pub rest: Phase,
    pub down: Phase,
    pub down_rest: Phase,
}

fn microseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Processor time of some work, µs.
fn processor_time_of(work: impl FnOnce()) -> Result<f64, CapacityError> {
    let before = own_processor_time()?;
    work();
    Ok(microseconds(own_processor_time()? - before))
}

/// Measures one size: the list by steps, as a whole and by single changes; then traffic and rest, twice.
pub fn measure(options: &CoreOptions) -> Result<CoreMeasurement, CapacityError> {
    let mut run = CoreRun::new(options)?;
    let listing = processor_time_of(|| run.apply_list_in_steps())?;
    let (memory_listed, held_listed) = (
        run.memory_growth()?,
        DestinationStateCounts::of(&run.environment),
    );
    let whole_list = run.whole_list_processor_time()?;
    let memory_whole = run.memory_growth()?;
    let changes_time = processor_time_of(|| run.apply_single_changes())?;
    let held_changed = DestinationStateCounts::of(&run.environment);
    Ok(CoreMeasurement {
        destinations: options.destinations,
        targets: run.environment.endpoint_count(),
        memory_listed,
        memory_whole,
        listing,
        whole_list,
        one_change: changes_time / f64::from(SINGLE_CHANGE_COUNT),
        held_listed,
        held_changed,
        traffic: run.run_phase(options.rate)?,
        rest: run.run_phase(0)?,
        down: {
            run.environment.fail_destinations(options.down);
            run.run_phase(options.rate)?
        },
        down_rest: run.run_phase(0)?,
    })
}

/// A core in its surroundings.
struct CoreRun {
    environment: SimulatedEnvironment,
    /// Simulated seconds of each stretch.
    seconds: u64,
    /// Resident memory before the list was taken in, bytes.
    memory_before: u64,
}

impl CoreRun {
    fn new(options: &CoreOptions) -> Result<CoreRun, CapacityError> {
        let config = EnvironmentConfig::new(
            options.destinations,
            options.spread,
            options.rate,
            options.full_destinations.limit(),
            options.seed,
        );
        Ok(CoreRun {
            environment: SimulatedEnvironment::new(EnvironmentConfig {
                targets_each: options.targets_each,
                ..config
            }),
            seconds: options.seconds,
            memory_before: own_resident_bytes()?,
        })
    }

    /// Resident memory beyond that before the list was taken in, bytes.
    fn memory_growth(&self) -> Result<f64, CapacityError> {
        Ok(own_resident_bytes()?.saturating_sub(self.memory_before) as f64)
    }

    fn apply_list_in_steps(&mut self) {
        let endpoints = self.environment.endpoint_count();
        for first_index in (0..endpoints).step_by(ENTRIES_PER_STEP as usize) {
            let indices = first_index..endpoints.min(first_index + ENTRIES_PER_STEP);
            let entries = indices.map(|index| self.environment.endpoint_entry(index, 1.0));
            let changes = EndpointListUpdate::Changes(entries.collect());
            self.environment.handle(Event::EndpointListUpdated(changes));
        }
    }

    /// Processor time to take the whole list in, µs; making it does not count.
    fn whole_list_processor_time(&mut self) -> Result<f64, CapacityError> {
        let indices = 0..self.environment.endpoint_count();
        let entries = indices.map(|index| self.environment.endpoint_entry(index, 1.0));
        let list = EndpointListUpdate::Complete(entries.collect());
        processor_time_of(|| self.environment.handle(Event::EndpointListUpdated(list)))
    }

    fn apply_single_changes(&mut self) {
        let endpoints = u64::from(self.environment.endpoint_count());
        for change in 0..u64::from(SINGLE_CHANGE_COUNT) {
            let endpoint_index = (endpoints * change / u64::from(SINGLE_CHANGE_COUNT)) as u32;
            let entry = self
                .environment
                .endpoint_entry(endpoint_index, CHANGED_RATE_FACTOR);
            let update = EndpointListUpdate::Changes(vec![entry]);
            self.environment.handle(Event::EndpointListUpdated(update));
        }
    }

    /// One stretch with so many messages a second; 0 is rest.
    fn run_phase(&mut self, rate: u64) -> Result<Phase, CapacityError> {
        let before = own_processor_time()?;
        let counts = self.environment.run_traffic(self.seconds, rate)?;
        let processor = microseconds(own_processor_time()? - before);
        Ok(Phase {
            seconds: self.seconds as f64,
            messages: counts.messages as f64,
            events: counts.events as f64,
            calls: counts.calls as f64,
            probes: counts.probes as f64,
            delivered: counts.delivered as f64,
            given_up: counts.given_up as f64,
            processor,
            memory: self.memory_growth()?,
            held: DestinationStateCounts::of(&self.environment),
        })
    }
}
