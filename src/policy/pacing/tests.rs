//! What the rule on pacing promises at its limits.

use super::*;
use crate::model::DeliveryClassConfig;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Ten forwarders before a limit of ten calls per second: an even share is a call per second.
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

fn listed(rate: f64, config: &Config) -> Pacer {
    let mut pacer = Pacer::default();
    pacer.apply_listed_rate(SECOND, rate, config);
    pacer
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(1)
}

#[test]
fn a_rate_that_the_list_does_not_know_is_a_guess_that_never_binds() {
    let known = ListedCapacity::from_rate(10.0, &config());
    assert!(known.is_known && known.calls_per_second == 10.0);
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let guess = ListedCapacity::from_rate(rate, &config());
        assert!(!guess.is_known && guess.calls_per_second == 64.0, "{rate}");
    }
    let unlisted = Config {
        listed_rate_accuracy: ListedRateAccuracy::Unlisted,
        ..config()
    };
    assert!(!ListedCapacity::from_rate(10.0, &unlisted).is_known);
}

#[test]
fn the_first_interval_is_an_even_share_and_the_shortest_objective_at_most() {
    assert_eq!(listed(10.0, &config()).interval, 0.8e6);
    assert_eq!(listed(1.0, &config()).interval, 2e6);
}

#[test]
fn a_guessed_rate_does_not_pace_where_the_wait_would_be_felt() {
    let large_fleet = Config {
        fleet_size: 1_000,
        ..config()
    };
    assert_eq!(listed(0.0, &large_fleet).interval, 0.0);
}

#[test]
fn a_later_entry_of_the_list_changes_the_capacity_only() {
    let mut pacer = listed(10.0, &config());
    pacer.apply_listed_rate(2 * SECOND, 20.0, &config());
    assert_eq!((pacer.capacity, pacer.interval), (20.0, 0.8e6));
}

#[test]
fn the_next_call_goes_after_half_to_one_and_a_half_intervals() {
    let mut rng = rng();
    for _ in 0..100 {
        let mut pacer = listed(10.0, &config());
        pacer.next_call_at = 10 * SECOND;
        pacer.start_call(10 * SECOND, &mut rng);
        let wait = pacer.next_call_at - 10 * SECOND;
        assert!((400 * MS..=1_200 * MS).contains(&wait), "{wait}");
    }
}

#[test]
fn half_an_interval_of_missed_sending_is_made_up_at_most() {
    let mut pacer = listed(10.0, &config());
    pacer.start_call(100 * SECOND, &mut rng());
    let earliest = 100 * SECOND - 400 * MS;
    assert!(pacer.next_call_at >= earliest + 400 * MS);
    assert!(pacer.next_call_at <= earliest + 1_200 * MS);
}

#[test]
fn a_rejection_doubles_the_interval_up_to_a_mild_step_at_an_even_share() {
    let mut pacer = listed(10.0, &config());
    pacer.interval = 0.1e6;
    pacer.rejected(10 * SECOND, 10 * SECOND, &config(), &mut rng());
    assert_eq!(pacer.interval, 0.5e6, "half an even share at least");
    pacer.interval = 1e6;
    pacer.rejected(12 * SECOND, 11 * SECOND, &config(), &mut rng());
    assert_eq!(pacer.interval, 1e6 / 0.85);
}

#[test]
fn rejections_lengthen_the_interval_to_two_even_shares_at_most() {
    let mut pacer = listed(10.0, &config());
    for second in 10..60 {
        let now = second * SECOND;
        pacer.rejected(now, now, &config(), &mut rng());
    }
    assert_eq!(pacer.interval, 2e6);
}

#[test]
fn calls_sent_before_the_interval_grew_do_not_lengthen_it_again() {
    let mut pacer = listed(10.0, &config());
    pacer.rejected(10 * SECOND, 9 * SECOND, &config(), &mut rng());
    let interval = pacer.interval;
    pacer.rejected(11 * SECOND, 9 * SECOND, &config(), &mut rng());
    assert_eq!(pacer.interval, interval);
}

#[test]
fn a_peer_rejection_gives_an_even_share_and_never_a_shorter_interval() {
    let mut pacer = listed(10.0, &config());
    pacer.interval = 0.0;
    pacer.peer_rejected(10 * SECOND, &config(), &mut rng());
    assert_eq!(pacer.interval, 0.8e6);
    pacer.interval = 1e6;
    pacer.peer_rejected(11 * SECOND, &config(), &mut rng());
    assert_eq!(pacer.interval, 1e6);
}

#[test]
fn the_interval_recovers_only_while_calls_wait_for_it() {
    let mut pacer = listed(10.0, &config());
    pacer.recover(20 * SECOND);
    assert_eq!(pacer.interval, 0.8e6);
    pacer.has_delayed = true;
    pacer.recover(21 * SECOND);
    // 24 intervals of 0.8 s recover it to 1/e.
    assert!((pacer.interval - 0.8e6 * (-1.0f64 / 19.2).exp()).abs() < 1.0);
    assert!(!pacer.has_delayed);
}

#[test]
fn the_interval_does_not_recover_during_a_pause() {
    let mut pacer = listed(10.0, &config());
    pacer.pause_until(30 * SECOND);
    pacer.has_delayed = true;
    pacer.recover(29 * SECOND);
    assert_eq!(pacer.interval, 0.8e6);
}

#[test]
fn an_interval_under_half_a_call_at_the_capacity_is_none() {
    let mut pacer = listed(10.0, &config());
    pacer.interval = 50_000.0;
    pacer.recover(2 * SECOND);
    assert_eq!(pacer.interval, 50_000.0);
    pacer.interval = 49_999.0;
    pacer.recover(3 * SECOND);
    assert_eq!(pacer.interval, 0.0);
}

#[test]
fn a_retry_after_closes_the_limit_until_its_end_and_is_never_shortened() {
    let mut pacer = listed(10.0, &config());
    pacer.pause_until(30 * SECOND);
    pacer.pause_until(20 * SECOND);
    assert!(!pacer.is_open(30 * SECOND - 1));
    assert!(pacer.is_open(30 * SECOND));
}

#[test]
fn a_spare_call_needs_a_whole_interval_beyond_the_next() {
    let mut pacer = listed(10.0, &config());
    pacer.next_call_at = 10 * SECOND;
    assert!(pacer.is_open(10 * SECOND));
    assert!(!pacer.has_spare_call(10 * SECOND + 800 * MS - 1));
    assert!(pacer.has_spare_call(10 * SECOND + 800 * MS));
}

#[test]
fn calls_are_settled_once_nothing_can_be_made_up_any_more() {
    let mut pacer = listed(10.0, &config());
    assert_eq!(pacer.settled_at(), 0);
    pacer.next_call_at = 10 * SECOND;
    assert_eq!(pacer.settled_at(), 11 * SECOND + 200 * MS);
}
