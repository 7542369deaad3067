//! The load: an open loop. Each message has the time when it is due, whatever became of those before; both clocks draw the
//! same messages from the same seed. Owns the streams; nothing grows with the messages drawn.

use crate::chance::{exponential, stream, Pick};
use crate::scenario::{Load, Scenario, Shape};
use crate::world::Layout;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::path::{Path, PathBuf};

/// A message that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Due {
    /// µs from the start of the run.
    pub at: Micros,
    pub destination: u32,
    pub class: u16,
    pub tenant: Option<u32>,
    pub key: u64,
    /// How long it may be delivered, µs.
    pub left: Micros,
    pub body_bytes: usize,
    pub resubmissions: u32,
}

struct Stream {
    load: Load,
    rng: Pcg64Mcg,
    pick: Pick,
    /// Numbers of the destinations that `pick` chooses from.
    destinations: Vec<u32>,
    classes: Vec<u16>,
    tenant: Option<u32>,
    replay: std::vec::IntoIter<ReplayedTime>,
    next: Option<ReplayedTime>,
}

/// All streams of a scenario, merged by time.
pub struct Loads {
    streams: Vec<Stream>,
    times_to_live: Vec<Micros>,
    ends: Micros,
}

impl Loads {
    pub fn new(scenario: &Scenario, layout: &Layout, seed: u64) -> Result<Loads, ReplayError> {
        let ends = scenario.lasts.0;
        let mut streams = Vec::new();
        for (n, load) in scenario.loads.iter().enumerate() {
            let named =
                |name: &String| load.destinations.is_empty() || load.destinations.contains(name);
            let groups = scenario.destinations.iter();
            let weights: Vec<f64> = groups
                .flat_map(|d| vec![if named(&d.name) { d.weight } else { 0.0 }; d.count as usize])
                .collect();
            let destinations: Vec<u32> = (0..weights.len())
                .filter(|d| weights[*d] > 0.0)
                .map(|d| d as u32)
                .collect();
            let pick = Pick::new(destinations.iter().map(|d| weights[*d as usize]), load.skew);
            let classes = (0..scenario.classes.len())
                .filter(|p| {
                    load.classes.is_empty() || load.classes.contains(&scenario.classes[*p].name)
                })
                .map(|p| p as u16)
                .collect();
            let tenant = load
                .tenant
                .as_ref()
                .and_then(|t| scenario.tenants.iter().position(|o| o.name == *t));
            let replay = match &load.shape {
                Shape::Replay { file } => read_times(file, layout.destinations.len())?,
                _ => Vec::new(),
            };
            let mut s = Stream {
                load: load.clone(),
                rng: stream(seed, "load", n as u64),
                pick,
                destinations,
                classes,
                tenant: tenant.map(|t| t as u32),
                replay: replay.into_iter(),
                next: Some((0, None)),
            };
            s.advance(ends);
            streams.push(s);
        }
        Ok(Loads {
            streams,
            times_to_live: scenario.classes.iter().map(|p| p.time_to_live.0).collect(),
            ends,
        })
    }
}

impl Iterator for Loads {
    type Item = Due;

    fn next(&mut self) -> Option<Due> {
        let first = |s: &Stream| s.next.map(|(at, _)| at);
        let (n, _) = self
            .streams
            .iter()
            .enumerate()
            .filter_map(|(n, s)| Some((n, first(s)?)))
            .min_by_key(|f| f.1)?;
        let s = &mut self.streams[n];
        let (at, told) = s.next?;
        s.advance(self.ends);
        let destination = told.unwrap_or_else(|| s.destinations[s.pick.draw(&mut s.rng)]);
        let class = s.classes[s.rng.random_range(0..s.classes.len())];
        let mut left = self.times_to_live[usize::from(class)];
        if let Some(short) = s.load.short_deadlines {
            if s.rng.random_bool(short.share.clamp(0.0, 1.0)) {
                left = left.min(short.left.0);
            }
        }
        let key = s.rng.random_range(0..s.load.keys.max(1));
        let (tenant, body_bytes, resubmissions) =
            (s.tenant, s.load.body_bytes, s.load.resubmissions);
        Some(Due {
            at,
            destination,
            class,
            tenant,
            key,
            left,
            body_bytes,
            resubmissions,
        })
    }
}

impl Stream {
    /// Draws the next time, by thinning where the rate changes.
    fn advance(&mut self, ends: Micros) {
        if let Shape::Replay { .. } = self.load.shape {
            self.next = self.replay.next().filter(|(at, _)| *at < ends);
            return;
        }
        let Some((mut at, _)) = self.next else { return };
        if let Shape::Even = self.load.shape {
            at += (1e6 / self.load.rate).max(1.0) as Micros;
            self.next = (at < ends).then_some((at, None));
            return;
        }
        let most = self.load.shape.most();
        if most <= 0.0 {
            return self.next = None;
        }
        let mut time = at as f64;
        loop {
            time += exponential(&mut self.rng) * 1e6 / (self.load.rate * most);
            at = time as Micros;
            if at >= ends {
                return self.next = None;
            }
            let times = self.load.shape.times(at);
            if times >= most || self.rng.random::<f64>() * most < times {
                return self.next = Some((at, None));
            }
        }
    }
}

impl Shape {
    /// So many times the mean rate at this time.
    pub fn times(&self, at: Micros) -> f64 {
        match self {
            Shape::Poisson | Shape::Even | Shape::Replay { .. } => 1.0,
            Shape::Steps { steps } => steps
                .iter()
                .rev()
                .find(|(from, _)| from.0 <= at)
                .map_or(1.0, |(_, t)| *t),
            Shape::Bursts {
                on,
                off,
                times,
                rest,
            } => {
                if at % (on.0 + off.0) < on.0 {
                    *times
                } else {
                    *rest
                }
            }
            Shape::Day { day, least, most } => {
                let wave = (std::f64::consts::TAU * at as f64 / day.0 as f64).cos();
                least + (most - least) * (1.0 - wave) / 2.0
            }
        }
    }

    fn most(&self) -> f64 {
        match self {
            Shape::Poisson | Shape::Even | Shape::Replay { .. } => 1.0,
            Shape::Steps { steps } => steps.iter().map(|(_, t)| *t).fold(1.0, f64::max),
            Shape::Bursts { times, rest, .. } => times.max(*rest),
            Shape::Day { least, most, .. } => least.max(*most),
        }
    }
}

/// Why a file of submission times can't be replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    File {
        file: PathBuf,
        source: std::io::Error,
    },
    /// A line of it is wrong.
    #[error("{}:{line_number}: {line}: {problem}", file.display())]
    Line {
        file: PathBuf,
        line_number: usize,
        line: String,
        problem: LineProblem,
    },
}

/// What is wrong with a line of a file of submission times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineProblem {
    /// The first column is no number.
    #[error("write a time in seconds first")]
    Time,
    /// The second column is no number.
    #[error("the destination is a number")]
    Destination,
    /// The time is negative or too late, or there is no such destination.
    #[error("the time or the destination is out of range")]
    OutOfRange,
}

/// A replayed time must be earlier, s.
const REPLAY_TIME_LIMIT: f64 = 1e9;

/// When a replayed message is due, and its destination where the file names one.
type ReplayedTime = (Micros, Option<u32>);

/// Reads a file of submission times, sorted by time. Empty lines and comments (`#`) are passed over.
fn read_times(file: &Path, destinations: usize) -> Result<Vec<ReplayedTime>, ReplayError> {
    let text = std::fs::read_to_string(file).map_err(|source| ReplayError::File {
        file: file.to_owned(),
        source,
    })?;
    let mut times = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        let time = parse_line(line, destinations).map_err(|problem| ReplayError::Line {
            file: file.to_owned(),
            line_number: index + 1,
            line: line.to_owned(),
            problem,
        })?;
        times.push(time);
    }
    times.sort_unstable();
    Ok(times)
}

/// Reads one line: a time in seconds, then the number of a destination where one is named.
fn parse_line(line: &str, destinations: usize) -> Result<ReplayedTime, LineProblem> {
    let mut columns = line.split(',').map(str::trim);
    let seconds: f64 = columns
        .next()
        .unwrap_or("")
        .parse()
        .map_err(|_| LineProblem::Time)?;
    let destination: Option<u32> = columns
        .next()
        .map(|column| column.parse().map_err(|_| LineProblem::Destination))
        .transpose()?;
    let unknown = destination.is_some_and(|number| number as usize >= destinations);
    if unknown || !(0.0..REPLAY_TIME_LIMIT).contains(&seconds) {
        return Err(LineProblem::OutOfRange);
    }
    Ok(((seconds * 1e6) as Micros, destination))
}

#[cfg(test)]
mod tests;
