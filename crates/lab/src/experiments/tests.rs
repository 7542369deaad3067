use super::compare::{compare, Verdict};
use super::hunt::{draw, hunt};
use super::*;

fn scenario(more: &str) -> Scenario {
    let text = format!(
        "version = 1\nname = \"e\"\nshows = \"e\"\nlasts = \"20s\"\n[forwarders]\ncount = 2\nslots = 16\n\
         [[profiles]]\nname = \"b\"\neffect = \"binding\"\ncontract_time = \"1s\"\nexpiry = \"8s\"\n\
         [[destinations]]\nname = \"d\"\ncount = 3\nrate = 30.0\nwait = \"300ms\"\nerrors = 0.05\n\
         service = {{ kind = \"exponential\", mean = \"40ms\" }}\n[[loads]]\nrate = 40.0\n{more}"
    );
    Scenario::read(&text, "e").expect("it is right")
}

#[test]
fn values_are_set_by_their_keys_and_bad_ones_are_told() {
    let base = scenario("");
    let sets = ["forwarders.slots=7", "destinations[0].rate=12", "lasts=5s"].map(String::from);
    let set = with_values(&base, &sets).expect("they fit");
    assert_eq!(
        (
            set.forwarders.concurrency_limit,
            set.destinations[0].rate,
            set.lasts.0
        ),
        (7, 12.0, 5_000_000)
    );
    for bad in [
        "slots",
        "forwarders.slits=7",
        "destinations[9].rate=1",
        "forwarders.slots=0",
    ] {
        assert!(with_values(&base, &[bad.into()]).is_err(), "{bad}");
    }
}

#[test]
fn a_worse_variant_is_told_from_a_better_and_a_same_one_from_neither() {
    // More than one slot a forwarder carries (2 / 40 ms = 50 a second), and well under the limits.
    let base = with_values(&scenario(""), &["loads[0].rate=65".into()]).expect("it fits");
    let seeds: Vec<u64> = (1..=6).collect();
    let runs = |scenario: &Scenario, variant| {
        in_parallel(&seeds, 4, |s| {
            simulate(scenario, *s, variant).expect("it runs")
        })
    };
    let narrow = with_values(&base, &["forwarders.slots=1".into()]).expect("it fits");
    let (wide, narrow) = (
        runs(&base, ForwarderVariant::True),
        runs(&narrow, ForwarderVariant::True),
    );
    assert_eq!(compare(&wide, &wide).verdict, Verdict::CantTell);
    assert_eq!(compare(&wide, &narrow).verdict, Verdict::Worse);
    assert_eq!(compare(&narrow, &wide).verdict, Verdict::Better);
    assert_eq!(
        compare(&narrow, &runs(&base, ForwarderVariant::SecondAnswer)).verdict,
        Verdict::Worse,
        "a broken rule decides"
    );
}

#[test]
fn the_interval_of_a_mean_holds_its_mean_most_of_the_time() {
    let mut rng = crate::random::seeded_rng(3, "interval", 0);
    let held = (0..200).filter(|n| {
        let sample: Vec<f64> = (0..20)
            .map(|_| crate::random::exponential(&mut rng))
            .collect();
        let (low, high) = compare::interval(&sample, *n);
        low < 1.0 && high > 1.0
    });
    let held = held.count();
    assert!((170..=198).contains(&held), "{held} of 200");
}

#[test]
fn a_hunt_finds_what_is_broken_and_shrinks_it() {
    let base = scenario("");
    let catch = hunt(&base, 1, 12, ForwarderVariant::ResendsAtMostOnce, |_| {}).expect("it runs");
    assert!(
        catch.outcome.broken.contains_key("effect-twice"),
        "{:?}",
        catch.outcome.broken
    );
    let drawn = draw(&base, catch.seed);
    let weight = |s: &Scenario| s.faults.len() as f64 + s.loads[0].rate;
    assert!(weight(&catch.scenario) < weight(&drawn) && catch.shrinking > 0);
    // What is saved shows the same again.
    let text = toml::to_string(&catch.scenario).expect("it can be written");
    let resubmitted = simulate(
        &Scenario::read(&text, "again").expect("it reads"),
        catch.seed,
        ForwarderVariant::ResendsAtMostOnce,
    );
    assert_eq!(resubmitted.expect("it runs").broken, catch.outcome.broken);
}

#[test]
fn a_hunt_for_the_true_one_breaks_no_rule() {
    let catch = hunt(&scenario(""), 100, 40, ForwarderVariant::True, |_| {}).expect("it runs");
    assert!(
        catch.outcome.broken.is_empty(),
        "seed {}: {:?}",
        catch.seed,
        catch.outcome.breaks
    );
}
