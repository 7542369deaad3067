//! The core at one size, measured in this process. It has to be a fresh one: memory that an earlier size has used would
//! count as free.

use super::world::{Plan, Spread, World};
use super::FullDestinations;
use crate::capacity::error::CapacityError;
use crate::capacity::usage::{own_memory, own_processor_time};
use clap::Args;
use opalpulley::{EndpointListUpdate, Event};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Entries in one step of building the list: what a step uses besides stays small.
const CHUNK: u32 = 1_000;
/// The rate of a single change, as a multiple of the listed rate.
const CHANGED_RATE: f64 = 1.5;
/// Single changes of the list, to average over.
pub const CHANGES: u32 = 200;

/// What one size is measured with.
#[derive(Args, Clone, Debug)]
pub struct Setup {
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
pub struct Held {
    pub full: f64,
    pub most_full: f64,
    pub summaries: f64,
    pub bounds: f64,
    pub restored: f64,
    pub summarised: f64,
}

impl Held {
    fn of(world: &World) -> Held {
        let counts = world.state_counts();
        Held {
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
pub struct Stretch {
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
    pub held: Held,
}

/// The figures of one size.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Point {
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
    pub held_listed: Held,
    pub held_changed: Held,
    pub traffic: Stretch,
    pub rest: Stretch,
    pub down: Stretch,
    pub down_rest: Stretch,
}

fn microseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Processor time of some work, µs.
fn timed(work: impl FnOnce()) -> Result<f64, CapacityError> {
    let before = own_processor_time()?;
    work();
    Ok(microseconds(own_processor_time()? - before))
}

/// Measures one size: the list by steps, as a whole and by single changes; then traffic and rest, twice.
pub fn measure(setup: &Setup) -> Result<Point, CapacityError> {
    let mut bench = Bench::new(setup)?;
    let listing = timed(|| bench.list_by_steps())?;
    let (memory_listed, held_listed) = (bench.memory()?, Held::of(&bench.world));
    let whole_list = bench.time_whole_list()?;
    let memory_whole = bench.memory()?;
    let changes = timed(|| bench.change_single_entries())?;
    let held_changed = Held::of(&bench.world);
    Ok(Point {
        destinations: setup.destinations,
        targets: bench.world.targets(),
        memory_listed,
        memory_whole,
        listing,
        whole_list,
        one_change: changes / f64::from(CHANGES),
        held_listed,
        held_changed,
        traffic: bench.stretch(setup.rate)?,
        rest: bench.stretch(0)?,
        down: {
            bench.world.put_down(setup.down);
            bench.stretch(setup.rate)?
        },
        down_rest: bench.stretch(0)?,
    })
}

/// A core in its surroundings.
struct Bench {
    world: World,
    /// Simulated seconds of each stretch.
    seconds: u64,
    /// Resident memory before the list was taken in, bytes.
    memory_before: u64,
}

impl Bench {
    fn new(setup: &Setup) -> Result<Bench, CapacityError> {
        let plan = Plan::new(
            setup.destinations,
            setup.spread,
            setup.rate,
            setup.full_destinations.limit(),
            setup.seed,
        );
        Ok(Bench {
            world: World::new(Plan {
                targets_each: setup.targets_each,
                ..plan
            }),
            seconds: setup.seconds,
            memory_before: own_memory()?,
        })
    }

    /// Resident memory beyond that before the list was taken in, bytes.
    fn memory(&self) -> Result<f64, CapacityError> {
        Ok(own_memory()?.saturating_sub(self.memory_before) as f64)
    }

    fn list_by_steps(&mut self) {
        let targets = self.world.targets();
        for from in (0..targets).step_by(CHUNK as usize) {
            let numbers = from..targets.min(from + CHUNK);
            let entries = numbers.map(|number| self.world.listing(number, 1.0));
            let changes = EndpointListUpdate::Changes(entries.collect());
            self.world.handle(Event::EndpointListUpdated(changes));
        }
    }

    /// Processor time to take the whole list in, µs; making it does not count.
    fn time_whole_list(&mut self) -> Result<f64, CapacityError> {
        let numbers = 0..self.world.targets();
        let entries = numbers.map(|number| self.world.listing(number, 1.0));
        let list = EndpointListUpdate::Complete(entries.collect());
        timed(|| self.world.handle(Event::EndpointListUpdated(list)))
    }

    fn change_single_entries(&mut self) {
        let targets = u64::from(self.world.targets());
        for change in 0..u64::from(CHANGES) {
            let target = (targets * change / u64::from(CHANGES)) as u32;
            let entry = self.world.listing(target, CHANGED_RATE);
            let update = EndpointListUpdate::Changes(vec![entry]);
            self.world.handle(Event::EndpointListUpdated(update));
        }
    }

    /// One stretch with so many messages a second; 0 is rest.
    fn stretch(&mut self, rate: u64) -> Result<Stretch, CapacityError> {
        let before = own_processor_time()?;
        let counts = self.world.run(self.seconds, rate)?;
        let processor = microseconds(own_processor_time()? - before);
        Ok(Stretch {
            seconds: self.seconds as f64,
            messages: counts.messages as f64,
            events: counts.events as f64,
            calls: counts.calls as f64,
            probes: counts.probes as f64,
            delivered: counts.delivered as f64,
            given_up: counts.given_up as f64,
            processor,
            memory: self.memory()?,
            held: Held::of(&self.world),
        })
    }
}
