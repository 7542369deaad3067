use super::compare::{compare, Verdict};
use super::worst_case::{find_worst_case, random_scenario};
use super::*;

fn scenario(extra_toml: &str) -> Scenario {
    let text = format!(
        "version = 1\nname = \"e\"\nshows = \"e\"\nlasts = \"20s\"\n[forwarders]\ncount = 2\nslots = 16\n\
         [[profiles]]\nname = \"b\"\neffect = \"binding\"\ncontract_time = \"1s\"\nexpiry = \"8s\"\n\
         [[destinations]]\nname = \"d\"\ncount = 3\nrate = 30.0\nwait = \"300ms\"\nerrors = 0.05\n\
         service = {{ kind = \"exponential\", mean = \"40ms\" }}\n[[loads]]\nrate = 40.0\n{extra_toml}"
    );
    Scenario::read(&text, "e").expect("the scenario should be valid")
}

#[test]
fn sets_values_by_key_and_rejects_invalid_assignments() {
    let base = scenario("");
    let assignments =
        ["forwarders.slots=7", "destinations[0].rate=12", "lasts=5s"].map(String::from);
    let changed = with_assignments(&base, &assignments).expect("the assignments should be valid");
    assert_eq!(
        (
            changed.forwarders.concurrency_limit,
            changed.destinations[0].rate,
            changed.lasts.0
        ),
        (7, 12.0, 5_000_000)
    );
    for invalid in [
        "slots",
        "forwarders.slits=7",
        "destinations[9].rate=1",
        "forwarders.slots=0",
    ] {
        assert!(
            with_assignments(&base, &[invalid.into()]).is_err(),
            "expected an error for {invalid}"
        );
    }
}

#[test]
fn verdict_is_worse_better_or_inconclusive_for_fewer_more_or_equal_permits() {
    // The load exceeds what two forwarders carry with one permit each (2 / 40 ms = 50 messages per second), and is well below
    // the rate limits of the receivers.
    let base = with_assignments(&scenario(""), &["loads[0].rate=65".into()])
        .expect("the assignment should be valid");
    let seeds: Vec<u64> = (1..=6).collect();
    let runs = |scenario: &Scenario, variant| {
        run_in_parallel(&seeds, 4, |seed| {
            simulate(scenario, *seed, variant).expect("the scenario should run")
        })
    };
    let few_permits = with_assignments(&base, &["forwarders.slots=1".into()])
        .expect("the assignment should be valid");
    let (many_permits, few_permits) = (
        runs(&base, ForwarderVariant::True),
        runs(&few_permits, ForwarderVariant::True),
    );
    assert_eq!(
        compare(&many_permits, &many_permits).verdict,
        Verdict::CantTell
    );
    assert_eq!(compare(&many_permits, &few_permits).verdict, Verdict::Worse);
    assert_eq!(
        compare(&few_permits, &many_permits).verdict,
        Verdict::Better
    );
    assert_eq!(
        compare(&few_permits, &runs(&base, ForwarderVariant::SecondAnswer)).verdict,
        Verdict::Worse,
        "a variant that breaks a rule should be worse, whatever its figures are"
    );
}

#[test]
fn confidence_interval_covers_the_true_mean_in_85_to_99_percent_of_samples() {
    let mut rng = crate::random::seeded_rng(3, "interval", 0);
    let covered = (0..200).filter(|seed| {
        let sample: Vec<f64> = (0..20)
            .map(|_| crate::random::exponential(&mut rng))
            .collect();
        let (low, high) = compare::confidence_interval(&sample, *seed);
        low < 1.0 && high > 1.0
    });
    let covered = covered.count();
    assert!(
        (170..=198).contains(&covered),
        "{covered} of 200 intervals covered the mean, expected 170 to 198"
    );
}

#[test]
fn search_finds_a_broken_rule_and_shrinks_its_scenario() {
    let base = scenario("");
    let worst_case = find_worst_case(&base, 1, 12, ForwarderVariant::ResendsAtMostOnce, |_| {})
        .expect("the scenario should run");
    assert!(
        worst_case.outcome.broken.contains_key("effect-twice"),
        "expected effect-twice among the broken rules {:?}",
        worst_case.outcome.broken
    );
    let unshrunk = random_scenario(&base, worst_case.seed);
    let size = |scenario: &Scenario| scenario.faults.len() as f64 + scenario.loads[0].rate;
    assert!(size(&worst_case.scenario) < size(&unshrunk) && worst_case.shrink_runs > 0);
    // A scenario that was written to a file and read again must break the same rules.
    let text = toml::to_string(&worst_case.scenario).expect("the scenario should serialize");
    let rerun_outcome = simulate(
        &Scenario::read(&text, "again").expect("the saved scenario should be valid"),
        worst_case.seed,
        ForwarderVariant::ResendsAtMostOnce,
    );
    assert_eq!(
        rerun_outcome.expect("the saved scenario should run").broken,
        worst_case.outcome.broken
    );
}

#[test]
fn search_over_the_unmodified_forwarder_finds_no_broken_rule() {
    let worst_case = find_worst_case(&scenario(""), 100, 40, ForwarderVariant::True, |_| {})
        .expect("the scenario should run");
    assert!(
        worst_case.outcome.broken.is_empty(),
        "expected no broken rule with seed {}: {:?}",
        worst_case.seed,
        worst_case.outcome.breaks
    );
}
