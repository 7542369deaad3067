//! The core at one size, measured in this process. It has to be a fresh one: memory that an earlier size has used would
//! count as free.

use super::world::{Counts, Spread, World};
use crate::capacity::usage::{own_memory, own_processor_time};
use clap::Args;
use opalpulley::{Event, ListNews};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const CHUNK: u32 = 1_000; // listings in one step of building the list: what a step uses besides stays small
const CHANGES: u32 = 200; // single changes of the list, to average over

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
    pub seed: u64,
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
    pub traffic: Stretch,
    pub rest: Stretch,
    pub down: Stretch,
    pub down_rest: Stretch,
}

fn microseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Processor time of some work, us.
fn timed(work: impl FnOnce() -> Result<(), String>) -> Result<f64, String> {
    let begun = own_processor_time()?;
    work()?;
    Ok(microseconds(own_processor_time()? - begun))
}

pub fn measure(setup: &Setup) -> Result<Point, String> {
    let mut world = World::new(setup.destinations, setup.targets_each, setup.seed);
    let targets = world.targets();
    let before = own_memory()?;
    let beyond = || own_memory().map(|memory| memory.saturating_sub(before) as f64);
    let listing = timed(|| {
        for from in (0..targets).step_by(CHUNK as usize) {
            let lines = (from..targets.min(from + CHUNK)).map(|n| world.listing(n, 1.0));
            let lines = lines.collect::<Result<_, _>>()?;
            world.handle(Event::List(ListNews::Changes(lines)));
        }
        Ok(())
    })?;
    let memory_listed = beyond()?;
    let lines = (0..targets).map(|n| world.listing(n, 1.0)).collect::<Result<_, _>>()?;
    let whole_list = timed(|| {
        world.handle(Event::List(ListNews::Whole(lines)));
        Ok(())
    })?;
    let memory_whole = beyond()?;
    let changes = timed(|| {
        for change in 0..CHANGES {
            let target = (u64::from(targets) * u64::from(change) / u64::from(CHANGES)) as u32;
            let line = world.listing(target, 1.5)?;
            world.handle(Event::List(ListNews::Changes(vec![line])));
        }
        Ok(())
    })?;
    let mut stretch = |rate: u64, down: Option<f64>| -> Result<Stretch, String> {
        down.into_iter().for_each(|share| world.put_down(share));
        let mut counts = Counts::default();
        let processor = timed(|| {
            counts = world.run(setup.seconds, rate, setup.spread)?;
            Ok(())
        })?;
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
        traffic: stretch(setup.rate, None)?,
        rest: stretch(0, None)?,
        down: stretch(setup.rate, Some(setup.down))?,
        down_rest: stretch(0, None)?,
    })
}
