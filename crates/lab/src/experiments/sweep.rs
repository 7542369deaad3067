//! One value over a range.

use super::{in_parallel, simulate, threads, with_values, ExperimentError};
use crate::scenario::Scenario;
use crate::subject::ForwarderVariant;
use serde::Serialize;
use std::fmt;

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub value: String,
    pub service: f64,
    pub served: f64,
    pub p50: f64,
    pub p99: f64,
    #[serde(rename = "calls_a_packet")]
    pub calls_per_message: f64,
    pub broken: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Sweep {
    pub key: String,
    pub seeds: u64,
    pub rows: Vec<Row>,
}

/// Runs the scenario with each value of the key, under seeds from 1 on; figures are means over the seeds.
pub fn sweep(
    scenario: &Scenario,
    key: &str,
    values: &[String],
    seeds: u64,
    variant: ForwarderVariant,
) -> Result<Sweep, ExperimentError> {
    let scenarios: Vec<Scenario> = values
        .iter()
        .map(|v| with_values(scenario, &[format!("{key}={v}")]))
        .collect::<Result<_, _>>()?;
    let jobs: Vec<(usize, u64)> = (0..values.len())
        .flat_map(|v| (1..=seeds).map(move |s| (v, s)))
        .collect();
    let outcomes = in_parallel(&jobs, threads(), |(v, seed)| {
        simulate(&scenarios[*v], *seed, variant)
    });
    let outcomes: Vec<_> = outcomes.into_iter().collect::<Result<_, _>>()?;
    let rows = values
        .iter()
        .zip(outcomes.chunks(seeds.max(1) as usize))
        .map(|(value, runs)| {
            let mean = |of: &dyn Fn(&crate::tally::Outcome) -> f64| {
                runs.iter().map(of).sum::<f64>() / runs.len() as f64
            };
            Row {
                value: value.clone(),
                service: mean(&|o| o.service),
                served: mean(&|o| o.served_share()),
                p50: mean(&|o| o.latency.p50 as f64 / 1e3),
                p99: mean(&|o| o.latency.p99 as f64 / 1e3),
                calls_per_message: mean(&|o| o.calls_per_message()),
                broken: runs.iter().flat_map(|o| o.broken.values()).sum(),
            }
        });
    Ok(Sweep {
        key: key.into(),
        seeds,
        rows: rows.collect(),
    })
}

impl fmt::Display for Sweep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let heads = ["service", "served", "p50 ms", "p99 ms", "calls", "broken"];
        write!(f, "{:<24}", self.key)?;
        heads.iter().try_for_each(|h| write!(f, "{h:>11}"))?;
        for r in &self.rows {
            write!(
                f,
                "\n{:<24}{:>11.4}{:>11.4}{:>11.1}{:>11.1}",
                r.value, r.service, r.served, r.p50, r.p99
            )?;
            write!(f, "{:>11.3}{:>11}", r.calls_per_message, r.broken)?;
        }
        Ok(())
    }
}
