//! The open-loop load generator. The time at which a message is due doesn't depend on the outcome of earlier messages. Equal
//! seeds give the same messages on the simulated clock and on sockets. `Loads` owns the streams; its memory doesn't grow with
//! the number of messages drawn. `shape` gives the rate over time, and `replay` reads times from a file.

mod replay;
mod shape;

pub use replay::{ReplayError, ReplayLineError};

use crate::random::{exponential, seeded_rng, IndexSampler};
use crate::scenario::{Load, Scenario, Shape};
use crate::world::Layout;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use replay::{read_replay_file, ReplayEntry};

/// A message for a client to submit when it is due.
#[derive(Clone, Debug, PartialEq)]
pub struct DueMessage {
    /// Time at which the message is due, in µs from the start of the run.
    pub at: Micros,
    /// Index of the destination in the layout.
    pub destination: u32,
    /// Index of the delivery class in the scenario.
    pub class: u16,
    /// Index of the tenant in the scenario, if the message has one.
    pub tenant: Option<u32>,
    /// Order key; used only if the delivery class is ordered.
    pub order_key: u64,
    /// Time to live of the message, counted from the time when it is due, in µs.
    pub time_left: Micros,
    /// Size of the body on sockets, in bytes.
    pub body_bytes: usize,
    /// Upper bound on the number of times that the client resubmits the message after a rejection.
    pub resubmissions: u32,
}

/// A stream of messages, which draws from its own random number generator.
struct Stream {
    load: Load,
    rng: Pcg64Mcg,
    destination_sampler: IndexSampler,
    /// Indices of the destinations from which `destination_sampler` chooses.
    destinations: Vec<u32>,
    classes: Vec<u16>,
    tenant: Option<u32>,
    replay: std::vec::IntoIter<ReplayEntry>,
    /// The next message of the stream; none when the stream has ended.
    next: Option<ReplayEntry>,
}

/// An iterator over the messages of all streams of a scenario, in the order in which they are due.
pub struct Loads {
    streams: Vec<Stream>,
    times_to_live: Vec<Micros>,
    /// End of the load, in µs from the start of the run. No message is due from then on.
    end: Micros,
}

impl Loads {
    /// Creates the streams of a scenario. Fails if a replay file can't be read or parsed.
    pub fn new(scenario: &Scenario, layout: &Layout, seed: u64) -> Result<Loads, ReplayError> {
        let end = scenario.lasts.0;
        let mut streams = Vec::new();
        for (stream_index, load) in scenario.loads.iter().enumerate() {
            let mut stream = Stream::new(scenario, layout, load, seed, stream_index)?;
            stream.advance(end);
            streams.push(stream);
        }
        let classes = scenario.classes.iter();
        Ok(Loads {
            streams,
            times_to_live: classes.map(|class| class.time_to_live.0).collect(),
            end,
        })
    }
}

/// Returns the stream whose next message is due first; none if all streams have ended.
fn earliest_stream(streams: &mut [Stream]) -> Option<&mut Stream> {
    let pending = streams
        .iter_mut()
        .filter_map(|stream| Some((stream.next?.0, stream)));
    let (_, earliest) = pending.min_by_key(|(at, _)| *at)?;
    Some(earliest)
}

impl Iterator for Loads {
    type Item = DueMessage;

    fn next(&mut self) -> Option<DueMessage> {
        let stream = earliest_stream(&mut self.streams)?;
        let (at, named_destination) = stream.next?;
        stream.advance(self.end);
        let destination = named_destination.unwrap_or_else(|| stream.draw_destination());
        let class = stream.draw_class();
        let time_left = stream.draw_time_left();
        let order_key = stream.rng.random_range(0..stream.load.keys.max(1));
        Some(DueMessage {
            at,
            destination,
            class,
            tenant: stream.tenant,
            order_key,
            time_left: time_left.min(self.times_to_live[usize::from(class)]),
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
        stream_index: usize,
    ) -> Result<Stream, ReplayError> {
        let weights = destination_weights(scenario, load);
        let numbers = 0..weights.len() as u32;
        let destinations: Vec<u32> = numbers
            .filter(|number| weights[*number as usize] > 0.0)
            .collect();
        let selected_weights = destinations.iter().map(|number| weights[*number as usize]);
        let replay = match &load.shape {
            Shape::Replay { file } => read_replay_file(file, layout.destinations.len())?,
            _ => Vec::new(),
        };
        Ok(Stream {
            load: load.clone(),
            rng: seeded_rng(seed, "load", stream_index as u64),
            destination_sampler: IndexSampler::new(selected_weights, load.skew),
            destinations,
            classes: class_indices(scenario, load),
            tenant: tenant_index(scenario, load),
            replay: replay.into_iter(),
            next: Some((0, None)),
        })
    }

    fn draw_destination(&mut self) -> u32 {
        self.destinations[self.destination_sampler.sample(&mut self.rng)]
    }

    fn draw_class(&mut self) -> u16 {
        self.classes[self.rng.random_range(0..self.classes.len())]
    }

    /// Draws the stream's bound on the time to live of a message, in µs; `Micros::MAX` if there is none.
    fn draw_time_left(&mut self) -> Micros {
        let Some(short_deadlines) = self.load.short_deadlines else {
            return Micros::MAX;
        };
        let share = short_deadlines.share.clamp(0.0, 1.0);
        match self.rng.random_bool(share) {
            true => short_deadlines.left.0,
            false => Micros::MAX,
        }
    }

    /// Moves on to the next message of the stream, if one is due before `end`.
    fn advance(&mut self, end: Micros) {
        self.next = match self.load.shape {
            Shape::Replay { .. } => self.replay.next(),
            Shape::Even => self.next_evenly_spaced(),
            _ => self.next_random(end),
        };
        self.next = self.next.filter(|(at, _)| *at < end);
    }

    fn next_evenly_spaced(&self) -> Option<ReplayEntry> {
        let (at, _) = self.next?;
        let interval = (1e6 / self.load.rate).max(1.0) as Micros;
        Some((at + interval, None))
    }

    /// Draws the next arrival of an inhomogeneous Poisson process by thinning: candidates are drawn at the highest rate and
    /// accepted in proportion to the rate at their time.
    fn next_random(&mut self, end: Micros) -> Option<ReplayEntry> {
        let (at, _) = self.next?;
        let max_multiple = self.load.shape.max_rate_multiple();
        if max_multiple <= 0.0 {
            return None;
        }
        let mut time = at as f64;
        loop {
            time += exponential(&mut self.rng) * 1e6 / (self.load.rate * max_multiple);
            let at = time as Micros;
            if at >= end {
                return None;
            }
            let multiple = self.load.shape.rate_multiple(at);
            if multiple >= max_multiple || self.rng.random::<f64>() * max_multiple < multiple {
                return Some((at, None));
            }
        }
    }
}

/// Returns the weight of each destination by its index; 0 for destinations that the load doesn't select.
fn destination_weights(scenario: &Scenario, load: &Load) -> Vec<f64> {
    let mut weights = Vec::new();
    for group in &scenario.destinations {
        let selected = load.destinations.is_empty() || load.destinations.contains(&group.name);
        let weight = if selected { group.weight } else { 0.0 };
        weights.extend((0..group.count).map(|_| weight));
    }
    weights
}

/// Returns the indices of the delivery classes that the load selects.
fn class_indices(scenario: &Scenario, load: &Load) -> Vec<u16> {
    let classes = scenario.classes.iter().enumerate();
    classes
        .filter(|(_, class)| load.classes.is_empty() || load.classes.contains(&class.name))
        .map(|(index, _)| index as u16)
        .collect()
}

/// Returns the index of the load's tenant, if it has one.
fn tenant_index(scenario: &Scenario, load: &Load) -> Option<u32> {
    let name = load.tenant.as_ref()?;
    let mut tenants = scenario.tenants.iter();
    let index = tenants.position(|tenant| tenant.name == *name)?;
    Some(index as u32)
}

#[cfg(test)]
mod tests;
