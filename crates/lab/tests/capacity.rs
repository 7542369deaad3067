//! Small twins of `opalpulley-lab capacity core` and `capacity backlog`: what the core holds and does by size, asserted by
//! bytes and counts and never by time. Each size runs in a fresh process of the program, as in the commands.

use opalpulley_lab::capacity::backlog::core_point::CorePoint;
use opalpulley_lab::capacity::core::point::{Point, CHANGES};
use opalpulley_lab::capacity::core::FullDestinations;
use opalpulley_lab::capacity::slope::Slope;
use serde::de::DeserializeOwned;
use std::process::Command;

const SMALL: u32 = 8_000; // destinations; both sizes are far beyond those held in full
const LARGE: u32 = 32_000;
const FULL: u32 = 1_024; // destinations held in full, as the real program's terms say
const LIST_STEP: u32 = 1_024; // entries of a list that the core applies at a time: so many more may be in full then
const RATE: u32 = 200; // messages a second
const SECONDS: u32 = 20; // of each stretch
const DOWN: f64 = 0.041; // part of the destinations
const CALLED: f64 = 2.0 * RATE as f64; // destinations called in the last 2 s: these may not be summarised yet
const WAITING: f64 = 28.0 * RATE as f64 * DOWN; // destinations that are down and have messages waiting: these live 28 s

/// The operators' size and what a forwarder may hold there for control.
const DESTINATIONS: f64 = 91_000.0;
const BUDGET: f64 = 32e6; // bytes
/// Kept of the budget for the destinations in full, at up to 3,500 bytes each.
const KEPT: f64 = FULL as f64 * MOST_IN_FULL;
const MOST_SUMMARISED: f64 = (BUDGET - KEPT) / DESTINATIONS; // bytes a destination: 312
const MOST_IN_FULL: f64 = 3_500.0; // bytes a destination: a fifth over the 2,875 first measured
const MOST_WAITING: f64 = 600.0; // bytes a message in the core: the record and its places in queues, without its body

fn lab<T: DeserializeOwned>(args: &[String]) -> T {
    let program = env!("CARGO_BIN_EXE_opalpulley-lab");
    let ended = Command::new(program)
        .arg("capacity")
        .args(args)
        .output()
        .expect("it runs");
    assert!(
        ended.status.success(),
        "{}",
        String::from_utf8_lossy(&ended.stderr)
    );
    serde_json::from_slice(&ended.stdout).expect("figures")
}

fn core(destinations: u32, full: FullDestinations, spread: &str) -> Point {
    lab(&[
        "core-point".into(),
        format!("--destinations={destinations}"),
        format!("--full-destinations={full}"),
        format!("--spread={spread}"),
        "--targets-each=1".into(),
        format!("--rate={RATE}"),
        format!("--seconds={SECONDS}"),
        format!("--down={DOWN}"),
        "--seed=1".into(),
    ])
}

fn both(full: FullDestinations) -> [Point; 2] {
    [SMALL, LARGE].map(|destinations| core(destinations, full, "uniform"))
}

/// Bytes for one more destination: with the list taken in, and after all stretches.
fn bytes_a_destination(points: &[Point; 2]) -> [f64; 2] {
    [|p: &Point| p.memory_listed, |p: &Point| p.down_rest.memory].map(
        |memory: fn(&Point) -> f64| {
            let points = points
                .each_ref()
                .map(|p| (f64::from(p.destinations), memory(p)));
            Slope::through(&points).expect("two sizes").slope
        },
    )
}

fn bytes_within(points: &[Point; 2], most: f64) -> Result<(), String> {
    let bytes = bytes_a_destination(points);
    let kept = bytes.iter().all(|bytes| *bytes <= most);
    kept.then_some(())
        .ok_or_else(|| format!("{bytes:?} bytes a destination, {most:.0} allowed"))
}

fn full_within(points: &[Point]) -> Result<(), String> {
    for point in points {
        let stretches = [point.traffic, point.rest, point.down, point.down_rest].map(|s| s.held);
        let most = stretches
            .iter()
            .chain([&point.held_listed, &point.held_changed]);
        let most = most
            .map(|held| held.full.max(held.most_full))
            .fold(0.0, f64::max);
        let allowed = f64::from(FULL + LIST_STEP) + CALLED + WAITING;
        if most > allowed {
            return Err(format!(
                "{most} of {} in full, {allowed} allowed",
                point.destinations
            ));
        }
        if point.down_rest.held.full > f64::from(FULL) {
            return Err(format!(
                "{} in full at rest, {FULL} allowed",
                point.down_rest.held.full
            ));
        }
    }
    Ok(())
}

#[test]
fn idle_destinations_stay_within_the_budget_and_without_summaries_they_do_not() {
    let limited = both(FullDestinations::UpTo(FULL));
    assert_eq!(bytes_within(&limited, MOST_SUMMARISED), Ok(()));
    assert_eq!(full_within(&limited), Ok(()));
    for point in &limited {
        let held = point.down_rest.held;
        assert_eq!(
            held.full + held.summaries,
            f64::from(point.destinations),
            "each is held once"
        );
    }
    let all = both(FullDestinations::All);
    assert_eq!(bytes_within(&all, MOST_IN_FULL), Ok(()));
    // The same checks see the mechanism switched off.
    bytes_within(&all, MOST_SUMMARISED).expect_err("all in full take more");
    full_within(&all).expect_err("all in full are more");
}

#[test]
fn what_a_message_and_a_change_cost_does_not_grow_with_the_list() {
    let [small, large] = both(FullDestinations::UpTo(FULL));
    for (small, large) in [(small.traffic, large.traffic), (small.down, large.down)] {
        for (name, of) in [("events", |s| s.events), ("calls", |s| s.calls)]
            as [(
                &str,
                fn(&opalpulley_lab::capacity::core::point::Stretch) -> f64,
            ); 2]
        {
            let ratio = of(&large) / large.messages / (of(&small) / small.messages);
            assert!(
                ratio < 1.1,
                "{name} a message: {ratio} times those of the smaller list"
            );
        }
        // A message restores its destination at most once, and an answer of an earlier one may do so again.
        let restored = large.held.restored - small.held.restored;
        assert!(
            restored <= f64::from(LARGE - SMALL) + 2.0 * large.messages,
            "{restored}"
        );
    }
    for point in [&small, &large] {
        let by_list = point.held_changed.restored - point.held_listed.restored;
        let (targets, changes) = (f64::from(point.targets), f64::from(CHANGES));
        assert!(
            by_list <= targets + changes,
            "a whole list and {changes} changes restored {by_list}"
        );
        assert!(
            point.rest.events <= f64::from(RATE),
            "events at rest: {}",
            point.rest.events
        );
    }
}

#[test]
fn skewed_traffic_is_delivered_and_holds_no_more_in_full() {
    let skewed = core(SMALL, FullDestinations::UpTo(FULL), "skewed");
    assert!(
        skewed.traffic.delivered >= 0.99 * skewed.traffic.messages,
        "{:?}",
        skewed.traffic
    );
    assert_eq!(full_within(&[skewed]), Ok(()));
}

#[test]
fn a_message_that_waits_takes_few_bytes_in_the_core() {
    let points = [10_000, 40_000].map(|messages: u32| -> CorePoint {
        lab(&[
            "backlog-point".into(),
            format!("--messages={messages}"),
            "--destinations=100".into(),
            "--rate=2000".into(),
            "--seed=1".into(),
        ])
    });
    for point in &points {
        assert!(point.waiting >= 0.95 * point.messages, "{point:?}");
        assert!(
            point.surroundings < 1_000.0,
            "what stands round the core holds nothing a message: {point:?}"
        );
    }
    let line = Slope::through(&points.map(|p| (p.waiting, p.memory))).expect("two sizes");
    assert!(line.slope <= MOST_WAITING, "{} bytes a message", line.slope);
}
