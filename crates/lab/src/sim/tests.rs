use super::*;
use crate::scenario::Scenario;
use crate::subject::ForwarderVariant;

fn hostile_scenario() -> Scenario {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../lab/scenarios/hostile.toml"
    );
    Scenario::load(std::path::Path::new(path)).expect("it is right")
}

fn run(scenario: &Scenario, seed: u64, variant: ForwarderVariant) -> Outcome {
    Sim::new(scenario, seed, variant)
        .expect("it starts")
        .run(|_, _| {})
}

#[test]
fn true_forwarder_breaks_no_rule_and_ends_every_message() {
    for seed in 1..=4 {
        let outcome = run(&hostile_scenario(), seed, ForwarderVariant::True);
        assert!(
            outcome.misses().is_empty(),
            "seed {seed}: {:?}\n{:?}",
            outcome.misses(),
            outcome.breaks
        );
        let counts = &outcome.counts;
        assert_eq!(
            counts.served + counts.failed + counts.given_up + counts.gone,
            counts.due,
            "seed {seed}"
        );
        assert!(counts.due > 5000 && counts.retried > 100, "{counts:?}");
    }
}

#[test]
fn each_broken_variant_breaks_its_rule() {
    for (variant, rule) in ForwarderVariant::BROKEN {
        let outcome = run(&hostile_scenario(), 1, variant);
        assert!(
            outcome.broken.contains_key(rule),
            "{variant:?} should break {rule}: {:?}",
            outcome.broken
        );
    }
}

#[test]
fn same_seed_gives_identical_outcome() {
    let outcome_json = |seed| {
        serde_json::to_string(&run(&hostile_scenario(), seed, ForwarderVariant::True))
            .expect("it is data")
    };
    assert_eq!(outcome_json(7), outcome_json(7));
    assert_ne!(outcome_json(7), outcome_json(8));
}

#[test]
fn run_cut_off_early_counts_open_messages_and_breaks_no_rule() {
    let sim = Sim::new(&hostile_scenario(), 1, ForwarderVariant::True).expect("it starts");
    let (outcome, _) = sim.run_until(12_000_000, |_, _| {});
    assert!(
        outcome.counts.open > 0 && outcome.broken.is_empty(),
        "{:?}",
        outcome.broken
    );
}

/// What the tables hold follows the messages that are open, not those ever seen.
#[test]
fn table_sizes_do_not_grow_with_run_length() {
    let peak_entries = |lasts: u64| {
        let mut scenario = hostile_scenario();
        scenario.faults.clear();
        scenario.lasts = crate::scenario::Span(lasts * 1_000_000);
        Sim::new(&scenario, 1, ForwarderVariant::True)
            .expect("it starts")
            .run_until(Micros::MAX, |_, _| {})
            .1
            .peak_table_entries
    };
    let (short, long) = (peak_entries(150), peak_entries(450));
    assert!(long < short * 11 / 10, "{short} entries, then {long}");
}

/// A forwarder that comes back with its folder gives what is overdue its end at once.
#[test]
fn restarted_forwarder_ends_overdue_messages_of_its_folder() {
    let mut scenario = hostile_scenario();
    scenario
        .faults
        .retain(|fault| matches!(fault.kind, crate::scenario::FaultKind::Killed { .. }));
    scenario.forwarders.count = 1;
    scenario.faults[0].lasts = crate::scenario::Span(15_000_000); // longer than any message lives
    scenario.loads[0].rate = 200.0; // so that lines wait
    let outcome = run(&scenario, 3, ForwarderVariant::True);
    assert!(
        outcome.broken.is_empty() && outcome.counts.open == 0,
        "{:?} {:?}",
        outcome.breaks,
        outcome.counts
    );
    assert!(outcome.counts.failed > 0, "{:?}", outcome.counts);
}

/// Most of a fleet starts anew while discovery has more calls than it can work off: in the end it tells all of them, and
/// is not asked much more often than once for each start. Calls made again each second would keep it full for good.
#[test]
fn overloaded_discovery_updates_fleet_that_restarts_at_once() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../lab/scenarios/fleet-restart-full.toml"
    );
    let scenario = Scenario::load(std::path::Path::new(path)).expect("it is right");
    for seed in 1..=3 {
        let sim = Sim::new(&scenario, seed, ForwarderVariant::True).expect("it starts");
        let (outcome, stats) = sim.run_until(Micros::MAX, |_, _| {});
        assert!(outcome.broken.is_empty(), "{:?}", outcome.breaks);
        assert_eq!(
            stats.forwarders_without_list_updates, 0,
            "seed {seed}: {} calls for the list",
            stats.list_polls
        );
        assert!(
            stats.list_polls <= 400,
            "seed {seed}: {} calls for some 170 starts",
            stats.list_polls
        );
    }
}

/// Where forwarders may tell each other of refusals, fewer calls are refused and more messages served.
#[test]
fn gossip_reduces_refused_calls_and_serves_more_messages() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../lab/scenarios/fleet-limits-full.toml"
    );
    let mut scenario = Scenario::load(std::path::Path::new(path)).expect("it is right");
    let mut sums = [(0, 0); 2];
    for (sum, may_gossip) in sums.iter_mut().zip([true, false]) {
        scenario.forwarders.may_gossip = may_gossip;
        for seed in 1..=3 {
            let outcome = run(&scenario, seed, ForwarderVariant::True);
            assert!(outcome.broken.is_empty(), "{:?}", outcome.breaks);
            *sum = (
                sum.0 + outcome.counts.served,
                sum.1 + outcome.counts.outcomes.get("refused").copied().unwrap_or(0),
            );
        }
    }
    let [(served, refused), (served_without_gossip, refused_without_gossip)] = sums;
    assert!(
        served > served_without_gossip && 2 * refused < refused_without_gossip,
        "{sums:?}"
    );
}

/// What the operators' full fleet showed: a wait is told, and a list drains, while connections are still to come up.
#[test]
fn calls_on_late_connections_respect_limits_notified_before_sending() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../lab/scenarios/late-connections.toml"
    );
    let scenario = Scenario::load(std::path::Path::new(path)).expect("it is right");
    let outcome = run(&scenario, 2, ForwarderVariant::True);
    assert!(
        outcome.misses().is_empty(),
        "{:?}\n{:?}",
        outcome.misses(),
        outcome.breaks
    );
    let broken_rules = run(&scenario, 2, ForwarderVariant::WithdrawsNothing).broken;
    assert!(
        broken_rules.contains_key("wait-not-heeded"),
        "{broken_rules:?}"
    );
}
