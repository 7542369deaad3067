//! Experiments over simulated runs: variants of one scenario, paired by seed; sweeps; hunts for the worst.

pub mod bids;
pub mod compare;
pub mod hunt;
pub mod sweep;

use crate::scenario::Scenario;
use crate::sim::Sim;
use crate::subject::Make;
use crate::tally::Outcome;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The scenario with values set by their keys, as in `forwarders.slots=16` or `destinations[0].rate=50.0`.
pub fn with_values(scenario: &Scenario, sets: &[String]) -> Result<Scenario, String> {
    let mut value = toml::Value::try_from(scenario).map_err(|e| e.to_string())?;
    for set in sets {
        let (key, text) = set
            .split_once('=')
            .ok_or(format!("{set}: write KEY=VALUE"))?;
        let text = text.trim();
        // A bare word is a string; all else is read as the file would be.
        let new = toml::from_str::<toml::Table>(&format!("v = {text}"))
            .ok()
            .and_then(|t| t.get("v").cloned())
            .unwrap_or_else(|| toml::Value::String(text.into()));
        put(&mut value, key.trim(), new)?;
    }
    let text = toml::to_string(&value).map_err(|e| e.to_string())?;
    Scenario::read(
        &text,
        &format!("{} with {}", scenario.name, sets.join(", ")),
    )
    .map_err(|e| e.to_string())
}

fn put(value: &mut toml::Value, key: &str, new: toml::Value) -> Result<(), String> {
    let mut here = value;
    for part in key.split('.') {
        let (name, numbers) = part.split_once('[').map_or((part, ""), |(n, r)| (n, r));
        let table = here
            .as_table_mut()
            .ok_or(format!("{key}: {name} is not in a table"))?;
        here = table
            .entry(name)
            .or_insert_with(|| toml::Value::Table(toml::Table::new()));
        if !numbers.is_empty() {
            let number = numbers.trim_end_matches(']');
            let at: usize = number
                .parse()
                .map_err(|_| format!("{key}: [{number}] is no place"))?;
            here = here
                .get_mut(at)
                .ok_or(format!("{key}: there is no [{at}]"))?;
        }
    }
    // Whole figures may stand where others are meant.
    *here = match (&*here, new) {
        (toml::Value::Float(_), toml::Value::Integer(n)) => toml::Value::Float(n as f64),
        (_, new) => new,
    };
    Ok(())
}

/// Runs jobs on so many threads, and gives what they came to in the order of the jobs.
pub fn in_parallel<J: Sync, R: Send>(
    jobs: &[J],
    threads: usize,
    run: impl Fn(&J) -> R + Sync,
) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new((0..jobs.len()).map(|_| None).collect::<Vec<Option<R>>>());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(n) else { return };
                let result = run(job);
                if let Ok(mut results) = results.lock() {
                    results[n] = Some(result);
                }
            });
        }
    });
    results
        .into_inner()
        .map_or_else(|_| Vec::new(), |r| r.into_iter().flatten().collect())
}

/// One simulated run.
pub fn simulate(scenario: &Scenario, seed: u64, make: Make) -> Result<Outcome, String> {
    Ok(Sim::new(scenario, seed, make)?.run(|_, _| {}))
}

pub fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}

#[cfg(test)]
mod tests;
