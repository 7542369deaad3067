//! Searches random variants of a scenario for the worst one, which breaks a rule or loses the largest share of the weight,
//! and shrinks it to the smallest scenario that still shows the same finding.

use super::{parallelism, run_in_parallel, simulate, ExperimentError};
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

/// Share of the loss that each shrinking step must preserve.
const MIN_KEPT_LOSS_SHARE: f64 = 0.9;
/// Upper bound on the number of forwarders in a generated scenario.
const MAX_FORWARDERS: u32 = 64;
const RESET_MOMENTS: [ResetMoment; 3] =
    [ResetMoment::Before, ResetMoment::Within, ResetMoment::After];
/// The duration of a scenario is halved only if it is longer than this, in µs.
const MIN_HALVED_DURATION: u64 = 4_000_000;
/// The duration of a fault is halved only if it is longer than this, in µs.
const MIN_HALVED_FAULT_DURATION: u64 = 400_000;
/// The rate of a load is halved only if it is above this, in messages per second.
const MIN_HALVED_RATE: f64 = 2.0;

/// The worst scenario that a search found, after shrinking.
#[derive(Clone, Debug)]
pub struct WorstCase {
    /// The smallest scenario that still shows the broken rule or the loss.
    pub scenario: Scenario,
    /// The seed of the scenario and of its run.
    pub seed: u64,
    /// The outcome of the scenario with this seed.
    pub outcome: Outcome,
    /// Number of scenarios that the search was asked to generate.
    pub generated_scenarios: usize,
    /// Number of runs for shrinking.
    pub shrink_runs: usize,
}

/// Generates a random variant of a scenario without expectations: its load, forwarders, receivers and discovery lag vary
/// within ranges, and its faults are replaced by random ones. The variant depends on the base and the seed alone.
pub fn random_scenario(base: &Scenario, seed: u64) -> Scenario {
    let rng = &mut seeded_rng(seed, "hunt", 0);
    let mut scenario = base.clone();
    scenario.name = format!("{}-hunt-{seed}", base.name);
    scenario.expect = Default::default();
    for load in &mut scenario.loads {
        load.rate *= rng.random_range(0.5..1.8);
    }
    randomize_fleet(&base.forwarders, &mut scenario.forwarders, rng);
    scenario.network.list_lag = Span(rng.random_range(0..3_000_000));
    for group in &mut scenario.destinations {
        randomize_destination(group, rng);
    }
    scenario.faults = (0..rng.random_range(1..=8))
        .map(|_| random_fault(base, rng))
        .collect();
    scenario
}

fn randomize_fleet(base: &ForwarderProcesses, fleet: &mut ForwarderProcesses, rng: &mut Pcg64Mcg) {
    let count = rng.random_range(1..=base.count.max(1) * 2);
    fleet.count = count.min(MAX_FORWARDERS);
    let permits = f64::from(base.concurrency_limit) * rng.random_range(0.3..1.5);
    fleet.concurrency_limit = permits.ceil() as u32;
    fleet.max_attempts = rng.random_range(2..=base.max_attempts.max(2));
}

fn randomize_destination(group: &mut Destination, rng: &mut Pcg64Mcg) {
    group.rate *= rng.random_range(0.5..1.5);
    if rng.random_bool(0.3) {
        group.error_rate = rng.random_range(0.0..0.3);
    }
    if rng.random_bool(0.5) {
        group.retry_after = Span(rng.random_range(50_000..3_000_000));
    }
}

fn random_fault(base: &Scenario, rng: &mut Pcg64Mcg) -> Fault {
    let kind = random_fault_kind(rng);
    let scope = random_scope(base, rng);
    let at = rng.random_range(0..base.lasts.0.max(2) * 3 / 4);
    let lasts = rng.random_range(100_000..=base.lasts.0 / 2 + 100_000);
    Fault {
        at: Span(at),
        lasts: Span(lasts),
        kind,
        scope,
    }
}

fn random_fault_kind(rng: &mut Pcg64Mcg) -> FaultKind {
    let rate = rng.random_range(0.1..=1.0);
    match rng.random_range(0..18) {
        0 | 1 => FaultKind::Refusing,
        2 | 3 => FaultKind::Silent,
        4 => FaultKind::Slow {
            times: rng.random_range(2.0..20.0),
        },
        5 => FaultKind::Erring { rate },
        6 => FaultKind::Reset {
            rate,
            moment: RESET_MOMENTS[rng.random_range(0..RESET_MOMENTS.len())],
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
        15 => random_discovery_fault(rng),
        16 => FaultKind::Killed {
            folder_kept: rng.random_bool(0.8),
        },
        _ => FaultKind::Paused,
    }
}

/// Generates a fault of discovery or of health checks.
fn random_discovery_fault(rng: &mut Pcg64Mcg) -> FaultKind {
    match rng.random_range(0..3) {
        0 => FaultKind::Stale,
        1 => FaultKind::Partial {
            missing: rng.random_range(0.1..0.9),
        },
        _ => FaultKind::HealthChecksFail,
    }
}

fn random_scope(base: &Scenario, rng: &mut Pcg64Mcg) -> FaultScope {
    let mut scope = FaultScope::default();
    match rng.random_range(0..4) {
        0 => {}
        1 => scope.zone = Some(rng.random_range(0..2)),
        2 => scope.share = Some(rng.random_range(0.1..0.9)),
        _ => {
            let group = &base.destinations[rng.random_range(0..base.destinations.len())];
            scope.destinations = vec![group.name.clone()];
            scope.numbers = vec![rng.random_range(0..group.count)];
        }
    }
    scope
}

/// Returns the share of the weight that was not delivered.
fn loss(outcome: &Outcome) -> f64 {
    1.0 - outcome.service
}

/// Returns whether the outcome of a smaller scenario still shows the finding: one of the broken rules, or most of the loss
/// if no rule was broken.
fn reproduces(found: &Outcome, candidate: &Outcome) -> bool {
    let mut rules = found.broken.keys();
    if found.broken.is_empty() {
        return loss(candidate) >= MIN_KEPT_LOSS_SHARE * loss(found);
    }
    rules.any(|rule| candidate.broken.contains_key(rule))
}

/// The run of one generated scenario.
struct RunResult {
    seed: u64,
    outcome: Outcome,
}

/// Orders two runs by severity. A run that broke a rule is worse than any run that did not; otherwise the loss decides.
fn compare_severity(a: &RunResult, b: &RunResult) -> Ordering {
    let breaks_rule = |result: &RunResult| !result.outcome.broken.is_empty();
    let by_loss = loss(&a.outcome).total_cmp(&loss(&b.outcome));
    breaks_rule(a).cmp(&breaks_rule(b)).then(by_loss)
}

/// Runs `scenario_count` random variants of a scenario, but at least one, with seeds from `first_seed` on, and shrinks the
/// worst. Calls `progress` with the number of finished runs after each one.
///
/// Fails if the submission times of a load can't be read.
pub fn find_worst_case(
    base: &Scenario,
    first_seed: u64,
    scenario_count: usize,
    variant: ForwarderVariant,
    progress: impl Fn(usize) + Sync,
) -> Result<WorstCase, ExperimentError> {
    let seeds: Vec<u64> = (first_seed..first_seed + scenario_count.max(1) as u64).collect();
    let finished_runs = AtomicUsize::new(0);
    let results = run_in_parallel(&seeds, parallelism(), |seed| {
        let outcome = simulate(&random_scenario(base, *seed), *seed, variant);
        progress(finished_runs.fetch_add(1, atomic::Ordering::Relaxed) + 1);
        let seed = *seed;
        outcome.map(|outcome| RunResult { seed, outcome })
    });
    let runs: Vec<RunResult> = results.into_iter().collect::<Result<_, _>>()?;
    let worst = runs.into_iter().max_by(compare_severity);
    let RunResult { seed, outcome } = worst.ok_or(ExperimentError::NoScenarioGenerated)?;
    let mut worst_case = WorstCase {
        scenario: random_scenario(base, seed),
        seed,
        outcome,
        generated_scenarios: scenario_count,
        shrink_runs: 0,
    };
    while let Some(shrunk) = shrink(&mut worst_case, variant)? {
        worst_case.scenario = shrunk.scenario;
        worst_case.outcome = shrunk.outcome;
    }
    Ok(worst_case)
}

/// A smaller scenario that still shows the finding, with its outcome.
struct ShrunkScenario {
    scenario: Scenario,
    outcome: Outcome,
}

/// Returns the first scenario that is one step smaller and still shows the finding, or `None` if no step preserves it.
fn shrink(
    worst_case: &mut WorstCase,
    variant: ForwarderVariant,
) -> Result<Option<ShrunkScenario>, ReplayError> {
    for scenario in shrink_candidates(&worst_case.scenario) {
        let outcome = simulate(&scenario, worst_case.seed, variant)?;
        worst_case.shrink_runs += 1;
        if reproduces(&worst_case.outcome, &outcome) {
            return Ok(Some(ShrunkScenario { scenario, outcome }));
        }
    }
    Ok(None)
}

/// Returns the scenarios that are one step smaller, those with the largest steps first.
fn shrink_candidates(scenario: &Scenario) -> Vec<Scenario> {
    let mut candidates = Vec::new();
    for index in 0..scenario.faults.len() {
        let mut candidate = scenario.clone();
        candidate.faults.remove(index);
        candidates.push(candidate);
    }
    let last_fault_end = scenario.faults.iter().map(Fault::ends_at).max();
    let half_duration = scenario.lasts.0 / 2;
    if scenario.lasts.0 > MIN_HALVED_DURATION && last_fault_end.unwrap_or(0) < half_duration {
        let mut candidate = scenario.clone();
        candidate.lasts = Span(half_duration);
        candidates.push(candidate);
    }
    if scenario.forwarders.count > 1 {
        let mut candidate = scenario.clone();
        candidate.forwarders.count /= 2;
        candidates.push(candidate);
    }
    for index in 0..scenario.loads.len() {
        candidates.extend(candidates_with_less_load(scenario, index));
    }
    for (index, fault) in scenario.faults.iter().enumerate() {
        if fault.lasts.0 > MIN_HALVED_FAULT_DURATION {
            let mut candidate = scenario.clone();
            candidate.faults[index].lasts = Span(fault.lasts.0 / 2);
            candidates.push(candidate);
        }
    }
    candidates
}

/// Returns the scenario without the load at the index, and with half its rate, where each is possible.
fn candidates_with_less_load(scenario: &Scenario, index: usize) -> Vec<Scenario> {
    let mut candidates = Vec::new();
    if scenario.loads.len() > 1 {
        let mut candidate = scenario.clone();
        candidate.loads.remove(index);
        candidates.push(candidate);
    }
    let rate = scenario.loads[index].rate;
    if rate > MIN_HALVED_RATE {
        let mut candidate = scenario.clone();
        candidate.loads[index].rate = (rate / 2.0).round().max(1.0);
        candidates.push(candidate);
    }
    candidates
}
