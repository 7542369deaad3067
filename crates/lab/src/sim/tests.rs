use super::*;
use crate::scenario::Scenario;
use crate::subject::ForwarderVariant;

fn hostile() -> Scenario {
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
fn the_true_forwarder_breaks_no_rule_and_every_message_has_its_end() {
    for seed in 1..=4 {
        let outcome = run(&hostile(), seed, ForwarderVariant::True);
        assert!(
            outcome.misses().is_empty(),
            "seed {seed}: {:?}\n{:?}",
            outcome.misses(),
            outcome.breaks
        );
        let c = &outcome.counts;
        assert_eq!(
            c.served + c.failed + c.given_up + c.gone,
            c.due,
            "seed {seed}"
        );
        assert!(c.due > 5000 && c.retried > 100, "{c:?}");
    }
}

#[test]
fn each_broken_forwarder_is_caught_by_the_name_of_its_rule() {
    for (variant, rule) in ForwarderVariant::BROKEN {
        let outcome = run(&hostile(), 1, variant);
        assert!(
            outcome.broken.contains_key(rule),
            "{variant:?} should break {rule}: {:?}",
            outcome.broken
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_run_to_the_byte() {
    let text = |seed| {
        serde_json::to_string(&run(&hostile(), seed, ForwarderVariant::True)).expect("it is data")
    };
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

#[test]
fn a_run_cut_off_counts_what_is_open_and_blames_nobody() {
    let sim = Sim::new(&hostile(), 1, ForwarderVariant::True).expect("it starts");
    let (outcome, _) = sim.run_until(12_000_000, |_, _| {});
    assert!(
        outcome.counts.open > 0 && outcome.broken.is_empty(),
        "{:?}",
        outcome.broken
    );
}

/// What the tables hold follows the messages that are open, not those ever seen.
#[test]
fn tables_do_not_grow_with_the_length_of_a_run() {
    let held = |lasts: u64| {
        let mut scenario = hostile();
        scenario.faults.clear();
        scenario.lasts = crate::scenario::Span(lasts * 1_000_000);
        Sim::new(&scenario, 1, ForwarderVariant::True)
            .expect("it starts")
            .run_until(Micros::MAX, |_, _| {})
            .1
            .most_held
    };
    let (short, long) = (held(150), held(450));
    assert!(long < short * 11 / 10, "{short} entries, then {long}");
}

/// A forwarder that comes back with its folder gives what is overdue its end at once.
#[test]
fn a_folder_with_overdue_messages_is_taken_over() {
    let mut scenario = hostile();
    scenario
        .faults
        .retain(|t| matches!(t.kind, crate::scenario::FaultKind::Killed { .. }));
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
fn an_overbooked_discovery_tells_a_fleet_that_starts_at_once() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../lab/scenarios/fleet-restart-full.toml"
    );
    let scenario = Scenario::load(std::path::Path::new(path)).expect("it is right");
    for seed in 1..=3 {
        let sim = Sim::new(&scenario, seed, ForwarderVariant::True).expect("it starts");
        let (outcome, work) = sim.run_until(Micros::MAX, |_, _| {});
        assert!(outcome.broken.is_empty(), "{:?}", outcome.breaks);
        assert_eq!(
            work.without_list_updates, 0,
            "seed {seed}: {} calls for the list",
            work.list_calls
        );
        assert!(
            work.list_calls <= 400,
            "seed {seed}: {} calls for some 170 starts",
            work.list_calls
        );
    }
}

/// Where forwarders may tell each other of refusals, fewer calls are refused and more messages served.
#[test]
fn notes_spare_refusals_where_a_clump_meets_a_fleet() {
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
    let [(served, refused), (served_alone, refused_alone)] = sums;
    assert!(
        served > served_alone && 2 * refused < refused_alone,
        "{sums:?}"
    );
}

/// What the operators' full fleet showed: a wait is told, and a list drains, while connections are still to come up.
#[test]
fn calls_on_late_connections_heed_what_was_told_meanwhile() {
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
    let broken = run(&scenario, 2, ForwarderVariant::WithdrawsNothing).broken;
    assert!(broken.contains_key("wait-not-heeded"), "{broken:?}");
}
