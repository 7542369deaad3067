//! Tests of the interval, its recovery and the pauses, at the limits of the rules.

use super::*;
use crate::model::DeliveryClassConfig;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Ten forwarders share a limit of ten calls per second: an even share is one call per second.
fn config() -> Config {
    Config {
        fleet_size: 10,
        concurrency_limit: 64,
        listed_rate_accuracy: ListedRateAccuracy::Nominal,
        classes: vec![DeliveryClassConfig {
            latency_objective: 2 * SECOND,
            time_to_live: 20 * SECOND,
            ..DeliveryClassConfig::default()
        }],
        ..Config::default()
    }
}

fn listed_pacer(rate: f64, config: &Config) -> Pacer {
    let mut pacer = Pacer::default();
    pacer.apply_listed_rate(SECOND, rate, config);
    pacer
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(1)
}

#[test]
fn falls_back_to_concurrency_limit_for_unknown_rate() {
    let known = ListedCapacity::from_rate(10.0, &config());
    assert!(known.is_known && known.calls_per_second == 10.0);
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let unknown = ListedCapacity::from_rate(rate, &config());
        assert!(
            !unknown.is_known && unknown.calls_per_second == 64.0,
            "a listed rate of {rate} must count as unknown"
        );
    }
    let unlisted = Config {
        listed_rate_accuracy: ListedRateAccuracy::Unlisted,
        ..config()
    };
    assert!(!ListedCapacity::from_rate(10.0, &unlisted).is_known);
}

#[test]
fn first_interval_is_even_share_up_to_shortest_objective() {
    assert_eq!(listed_pacer(10.0, &config()).interval, 0.8e6);
    assert_eq!(listed_pacer(1.0, &config()).interval, 2e6);
}

#[test]
fn does_not_pace_unknown_rate_if_interval_exceeds_objective() {
    let large_fleet = Config {
        fleet_size: 1_000,
        ..config()
    };
    assert_eq!(listed_pacer(0.0, &large_fleet).interval, 0.0);
}

#[test]
fn later_listed_rate_changes_only_capacity() {
    let mut pacer = listed_pacer(10.0, &config());
    pacer.apply_listed_rate(2 * SECOND, 20.0, &config());
    assert_eq!((pacer.capacity, pacer.interval), (20.0, 0.8e6));
}

#[test]
fn delays_next_call_by_half_to_one_and_a_half_intervals() {
    let mut rng = rng();
    for _ in 0..100 {
        let mut pacer = listed_pacer(10.0, &config());
        pacer.next_call_at = 10 * SECOND;
        pacer.start_call(10 * SECOND, &mut rng);
        let wait = pacer.next_call_at - 10 * SECOND;
        assert!(
            (400 * MS..=1_200 * MS).contains(&wait),
            "the next call must be due after 400 to 1,200 ms, got {wait} µs"
        );
    }
}

#[test]
fn catches_up_at_most_half_an_interval() {
    let mut pacer = listed_pacer(10.0, &config());
    pacer.start_call(100 * SECOND, &mut rng());
    let earliest = 100 * SECOND - 400 * MS;
    assert!(pacer.next_call_at >= earliest + 400 * MS);
    assert!(pacer.next_call_at <= earliest + 1_200 * MS);
}

#[test]
fn rejection_lengthens_interval_less_beyond_even_share() {
    let mut pacer = listed_pacer(10.0, &config());
    pacer.interval = 0.1e6;
    pacer.handle_rejection(10 * SECOND, 10 * SECOND, &config(), &mut rng());
    assert_eq!(
        pacer.interval, 0.5e6,
        "the interval must be at least half that of an even share"
    );
    pacer.interval = 1e6;
    pacer.handle_rejection(12 * SECOND, 11 * SECOND, &config(), &mut rng());
    assert_eq!(pacer.interval, 1e6 / 0.85);
}

#[test]
fn rejections_lengthen_interval_up_to_two_even_shares() {
    let mut pacer = listed_pacer(10.0, &config());
    for second in 10..60 {
        let now = second * SECOND;
        pacer.handle_rejection(now, now, &config(), &mut rng());
    }
    assert_eq!(pacer.interval, 2e6);
}

#[test]
fn ignores_rejection_of_call_sent_before_last_lengthening() {
    let mut pacer = listed_pacer(10.0, &config());
    pacer.handle_rejection(10 * SECOND, 9 * SECOND, &config(), &mut rng());
    let interval = pacer.interval;
    pacer.handle_rejection(11 * SECOND, 9 * SECOND, &config(), &mut rng());
    assert_eq!(pacer.interval, interval);
}

#[test]
fn peer_rejection_lengthens_interval_to_even_share_and_never_shortens_it() {
    let mut pacer = listed_pacer(10.0, &config());
    pacer.interval = 0.0;
    pacer.handle_peer_rejection(10 * SECOND, &config(), &mut rng());
    assert_eq!(pacer.interval, 0.8e6);
    pacer.interval = 1e6;
    pacer.handle_peer_rejection(11 * SECOND, &config(), &mut rng());
    assert_eq!(pacer.interval, 1e6);
}

#[test]
fn interval_recovers_only_if_it_delayed_a_message() {
    let mut pacer = listed_pacer(10.0, &config());
    pacer.recover(20 * SECOND);
    assert_eq!(pacer.interval, 0.8e6);
    pacer.has_delayed_message = true;
    pacer.recover(21 * SECOND);
    // The interval recovers to 1/e in 24 intervals of 0.8 s.
    assert!((pacer.interval - 0.8e6 * (-1.0f64 / 19.2).exp()).abs() < 1.0);
    assert!(!pacer.has_delayed_message);
}

#[test]
fn interval_does_not_recover_during_pause() {
    let mut pacer = listed_pacer(10.0, &config());
    pacer.pause_until(30 * SECOND);
    pacer.has_delayed_message = true;
    pacer.recover(29 * SECOND);
    assert_eq!(pacer.interval, 0.8e6);
}

#[test]
fn resets_interval_below_half_the_time_per_call_at_capacity() {
    let mut pacer = listed_pacer(10.0, &config());
    pacer.interval = 50_000.0;
    pacer.recover(2 * SECOND);
    assert_eq!(pacer.interval, 50_000.0);
    pacer.interval = 49_999.0;
    pacer.recover(3 * SECOND);
    assert_eq!(pacer.interval, 0.0);
}

#[test]
fn allows_no_call_until_longest_retry_after_ends() {
    let mut pacer = listed_pacer(10.0, &config());
    pacer.pause_until(30 * SECOND);
    pacer.pause_until(20 * SECOND);
    assert!(!pacer.is_open(30 * SECOND - 1));
    assert!(pacer.is_open(30 * SECOND));
}

#[test]
fn has_spare_call_one_interval_after_next_call_is_due() {
    let mut pacer = listed_pacer(10.0, &config());
    pacer.next_call_at = 10 * SECOND;
    assert!(pacer.is_open(10 * SECOND));
    assert!(!pacer.has_spare_call(10 * SECOND + 800 * MS - 1));
    assert!(pacer.has_spare_call(10 * SECOND + 800 * MS));
}

#[test]
fn settles_once_no_missed_call_can_be_caught_up() {
    let mut pacer = listed_pacer(10.0, &config());
    assert_eq!(pacer.settled_at(), 0);
    pacer.next_call_at = 10 * SECOND;
    assert_eq!(pacer.settled_at(), 11 * SECOND + 200 * MS);
}
