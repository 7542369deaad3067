//! The core at one size, measured in this process. It has to be a fresh one: memory that an earlier size has used would
//! count as free.

use super::world::{Counts, Plan, Spread, World};
use super::FullDestinations;
use crate::capacity::error::CapacityError;
use crate::capacity::usage::{own_memory, own_processor_time};
use clap::Args;
use opalpulley::{EndpointListUpdate, Event};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const CHUNK: u32 = 1_000; // listings in one step of building the list: what a step uses besides stays small
const CHANGED_RATE: f64 = 1.5; // of the listed rate, in a single change
pub const CHANGES: u32 = 200; // single changes of the list, to average over

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

/// Processor time of some work, us.
fn timed(work: impl FnOnce()) -> Result<f64, CapacityError> {
    let begun = own_processor_time()?;
    work();
    Ok(microseconds(own_processor_time()? - begun))
}

pub fn measure(setup: &Setup) -> Result<Point, CapacityError> {
    let full = setup.full_destinations.limit();
    let plan = Plan::new(
        setup.destinations,
        setup.spread,
        setup.rate,
        full,
        setup.seed,
    );
    let mut world = World::new(Plan {
        targets_each: setup.targets_each,
        ..plan
    });
    let targets = world.targets();
    let before = own_memory()?;
    let beyond = || own_memory().map(|memory| memory.saturating_sub(before) as f64);
    let listing = timed(|| {
        for from in (0..targets).step_by(CHUNK as usize) {
            let lines = (from..targets.min(from + CHUNK))
                .map(|n| world.listing(n, 1.0))
                .collect();
            world.handle(Event::EndpointList(EndpointListUpdate::Changes(lines)));
        }
    })?;
    let (memory_listed, held_listed) = (beyond()?, Held::of(&world));
    let lines = (0..targets).map(|n| world.listing(n, 1.0)).collect();
    let whole_list =
        timed(|| world.handle(Event::EndpointList(EndpointListUpdate::Complete(lines))))?;
    let memory_whole = beyond()?;
    let changes = timed(|| {
        for change in 0..CHANGES {
            let target = (u64::from(targets) * u64::from(change) / u64::from(CHANGES)) as u32;
            let line = world.listing(target, CHANGED_RATE);
            world.handle(Event::EndpointList(EndpointListUpdate::Changes(vec![line])));
        }
    })?;
    let held_changed = Held::of(&world);
    let mut stretch = |rate: u64, down: Option<f64>| -> Result<Stretch, CapacityError> {
        down.into_iter().for_each(|share| world.put_down(share));
        let mut counts = Counts::default();
        let mut problem = None;
        let processor = timed(|| match world.run(setup.seconds, rate) {
            Ok(counted) => counts = counted,
            Err(words) => problem = Some(words),
        })?;
        if let Some(words) = problem {
            return Err(words);
        }
        Ok(Stretch {
            seconds: setup.seconds as f64,
            messages: counts.messages as f64,
            events: counts.events as f64,
            calls: counts.calls as f64,
            probes: counts.probes as f64,
            delivered: counts.delivered as f64,
            given_up: counts.given_up as f64,
            processor,
            memory: beyond()?,
            held: Held::of(&world),
        })
    };
    Ok(Point {
        destinations: setup.destinations,
        targets,
        memory_listed,
        memory_whole,
        listing,
        whole_list,
        one_change: changes / f64::from(CHANGES),
        held_listed,
        held_changed,
        traffic: stretch(setup.rate, None)?,
        rest: stretch(0, None)?,
        down: stretch(setup.rate, Some(setup.down))?,
        down_rest: stretch(0, None)?,
    })
}
