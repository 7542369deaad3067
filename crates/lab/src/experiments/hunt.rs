//! A hunt: worlds drawn by chance round a scenario until a rule breaks or the loss is greatest, then shrunk to the smallest
//! that still shows it.

use super::{in_parallel, simulate, threads, ExperimentError};
use crate::chance::stream;
use crate::load::ReplayError;
use crate::scenario::{Fault, FaultKind, FaultScope, ResetMoment, Scenario, Span};
use crate::subject::ForwarderVariant;
use crate::tally::Outcome;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Of the loss found, so much must be left after each step of shrinking.
const KEPT: f64 = 0.9;

/// What was found, after shrinking.
#[derive(Clone, Debug)]
pub struct Catch {
    pub scenario: Scenario,
    pub seed: u64,
    pub outcome: Outcome,
    /// Worlds drawn, and runs that shrinking took.
    pub drawn: usize,
    pub shrinking: usize,
}

/// A world drawn round the base: its load and forwarders within ranges, faults of any kind.
pub fn draw(base: &Scenario, seed: u64) -> Scenario {
    let rng = &mut stream(seed, "hunt", 0);
    let mut scenario = base.clone();
    scenario.name = format!("{}-hunt-{seed}", base.name);
    scenario.expect = Default::default();
    for load in &mut scenario.loads {
        load.rate *= rng.random_range(0.5..1.8);
    }
    scenario.forwarders.count = rng
        .random_range(1..=base.forwarders.count.max(1) * 2)
        .min(64);
    scenario.forwarders.concurrency_limit =
        (f64::from(base.forwarders.concurrency_limit) * rng.random_range(0.3..1.5)).ceil() as u32;
    scenario.forwarders.max_attempts = rng.random_range(2..=base.forwarders.max_attempts.max(2));
    scenario.network.list_lag = Span(rng.random_range(0..3_000_000));
    for d in &mut scenario.destinations {
        d.rate *= rng.random_range(0.5..1.5);
        d.error_rate = if rng.random_bool(0.3) {
            rng.random_range(0.0..0.3)
        } else {
            d.error_rate
        };
        d.retry_after = if rng.random_bool(0.5) {
            Span(rng.random_range(50_000..3_000_000))
        } else {
            d.retry_after
        };
    }
    scenario.faults = (0..rng.random_range(1..=8))
        .map(|_| fault(base, rng))
        .collect();
    scenario
}

fn fault(base: &Scenario, rng: &mut Pcg64Mcg) -> Fault {
    let rate = rng.random_range(0.1..=1.0);
    let what = match rng.random_range(0..18) {
        0 | 1 => FaultKind::Refusing,
        2 | 3 => FaultKind::Silent,
        4 => FaultKind::Slow {
            times: rng.random_range(2.0..20.0),
        },
        5 => FaultKind::Erring { rate },
        6 => FaultKind::Reset {
            rate,
            moment: [ResetMoment::Before, ResetMoment::Within, ResetMoment::After]
                [rng.random_range(0..3)],
        },
        7 => FaultKind::AnswerLost { rate },
        8 => FaultKind::Garbled { rate },
        9 => FaultKind::Endless { rate },
        10 => FaultKind::Shut,
        11 => FaultKind::Flapping {
            down: Span(rng.random_range(200_000..4_000_000)),
            up: Span(rng.random_range(200_000..4_000_000)),
        },
        12 => FaultKind::Brownout {
            capacity_left: rng.random_range(0.05..0.8),
        },
        13 => FaultKind::Jam {
            times: rng.random_range(2.0..15.0),
        },
        14 => FaultKind::Drain,
        15 => match rng.random_range(0..3) {
            0 => FaultKind::Stale,
            1 => FaultKind::Partial {
                missing: rng.random_range(0.1..0.9),
            },
            _ => FaultKind::HealthChecksFail,
        },
        16 => FaultKind::Killed {
            folder_kept: rng.random_bool(0.8),
        },
        _ => FaultKind::Paused,
    };
    let on = match rng.random_range(0..4) {
        0 => FaultScope::default(),
        1 => FaultScope {
            zone: Some(rng.random_range(0..2)),
            ..FaultScope::default()
        },
        2 => FaultScope {
            share: Some(rng.random_range(0.1..0.9)),
            ..FaultScope::default()
        },
        _ => {
            let d = &base.destinations[rng.random_range(0..base.destinations.len())];
            FaultScope {
                destinations: vec![d.name.clone()],
                numbers: vec![rng.random_range(0..d.count)],
                ..FaultScope::default()
            }
        }
    };
    let at = rng.random_range(0..base.lasts.0.max(2) * 3 / 4);
    let lasts = rng.random_range(100_000..=base.lasts.0 / 2 + 100_000);
    Fault {
        at: Span(at),
        lasts: Span(lasts),
        kind: what,
        scope: on,
    }
}

fn loss(outcome: &Outcome) -> f64 {
    1.0 - outcome.service
}

/// Whether a smaller world still shows what was found.
fn still(found: &Outcome, now: &Outcome) -> bool {
    match found.broken.keys().next() {
        Some(_) => found
            .broken
            .keys()
            .any(|rule| now.broken.contains_key(rule)),
        None => loss(now) >= KEPT * loss(found),
    }
}

/// Draws so many worlds from `first` on and keeps the worst: a broken rule before any loss. `told` hears how many are done.
pub fn hunt(
    base: &Scenario,
    first: u64,
    worlds: usize,
    variant: ForwarderVariant,
    told: impl Fn(usize) + Sync,
) -> Result<Catch, ExperimentError> {
    let jobs: Vec<u64> = (first..first + worlds.max(1) as u64).collect();
    let done = std::sync::atomic::AtomicUsize::new(0);
    let runs = in_parallel(&jobs, threads(), |seed| {
        let outcome = simulate(&draw(base, *seed), *seed, variant);
        told(done.fetch_add(1, std::sync::atomic::Ordering::Relaxed) + 1);
        outcome.map(|o| (*seed, o))
    });
    let runs: Vec<(u64, Outcome)> = runs.into_iter().collect::<Result<_, _>>()?;
    let worst = runs.into_iter().max_by(|(_, a), (_, b)| {
        let rank = |o: &Outcome| (!o.broken.is_empty(), loss(o));
        let (a, b) = (rank(a), rank(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    let Some((seed, outcome)) = worst else {
        return Err(ExperimentError::NoWorld);
    };
    let mut catch = Catch {
        scenario: draw(base, seed),
        seed,
        outcome,
        drawn: worlds,
        shrinking: 0,
    };
    shrink(&mut catch, variant)?;
    Ok(catch)
}

fn shrink(catch: &mut Catch, variant: ForwarderVariant) -> Result<(), ReplayError> {
    let mut smaller = true;
    while std::mem::take(&mut smaller) {
        for candidate in candidates(&catch.scenario) {
            let outcome = simulate(&candidate, catch.seed, variant)?;
            catch.shrinking += 1;
            if still(&catch.outcome, &outcome) {
                (catch.scenario, catch.outcome, smaller) = (candidate, outcome, true);
                break;
            }
        }
    }
    Ok(())
}

/// Worlds one step smaller: the boldest steps first.
fn candidates(scenario: &Scenario) -> Vec<Scenario> {
    let mut out = Vec::new();
    let mut with = |change: &dyn Fn(&mut Scenario)| {
        let mut smaller = scenario.clone();
        change(&mut smaller);
        out.push(smaller);
    };
    for n in 0..scenario.faults.len() {
        with(&|s| _ = s.faults.remove(n));
    }
    let last = scenario
        .faults
        .iter()
        .map(|t| t.at.0 + t.lasts.0)
        .max()
        .unwrap_or(0);
    if scenario.lasts.0 > 4_000_000 && last < scenario.lasts.0 / 2 {
        with(&|s| s.lasts = Span(s.lasts.0 / 2));
    }
    if scenario.forwarders.count > 1 {
        with(&|s| s.forwarders.count /= 2);
    }
    for n in 0..scenario.loads.len() {
        if scenario.loads.len() > 1 {
            with(&|s| _ = s.loads.remove(n));
        }
        if scenario.loads[n].rate > 2.0 {
            with(&|s| s.loads[n].rate = (s.loads[n].rate / 2.0).round().max(1.0));
        }
    }
    for n in 0..scenario.faults.len() {
        if scenario.faults[n].lasts.0 > 400_000 {
            with(&|s| s.faults[n].lasts = Span(s.faults[n].lasts.0 / 2));
        }
    }
    out
}
