//! The cost of a backlog: memory per waiting message in the core, and in one real forwarder process the memory, the
//! journal and the time of a restart. All destinations refuse connections throughout, so that every message waits.

pub mod core_measurement;
pub mod process_measurement;

use super::fresh_process::measure_in_fresh_process;
use super::outputs::Outputs;
use super::process::startup_config::StartupOptions;
use super::table::{write_tables, Row, Table};
use crate::capacity::error::CapacityError;
use crate::sockets::run::default_forwarder_program;
use clap::Args;
use core_measurement::CoreBacklogMeasurement;
use process_measurement::ProcessBacklogMeasurement;
use std::path::PathBuf;

/// Upper bound on the share of its memory limit that the forwarder program grants to the journal.
const MAX_JOURNAL_MEMORY_SHARE: f64 = 0.25;

/// Options of `capacity backlog`.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of waiting messages, each measured in a fresh process; for the core rounded down to whole seconds of --rate
    #[arg(long, value_delimiter = ',', default_values_t = [2_000, 10_000, 20_000, 40_000])]
    pub sizes: Vec<u32>,
    /// Number of destinations that the messages are for; each of them refuses connections
    #[arg(long, default_value_t = 100)]
    pub destinations: u32,
    /// Messages submitted per second
    #[arg(long, default_value_t = 2_000)]
    pub rate: u64,
    /// Disk limit of the forwarder, in MB; the memory limit is derived from it
    #[arg(long, default_value_t = 200.0)]
    pub disk_mb: f64,
    /// Path of the forwarder program; by default the one in the directory of this program
    #[arg(long)]
    pub forwarder: Option<PathBuf>,
    /// Seed of the forwarder's random number generator
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

    /// Returns the start-up options for a backlog of `messages`; the message limit leaves room for twice as many.
    fn startup_options(&self, messages: u32) -> StartupOptions {
        StartupOptions {
            seed: self.seed,
            disk_mb: self.disk_mb,
            memory_mb: self.disk_mb / MAX_JOURNAL_MEMORY_SHARE,
            max_messages: 2 * messages,
            time_to_live: process_measurement::TIME_TO_LIVE,
            ..StartupOptions::default()
        }
    }
}

/// Measures the core with `messages` waiting messages in a fresh process of this program.
fn measure_core(options: &Options, messages: u32) -> Result<CoreBacklogMeasurement, CapacityError> {
    let arguments = [
        ("--messages", messages.to_string()),
        ("--destinations", options.destinations.to_string()),
        ("--rate", options.rate.to_string()),
        ("--seed", options.seed.to_string()),
    ];
    measure_in_fresh_process("backlog-point", &arguments)
}

/// Name, unit and accessor of one figure of a measurement.
type FigureDefinition<P> = (&'static str, &'static str, fn(&P) -> f64);

const CORE_FIGURES: [FigureDefinition<CoreBacklogMeasurement>; 5] = [
    ("messages handed in", "messages", |p| p.messages),
    ("memory", "bytes", |p| p.memory),
    ("memory a waiting message", "bytes", |p| {
        p.memory / p.waiting
    }),
    ("timers and answers of the surroundings", "entries", |p| {
        p.surroundings
    }),
    ("processor time a message, handed in", "us", |p| {
        p.processor / p.messages
    }),
];

const PROCESS_FIGURES: [FigureDefinition<ProcessBacklogMeasurement>; 12] = [
    ("messages handed in", "messages", |p| p.submitted as f64),
    ("notices of an end, before the kill", "notices", |p| {
        p.completion_reports as f64
    }),
    ("memory before the messages", "bytes", |p| {
        p.usage_before.resident_bytes as f64
    }),
    ("memory with them", "bytes", |p| {
        p.usage_with_backlog.resident_bytes as f64
    }),
    ("memory a waiting message", "bytes", |p| {
        (p.usage_with_backlog.resident_bytes as f64 - p.usage_before.resident_bytes as f64)
            / p.waiting()
    }),
    ("journal", "bytes", |p| p.journal_bytes as f64),
    ("journal a waiting message", "bytes", |p| {
        p.journal_bytes as f64 / p.waiting()
    }),
    ("time to ready, nothing journalled", "s", |p| {
        p.ready_empty_s
    }),
    ("time to ready after the kill", "s", |p| {
        p.ready_after_restart_s
    }),
    ("time to ready a waiting message", "us", |p| {
        (p.ready_after_restart_s - p.ready_empty_s) * 1e6 / p.waiting()
    }),
    ("processor time at ready after the kill", "s", |p| {
        p.usage_after_restart.processor_time.as_secs_f64()
    }),
    ("memory at ready after the kill", "bytes", |p| {
        p.usage_after_restart.resident_bytes as f64
    }),
];

/// Measures the core and one real forwarder at each size and returns a table for each of them.
pub fn tables(options: &Options) -> Result<Vec<Table>, CapacityError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let mut core_rows = Vec::new();
    let mut process_rows = Vec::new();
    for messages in &options.sizes {
        let measurement = measure_core(options, *messages)?;
        core_rows.push(row(measurement.waiting, &CORE_FIGURES, &measurement));
        let case = process_measurement::BacklogCase {
            program: options.program(),
            messages: *messages,
            destinations: options.destinations,
            rate: options.rate,
        };
        let startup_options = options.startup_options(*messages);
        let measurement =
            runtime.block_on(process_measurement::measure(&case, &startup_options))?;
        process_rows.push(row(measurement.waiting(), &PROCESS_FIGURES, &measurement));
    }
    Ok(vec![
        table(
            "the core alone, messages that wait",
            &CORE_FIGURES,
            core_rows,
        ),
        table(
            "one forwarder, messages that wait",
            &PROCESS_FIGURES,
            process_rows,
        ),
    ])
}

/// Evaluates the figures of one measurement, in their order.
fn row<P>(size: f64, figures: &[FigureDefinition<P>], measurement: &P) -> Row {
    let values = figures.iter().map(|(_, _, value_of)| value_of(measurement));
    Row {
        size,
        values: values.collect(),
    }
}

/// Builds a table whose sizes are numbers of waiting messages.
fn table<P>(title: &str, figures: &[FigureDefinition<P>], rows: Vec<Row>) -> Table {
    let names: Vec<(&str, &str)> = figures
        .iter()
        .map(|(name, unit, _)| (*name, *unit))
        .collect();
    Table::new(title, "waiting messages", &names, rows)
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
