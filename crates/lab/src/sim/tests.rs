use super::*;
use crate::scenario::Scenario;
use crate::subject::ForwarderVariant;

fn hostile_scenario() -> Scenario {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../lab/scenarios/hostile.toml"
    );
    Scenario::load(std::path::Path::new(path)).expect("the scenario is valid")
}

fn run(scenario: &Scenario, seed: u64, variant: ForwarderVariant) -> Outcome {
    Sim::new(scenario, seed, variant)
        .expect("the simulation can be set up")
        .run(|_, _| {})
}

#[test]
fn unmodified_forwarder_breaks_no_rule_and_ends_every_message() {
    for seed in 1..=4 {
        let outcome = run(&hostile_scenario(), seed, ForwarderVariant::True);
        assert!(
            outcome.misses().is_empty(),
            "expected no unmet expectation with seed {seed}, got {:?}\n{:?}",
            outcome.misses(),
            outcome.breaks
        );
        let counts = &outcome.counts;
        assert_eq!(
            counts.served + counts.failed + counts.given_up + counts.gone,
            counts.due,
            "expected every due message to end once with seed {seed}"
        );
        assert!(
            counts.due > 5000 && counts.retried > 100,
            "expected many messages and retries, got {counts:?}"
        );
    }
}

#[test]
fn each_broken_variant_breaks_its_rule() {
    for (variant, rule) in ForwarderVariant::BROKEN {
        let outcome = run(&hostile_scenario(), 1, variant);
        assert!(
            outcome.broken.contains_key(rule),
            "expected {variant:?} to break {rule}, got {:?}",
            outcome.broken
        );
    }
}

#[test]
fn same_seed_gives_identical_outcome() {
    let outcome_json = |seed| {
        serde_json::to_string(&run(&hostile_scenario(), seed, ForwarderVariant::True))
            .expect("an outcome can be serialized")
    };
    assert_eq!(outcome_json(7), outcome_json(7));
    assert_ne!(outcome_json(7), outcome_json(8));
}

#[test]
fn run_cut_off_early_counts_unfinished_messages_and_breaks_no_rule() {
    let sim = Sim::new(&hostile_scenario(), 1, ForwarderVariant::True)
        .expect("the simulation can be set up");
    let (outcome, _) = sim.run_until(12_000_000, |_, _| {});
    assert!(
        outcome.counts.open > 0 && outcome.broken.is_empty(),
        "expected unfinished messages and no broken rule, got {:?}",
        outcome.broken
    );
}

/// The table sizes must depend on the number of unfinished messages, not on the number of messages seen so far.
#[test]
fn table_sizes_do_not_grow_with_run_length() {
    let peak_entries = |lasts: u64| {
        let mut scenario = hostile_scenario();
        scenario.faults.clear();
        scenario.lasts = crate::scenario::Span(lasts * 1_000_000);
        Sim::new(&scenario, 1, ForwarderVariant::True)
            .expect("the simulation can be set up")
            .run_until(Micros::MAX, |_, _| {})
            .1
            .peak_table_entries
    };
    let (short, long) = (peak_entries(150), peak_entries(450));
    assert!(
        long < short * 11 / 10,
        "expected a peak independent of the run length, got {short} entries, then {long}"
    );
}

/// A forwarder that restarts with its folder must end the messages that became overdue while it was down.
#[test]
fn restarted_forwarder_ends_overdue_messages_of_its_folder() {
    let mut scenario = hostile_scenario();
    scenario
        .faults
        .retain(|fault| matches!(fault.kind, crate::scenario::FaultKind::Killed { .. }));
    scenario.forwarders.count = 1;
    scenario.faults[0].lasts = crate::scenario::Span(15_000_000); // longer than any time to live
    scenario.loads[0].rate = 200.0; // so that messages are queued at the kill
    let outcome = run(&scenario, 3, ForwarderVariant::True);
    assert!(
        outcome.broken.is_empty() && outcome.counts.open == 0,
        "expected no violation and no unfinished message, got {:?} {:?}",
        outcome.breaks,
        outcome.counts
    );
    assert!(
        outcome.counts.failed > 0,
        "expected overdue messages to fail, got {:?}",
        outcome.counts
    );
}

/// Most of a fleet restarts while discovery is overloaded by polls. Every forwarder must get list updates in the end, with few
/// more polls than restarts. Forwarders that polled again each second would keep discovery overloaded forever.
#[test]
fn overloaded_discovery_updates_fleet_that_restarts_at_once() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../lab/scenarios/fleet-restart-full.toml"
    );
    let scenario = Scenario::load(std::path::Path::new(path)).expect("the scenario is valid");
    for seed in 1..=3 {
        let sim = Sim::new(&scenario, seed, ForwarderVariant::True)
            .expect("the simulation can be set up");
        let (outcome, stats) = sim.run_until(Micros::MAX, |_, _| {});
        assert!(
            outcome.broken.is_empty(),
            "expected no violation, got {:?}",
            outcome.breaks
        );
        assert_eq!(
            stats.forwarders_without_list_updates, 0,
            "expected list updates for every forwarder with seed {seed}; there were {} polls of the list",
            stats.list_polls
        );
        assert!(
            stats.list_polls <= 400,
            "expected at most 400 polls for about 170 starts with seed {seed}, got {}",
            stats.list_polls
        );
    }
}

/// When forwarders may gossip about rejected calls, fewer calls must be rejected and more messages served.
#[test]
fn gossip_reduces_rejected_calls_and_serves_more_messages() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../lab/scenarios/fleet-limits-full.toml"
    );
    let mut scenario = Scenario::load(std::path::Path::new(path)).expect("the scenario is valid");
    let mut sums = [(0, 0); 2];
    for (sum, may_gossip) in sums.iter_mut().zip([true, false]) {
        scenario.forwarders.may_gossip = may_gossip;
        for seed in 1..=3 {
            let outcome = run(&scenario, seed, ForwarderVariant::True);
            assert!(
                outcome.broken.is_empty(),
                "expected no violation, got {:?}",
                outcome.breaks
            );
            *sum = (
                sum.0 + outcome.counts.served,
                sum.1 + outcome.counts.outcomes.get("refused").copied().unwrap_or(0),
            );
        }
    }
    let [(served, rejected), (served_without_gossip, rejected_without_gossip)] = sums;
    assert!(
        served > served_without_gossip && 2 * rejected < rejected_without_gossip,
        "expected more served and under half the rejected calls with gossip, got {sums:?}"
    );
}

/// Guards against a failure that the operators' full fleet showed: a forwarder is notified of a retry-after time or a drain
/// while connections are not established yet, and sends the calls on them all the same.
#[test]
fn calls_on_late_connections_respect_limits_notified_before_sending() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../lab/scenarios/late-connections.toml"
    );
    let scenario = Scenario::load(std::path::Path::new(path)).expect("the scenario is valid");
    let outcome = run(&scenario, 2, ForwarderVariant::True);
    assert!(
        outcome.misses().is_empty(),
        "expected no unmet expectation, got {:?}\n{:?}",
        outcome.misses(),
        outcome.breaks
    );
    let broken_rules = run(&scenario, 2, ForwarderVariant::WithdrawsNothing).broken;
    assert!(
        broken_rules.contains_key("wait-not-heeded"),
        "expected a violation of wait-not-heeded, got {broken_rules:?}"
    );
}
