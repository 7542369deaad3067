//! Small twins of `opalpulley-lab capacity core` and `capacity backlog`: what the core holds and does by size, asserted by
//! bytes and counts and never by time. Each size runs in a fresh process of the program, as in the commands.

use opalpulley_lab::capacity::backlog::core_measurement::CoreBacklogMeasurement;
use opalpulley_lab::capacity::core::measurement::{CoreMeasurement, SINGLE_CHANGE_COUNT};
use opalpulley_lab::capacity::core::FullDestinations;
use opalpulley_lab::capacity::table::LinearFit;
use serde::de::DeserializeOwned;
use std::process::Command;

const SMALL_SIZE: u32 = 8_000; // destinations; both sizes are far beyond those held in full
const LARGE_SIZE: u32 = 32_000;
const FULL_LIMIT: u32 = 1_024; // destinations held in full, as the real program's terms say
const LIST_STEP_ENTRIES: u32 = 1_024; // entries of a list that the core applies at a time: so many more may be in full then
const MESSAGE_RATE: u32 = 200; // messages a second
const PHASE_SECONDS: u32 = 20; // of each stretch
const DOWN_SHARE: f64 = 0.041; // part of the destinations
const RECENTLY_CALLED_DESTINATIONS: f64 = 2.0 * MESSAGE_RATE as f64; // destinations called in the last 2 s: these may not be summarised yet
const DESTINATIONS_WITH_WAITING_MESSAGES: f64 = 28.0 * MESSAGE_RATE as f64 * DOWN_SHARE; // destinations that are down and have messages waiting: these live 28 s

/// The operators' size and what a forwarder may hold there for control.
const OPERATOR_DESTINATIONS: f64 = 91_000.0;
const CONTROL_BYTES_BUDGET: f64 = 32e6; // bytes
/// Kept of the budget for the destinations in full, at up to 3,500 bytes each.
const FULL_BYTES_RESERVE: f64 = FULL_LIMIT as f64 * MAX_BYTES_PER_FULL_DESTINATION;
const MAX_BYTES_PER_DESTINATION: f64 =
    (CONTROL_BYTES_BUDGET - FULL_BYTES_RESERVE) / OPERATOR_DESTINATIONS; // bytes a destination: 312
const MAX_BYTES_PER_FULL_DESTINATION: f64 = 3_500.0; // bytes a destination: a fifth over the 2,875 first measured
const MAX_BYTES_PER_WAITING_MESSAGE: f64 = 600.0; // bytes a message in the core: the record and its places in queues, without its body

fn run_capacity<T: DeserializeOwned>(args: &[String]) -> T {
    let program = env!("CARGO_BIN_EXE_opalpulley-lab");
    let output = Command::new(program)
        .arg("capacity")
        .args(args)
        .output()
        .expect("it runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    serde_json::from_slice(&output.stdout).expect("figures")
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

/// Bytes for one more destination: with the list taken in, and after all stretches.
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
            .expect("two sizes")
            .slope
    })
}

fn check_bytes_per_destination(
    measurements: &[CoreMeasurement; 2],
    limit: f64,
) -> Result<(), String> {
    let bytes = bytes_per_destination(measurements);
    let within_limit = bytes.iter().all(|bytes| *bytes <= limit);
    within_limit
        .then_some(())
        .ok_or_else(|| format!("{bytes:?} bytes a destination, {limit:.0} allowed"))
}

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
                "{most_full} of {} in full, {allowed} allowed",
                measurement.destinations
            ));
        }
        if measurement.down_rest.held.full > f64::from(FULL_LIMIT) {
            return Err(format!(
                "{} in full at rest, {FULL_LIMIT} allowed",
                measurement.down_rest.held.full
            ));
        }
    }
    Ok(())
}

#[test]
fn holds_memory_budget_only_with_idle_destinations_summarised() {
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
            "each is held once"
        );
    }
    let all = measure_both_sizes(FullDestinations::All);
    assert_eq!(
        check_bytes_per_destination(&all, MAX_BYTES_PER_FULL_DESTINATION),
        Ok(())
    );
    // The same checks see the mechanism switched off.
    check_bytes_per_destination(&all, MAX_BYTES_PER_DESTINATION)
        .expect_err("all in full take more");
    check_full_destinations(&all).expect_err("all in full are more");
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
                "{name} a message: {ratio} times those of the smaller list"
            );
        }
        // A message restores its destination at most once, and an answer of an earlier one may do so again.
        let restored = large.held.restored - small.held.restored;
        assert!(
            restored <= f64::from(LARGE_SIZE - SMALL_SIZE) + 2.0 * large.messages,
            "{restored}"
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
            "a whole list and {changes} changes restored {restored_by_list}"
        );
        assert!(
            measurement.rest.events <= f64::from(MESSAGE_RATE),
            "events at rest: {}",
            measurement.rest.events
        );
    }
}

#[test]
fn delivers_skewed_traffic_within_limit_of_full_destinations() {
    let skewed = measure_core(SMALL_SIZE, FullDestinations::UpTo(FULL_LIMIT), "skewed");
    assert!(
        skewed.traffic.delivered >= 0.99 * skewed.traffic.messages,
        "{:?}",
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
            "{measurement:?}"
        );
        assert!(
            measurement.surroundings < 1_000.0,
            "what stands round the core holds nothing a message: {measurement:?}"
        );
    }
    let memory_fit =
        LinearFit::through(&measurements.map(|p| (p.waiting, p.memory))).expect("two sizes");
    assert!(
        memory_fit.slope <= MAX_BYTES_PER_WAITING_MESSAGE,
        "{} bytes a message",
        memory_fit.slope
    );
}
