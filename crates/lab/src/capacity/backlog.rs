//! A backlog: what a message that waits takes in the core, and in one real forwarder its memory, its journal and what a
//! restart has to read. The destinations refuse connections all the while, so that every message waits.

pub mod core_point;
pub mod process_point;

use super::fresh_process::measure_in_fresh_process;
use super::outputs::Outputs;
use super::process::point::Shape;
use super::slope::{show, Row, Table};
use crate::capacity::error::CapacityError;
use crate::sockets::run::program_beside;
use clap::Args;
use core_point::CorePoint;
use process_point::ProcessPoint;
use std::path::PathBuf;

/// The part of its memory that the program lets the journal take at most.
const JOURNAL_PART: f64 = 0.25;

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
        self.forwarder.clone().unwrap_or_else(program_beside)
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

type CoreFigure = (&'static str, &'static str, fn(&CorePoint) -> f64);
const CORE_FIGURES: [CoreFigure; 5] = [
    ("messages submitted", "messages", |p| p.messages),
    ("memory", "bytes", |p| p.memory),
    ("memory a waiting message", "bytes", |p| {
        p.memory / p.waiting
    }),
    ("timers and answers of the surroundings", "entries", |p| {
        p.surroundings
    }),
    ("processor time a message, submitted", "us", |p| {
        p.processor / p.messages
    }),
];

type ProcessFigure = (&'static str, &'static str, fn(&ProcessPoint) -> f64);
const PROCESS_FIGURES: [ProcessFigure; 12] = [
    ("messages submitted", "messages", |p| p.submitted as f64),
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
    let mut core = Vec::new();
    let mut process = Vec::new();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime?;
    for messages in &options.sizes {
        let point = core_in_fresh_process(options, *messages)?;
        core.push(Row {
            size: point.waiting,
            values: CORE_FIGURES.iter().map(|(_, _, of)| of(&point)).collect(),
        });
        let shape = options.shape(*messages);
        let setup = process_point::Setup {
            program: options.program(),
            messages: *messages,
            destinations: options.destinations,
            rate: options.rate,
        };
        let point = runtime.block_on(process_point::measure(&setup, &shape))?;
        let values = PROCESS_FIGURES
            .iter()
            .map(|(_, _, of)| of(&point))
            .collect();
        process.push(Row {
            size: point.waiting(),
            values,
        });
    }
    let core_names: Vec<(&str, &str)> = CORE_FIGURES
        .iter()
        .map(|(name, unit, _)| (*name, *unit))
        .collect();
    let process_names: Vec<(&str, &str)> = PROCESS_FIGURES
        .iter()
        .map(|(name, unit, _)| (*name, *unit))
        .collect();
    Ok(vec![
        Table::new(
            "the core alone, messages that wait",
            "waiting messages",
            &core_names,
            core,
        ),
        Table::new(
            "one forwarder, messages that wait",
            "waiting messages",
            &process_names,
            process,
        ),
    ])
}

pub fn run(options: &Options) -> Result<(), CapacityError> {
    let program = options.program();
    if !program.is_file() {
        return Err(CapacityError::NoForwarderProgram { program });
    }
    show(&tables(options)?, &options.outputs)
}
