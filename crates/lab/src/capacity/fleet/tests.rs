use super::network::Partition;
use super::plan::{FullDestinations, Incident, Plan, PlanError};
use super::report::{Counts, FleetOutcome};
use super::run;

/// One thread is enough for so few forwarders.
const THREADS: usize = 1;

/// Returns a plan with 12 forwarders and 300 destinations, small enough for a test.
fn small_plan(seed: u64) -> Plan {
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

/// Runs a plan and returns its counts.
fn run_counts(plan: &Plan) -> Counts {
    run(plan, THREADS).expect("the plan should be valid").counts
}

/// Asserts the invariants of every run: each message ends exactly once or is unfinished, and all bytes are accounted for.
fn assert_invariants(plan: &Plan, counts: &Counts) {
    let messages = &counts.messages;
    assert_eq!(messages.core_errors, 0);
    let ended = messages.delivered + messages.failed + messages.rejected;
    assert_eq!(messages.arrived, ended + counts.open);
    let control = &counts.control;
    let received_or_lost = control.gossip_in.messages + counts.gossip_lost;
    assert_eq!(
        received_or_lost,
        control.gossip_out.messages * u64::from(plan.forwarders - 1),
        "each datagram should reach or be lost to all peers of its sender"
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
    assert!(
        receivers.calls <= messages.attempts && receivers.health_checks <= messages.health_checks
    );
    assert!(receivers.calls_only_others_knew <= receivers.calls_another_knew);
    assert!(receivers.calls_another_knew <= receivers.calls_while_down);
    assert!(receivers.recoveries_over_limit <= receivers.recoveries_over_budget);
    assert!(receivers.recoveries_overloaded_by_witnesses <= receivers.recoveries_over_limit);
}

#[test]
fn same_seed_gives_same_counts_with_any_number_of_threads() {
    let counts_of = |seed, threads| {
        let FleetOutcome {
            counts,
            per_second_counts,
            ..
        } = run(&small_plan(seed), threads).expect("the plan should be valid");
        (counts, per_second_counts)
    };
    let first = counts_of(1, 1);
    assert_eq!(first, counts_of(1, 3));
    assert_ne!(first, counts_of(2, 2));
}

#[test]
fn accounts_for_each_message_and_byte() {
    let plan = small_plan(3);
    let counts = run_counts(&plan);
    assert_invariants(&plan, &counts);
    let (messages, receivers) = (&counts.messages, &counts.receivers);
    let expected = plan.events_a_second * f64::from(plan.seconds);
    assert!(
        (messages.arrived as f64 - expected).abs() < 4.0 * expected.sqrt(),
        "{}",
        messages.arrived
    );
    assert!(
        counts.control.gossip_out.messages > 0,
        "destinations at their limit should cause gossip"
    );
    assert!(
        receivers.calls_while_down > 0 && receivers.calls_another_knew > 0,
        "some calls should reach destinations that are down"
    );
    assert!(receivers.recoveries > 0, "some destinations should recover");
    // A watch is answered after 5 s if nothing changes, twelve times a minute, which is the minimum of requests.
    let watches = u64::from(plan.forwarders * plan.seconds / 5);
    let requests = counts.control.list_out.messages;
    assert!(
        requests >= watches - u64::from(plan.forwarders),
        "{requests} requests, expected at least {watches} less one for each forwarder"
    );
    assert!(
        messages.on_time_while_up as f64 >= 0.95 * messages.eligible_while_up as f64,
        "{messages:?}"
    );
}

#[test]
fn overloads_recovering_destination_when_configured_fleet_size_is_wrong() {
    let busy = Plan {
        events_a_second: 600.0,
        changes_a_day: 0.0,
        ..small_plan(4)
    };
    let correct = run_counts(&busy);
    assert_eq!(
        correct.receivers.recoveries_over_limit, 0,
        "{:?}",
        correct.receivers
    );
    let wrong = run_counts(&Plan {
        configured_forwarders: Some(1),
        ..busy
    });
    assert!(
        wrong.receivers.recoveries_over_limit > 0,
        "{:?}",
        wrong.receivers
    );
    assert!(
        wrong.receivers.recoveries_overloaded_by_witnesses > 0,
        "some overload should come from forwarders that had noticed the outage: {:?}",
        wrong.receivers
    );
    let worst = wrong
        .receivers
        .worst
        .expect("some destinations should recover");
    assert!(worst.calls as f64 > worst.allowed);
}

#[test]
fn recovering_destinations_stay_within_limit_when_idle_destinations_are_summarised() {
    let busy = Plan {
        events_a_second: 600.0,
        ..small_plan(8)
    };
    let counts_with = |full_destinations| {
        let plan = Plan {
            full_destinations,
            ..busy.clone()
        };
        let counts = run_counts(&plan);
        assert_invariants(&plan, &counts);
        counts
    };
    let (all_full, none_full) = (
        counts_with(FullDestinations::All),
        counts_with(FullDestinations::Beyond(0)),
    );
    assert_eq!(all_full.messages.arrived, none_full.messages.arrived);
    for counts in [&all_full, &none_full] {
        assert!(
            counts.receivers.recoveries > 0,
            "some destinations should recover"
        );
        assert_eq!(
            counts.receivers.recoveries_over_limit, 0,
            "{:?}",
            counts.receivers
        );
    }
    assert_eq!(
        (
            all_full.states.summaries.worst,
            all_full.states.restored.worst
        ),
        (0.0, 0.0)
    );
    assert_eq!(all_full.states.full.mean, f64::from(busy.destinations));
    assert!(
        none_full.states.summaries.mean > 0.0 && none_full.states.restored.mean > 0.0,
        "{:?}",
        none_full.states
    );
    assert!(
        none_full.states.full.worst < f64::from(busy.destinations),
        "{:?}",
        none_full.states
    );
}

#[test]
fn parses_full_destinations_from_number_or_all() {
    for (text, limit) in [("all", None), ("0", Some(0)), ("1024", Some(1_024))] {
        let parsed: FullDestinations = text.parse().expect(text);
        assert_eq!(
            (parsed.limit(), parsed.to_string()),
            (limit, text.to_owned())
        );
    }
    assert!("most".parse::<FullDestinations>().is_err());
}

#[test]
fn change_is_in_force_on_all_forwarders_within_propagation_delay() {
    let plan = Plan {
        incident: Incident::Change,
        changes_a_day: 0.0,
        ..small_plan(5)
    };
    let counts = run_counts(&plan);
    assert_invariants(&plan, &counts);
    let [change] = counts.changes.as_slice() else {
        panic!("expected one change, got {:?}", counts.changes)
    };
    assert_eq!((change.made_at, change.missing), (5.0, 0));
    let last = change.last.expect("the change should be in force");
    // The propagation takes up to 2.2 s; the remainder allows for a watch that is just being opened again.
    assert!(
        last < 2.3 && change.median.is_some_and(|median| median < last),
        "{change:?}"
    );
}

#[test]
fn isolated_zone_receives_changes_after_partition_heals() {
    let plan = Plan {
        incident: Incident::ZoneCut,
        changes_a_day: 0.0,
        ..small_plan(6)
    };
    let counts = run_counts(&plan);
    assert_invariants(&plan, &counts);
    assert!(
        counts.attempts_lost > 0 && counts.gossip_lost > 0,
        "{counts:?}"
    );
    let [during, after] = counts.changes.as_slice() else {
        panic!("expected two changes, got {:?}", counts.changes)
    };
    // The change is made at 7.5 s and the partition heals at 10 s. The forwarders of the isolated zone open their watches
    // again at most 7.15 s after these were lost.
    let [first_region, second_region] = during
        .last_by_region
        .map(|last| last.expect("the change should be in force in both regions"));
    assert!(
        first_region < 2.3 && (2.5..2.5 + 7.2 + 2.3).contains(&second_region),
        "{during:?}"
    );
    assert_eq!((during.missing, after.missing), (0, 0));
    let without_partition = run_counts(&Plan {
        incident: Incident::None,
        ..plan
    });
    assert!(
        counts.receivers.recoveries > without_partition.receivers.recoveries + 30,
        "the destinations of the isolated zone, an eighth of all, should recover"
    );
}

#[test]
fn isolated_region_receives_changes_after_partition_heals() {
    let plan = Plan {
        incident: Incident::RegionCut,
        changes_a_day: 0.0,
        ..small_plan(7)
    };
    let counts = run_counts(&plan);
    assert_invariants(&plan, &counts);
    let during = &counts.changes[0];
    let [first_region, second_region] = during
        .last_by_region
        .map(|last| last.expect("the change should be in force in both regions"));
    assert!(first_region < 2.3 && second_region > 2.5, "{during:?}");
    assert!(counts.gossip_lost > 0 && counts.attempts_lost > 0);
}

#[test]
fn partition_blocks_only_traffic_that_crosses_it() {
    let connections = |partition: Partition| {
        [(7, 7), (7, 6), (0, 3), (3, 4)].map(|(from, to)| partition.connects(from, to))
    };
    assert_eq!(connections(Partition::None), [true; 4]);
    assert_eq!(connections(Partition::Zone(7)), [true, false, true, true]);
    assert_eq!(connections(Partition::Regions), [true, true, true, false]);
}

#[test]
fn rejects_invalid_plan_and_names_the_option() {
    let plan_error = |plan: Plan| {
        run(&plan, 1)
            .map(|_| ())
            .expect_err("the plan should be rejected")
    };
    assert_eq!(
        plan_error(Plan {
            destinations: 0,
            ..small_plan(1)
        }),
        PlanError::Destinations { requested: 0 }
    );
    let too_many = (1 << 24) + 1;
    assert_eq!(
        plan_error(Plan {
            destinations: too_many,
            ..small_plan(1)
        }),
        PlanError::Destinations {
            requested: too_many
        }
    );
    assert_eq!(
        plan_error(Plan {
            forwarders: 1,
            ..small_plan(1)
        }),
        PlanError::Forwarders { requested: 1 }
    );
    let error = plan_error(Plan {
        down_share: 1.0,
        ..small_plan(1)
    });
    assert_eq!(
        error,
        PlanError::OutOfRange {
            option: "--down-share",
            value: 1.0
        }
    );
    assert_eq!(error.to_string(), "--down-share 1 is out of range");
    let error = plan_error(Plan {
        events_a_second: f64::NAN,
        ..small_plan(1)
    });
    assert!(matches!(
        error,
        PlanError::OutOfRange {
            option: "--events-a-second",
            ..
        }
    ));
}
