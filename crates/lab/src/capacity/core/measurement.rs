//! Measures the core at one size, in this process. The process has to be a fresh one: memory that an earlier size has
//! freed would be reused and not counted.

use super::environment::{EnvironmentConfig, SimulatedEnvironment, Spread};
use super::FullDestinations;
use crate::capacity::error::CapacityError;
use crate::capacity::usage::{own_processor_time, own_resident_bytes};
use clap::Args;
use opalpulley::{EndpointListUpdate, Event};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of entries of each partial update that builds the list; bounds the temporary memory of one update.
const ENTRIES_PER_STEP: u32 = 1_000;
/// Factor by which a single change multiplies the listed rate.
const CHANGED_RATE_FACTOR: f64 = 1.5;
/// Number of single changes of the list over which the processor time of one change is averaged.
pub const SINGLE_CHANGE_COUNT: u32 = 200;

/// Options of the hidden subcommand `capacity core-point`, which measures one size.
#[derive(Args, Clone, Debug)]
pub struct CoreOptions {
    /// Number of destinations
    #[arg(long)]
    pub destinations: u32,
    /// Number of targets of each destination
    #[arg(long)]
    pub targets_each: u32,
    /// Distribution of the messages over the destinations
    #[arg(long)]
    pub spread: Spread,
    /// Messages submitted per simulated second
    #[arg(long)]
    pub rate: u64,
    /// Simulated seconds of each phase
    #[arg(long)]
    pub seconds: u64,
    /// Share of the destinations that is down in the last two phases, 0 to 1
    #[arg(long)]
    pub down: f64,
    /// Limit of destinations held in full: `all`, or a number
    #[arg(long)]
    pub full_destinations: FullDestinations,
    /// Seed of the core and of its simulated environment
    #[arg(long)]
    pub seed: u64,
}

/// The counts of `opalpulley::StateCounts` in a form that is written as JSON.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct DestinationStateCounts {
    /// Number of destinations held in full.
    pub full: f64,
    /// Highest value of `full` so far.
    pub most_full: f64,
    /// Number of idle targets, each held as a summary.
    pub summaries: f64,
    /// Number of idle targets that have binding state.
    pub bounds: f64,
    /// Number of times so far that a destination was restored from its summary.
    pub restored: f64,
    /// Number of times so far that a destination was replaced by its summary.
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

/// Counts and usage of one phase of simulated time.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Phase {
    /// Simulated length of the phase, in s.
    pub seconds: f64,
    /// Number of messages submitted.
    pub messages: f64,
    /// Number of events that the core handled.
    pub events: f64,
    /// Number of calls started.
    pub calls: f64,
    /// Number of health checks started.
    pub probes: f64,
    /// Number of messages delivered.
    pub delivered: f64,
    /// Number of messages that failed or were rejected.
    pub given_up: f64,
    /// Processor time in µs, including the simulated environment.
    pub processor: f64,
    /// Growth of the resident memory from before the list was applied to the end of the phase, in bytes.
    pub memory: f64,
    /// Destinations that the core holds at the end of the phase.
    pub held: DestinationStateCounts,
}

/// The figures of the core at one size; its fields are keys of the JSON that the subcommand prints.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CoreMeasurement {
    /// Number of destinations.
    pub destinations: u32,
    /// Number of targets of all destinations.
    pub targets: u32,
    /// Growth of the resident memory after the list was applied in steps, in bytes.
    pub memory_listed: f64,
    /// Growth of the resident memory after the complete list was applied once more, in bytes.
    pub memory_whole: f64,
    /// Processor time to apply the list in steps, in µs.
    pub listing: f64,
    /// Processor time to apply the complete list, in µs.
    pub whole_list: f64,
    /// Mean processor time to apply a change of one entry, in µs.
    pub one_change: f64,
    /// Destinations held after the list was applied in steps.
    pub held_listed: DestinationStateCounts,
    /// Destinations held after the single changes.
    pub held_changed: DestinationStateCounts,
    /// The first phase: messages to healthy destinations.
    pub traffic: Phase,
    /// The second phase: no messages.
    pub rest: Phase,
    /// The third phase: messages while a share of the destinations is down.
    pub down: Phase,
    /// The fourth phase: no messages while the same share is down.
    pub down_rest: Phase,
}

fn microseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Runs `work` and returns the processor time of this process for it, in µs.
fn processor_time_of(work: impl FnOnce()) -> Result<f64, CapacityError> {
    let before = own_processor_time()?;
    work();
    Ok(microseconds(own_processor_time()? - before))
}

/// Measures one size. Applies the list in steps, as a whole and by single changes, then runs a phase with traffic and
/// one without, first with all destinations healthy and then with a share of them down.
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

/// A measurement in progress: a core in its simulated environment, and the baseline of its memory.
struct CoreRun {
    environment: SimulatedEnvironment,
    /// Simulated length of each phase, in s.
    seconds: u64,
    /// Resident memory before the list is applied, in bytes.
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

    /// Returns the growth of the resident memory since the start of the measurement, in bytes; 0 if it has shrunk.
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

    /// Applies the complete list and returns the processor time for it, in µs, without the time to build the list.
    fn whole_list_processor_time(&mut self) -> Result<f64, CapacityError> {
        let indices = 0..self.environment.endpoint_count();
        let entries = indices.map(|index| self.environment.endpoint_entry(index, 1.0));
        let list = EndpointListUpdate::Complete(entries.collect());
        processor_time_of(|| self.environment.handle(Event::EndpointListUpdated(list)))
    }

    /// Changes the rate of single entries, evenly spaced over the list.
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

    /// Runs one phase with `rate` messages per second; 0 is a phase without messages.
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
