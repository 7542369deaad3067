//! The core alone: `opalpulley::Forwarder` without sockets, on a simulated clock. Each size is measured in a fresh process of
//! this program; see [`point`].

pub mod point;
pub mod world;

use super::command::Outputs;
use super::slope::{show, Row, Table};
use clap::Args;
use point::{Point, Stretch};
use std::process::Command;
use world::Spread;

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// How many destinations, one fresh process each
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 4_000, 16_000, 60_000, 65_000])]
    pub sizes: Vec<u32>,
    /// Messages a second
    #[arg(long, default_value_t = 200)]
    pub rate: u64,
    /// Simulated seconds of each stretch: traffic, rest, traffic with a share down, rest with it
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Part of the destinations that is down
    #[arg(long, default_value_t = 0.041)]
    pub down: f64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[command(flatten)]
    pub outputs: Outputs,
}

/// Measured beside one target a destination, to tell what a target takes from what a destination takes.
const MORE_TARGETS: u32 = 3;

fn fresh(options: &Options, destinations: u32, targets_each: u32, spread: Spread) -> Result<Point, String> {
    let program = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    let spread = if spread == Spread::Uniform { "uniform" } else { "skewed" };
    let mut command = Command::new(program);
    command.args(["capacity", "core-point", "--spread", spread]);
    for (name, value) in [
        ("--destinations", destinations.to_string()),
        ("--targets-each", targets_each.to_string()),
        ("--rate", options.rate.to_string()),
        ("--seconds", options.seconds.to_string()),
        ("--down", options.down.to_string()),
        ("--seed", options.seed.to_string()),
    ] {
        command.args([name, &value]);
    }
    let ended = command.output().map_err(|e| e.to_string())?;
    if !ended.status.success() {
        let words = String::from_utf8_lossy(&ended.stderr).trim().to_owned();
        return Err(format!("{destinations} destinations with {targets_each} targets each: {words}"));
    }
    serde_json::from_slice(&ended.stdout).map_err(|e| e.to_string())
}

type FigureOf = (&'static str, &'static str, fn(&Point) -> f64);

fn a_message(stretch: &Stretch, value: f64) -> f64 {
    value / stretch.messages
}

/// Part of a core.
fn of_a_core(stretch: &Stretch) -> f64 {
    stretch.processor / (stretch.seconds * 1e6)
}

const LIST_FIGURES: [FigureOf; 5] = [
    ("memory, list taken in by steps", "bytes", |p| p.memory_listed),
    ("memory, after a whole list", "bytes", |p| p.memory_whole),
    ("processor time, list taken in by steps", "us", |p| p.listing),
    ("processor time, a whole list", "us", |p| p.whole_list),
    ("processor time, one changed line", "us", |p| p.one_change),
];

const TRAFFIC_FIGURES: [FigureOf; 17] = [
    ("memory after traffic", "bytes", |p| p.traffic.memory),
    ("traffic: events a message", "events", |p| a_message(&p.traffic, p.traffic.events)),
    ("traffic: delivered in the stretch", "part", |p| a_message(&p.traffic, p.traffic.delivered)),
    ("traffic: calls a message", "calls", |p| a_message(&p.traffic, p.traffic.calls)),
    ("traffic: processor time a message", "us", |p| a_message(&p.traffic, p.traffic.processor)),
    ("traffic: processor time an event", "us", |p| p.traffic.processor / p.traffic.events),
    ("traffic: events a second of processor time", "events", |p| {
        p.traffic.events * 1e6 / p.traffic.processor
    }),
    ("traffic: part of a core", "cores", |p| of_a_core(&p.traffic)),
    ("at rest: part of a core", "cores", |p| of_a_core(&p.rest)),
    ("at rest: events a second", "events", |p| p.rest.events / p.rest.seconds),
    ("share down: processor time a message", "us", |p| a_message(&p.down, p.down.processor)),
    ("share down: part of a core", "cores", |p| of_a_core(&p.down)),
    ("share down: calls a message", "calls", |p| a_message(&p.down, p.down.calls)),
    ("share down: probes a second", "probes", |p| p.down.probes / p.down.seconds),
    ("share down: delivered in the stretch", "part", |p| a_message(&p.down, p.down.delivered)),
    ("share down, at rest: part of a core", "cores", |p| of_a_core(&p.down_rest)),
    ("share down, at rest: probes a second", "probes", |p| p.down_rest.probes / p.down_rest.seconds),
];

fn table(title: &str, points: &[Point], figures: &[&[FigureOf]]) -> Table {
    let figures: Vec<FigureOf> = figures.concat();
    let names: Vec<(&str, &str)> = figures.iter().map(|(name, unit, _)| (*name, *unit)).collect();
    let rows = points.iter().map(|point| Row {
        size: point.destinations.into(),
        values: figures.iter().map(|(_, _, of)| of(point)).collect(),
    });
    Table::new(title, "destinations", &names, rows.collect())
}

/// The tables: one target each with uniform and with skewed traffic, and several targets each.
pub fn tables(options: &Options) -> Result<Vec<Table>, String> {
    let points = |targets_each, spread| -> Result<Vec<Point>, String> {
        options.sizes.iter().map(|size| fresh(options, *size, targets_each, spread)).collect()
    };
    let several = format!("the core alone, {MORE_TARGETS} targets a destination");
    Ok(vec![
        table(
            "the core alone, one target a destination, uniform traffic",
            &points(1, Spread::Uniform)?,
            &[&LIST_FIGURES, &TRAFFIC_FIGURES],
        ),
        table(
            "the core alone, one target a destination, skewed traffic",
            &points(1, Spread::Skewed)?,
            &[&TRAFFIC_FIGURES],
        ),
        table(&several, &points(MORE_TARGETS, Spread::Uniform)?, &[&LIST_FIGURES]),
    ])
}

pub fn run(options: &Options) -> Result<(), String> {
    let tables = tables(options)?;
    show(&tables, &options.outputs)?;
    let name = LIST_FIGURES[0].0;
    if let (Some(one), Some(several)) = (tables[0].slope(name), tables[2].slope(name)) {
        let target = (several.slope - one.slope) / f64::from(MORE_TARGETS - 1);
        println!("bytes a target {target:.0}, a destination without its targets {:.0}", one.slope - target);
    }
    Ok(())
}
