//! Measures one real forwarder process on loopback sockets: its resource usage by the number of listed targets, and by
//! the number of targets that get messages; see [`measurement`].

pub mod forwarder_process;
pub mod load;
pub mod measurement;
pub mod mock_servers;
pub mod startup_config;

use super::outputs::Outputs;
use super::table::{write_tables, Row, Table};
use crate::capacity::error::CapacityError;
use crate::sockets::run::default_forwarder_program;
use clap::Args;
use measurement::{measure, ProcessMeasurement};
use startup_config::StartupOptions;
use std::path::PathBuf;

/// Source of the endpoint list of the measured forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ListSource {
    /// The start-up configuration; discovery is unreachable.
    Known,
    /// Discovery, which returns the complete list on request.
    Discovery,
}

/// Options of `capacity process`.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of listed targets, each measured in a process of its own
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 4_000, 16_000, 60_000, 91_000])]
    pub sizes: Vec<u32>,
    /// Number of the listed targets that get messages
    #[arg(long, default_value_t = 4_000)]
    pub in_use: u32,
    /// Numbers of targets that get messages out of --listed, each measured in a process of its own
    #[arg(long, value_delimiter = ',', default_values_t = [500, 2_000, 8_000])]
    pub in_use_sizes: Vec<u32>,
    /// Number of listed targets in the measurements of --in-use-sizes
    #[arg(long, default_value_t = 16_000)]
    pub listed: u32,
    /// Messages submitted per second under load
    #[arg(long, default_value_t = 200)]
    pub rate: u64,
    /// Duration of the load, in seconds
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// Duration of each rest, before and after the load, in seconds
    #[arg(long, default_value_t = 10)]
    pub rest: u64,
    /// Fleet size in the start-up configuration
    #[arg(long, default_value_t = 400)]
    pub forwarders: u32,
    /// Memory limit of the forwarder, in MB
    #[arg(long, default_value_t = 192.0)]
    pub memory_mb: f64,
    /// Limit of open descriptors of the forwarder
    #[arg(long, default_value_t = 256)]
    pub descriptors: u32,
    /// Path of the forwarder program; by default the one in the directory of this program
    #[arg(long)]
    pub forwarder: Option<PathBuf>,
    /// Seed of the forwarder and of the choice of targets
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[command(flatten)]
    pub outputs: Outputs,
}

impl Options {
    /// Returns the path of the forwarder program, which need not exist.
    fn program(&self) -> PathBuf {
        self.forwarder
            .clone()
            .unwrap_or_else(default_forwarder_program)
    }

    fn startup_options(&self) -> StartupOptions {
        StartupOptions {
            seed: self.seed,
            forwarders: self.forwarders,
            memory_mb: self.memory_mb,
            descriptors: self.descriptors,
            ..StartupOptions::default()
        }
    }
}

/// Name, unit and accessor of one figure of a measurement.
type FigureDefinition = (&'static str, &'static str, fn(&ProcessMeasurement) -> f64);

const FIGURES: [FigureDefinition; 18] = [
    ("time to ready", "s", |p| p.ready_s),
    ("time until the last destination is taken", "s", |p| {
        p.last_destination_accepted_s
    }),
    ("processor time at ready", "s", |p| {
        p.usage_at_ready.processor_time.as_secs_f64()
    }),
    ("memory at ready", "bytes", |p| {
        p.usage_at_ready.resident_bytes as f64
    }),
    ("memory at rest", "bytes", |p| {
        p.usage_after_first_rest.resident_bytes as f64
    }),
    ("memory after load", "bytes", |p| {
        p.usage_after_load.resident_bytes as f64
    }),
    ("memory, at rest after load", "bytes", |p| {
        p.usage_after_second_rest.resident_bytes as f64
    }),
    ("memory, highest", "bytes", |p| {
        p.usage_after_second_rest.peak_resident_bytes as f64
    }),
    ("at rest: part of a core", "cores", |p| {
        p.first_rest.core_fraction()
    }),
    ("under load: part of a core", "cores", |p| {
        p.under_load.core_fraction()
    }),
    ("under load: processor time a message", "us", |p| {
        p.under_load.processor_time.as_secs_f64() * 1e6 / p.submitted as f64
    }),
    ("at rest after load: part of a core", "cores", |p| {
        p.second_rest.core_fraction()
    }),
    ("distinct targets in use", "targets", |p| {
        p.distinct_targets.into()
    }),
    ("messages handed in", "messages", |p| p.submitted as f64),
    ("messages taken", "messages", |p| p.accepted as f64),
    ("calls answered", "calls", |p| p.calls_answered as f64),
    ("descriptors, most under load", "descriptors", |p| {
        p.max_descriptors as f64
    }),
    ("descriptors, at rest after load", "descriptors", |p| {
        p.usage_after_second_rest.descriptors as f64
    }),
];

fn table(
    title: &str,
    size: &str,
    measurements: &[ProcessMeasurement],
    size_of: fn(&ProcessMeasurement) -> f64,
) -> Table {
    let names: Vec<(&str, &str)> = FIGURES
        .iter()
        .map(|(name, unit, _)| (*name, *unit))
        .collect();
    let row = |p: &ProcessMeasurement| Row {
        size: size_of(p),
        values: FIGURES.iter().map(|(_, _, value_of)| value_of(p)).collect(),
    };
    Table::new(title, size, &names, measurements.iter().map(row).collect())
}

/// Measures the cases, pairs of listed targets and targets in use, one after the other, so that they don't compete for
/// the machine. A case that fails is reported on the standard error and left out of the result.
async fn measure_cases(
    options: &Options,
    cases: &[(u32, u32)],
    source: ListSource,
) -> Vec<ProcessMeasurement> {
    let mut measurements = Vec::new();
    for (listed, in_use) in cases {
        match measure(options, *listed, *in_use, source).await {
            Ok(measurement) => measurements.push(measurement),
            Err(error) => eprintln!("measurement failed with the list from {source:?}: {error}"),
        }
    }
    measurements
}

/// Measures all cases and returns two tables by listed targets, one per list source, and one by targets in use.
pub fn tables(options: &Options) -> Result<Vec<Table>, CapacityError> {
    let runtime = || {
        tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()
    };
    let by_size: Vec<(u32, u32)> = options
        .sizes
        .iter()
        .map(|listed| (*listed, options.in_use))
        .collect();
    let by_targets_in_use: Vec<(u32, u32)> = options
        .in_use_sizes
        .iter()
        .map(|in_use| (options.listed, *in_use))
        .collect();
    let by_listed_targets = |measurements: &[ProcessMeasurement], title: &str| {
        table(title, "listed targets", measurements, |p| {
            p.listed_targets.into()
        })
    };
    // Each series runs on a runtime of its own, so that its mock servers stop when the runtime is dropped.
    let known = runtime()?.block_on(measure_cases(options, &by_size, ListSource::Known));
    let discovered = runtime()?.block_on(measure_cases(options, &by_size, ListSource::Discovery));
    let in_use = runtime()?.block_on(measure_cases(
        options,
        &by_targets_in_use,
        ListSource::Known,
    ));
    let title = format!(
        "one forwarder, {} targets known at start, by those in use",
        options.listed
    );
    Ok(vec![
        by_listed_targets(
            &known,
            "one forwarder, list known at start, discovery out of reach",
        ),
        by_listed_targets(&discovered, "one forwarder, list told by discovery"),
        table(&title, "targets in use", &in_use, |p| {
            p.distinct_targets.into()
        }),
    ])
}

/// Measures, prints the tables and writes the output files. Fails before the first measurement if the forwarder program
/// does not exist.
pub fn run(options: &Options) -> Result<(), CapacityError> {
    let program = options.program();
    if !program.is_file() {
        return Err(CapacityError::NoForwarderProgram { program });
    }
    write_tables(&tables(options)?, &options.outputs)
}
