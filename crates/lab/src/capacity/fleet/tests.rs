use super::plan::{BadPlan, FullDestinations, Incident, Plan};
use super::report::{Counts, FleetOutcome};
use super::run;
use super::wire::Cut;

/// One is enough for so few forwarders.
const THREADS: usize = 1;

/// Twelve forwarders and three hundred destinations: the small twin of a fleet run.
fn small(seed: u64) -> Plan {
    Plan {
        forwarders: 12,
        destinations: 300,
        seconds: 20,
        events_a_second: 240.0,
        down_share: 0.041,
        outage_seconds: 8.0,
        at_limit_share: 0.02,
        skew: 0.8,
        changes_a_day: 8_640.0,
        incident: Incident::None,
        seed,
        full_destinations: FullDestinations::Beyond(1_024),
        configured_forwarders: None,
    }
}

fn played(plan: &Plan) -> Counts {
    run(plan, THREADS).expect("the plan can be run").counts
}

/// What holds of every run: no message is without an end or twice ended, and all bytes are accounted for.
fn assert_accounts_balance(plan: &Plan, counts: &Counts) {
    let messages = &counts.messages;
    assert_eq!(messages.faults, 0);
    let ended = messages.delivered + messages.failed + messages.rejected;
    assert_eq!(messages.arrived, ended + counts.open);
    let control = &counts.control;
    let heard = control.gossip_in.messages + counts.gossip_lost;
    assert_eq!(
        heard,
        control.gossip_out.messages * u64::from(plan.forwarders - 1),
        "all peers but oneself"
    );
    for gossip in [control.gossip_out, control.gossip_in] {
        assert_eq!(
            gossip.wire_bytes,
            gossip.payload_bytes + 28 * gossip.messages
        );
        assert!(
            gossip.payload_bytes >= gossip.messages
                && gossip.payload_bytes <= 256 * gossip.messages
        );
    }
    assert_eq!(control.first_list_in.messages, u64::from(plan.forwarders));
    let receivers = &counts.receivers;
    assert!(receivers.calls <= messages.attempts && receivers.probes <= messages.probes);
    assert!(receivers.calls_only_others_knew <= receivers.calls_another_knew);
    assert!(receivers.calls_another_knew <= receivers.calls_while_down);
    assert!(receivers.returns_over_allowed <= receivers.returns_over_budget);
    assert!(receivers.returns_pushed_over <= receivers.returns_over_allowed);
}

#[test]
fn seeds_reproduce_a_run_with_any_number_of_threads() {
    let of = |seed, threads| {
        let FleetOutcome {
            counts, columns, ..
        } = run(&small(seed), threads).expect("the plan can be run");
        (counts, columns)
    };
    let first = of(1, 1);
    assert_eq!(first, of(1, 3));
    assert_ne!(first, of(2, 2));
}

#[test]
fn a_run_accounts_for_each_message_and_byte() {
    let plan = small(3);
    let counts = played(&plan);
    assert_accounts_balance(&plan, &counts);
    let (messages, receivers) = (&counts.messages, &counts.receivers);
    let expected = plan.events_a_second * f64::from(plan.seconds);
    assert!(
        (messages.arrived as f64 - expected).abs() < 4.0 * expected.sqrt(),
        "{}",
        messages.arrived
    );
    assert!(
        counts.control.gossip_out.messages > 0,
        "some destinations are at their limit"
    );
    assert!(
        receivers.calls_while_down > 0 && receivers.calls_another_knew > 0,
        "some are down"
    );
    assert!(receivers.returns > 0, "some have come back");
    // A watch is answered twelve times a minute where nothing changes: the least that a list costs.
    let watches = u64::from(plan.forwarders * plan.seconds / 5);
    let asked = counts.control.list_out.messages;
    assert!(
        asked >= watches - u64::from(plan.forwarders),
        "{asked} requests, {watches} expected at least"
    );
    assert!(
        messages.in_time_to_up as f64 >= 0.95 * messages.due_to_up as f64,
        "{messages:?}"
    );
}

#[test]
fn budgets_by_a_wrong_count_of_forwarders_push_a_returning_destination_over() {
    let busy = Plan {
        events_a_second: 600.0,
        changes_a_day: 0.0,
        ..small(4)
    };
    let right = played(&busy);
    assert_eq!(
        right.receivers.returns_over_allowed, 0,
        "{:?}",
        right.receivers
    );
    let wrong = played(&Plan {
        configured_forwarders: Some(1),
        ..busy
    });
    assert!(
        wrong.receivers.returns_over_allowed > 0,
        "{:?}",
        wrong.receivers
    );
    assert!(
        wrong.receivers.returns_pushed_over > 0,
        "by ones that knew: {:?}",
        wrong.receivers
    );
    let worst = wrong.receivers.worst.expect("destinations came back");
    assert!(worst.calls as f64 > worst.allowed);
}

#[test]
fn idle_destinations_held_as_summaries_change_nothing_that_a_destination_could_complain_of() {
    let busy = Plan {
        events_a_second: 600.0,
        ..small(8)
    };
    let held = |full_destinations| {
        let plan = Plan {
            full_destinations,
            ..busy.clone()
        };
        let counts = played(&plan);
        assert_accounts_balance(&plan, &counts);
        counts
    };
    let (all, none) = (
        held(FullDestinations::All),
        held(FullDestinations::Beyond(0)),
    );
    assert_eq!(all.messages.arrived, none.messages.arrived);
    for counts in [&all, &none] {
        assert!(counts.receivers.returns > 0, "some have come back");
        assert_eq!(
            counts.receivers.returns_over_allowed, 0,
            "{:?}",
            counts.receivers
        );
    }
    assert_eq!(
        (all.states.summaries.worst, all.states.restored.worst),
        (0.0, 0.0)
    );
    assert_eq!(all.states.full.mean, f64::from(busy.destinations));
    assert!(
        none.states.summaries.mean > 0.0 && none.states.restored.mean > 0.0,
        "{:?}",
        none.states
    );
    assert!(
        none.states.full.worst < f64::from(busy.destinations),
        "{:?}",
        none.states
    );
}

#[test]
fn full_destinations_are_named_by_number_or_all() {
    for (text, setting) in [("all", None), ("0", Some(0)), ("1024", Some(1_024))] {
        let parsed: FullDestinations = text.parse().expect(text);
        assert_eq!(
            (parsed.setting(), parsed.to_string()),
            (setting, text.to_owned())
        );
    }
    assert!("most".parse::<FullDestinations>().is_err());
}

#[test]
fn a_change_is_in_force_everywhere_within_its_spread_and_the_way() {
    let plan = Plan {
        incident: Incident::Change,
        changes_a_day: 0.0,
        ..small(5)
    };
    let counts = played(&plan);
    assert_accounts_balance(&plan, &counts);
    let [change] = counts.changes.as_slice() else {
        panic!("one change: {:?}", counts.changes)
    };
    assert_eq!((change.made_at, change.missing), (5.0, 0));
    let last = change.last.expect("all have it");
    // 2.2 s of spreading, and a watch that is just being opened anew.
    assert!(
        last < 2.3 && change.median.is_some_and(|median| median < last),
        "{change:?}"
    );
}

#[test]
fn a_zone_that_is_cut_off_gets_changes_after_it_is_back() {
    let plan = Plan {
        incident: Incident::ZoneCut,
        changes_a_day: 0.0,
        ..small(6)
    };
    let counts = played(&plan);
    assert_accounts_balance(&plan, &counts);
    assert!(
        counts.attempts_lost > 0 && counts.gossip_lost > 0,
        "{counts:?}"
    );
    let [during, after] = counts.changes.as_slice() else {
        panic!("two changes: {:?}", counts.changes)
    };
    // Made at 7.5 s, healed at 10 s; the watches of the cut zone are opened again 7.15 s after they were lost at the latest.
    let [first, second] = during
        .last_by_region
        .map(|last| last.expect("both regions have it"));
    assert!(
        first < 2.3 && (2.5..2.5 + 7.2 + 2.3).contains(&second),
        "{during:?}"
    );
    assert_eq!((during.missing, after.missing), (0, 0));
    let untouched = played(&Plan {
        incident: Incident::None,
        ..plan
    });
    assert!(
        counts.receivers.returns > untouched.receivers.returns + 30,
        "an eighth came back cold"
    );
}

#[test]
fn a_region_that_is_cut_off_gets_changes_after_it_is_back() {
    let plan = Plan {
        incident: Incident::RegionCut,
        changes_a_day: 0.0,
        ..small(7)
    };
    let counts = played(&plan);
    assert_accounts_balance(&plan, &counts);
    let during = &counts.changes[0];
    let [first, second] = during
        .last_by_region
        .map(|last| last.expect("both regions have it"));
    assert!(first < 2.3 && second > 2.5, "{during:?}");
    assert!(counts.gossip_lost > 0 && counts.attempts_lost > 0);
}

#[test]
fn a_cut_keeps_apart_what_it_should() {
    let passes = |cut: Cut| [(7, 7), (7, 6), (0, 3), (3, 4)].map(|(from, to)| cut.passes(from, to));
    assert_eq!(passes(Cut::None), [true; 4]);
    assert_eq!(passes(Cut::Zone(7)), [true, false, true, true]);
    assert_eq!(passes(Cut::Regions), [true, true, true, false]);
}

#[test]
fn plans_that_cannot_be_run_are_refused_with_the_option_to_mend() {
    let says = |plan: Plan| run(&plan, 1).map(|_| ()).expect_err("refused");
    assert_eq!(
        says(Plan {
            destinations: 0,
            ..small(1)
        }),
        BadPlan::Destinations { asked: 0 }
    );
    let beyond = (1 << 24) + 1;
    assert_eq!(
        says(Plan {
            destinations: beyond,
            ..small(1)
        }),
        BadPlan::Destinations { asked: beyond }
    );
    assert_eq!(
        says(Plan {
            forwarders: 1,
            ..small(1)
        }),
        BadPlan::Forwarders { asked: 1 }
    );
    let bad = says(Plan {
        down_share: 1.0,
        ..small(1)
    });
    assert_eq!(
        bad,
        BadPlan::OutOfRange {
            option: "--down-share",
            value: 1.0
        }
    );
    assert_eq!(bad.to_string(), "--down-share 1 is out of range");
    let bad = says(Plan {
        events_a_second: f64::NAN,
        ..small(1)
    });
    assert!(matches!(
        bad,
        BadPlan::OutOfRange {
            option: "--events-a-second",
            ..
        }
    ));
}
