//! A hunt: worlds drawn by chance round a scenario until a rule breaks or the loss is greatest, then shrunk to the smallest
//! that still shows it.

use super::{in_parallel, simulate, threads, ExperimentError};
use crate::chance::stream;
use crate::load::ReplayError;
use crate::scenario::{Scenario, Span, Trouble, What, When, Where};
use crate::subject::Make;
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

/// A world drawn round the base: its load and forwarders within ranges, troubles of any kind.
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
    scenario.forwarders.slots =
        (f64::from(base.forwarders.slots) * rng.random_range(0.3..1.5)).ceil() as u32;
    scenario.forwarders.trips = rng.random_range(2..=base.forwarders.trips.max(2));
    scenario.network.list_lag = Span(rng.random_range(0..3_000_000));
    for d in &mut scenario.destinations {
        d.rate *= rng.random_range(0.5..1.5);
        d.errors = if rng.random_bool(0.3) {
            rng.random_range(0.0..0.3)
        } else {
            d.errors
        };
        d.wait = if rng.random_bool(0.5) {
            Span(rng.random_range(50_000..3_000_000))
        } else {
            d.wait
        };
    }
    scenario.troubles = (0..rng.random_range(1..=8))
        .map(|_| trouble(base, rng))
        .collect();
    scenario
}

fn trouble(base: &Scenario, rng: &mut Pcg64Mcg) -> Trouble {
    let rate = rng.random_range(0.1..=1.0);
    let what = match rng.random_range(0..18) {
        0 | 1 => What::Refusing,
        2 | 3 => What::Silent,
        4 => What::Slow {
            times: rng.random_range(2.0..20.0),
        },
        5 => What::Erring { rate },
        6 => What::Reset {
            rate,
            when: [When::Before, When::Within, When::After][rng.random_range(0..3)],
        },
        7 => What::AnswerLost { rate },
        8 => What::Garbled { rate },
        9 => What::Endless { rate },
        10 => What::Shut,
        11 => What::Flapping {
            down: Span(rng.random_range(200_000..4_000_000)),
            up: Span(rng.random_range(200_000..4_000_000)),
        },
        12 => What::Brownout {
            left: rng.random_range(0.05..0.8),
        },
        13 => What::Jam {
            times: rng.random_range(2.0..15.0),
        },
        14 => What::Drain,
        15 => match rng.random_range(0..3) {
            0 => What::Stale,
            1 => What::Partial {
                missing: rng.random_range(0.1..0.9),
            },
            _ => What::ProbesFail,
        },
        16 => What::Killed {
            folder: rng.random_bool(0.8),
        },
        _ => What::Paused,
    };
    let on = match rng.random_range(0..4) {
        0 => Where::default(),
        1 => Where {
            zone: Some(rng.random_range(0..2)),
            ..Where::default()
        },
        2 => Where {
            share: Some(rng.random_range(0.1..0.9)),
            ..Where::default()
        },
        _ => {
            let d = &base.destinations[rng.random_range(0..base.destinations.len())];
            Where {
                destinations: vec![d.name.clone()],
                numbers: vec![rng.random_range(0..d.count)],
                ..Where::default()
            }
        }
    };
    let at = rng.random_range(0..base.lasts.0.max(2) * 3 / 4);
    let lasts = rng.random_range(100_000..=base.lasts.0 / 2 + 100_000);
    Trouble {
        at: Span(at),
        lasts: Span(lasts),
        what,
        on,
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
    make: Make,
    told: impl Fn(usize) + Sync,
) -> Result<Catch, ExperimentError> {
    let jobs: Vec<u64> = (first..first + worlds.max(1) as u64).collect();
    let done = std::sync::atomic::AtomicUsize::new(0);
    let runs = in_parallel(&jobs, threads(), |seed| {
        let outcome = simulate(&draw(base, *seed), *seed, make);
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
    shrink(&mut catch, make)?;
    Ok(catch)
}

fn shrink(catch: &mut Catch, make: Make) -> Result<(), ReplayError> {
    let mut smaller = true;
    while std::mem::take(&mut smaller) {
        for candidate in candidates(&catch.scenario) {
            let outcome = simulate(&candidate, catch.seed, make)?;
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
    for n in 0..scenario.troubles.len() {
        with(&|s| _ = s.troubles.remove(n));
    }
    let last = scenario
        .troubles
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
    for n in 0..scenario.troubles.len() {
        if scenario.troubles[n].lasts.0 > 400_000 {
            with(&|s| s.troubles[n].lasts = Span(s.troubles[n].lasts.0 / 2));
        }
    }
    out
}
