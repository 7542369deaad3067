//! Tests of the core's memory and work by size, with smaller versions of `opalpulley-lab capacity core` and `capacity
//! backlog`. They assert bytes and counts, never times, which depend on the machine. Each size runs in a fresh process
//! of the program, as in the commands.

use opalpulley_lab::capacity::backlog::core_measurement::CoreBacklogMeasurement;
use opalpulley_lab::capacity::core::measurement::{CoreMeasurement, SINGLE_CHANGE_COUNT};
use opalpulley_lab::capacity::core::FullDestinations;
use opalpulley_lab::capacity::table::LinearFit;
use serde::de::DeserializeOwned;
use std::process::Command;

/// Numbers of destinations; both are far above the limit of those held in full.
const SMALL_SIZE: u32 = 8_000;
const LARGE_SIZE: u32 = 32_000;
/// Limit of destinations held in full, the same as in the configuration of the forwarder program.
const FULL_LIMIT: u32 = 1_024;
/// Number of list entries that the core applies at a time; while it does, this many more destinations may be held in
/// full.
const LIST_STEP_ENTRIES: u32 = 1_024;
/// Messages per second.
const MESSAGE_RATE: u32 = 200;
/// Simulated seconds of each phase.
const PHASE_SECONDS: u32 = 20;
/// Share of the destinations that is down in the last two phases.
const DOWN_SHARE: f64 = 0.041;
/// Upper bound on the destinations called in the last 2 s, which may still be held in full.
const RECENTLY_CALLED_DESTINATIONS: f64 = 2.0 * MESSAGE_RATE as f64;
/// Upper bound on the destinations that are down and have waiting messages, whose time to live is 28 s.
const DESTINATIONS_WITH_WAITING_MESSAGES: f64 = 28.0 * MESSAGE_RATE as f64 * DOWN_SHARE;

/// Number of destinations in the operators' deployment.
const OPERATOR_DESTINATIONS: f64 = 91_000.0;
/// Memory that a forwarder may use for control state in the operators' deployment, in bytes.
const CONTROL_BYTES_BUDGET: f64 = 32e6;
/// Part of the budget reserved for the destinations held in full, at up to 3,500 bytes each.
const FULL_BYTES_RESERVE: f64 = FULL_LIMIT as f64 * MAX_BYTES_PER_FULL_DESTINATION;
/// Upper bound on the bytes of one more destination with summaries: 312, the rest of the budget divided by the
/// destinations.
const MAX_BYTES_PER_DESTINATION: f64 =
    (CONTROL_BYTES_BUDGET - FULL_BYTES_RESERVE) / OPERATOR_DESTINATIONS;
/// Upper bound on the bytes of a destination held in full: a fifth above the 2,875 that it takes.
const MAX_BYTES_PER_FULL_DESTINATION: f64 = 3_500.0;
/// Upper bound on the bytes of a waiting message in the core: its record and its queue entries, without its body.
const MAX_BYTES_PER_WAITING_MESSAGE: f64 = 600.0;

/// Runs a hidden subcommand of `capacity` and returns the figures that it prints.
fn run_capacity<T: DeserializeOwned>(args: &[String]) -> T {
    let program = env!("CARGO_BIN_EXE_opalpulley-lab");
    let output = Command::new(program)
        .arg("capacity")
        .args(args)
        .output()
        .expect("the laboratory program should start");
    assert!(
        output.status.success(),
        "the subcommand should succeed: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    serde_json::from_slice(&output.stdout).expect("the output should be figures as JSON")
}

fn measure_core(destinations: u32, full: FullDestinations, spread: &str) -> CoreMeasurement {
    run_capacity(&[
        "core-point".into(),
        format!("--destinations={destinations}"),
        format!("--full-destinations={full}"),
        format!("--spread={spread}"),
        "--targets-each=1".into(),
        format!("--rate={MESSAGE_RATE}"),
        format!("--seconds={PHASE_SECONDS}"),
        format!("--down={DOWN_SHARE}"),
        "--seed=1".into(),
    ])
}

fn measure_both_sizes(full: FullDestinations) -> [CoreMeasurement; 2] {
    [SMALL_SIZE, LARGE_SIZE].map(|destinations| measure_core(destinations, full, "uniform"))
}

/// Returns the bytes for one more destination: after the list was applied, and after all phases.
fn bytes_per_destination(measurements: &[CoreMeasurement; 2]) -> [f64; 2] {
    [
        |p: &CoreMeasurement| p.memory_listed,
        |p: &CoreMeasurement| p.down_rest.memory,
    ]
    .map(|memory: fn(&CoreMeasurement) -> f64| {
        let sizes_and_bytes = measurements
            .each_ref()
            .map(|p| (f64::from(p.destinations), memory(p)));
        LinearFit::through(&sizes_and_bytes)
            .expect("a line should fit two distinct sizes")
            .slope
    })
}

/// Checks that one more destination takes at most `limit` bytes.
fn check_bytes_per_destination(
    measurements: &[CoreMeasurement; 2],
    limit: f64,
) -> Result<(), String> {
    let bytes = bytes_per_destination(measurements);
    let within_limit = bytes.iter().all(|bytes| *bytes <= limit);
    within_limit
        .then_some(())
        .ok_or_else(|| format!("{bytes:?} bytes per destination, at most {limit:.0} expected"))
}

/// Checks that the core never held more destinations in full than the limit, one step of a list, the recently called
/// ones and those with waiting messages together, and at rest no more than the limit.
fn check_full_destinations(measurements: &[CoreMeasurement]) -> Result<(), String> {
    for measurement in measurements {
        let phases = [
            measurement.traffic,
            measurement.rest,
            measurement.down,
            measurement.down_rest,
        ]
        .map(|phase| phase.held);
        let state_counts = phases
            .iter()
            .chain([&measurement.held_listed, &measurement.held_changed]);
        let most_full = state_counts
            .map(|held| held.full.max(held.most_full))
            .fold(0.0, f64::max);
        let allowed = f64::from(FULL_LIMIT + LIST_STEP_ENTRIES)
            + RECENTLY_CALLED_DESTINATIONS
            + DESTINATIONS_WITH_WAITING_MESSAGES;
        if most_full > allowed {
            return Err(format!(
                "{most_full} of {} destinations held in full, at most {allowed} expected",
                measurement.destinations
            ));
        }
        if measurement.down_rest.held.full > f64::from(FULL_LIMIT) {
            return Err(format!(
                "{} destinations held in full at rest, at most {FULL_LIMIT} expected",
                measurement.down_rest.held.full
            ));
        }
    }
    Ok(())
}

#[test]
fn stays_within_memory_budget_only_if_idle_destinations_are_summarised() {
    let limited = measure_both_sizes(FullDestinations::UpTo(FULL_LIMIT));
    assert_eq!(
        check_bytes_per_destination(&limited, MAX_BYTES_PER_DESTINATION),
        Ok(())
    );
    assert_eq!(check_full_destinations(&limited), Ok(()));
    for measurement in &limited {
        let held = measurement.down_rest.held;
        assert_eq!(
            held.full + held.summaries,
            f64::from(measurement.destinations),
            "each destination should be held either in full or as a summary"
        );
    }
    let all = measure_both_sizes(FullDestinations::All);
    assert_eq!(
        check_bytes_per_destination(&all, MAX_BYTES_PER_FULL_DESTINATION),
        Ok(())
    );
    // The same checks must fail without summaries, or they would not detect that summaries are missing.
    check_bytes_per_destination(&all, MAX_BYTES_PER_DESTINATION)
        .expect_err("destinations held in full should exceed the limit of bytes");
    check_full_destinations(&all)
        .expect_err("more destinations than the limit should be held in full");
}

#[test]
fn work_per_message_and_list_change_is_independent_of_list_length() {
    let [small, large] = measure_both_sizes(FullDestinations::UpTo(FULL_LIMIT));
    for (small, large) in [(small.traffic, large.traffic), (small.down, large.down)] {
        for (name, value_of) in [
            ("events", |phase| phase.events),
            ("calls", |phase| phase.calls),
        ]
            as [(
                &str,
                fn(&opalpulley_lab::capacity::core::measurement::Phase) -> f64,
            ); 2]
        {
            let ratio = value_of(&large) / large.messages / (value_of(&small) / small.messages);
            assert!(
                ratio < 1.1,
                "{name} per message should not grow with the list: {ratio} times those of the smaller list"
            );
        }
        // A message restores its destination at most once, and the response to an earlier message may restore it again.
        let restored = large.held.restored - small.held.restored;
        assert!(
            restored <= f64::from(LARGE_SIZE - SMALL_SIZE) + 2.0 * large.messages,
            "at most two restorations per message are expected beyond the difference of the sizes: {restored}"
        );
    }
    for measurement in [&small, &large] {
        let restored_by_list = measurement.held_changed.restored - measurement.held_listed.restored;
        let (targets, changes) = (
            f64::from(measurement.targets),
            f64::from(SINGLE_CHANGE_COUNT),
        );
        assert!(
            restored_by_list <= targets + changes,
            "the complete list and {changes} changes should restore at most one destination per entry: {restored_by_list}"
        );
        assert!(
            measurement.rest.events <= f64::from(MESSAGE_RATE),
            "at rest there should be few events: {}",
            measurement.rest.events
        );
    }
}

#[test]
fn delivers_skewed_traffic_within_limit_of_full_destinations() {
    let skewed = measure_core(SMALL_SIZE, FullDestinations::UpTo(FULL_LIMIT), "skewed");
    assert!(
        skewed.traffic.delivered >= 0.99 * skewed.traffic.messages,
        "99 % of the messages should be delivered: {:?}",
        skewed.traffic
    );
    assert_eq!(check_full_destinations(&[skewed]), Ok(()));
}

#[test]
fn waiting_message_takes_few_bytes_in_core() {
    let measurements = [10_000, 40_000].map(|messages: u32| -> CoreBacklogMeasurement {
        run_capacity(&[
            "backlog-point".into(),
            format!("--messages={messages}"),
            "--destinations=100".into(),
            "--rate=2000".into(),
            "--seed=1".into(),
        ])
    });
    for measurement in &measurements {
        assert!(
            measurement.waiting >= 0.95 * measurement.messages,
            "95 % of the messages should wait: {measurement:?}"
        );
        assert!(
            measurement.surroundings < 1_000.0,
            "the simulated environment should hold no events per message: {measurement:?}"
        );
    }
    let memory_fit = LinearFit::through(&measurements.map(|p| (p.waiting, p.memory)))
        .expect("a line should fit two distinct sizes");
    assert!(
        memory_fit.slope <= MAX_BYTES_PER_WAITING_MESSAGE,
        "a waiting message should take at most {MAX_BYTES_PER_WAITING_MESSAGE} bytes: {} bytes",
        memory_fit.slope
    );
}
