//! The load: an open loop. Each message has the time when it is due, whatever became of those before; both clocks draw the
//! same messages from the same seed. `Loads` owns the streams; nothing grows with the messages drawn. `shape` tells the rate
//! over time, `replay` reads times from a file.

mod replay;
mod shape;

pub use replay::{LineProblem, ReplayError};

use crate::chance::{exponential, stream, Pick};
use crate::scenario::{Load, Scenario, Shape};
use crate::world::Layout;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use replay::{read_times, ReplayedTime};

/// A message that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Due {
    /// µs from the start of the run.
    pub at: Micros,
    /// The number of its destination.
    pub destination: u32,
    /// The place of its delivery class in the scenario.
    pub class: u16,
    /// The place of its tenant in the scenario.
    pub tenant: Option<u32>,
    /// Its order key, where its class is ordered.
    pub key: u64,
    /// How long it may be delivered, µs.
    pub left: Micros,
    /// Bytes of its body on sockets.
    pub body_bytes: usize,
    /// How often its client submits it again after a rejection, at most.
    pub resubmissions: u32,
}

/// One stream of the scenario.
struct Stream {
    load: Load,
    chance: Pcg64Mcg,
    pick: Pick,
    /// Numbers of the destinations that `pick` chooses from.
    destinations: Vec<u32>,
    classes: Vec<u16>,
    tenant: Option<u32>,
    replay: std::vec::IntoIter<ReplayedTime>,
    /// When its next message is due, and its destination where the file names one.
    next: Option<ReplayedTime>,
}

/// All streams of a scenario, merged by time.
pub struct Loads {
    streams: Vec<Stream>,
    times_to_live: Vec<Micros>,
    /// From then on nothing is due.
    ends: Micros,
}

impl Loads {
    /// The streams of a scenario.
    pub fn new(scenario: &Scenario, layout: &Layout, seed: u64) -> Result<Loads, ReplayError> {
        let ends = scenario.lasts.0;
        let mut streams = Vec::new();
        for (number, load) in scenario.loads.iter().enumerate() {
            let mut stream = Stream::new(scenario, layout, load, seed, number)?;
            stream.advance(ends);
            streams.push(stream);
        }
        let classes = scenario.classes.iter();
        Ok(Loads {
            streams,
            times_to_live: classes.map(|class| class.time_to_live.0).collect(),
            ends,
        })
    }
}

/// The stream whose next message is due first.
fn first_stream(streams: &mut [Stream]) -> Option<&mut Stream> {
    let waiting = streams
        .iter_mut()
        .filter_map(|stream| Some((stream.next?.0, stream)));
    let (_, first) = waiting.min_by_key(|(at, _)| *at)?;
    Some(first)
}

impl Iterator for Loads {
    type Item = Due;

    fn next(&mut self) -> Option<Due> {
        let stream = first_stream(&mut self.streams)?;
        let (at, named_destination) = stream.next?;
        stream.advance(self.ends);
        let destination = named_destination.unwrap_or_else(|| stream.draw_destination());
        let class = stream.draw_class();
        let time_left = stream.draw_deadline();
        let key = stream.chance.random_range(0..stream.load.keys.max(1));
        Some(Due {
            at,
            destination,
            class,
            tenant: stream.tenant,
            key,
            left: time_left.min(self.times_to_live[usize::from(class)]),
            body_bytes: stream.load.body_bytes,
            resubmissions: stream.load.resubmissions,
        })
    }
}

impl Stream {
    fn new(
        scenario: &Scenario,
        layout: &Layout,
        load: &Load,
        seed: u64,
        number: usize,
    ) -> Result<Stream, ReplayError> {
        let weights = destination_weights(scenario, load);
        let numbers = 0..weights.len() as u32;
        let destinations: Vec<u32> = numbers
            .filter(|number| weights[*number as usize] > 0.0)
            .collect();
        let chosen_weights = destinations.iter().map(|number| weights[*number as usize]);
        let replay = match &load.shape {
            Shape::Replay { file } => read_times(file, layout.destinations.len())?,
            _ => Vec::new(),
        };
        Ok(Stream {
            load: load.clone(),
            chance: stream(seed, "load", number as u64),
            pick: Pick::new(chosen_weights, load.skew),
            destinations,
            classes: classes_of(scenario, load),
            tenant: tenant_of(scenario, load),
            replay: replay.into_iter(),
            next: Some((0, None)),
        })
    }

    fn draw_destination(&mut self) -> u32 {
        self.destinations[self.pick.draw(&mut self.chance)]
    }

    fn draw_class(&mut self) -> u16 {
        self.classes[self.chance.random_range(0..self.classes.len())]
    }

    /// The time that a message has left where the stream gives it less than its class; else any time.
    fn draw_deadline(&mut self) -> Micros {
        let Some(short) = self.load.short_deadlines else {
            return Micros::MAX;
        };
        let share = short.share.clamp(0.0, 1.0);
        match self.chance.random_bool(share) {
            true => short.left.0,
            false => Micros::MAX,
        }
    }

    /// Draws the next time; nothing is due from `ends` on.
    fn advance(&mut self, ends: Micros) {
        self.next = match self.load.shape {
            Shape::Replay { .. } => self.replay.next(),
            Shape::Even => self.next_even(),
            _ => self.next_drawn(ends),
        };
        self.next = self.next.filter(|(at, _)| *at < ends);
    }

    fn next_even(&self) -> Option<ReplayedTime> {
        let (at, _) = self.next?;
        let interval = (1e6 / self.load.rate).max(1.0) as Micros;
        Some((at + interval, None))
    }

    /// Draws at the highest rate and thins where the rate is lower.
    fn next_drawn(&mut self, ends: Micros) -> Option<ReplayedTime> {
        let (at, _) = self.next?;
        let most = self.load.shape.most();
        if most <= 0.0 {
            return None;
        }
        let mut time = at as f64;
        loop {
            time += exponential(&mut self.chance) * 1e6 / (self.load.rate * most);
            let at = time as Micros;
            if at >= ends {
                return None;
            }
            let times = self.load.shape.times(at);
            if times >= most || self.chance.random::<f64>() * most < times {
                return Some((at, None));
            }
        }
    }
}

/// The weight of each destination by its number; 0 for those that the load does not name.
fn destination_weights(scenario: &Scenario, load: &Load) -> Vec<f64> {
    let mut weights = Vec::new();
    for group in &scenario.destinations {
        let named = load.destinations.is_empty() || load.destinations.contains(&group.name);
        let weight = if named { group.weight } else { 0.0 };
        weights.extend((0..group.count).map(|_| weight));
    }
    weights
}

/// The places of the delivery classes that the load names.
fn classes_of(scenario: &Scenario, load: &Load) -> Vec<u16> {
    let classes = scenario.classes.iter().enumerate();
    classes
        .filter(|(_, class)| load.classes.is_empty() || load.classes.contains(&class.name))
        .map(|(place, _)| place as u16)
        .collect()
}

/// The place of the tenant that the load names.
fn tenant_of(scenario: &Scenario, load: &Load) -> Option<u32> {
    let name = load.tenant.as_ref()?;
    let mut tenants = scenario.tenants.iter();
    let place = tenants.position(|tenant| tenant.name == *name)?;
    Some(place as u32)
}

#[cfg(test)]
mod tests;
