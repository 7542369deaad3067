//! A hunt: worlds drawn by chance round a scenario until a rule breaks or the loss is greatest, then shrunk to the smallest
//! that still shows it.

use super::{in_parallel, simulate, threads, ExperimentError};
use crate::load::ReplayError;
use crate::random::seeded_rng;
use crate::scenario::{
    Destination, Fault, FaultKind, FaultScope, ForwarderProcesses, ResetMoment, Scenario, Span,
};
use crate::subject::ForwarderVariant;
use crate::tally::Outcome;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;
use std::sync::atomic::{self, AtomicUsize};

/// Of the loss found, so much must be left after each step of shrinking.
const KEPT_LOSS: f64 = 0.9;
/// Forwarders of a drawn world at most.
const MAX_FORWARDERS: u32 = 64;
const RESET_MOMENTS: [ResetMoment; 3] =
    [ResetMoment::Before, ResetMoment::Within, ResetMoment::After];
/// A load or fault that is shorter than this is not shortened, µs.
const MIN_LOAD: u64 = 4_000_000;
const MIN_FAULT: u64 = 400_000;
/// A rate under this is not halved, messages a second.
const MIN_RATE: f64 = 2.0;

/// What was found, after shrinking.
#[derive(Clone, Debug)]
pub struct Catch {
    /// The smallest world that still shows it.
    pub scenario: Scenario,
    /// Its seed.
    pub seed: u64,
    /// Its outcome.
    pub outcome: Outcome,
    /// Worlds drawn.
    pub drawn: usize,
    /// Runs that shrinking took.
    pub shrinking: usize,
}

/// A world drawn round the base: its load and forwarders within ranges, faults of any kind.
pub fn draw(base: &Scenario, seed: u64) -> Scenario {
    let chance = &mut seeded_rng(seed, "hunt", 0);
    let mut scenario = base.clone();
    scenario.name = format!("{}-hunt-{seed}", base.name);
    scenario.expect = Default::default();
    for load in &mut scenario.loads {
        load.rate *= chance.random_range(0.5..1.8);
    }
    draw_fleet(&base.forwarders, &mut scenario.forwarders, chance);
    scenario.network.list_lag = Span(chance.random_range(0..3_000_000));
    for group in &mut scenario.destinations {
        draw_destination(group, chance);
    }
    scenario.faults = (0..chance.random_range(1..=8))
        .map(|_| draw_fault(base, chance))
        .collect();
    scenario
}

fn draw_fleet(base: &ForwarderProcesses, fleet: &mut ForwarderProcesses, chance: &mut Pcg64Mcg) {
    let count = chance.random_range(1..=base.count.max(1) * 2);
    fleet.count = count.min(MAX_FORWARDERS);
    let permits = f64::from(base.concurrency_limit) * chance.random_range(0.3..1.5);
    fleet.concurrency_limit = permits.ceil() as u32;
    fleet.max_attempts = chance.random_range(2..=base.max_attempts.max(2));
}

fn draw_destination(group: &mut Destination, chance: &mut Pcg64Mcg) {
    group.rate *= chance.random_range(0.5..1.5);
    if chance.random_bool(0.3) {
        group.error_rate = chance.random_range(0.0..0.3);
    }
    if chance.random_bool(0.5) {
        group.retry_after = Span(chance.random_range(50_000..3_000_000));
    }
}

fn draw_fault(base: &Scenario, chance: &mut Pcg64Mcg) -> Fault {
    let kind = draw_fault_kind(chance);
    let scope = draw_scope(base, chance);
    let at = chance.random_range(0..base.lasts.0.max(2) * 3 / 4);
    let lasts = chance.random_range(100_000..=base.lasts.0 / 2 + 100_000);
    Fault {
        at: Span(at),
        lasts: Span(lasts),
        kind,
        scope,
    }
}

fn draw_fault_kind(chance: &mut Pcg64Mcg) -> FaultKind {
    let rate = chance.random_range(0.1..=1.0);
    match chance.random_range(0..18) {
        0 | 1 => FaultKind::Refusing,
        2 | 3 => FaultKind::Silent,
        4 => FaultKind::Slow {
            times: chance.random_range(2.0..20.0),
        },
        5 => FaultKind::Erring { rate },
        6 => FaultKind::Reset {
            rate,
            moment: RESET_MOMENTS[chance.random_range(0..RESET_MOMENTS.len())],
        },
        7 => FaultKind::AnswerLost { rate },
        8 => FaultKind::Garbled { rate },
        9 => FaultKind::Endless { rate },
        10 => FaultKind::Shut,
        11 => FaultKind::Flapping {
            down: Span(chance.random_range(200_000..4_000_000)),
            up: Span(chance.random_range(200_000..4_000_000)),
        },
        12 => FaultKind::Brownout {
            capacity_left: chance.random_range(0.05..0.8),
        },
        13 => FaultKind::Jam {
            times: chance.random_range(2.0..15.0),
        },
        14 => FaultKind::Drain,
        15 => draw_discovery_fault(chance),
        16 => FaultKind::Killed {
            folder_kept: chance.random_bool(0.8),
        },
        _ => FaultKind::Paused,
    }
}

/// A fault of discovery, or of health checks.
fn draw_discovery_fault(chance: &mut Pcg64Mcg) -> FaultKind {
    match chance.random_range(0..3) {
        0 => FaultKind::Stale,
        1 => FaultKind::Partial {
            missing: chance.random_range(0.1..0.9),
        },
        _ => FaultKind::HealthChecksFail,
    }
}

fn draw_scope(base: &Scenario, chance: &mut Pcg64Mcg) -> FaultScope {
    let mut scope = FaultScope::default();
    match chance.random_range(0..4) {
        0 => {}
        1 => scope.zone = Some(chance.random_range(0..2)),
        2 => scope.share = Some(chance.random_range(0.1..0.9)),
        _ => {
            let group = &base.destinations[chance.random_range(0..base.destinations.len())];
            scope.destinations = vec![group.name.clone()];
            scope.numbers = vec![chance.random_range(0..group.count)];
        }
    }
    scope
}

fn loss(outcome: &Outcome) -> f64 {
    1.0 - outcome.service
}

/// Whether a smaller world still shows what was found: one of the broken rules, else most of the loss.
fn still_shows(found: &Outcome, smaller: &Outcome) -> bool {
    let mut rules = found.broken.keys();
    if found.broken.is_empty() {
        return loss(smaller) >= KEPT_LOSS * loss(found);
    }
    rules.any(|rule| smaller.broken.contains_key(rule))
}

/// One world that was played.
struct Played {
    seed: u64,
    outcome: Outcome,
}

/// Which of two worlds is worse: a broken rule comes before any loss.
fn by_badness(a: &Played, b: &Played) -> Ordering {
    let breaks = |played: &Played| !played.outcome.broken.is_empty();
    let by_loss = loss(&a.outcome).total_cmp(&loss(&b.outcome));
    breaks(a).cmp(&breaks(b)).then(by_loss)
}

/// Draws so many worlds, with seeds from `first` on, and shrinks the worst. `progress` is told how many have been played.
pub fn hunt(
    base: &Scenario,
    first: u64,
    worlds: usize,
    variant: ForwarderVariant,
    progress: impl Fn(usize) + Sync,
) -> Result<Catch, ExperimentError> {
    let seeds: Vec<u64> = (first..first + worlds.max(1) as u64).collect();
    let played = AtomicUsize::new(0);
    let results = in_parallel(&seeds, threads(), |seed| {
        let outcome = simulate(&draw(base, *seed), *seed, variant);
        progress(played.fetch_add(1, atomic::Ordering::Relaxed) + 1);
        let seed = *seed;
        outcome.map(|outcome| Played { seed, outcome })
    });
    let all: Vec<Played> = results.into_iter().collect::<Result<_, _>>()?;
    let worst = all.into_iter().max_by(by_badness);
    let Played { seed, outcome } = worst.ok_or(ExperimentError::NoWorld)?;
    let mut catch = Catch {
        scenario: draw(base, seed),
        seed,
        outcome,
        drawn: worlds,
        shrinking: 0,
    };
    while let Some(smaller) = shrink(&mut catch, variant)? {
        catch.scenario = smaller.scenario;
        catch.outcome = smaller.outcome;
    }
    Ok(catch)
}

/// A smaller world that still shows what was found.
struct Smaller {
    scenario: Scenario,
    outcome: Outcome,
}

/// The first world one step smaller that still shows what was found; none where every step loses it.
fn shrink(catch: &mut Catch, variant: ForwarderVariant) -> Result<Option<Smaller>, ReplayError> {
    for scenario in smaller_worlds(&catch.scenario) {
        let outcome = simulate(&scenario, catch.seed, variant)?;
        catch.shrinking += 1;
        if still_shows(&catch.outcome, &outcome) {
            return Ok(Some(Smaller { scenario, outcome }));
        }
    }
    Ok(None)
}

/// Worlds one step smaller: the boldest steps first.
fn smaller_worlds(scenario: &Scenario) -> Vec<Scenario> {
    let mut worlds = Vec::new();
    for index in 0..scenario.faults.len() {
        let mut smaller = scenario.clone();
        smaller.faults.remove(index);
        worlds.push(smaller);
    }
    let last_fault = scenario.faults.iter().map(Fault::ends_at).max();
    let half = scenario.lasts.0 / 2;
    if scenario.lasts.0 > MIN_LOAD && last_fault.unwrap_or(0) < half {
        let mut smaller = scenario.clone();
        smaller.lasts = Span(half);
        worlds.push(smaller);
    }
    if scenario.forwarders.count > 1 {
        let mut smaller = scenario.clone();
        smaller.forwarders.count /= 2;
        worlds.push(smaller);
    }
    for index in 0..scenario.loads.len() {
        worlds.extend(with_less_load(scenario, index));
    }
    for (index, fault) in scenario.faults.iter().enumerate() {
        if fault.lasts.0 > MIN_FAULT {
            let mut smaller = scenario.clone();
            smaller.faults[index].lasts = Span(fault.lasts.0 / 2);
            worlds.push(smaller);
        }
    }
    worlds
}

/// The world without one of its loads, and with half the rate of it.
fn with_less_load(scenario: &Scenario, index: usize) -> Vec<Scenario> {
    let mut worlds = Vec::new();
    if scenario.loads.len() > 1 {
        let mut smaller = scenario.clone();
        smaller.loads.remove(index);
        worlds.push(smaller);
    }
    let rate = scenario.loads[index].rate;
    if rate > MIN_RATE {
        let mut smaller = scenario.clone();
        smaller.loads[index].rate = (rate / 2.0).round().max(1.0);
        worlds.push(smaller);
    }
    worlds
}
