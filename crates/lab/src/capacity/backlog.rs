//! A backlog: what a message that waits takes in the core, and in one real forwarder its memory, its journal and what a
//! restart has to read. The destinations refuse connections all the while, so that every message waits.

pub mod core_point;
pub mod process_point;

use super::fresh_process::measure_in_fresh_process;
use super::outputs::Outputs;
use super::process::startup_config::Shape;
use super::slope::{show, Row, Table};
use crate::capacity::error::CapacityError;
use crate::sockets::run::default_forwarder_program;
use clap::Args;
use core_point::CorePoint;
use process_point::ProcessPoint;
use std::path::PathBuf;

/// The part of its memory that the program lets the journal take at most.
const JOURNAL_PART: f64 = 0.25;

/// Options of `capacity backlog`.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// How many messages wait, one fresh process each; in the core only whole seconds of --rate are submitted
    #[arg(long, value_delimiter = ',', default_values_t = [2_000, 10_000, 20_000, 40_000])]
    pub sizes: Vec<u32>,
    /// Destinations that they are for, none of which takes a connection
    #[arg(long, default_value_t = 100)]
    pub destinations: u32,
    /// Messages a second while they are submitted
    #[arg(long, default_value_t = 2_000)]
    pub rate: u64,
    /// The journal's limit
    #[arg(long, default_value_t = 200.0)]
    pub disk_mb: f64,
    /// The forwarder's program; beside this one if not named
    #[arg(long)]
    pub forwarder: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[command(flatten)]
    pub outputs: Outputs,
}

impl Options {
    fn program(&self) -> PathBuf {
        self.forwarder
            .clone()
            .unwrap_or_else(default_forwarder_program)
    }

    /// The start-up configuration's figures for so many waiting messages.
    fn shape(&self, messages: u32) -> Shape {
        Shape {
            seed: self.seed,
            disk_mb: self.disk_mb,
            memory_mb: self.disk_mb / JOURNAL_PART,
            room: 2 * messages,
            expiry: process_point::EXPIRY,
            ..Shape::default()
        }
    }
}

fn core_in_fresh_process(options: &Options, messages: u32) -> Result<CorePoint, CapacityError> {
    let measured = [
        ("--messages", messages.to_string()),
        ("--destinations", options.destinations.to_string()),
        ("--rate", options.rate.to_string()),
        ("--seed", options.seed.to_string()),
    ];
    measure_in_fresh_process("backlog-point", &measured)
}

/// A figure of a point: its name, its unit and its value.
type FigureOf<P> = (&'static str, &'static str, fn(&P) -> f64);

const CORE_FIGURES: [FigureOf<CorePoint>; 5] = [
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

const PROCESS_FIGURES: [FigureOf<ProcessPoint>; 12] = [
    ("messages handed in", "messages", |p| p.submitted as f64),
    ("notices of an end, before the kill", "notices", |p| {
        p.completion_reports as f64
    }),
    ("memory before the messages", "bytes", |p| {
        p.before.memory as f64
    }),
    ("memory with them", "bytes", |p| {
        p.with_backlog.memory as f64
    }),
    ("memory a waiting message", "bytes", |p| {
        (p.with_backlog.memory as f64 - p.before.memory as f64) / p.waiting()
    }),
    ("journal", "bytes", |p| p.journal as f64),
    ("journal a waiting message", "bytes", |p| {
        p.journal as f64 / p.waiting()
    }),
    ("time to ready, nothing journalled", "s", |p| p.ready_empty),
    ("time to ready after the kill", "s", |p| p.ready_again),
    ("time to ready a waiting message", "us", |p| {
        (p.ready_again - p.ready_empty) * 1e6 / p.waiting()
    }),
    ("processor time at ready after the kill", "s", |p| {
        p.at_ready_again.processor.as_secs_f64()
    }),
    ("memory at ready after the kill", "bytes", |p| {
        p.at_ready_again.memory as f64
    }),
];

/// The core and one real forwarder with the same numbers of messages that wait.
pub fn tables(options: &Options) -> Result<Vec<Table>, CapacityError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let mut core = Vec::new();
    let mut process = Vec::new();
    for messages in &options.sizes {
        let point = core_in_fresh_process(options, *messages)?;
        core.push(row(point.waiting, &CORE_FIGURES, &point));
        let setup = process_point::Setup {
            program: options.program(),
            messages: *messages,
            destinations: options.destinations,
            rate: options.rate,
        };
        let shape = options.shape(*messages);
        let point = runtime.block_on(process_point::measure(&setup, &shape))?;
        process.push(row(point.waiting(), &PROCESS_FIGURES, &point));
    }
    Ok(vec![
        table("the core alone, messages that wait", &CORE_FIGURES, core),
        table(
            "one forwarder, messages that wait",
            &PROCESS_FIGURES,
            process,
        ),
    ])
}

/// The figures of one point, by its size.
fn row<P>(size: f64, figures: &[FigureOf<P>], point: &P) -> Row {
    let values = figures.iter().map(|(_, _, value)| value(point));
    Row {
        size,
        values: values.collect(),
    }
}

fn table<P>(title: &str, figures: &[FigureOf<P>], rows: Vec<Row>) -> Table {
    let names: Vec<(&str, &str)> = figures
        .iter()
        .map(|(name, unit, _)| (*name, *unit))
        .collect();
    Table::new(title, "waiting messages", &names, rows)
}

/// Measures, prints the tables and writes them where they were asked for.
pub fn run(options: &Options) -> Result<(), CapacityError> {
    let program = options.program();
    if !program.is_file() {
        return Err(CapacityError::NoForwarderProgram { program });
    }
    show(&tables(options)?, &options.outputs)
}
