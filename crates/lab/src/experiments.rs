//! Experiments over simulated runs: paired comparisons, sweeps over one value, a search for the worst case, and the cost of
//! core events.

pub mod compare;
pub mod core_cost;
mod error;
pub mod sweep;
pub mod worst_case;

pub use error::ExperimentError;

use crate::load::ReplayError;
use crate::scenario::Scenario;
use crate::sim::Sim;
use crate::subject::ForwarderVariant;
use crate::tally::Outcome;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Returns a copy of the scenario with the assignments applied. Each is written as `KEY=VALUE` with the keys of the scenario
/// file, such as `forwarders.slots=16` or `destinations[0].rate=50.0`.
///
/// Fails if an assignment is malformed, if a key does not fit the structure of the scenario, or if the changed scenario is
/// invalid.
pub fn with_assignments(
    scenario: &Scenario,
    assignments: &[String],
) -> Result<Scenario, ExperimentError> {
    let mut value = toml::Value::try_from(scenario)?;
    for assignment in assignments {
        let (key, text) =
            assignment
                .split_once('=')
                .ok_or_else(|| ExperimentError::NotKeyAndValue {
                    assignment: assignment.clone(),
                })?;
        set_value(&mut value, key.trim(), parse_value(text.trim()))?;
    }
    let text = toml::to_string(&value)?;
    let name = format!("{} with {}", scenario.name, assignments.join(", "));
    Ok(Scenario::read(&text, &name)?)
}

/// Parses a value as TOML. A text that is not valid TOML is a string.
fn parse_value(text: &str) -> toml::Value {
    toml::from_str::<toml::Table>(&format!("v = {text}"))
        .ok()
        .and_then(|table| table.get("v").cloned())
        .unwrap_or_else(|| toml::Value::String(text.into()))
}

/// Sets the value at a key such as `destinations[0].rate`, creating the tables that are missing on its path.
fn set_value(
    root: &mut toml::Value,
    key: &str,
    new_value: toml::Value,
) -> Result<(), ExperimentError> {
    let mut current = root;
    for part in key.split('.') {
        let (name, index) = match part.split_once('[') {
            Some((name, "")) => (name, None),
            Some((name, index)) => (name, Some(index.trim_end_matches(']'))),
            None => (part, None),
        };
        let table = current
            .as_table_mut()
            .ok_or_else(|| ExperimentError::NotInTable {
                key: key.into(),
                name: name.into(),
            })?;
        current = table
            .entry(name)
            .or_insert_with(|| toml::Value::Table(toml::Table::new()));
        if let Some(index) = index {
            current = list_element(current, key, index)?;
        }
    }
    // TOML distinguishes integers from floats, but an integer is a valid assignment to a float.
    *current = match (&*current, new_value) {
        (toml::Value::Float(_), toml::Value::Integer(integer)) => {
            toml::Value::Float(integer as f64)
        }
        (_, new_value) => new_value,
    };
    Ok(())
}

/// Returns the element at the index that a key gives in brackets. Fails if the index is not a number or out of range.
fn list_element<'a>(
    list: &'a mut toml::Value,
    key: &str,
    index: &str,
) -> Result<&'a mut toml::Value, ExperimentError> {
    let index: usize = index.parse().map_err(|_| ExperimentError::InvalidIndex {
        key: key.into(),
        index: index.into(),
    })?;
    list.get_mut(index)
        .ok_or_else(|| ExperimentError::IndexOutOfRange {
            key: key.into(),
            index,
        })
}

/// Runs the jobs on at most `thread_count` threads and returns their results in the order of the jobs.
pub fn run_in_parallel<J: Sync, R: Send>(
    jobs: &[J],
    thread_count: usize,
    run: impl Fn(&J) -> R + Sync,
) -> Vec<R> {
    let next_index = AtomicUsize::new(0);
    let results = Mutex::new((0..jobs.len()).map(|_| None).collect::<Vec<Option<R>>>());
    std::thread::scope(|scope| {
        for _ in 0..thread_count.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| loop {
                let index = next_index.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(index) else { return };
                let result = run(job);
                if let Ok(mut results) = results.lock() {
                    results[index] = Some(result);
                }
            });
        }
    });
    results.into_inner().map_or_else(
        |_| Vec::new(),
        |results| results.into_iter().flatten().collect(),
    )
}

/// Runs the scenario on the simulated clock. Fails if the submission times of a load can't be read.
pub fn simulate(
    scenario: &Scenario,
    seed: u64,
    variant: ForwarderVariant,
) -> Result<Outcome, ReplayError> {
    Ok(Sim::new(scenario, seed, variant)?.run(|_, _| {}))
}

/// Returns the number of simulated runs to execute at once: one for each CPU core.
pub fn parallelism() -> usize {
    std::thread::available_parallelism().map_or(1, |count| count.get())
}

#[cfg(test)]
mod tests;
