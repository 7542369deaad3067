//! Measures the core alone: `opalpulley::Forwarder` without sockets, on a simulated clock. Each size is measured in a
//! fresh process of this program; see [`measurement`].

pub mod environment;
pub mod measurement;
mod settings;

use super::fresh_process::measure_in_fresh_process;
use super::outputs::Outputs;
use super::table::{write_tables, Row, Table};
use crate::capacity::error::CapacityError;
use clap::Args;
use environment::Spread;
use measurement::{CoreMeasurement, Phase};
use std::fmt;
use std::str::FromStr;

/// The number of destinations whose full state the core holds before it replaces the state of idle ones by summaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullDestinations {
    /// All destinations are held in full, and none is summarised.
    All,
    /// Idle destinations beyond this number are summarised.
    UpTo(u32),
}

impl FullDestinations {
    /// Returns the limit in the form of `Config::full_destinations`: `None` means no limit.
    pub fn limit(self) -> Option<u32> {
        match self {
            FullDestinations::All => None,
            FullDestinations::UpTo(limit) => Some(limit),
        }
    }
}

/// Error for a text that is neither `all` nor a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("must be `all` or a number")]
pub struct ParseFullDestinationsError;

impl FromStr for FullDestinations {
    type Err = ParseFullDestinationsError;

    fn from_str(text: &str) -> Result<Self, ParseFullDestinationsError> {
        match text {
            "all" => Ok(FullDestinations::All),
            number => number
                .parse()
                .map(FullDestinations::UpTo)
                .map_err(|_| ParseFullDestinationsError),
        }
    }
}

impl fmt::Display for FullDestinations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FullDestinations::All => f.write_str("all"),
            FullDestinations::UpTo(limit) => write!(f, "{limit}"),
        }
    }
}

/// Options of `capacity core`.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of destinations, each measured in a fresh process
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 4_000, 16_000, 60_000, 100_000])]
    pub sizes: Vec<u32>,
    /// Messages submitted per simulated second
    #[arg(long, default_value_t = 200)]
    pub rate: u64,
    /// Simulated seconds of each phase: traffic, rest, traffic with a share of the destinations down, rest with it down
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Share of the destinations that is down in the last two phases, 0 to 1
    #[arg(long, default_value_t = 0.041)]
    pub down: f64,
    /// Limit of destinations held in full: `all`, or a number, which is then also compared with `all`
    #[arg(long, default_value = "1024")]
    pub full_destinations: FullDestinations,
    /// Seed of the core and of its simulated environment
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[command(flatten)]
    pub outputs: Outputs,
}

/// The parameters that differ between the measurements of one run.
#[derive(Clone, Copy)]
struct CoreCase {
    /// Number of targets of each destination.
    targets_each: u32,
    spread: Spread,
    full_destinations: FullDestinations,
}

/// Number of targets of each destination in the second series of measurements. Its difference from the series with one
/// target separates the cost of a target from the cost of a destination.
const MULTIPLE_TARGETS: u32 = 3;

/// Measures the core at one size in a fresh process of this program.
fn measure_size(
    options: &Options,
    destinations: u32,
    case: CoreCase,
) -> Result<CoreMeasurement, CapacityError> {
    let spread = match case.spread {
        Spread::Uniform => "uniform",
        Spread::Skewed => "skewed",
    };
    let arguments = [
        ("--spread", spread.to_owned()),
        ("--destinations", destinations.to_string()),
        ("--targets-each", case.targets_each.to_string()),
        ("--full-destinations", case.full_destinations.to_string()),
        ("--rate", options.rate.to_string()),
        ("--seconds", options.seconds.to_string()),
        ("--down", options.down.to_string()),
        ("--seed", options.seed.to_string()),
    ];
    let measured_figures = measure_in_fresh_process("core-point", &arguments);
    measured_figures.map_err(|error| CapacityError::AtCoreSize {
        destinations,
        full_destinations: case.full_destinations.to_string(),
        targets_each: case.targets_each,
        source: Box::new(error),
    })
}

/// Name, unit and accessor of one figure of a measurement.
type FigureDefinition = (&'static str, &'static str, fn(&CoreMeasurement) -> f64);

/// Returns a total of a phase divided by the messages submitted in it.
fn per_message(phase: &Phase, value: f64) -> f64 {
    value / phase.messages
}

/// Returns the processor time of a phase as a share of one processor core over its simulated time.
fn core_fraction(phase: &Phase) -> f64 {
    phase.processor / (phase.seconds * 1e6)
}

const LIST_FIGURES: [FigureDefinition; 5] = [
    ("memory, list taken in by steps", "bytes", |p| {
        p.memory_listed
    }),
    ("memory, after a whole list", "bytes", |p| p.memory_whole),
    ("processor time, list taken in by steps", "us", |p| {
        p.listing
    }),
    ("processor time, a whole list", "us", |p| p.whole_list),
    ("processor time, one changed line", "us", |p| p.one_change),
];

const TRAFFIC_FIGURES: [FigureDefinition; 22] = [
    ("memory after traffic", "bytes", |p| p.traffic.memory),
    ("memory after all", "bytes", |p| p.down_rest.memory),
    ("in full after traffic", "destinations", |p| {
        p.traffic.held.full
    }),
    ("in full, most of all stretches", "destinations", |p| {
        p.down_rest.held.most_full
    }),
    ("restored, in all", "destinations", |p| {
        p.down_rest.held.restored
    }),
    ("summaries with bounds, share down", "targets", |p| {
        p.down.held.bounds
    }),
    ("traffic: events a message", "events", |p| {
        per_message(&p.traffic, p.traffic.events)
    }),
    ("traffic: delivered in the stretch", "part", |p| {
        per_message(&p.traffic, p.traffic.delivered)
    }),
    ("traffic: calls a message", "calls", |p| {
        per_message(&p.traffic, p.traffic.calls)
    }),
    ("traffic: processor time a message", "us", |p| {
        per_message(&p.traffic, p.traffic.processor)
    }),
    ("traffic: processor time an event", "us", |p| {
        p.traffic.processor / p.traffic.events
    }),
    (
        "traffic: events a second of processor time",
        "events",
        |p| p.traffic.events * 1e6 / p.traffic.processor,
    ),
    ("traffic: part of a core", "cores", |p| {
        core_fraction(&p.traffic)
    }),
    ("at rest: part of a core", "cores", |p| {
        core_fraction(&p.rest)
    }),
    ("at rest: events a second", "events", |p| {
        p.rest.events / p.rest.seconds
    }),
    ("share down: processor time a message", "us", |p| {
        per_message(&p.down, p.down.processor)
    }),
    ("share down: part of a core", "cores", |p| {
        core_fraction(&p.down)
    }),
    ("share down: calls a message", "calls", |p| {
        per_message(&p.down, p.down.calls)
    }),
    ("share down: probes a second", "probes", |p| {
        p.down.probes / p.down.seconds
    }),
    ("share down: delivered in the stretch", "part", |p| {
        per_message(&p.down, p.down.delivered)
    }),
    ("share down, at rest: part of a core", "cores", |p| {
        core_fraction(&p.down_rest)
    }),
    ("share down, at rest: probes a second", "probes", |p| {
        p.down_rest.probes / p.down_rest.seconds
    }),
];

/// The figures that are compared between all destinations in full and a limit of them.
const PAIRED_FIGURES: [FigureDefinition; 10] = [
    ("bytes a destination, list in", "bytes", |p| {
        p.memory_listed / f64::from(p.destinations)
    }),
    ("bytes a destination, at the end", "bytes", |p| {
        p.down_rest.memory / f64::from(p.destinations)
    }),
    ("memory, list in", "bytes", |p| p.memory_listed),
    ("memory, at the end", "bytes", |p| p.down_rest.memory),
    ("a listed target", "us", |p| {
        p.listing / f64::from(p.targets)
    }),
    ("one changed line", "us", |p| p.one_change),
    ("a message", "us", |p| {
        per_message(&p.traffic, p.traffic.processor)
    }),
    ("a message, share down", "us", |p| {
        per_message(&p.down, p.down.processor)
    }),
    ("share down", "cores", |p| core_fraction(&p.down)),
    ("share down, at rest", "cores", |p| {
        core_fraction(&p.down_rest)
    }),
];

/// Builds a table with two lines per figure, one for all destinations in full and one for the limit. Both series must
/// have been measured at the same sizes, with the same seed.
fn paired_table(
    all: &[CoreMeasurement],
    limited: &[CoreMeasurement],
    limit: FullDestinations,
) -> Table {
    let paired_names = |(name, unit, _): &FigureDefinition| {
        [
            (format!("all in full: {name}"), *unit),
            (format!("{limit} in full: {name}"), *unit),
        ]
    };
    let names: Vec<(String, &str)> = PAIRED_FIGURES.iter().flat_map(paired_names).collect();
    let names: Vec<(&str, &str)> = names
        .iter()
        .map(|(name, unit)| (name.as_str(), *unit))
        .collect();
    let rows = all.iter().zip(limited).map(|(all, limited)| Row {
        size: all.destinations.into(),
        values: PAIRED_FIGURES
            .iter()
            .flat_map(|(_, _, value_of)| [value_of(all), value_of(limited)])
            .collect(),
    });
    let title = format!("the core alone, all destinations in full against {limit}");
    Table::new(&title, "destinations", &names, rows.collect())
}

/// Builds a table whose sizes are numbers of destinations.
fn table(title: &str, measurements: &[CoreMeasurement], figures: &[&[FigureDefinition]]) -> Table {
    let figures: Vec<FigureDefinition> = figures.concat();
    let names: Vec<(&str, &str)> = figures
        .iter()
        .map(|(name, unit, _)| (*name, *unit))
        .collect();
    let rows = measurements.iter().map(|measurement| Row {
        size: measurement.destinations.into(),
        values: figures
            .iter()
            .map(|(_, _, value_of)| value_of(measurement))
            .collect(),
    });
    Table::new(title, "destinations", &names, rows.collect())
}

/// Measures all sizes and returns the tables: one target per destination with uniform and with skewed traffic, then
/// several targets per destination, and, unless all destinations are held in full, the comparison of the limit with
/// `all`.
pub fn tables(options: &Options) -> Result<Vec<Table>, CapacityError> {
    let full = options.full_destinations;
    let measurements =
        |targets_each, spread, full_destinations| -> Result<Vec<CoreMeasurement>, CapacityError> {
            let case = CoreCase {
                targets_each,
                spread,
                full_destinations,
            };
            options
                .sizes
                .iter()
                .map(|size| measure_size(options, *size, case))
                .collect()
        };
    let title =
        |conditions: &str| format!("the core alone, {full} destinations in full, {conditions}");
    let uniform = measurements(1, Spread::Uniform, full)?;
    let list_and_traffic: [&[FigureDefinition]; 2] = [&LIST_FIGURES, &TRAFFIC_FIGURES];
    let mut tables = vec![
        table(
            &title("one target each, uniform traffic"),
            &uniform,
            &list_and_traffic,
        ),
        table(
            &title("one target each, skewed traffic"),
            &measurements(1, Spread::Skewed, full)?,
            &[&TRAFFIC_FIGURES],
        ),
        table(
            &title(&format!("{MULTIPLE_TARGETS} targets each")),
            &measurements(MULTIPLE_TARGETS, Spread::Uniform, full)?,
            &[&LIST_FIGURES],
        ),
    ];
    if full != FullDestinations::All {
        let all = measurements(1, Spread::Uniform, FullDestinations::All)?;
        tables.push(paired_table(&all, &uniform, full));
    }
    Ok(tables)
}

/// Measures, prints the tables and the bytes per target and per destination, and writes the output files.
pub fn run(options: &Options) -> Result<(), CapacityError> {
    let tables = tables(options)?;
    write_tables(&tables, &options.outputs)?;
    let name = LIST_FIGURES[0].0;
    if let (Some(one), Some(several)) = (tables[0].slope(name), tables[2].slope(name)) {
        let target_bytes = (several.slope - one.slope) / f64::from(MULTIPLE_TARGETS - 1);
        println!(
            "bytes a target {target_bytes:.0}, a destination without its targets {:.0}",
            one.slope - target_bytes
        );
    }
    Ok(())
}
