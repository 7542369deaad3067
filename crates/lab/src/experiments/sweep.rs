//! Runs a scenario with each of several values of one key.

use super::{parallelism, run_in_parallel, simulate, with_assignments, ExperimentError};
use crate::scenario::Scenario;
use crate::subject::ForwarderVariant;
use crate::tally::Outcome;
use serde::Serialize;
use std::fmt;

/// The figures with one value of the key. All but `broken` are means over the seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The value, as the command line gives it.
    pub value: String,
    /// The delivered share of the weight that was due.
    pub service: f64,
    /// The share of the messages that were served in time.
    pub served: f64,
    /// The median latency, in ms.
    pub p50: f64,
    /// The 99th percentile of the latency, in ms.
    pub p99: f64,
    /// Calls per message that was due.
    #[serde(rename = "calls_a_packet")]
    pub calls_per_message: f64,
    /// Number of rule violations in all runs.
    pub broken: u64,
}

/// The figures with each value of one key.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Sweep {
    /// The key that is varied, as in a scenario file.
    pub key: String,
    /// Number of runs with each value.
    pub seeds: u64,
    /// One row for each value, in the order of the command line.
    pub rows: Vec<Row>,
}

/// Runs the scenario with each value of the key, each with the seeds from 1 to `seeds`.
///
/// Fails if a value makes the scenario invalid, or if the submission times of a load can't be read.
pub fn sweep(
    scenario: &Scenario,
    key: &str,
    values: &[String],
    seeds: u64,
    variant: ForwarderVariant,
) -> Result<Sweep, ExperimentError> {
    let scenarios: Vec<Scenario> = values
        .iter()
        .map(|value| with_assignments(scenario, &[format!("{key}={value}")]))
        .collect::<Result<_, _>>()?;
    let jobs: Vec<(usize, u64)> = (0..values.len())
        .flat_map(|value_index| (1..=seeds).map(move |seed| (value_index, seed)))
        .collect();
    let outcomes = run_in_parallel(&jobs, parallelism(), |(value_index, seed)| {
        simulate(&scenarios[*value_index], *seed, variant)
    });
    let outcomes: Vec<_> = outcomes.into_iter().collect::<Result<_, _>>()?;
    let runs_by_value = outcomes.chunks(seeds.max(1) as usize);
    let rows = values.iter().zip(runs_by_value);
    Ok(Sweep {
        key: key.into(),
        seeds,
        rows: rows.map(|(value, runs)| Row::new(value, runs)).collect(),
    })
}

impl Row {
    fn new(value: &str, runs: &[Outcome]) -> Row {
        let mean = |value_of: fn(&Outcome) -> f64| {
            runs.iter().map(value_of).sum::<f64>() / runs.len() as f64
        };
        Row {
            value: value.to_owned(),
            service: mean(|run| run.service),
            served: mean(Outcome::served_share),
            p50: mean(|run| run.latency.p50 as f64 / 1e3),
            p99: mean(|run| run.latency.p99 as f64 / 1e3),
            calls_per_message: mean(Outcome::calls_per_message),
            broken: runs.iter().flat_map(|run| run.broken.values()).sum(),
        }
    }
}

impl fmt::Display for Sweep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let headings = ["service", "served", "p50 ms", "p99 ms", "calls", "broken"];
        write!(f, "{:<24}", self.key)?;
        headings
            .iter()
            .try_for_each(|heading| write!(f, "{heading:>11}"))?;
        for row in &self.rows {
            write!(
                f,
                "\n{:<24}{:>11.4}{:>11.4}{:>11.1}{:>11.1}",
                row.value, row.service, row.served, row.p50, row.p99
            )?;
            write!(f, "{:>11.3}{:>11}", row.calls_per_message, row.broken)?;
        }
        Ok(())
    }
}
