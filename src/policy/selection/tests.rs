//! Tests of weights, losses, eligibility and endpoint ranks, at the limits of the rules.

use super::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SECOND: Micros = 1_000_000;

fn class(semantics: DeliverySemantics) -> DeliveryClassConfig {
    DeliveryClassConfig {
        semantics,
        latency_objective: SECOND,
        time_to_live: 8 * SECOND,
        late_weight_share: 0.25,
        ..DeliveryClassConfig::default()
    }
}

fn config() -> Config {
    Config {
        classes: vec![class(DeliverySemantics::Idempotent)],
        ..Config::default()
    }
}

/// A message whose latency objective is at 10 s and whose deadline is at 14 s.
fn urgency() -> Urgency {
    Urgency {
        weight: 4.0,
        objective_at: 10 * SECOND,
        deadline: 14 * SECOND,
        latest_send_at: 14 * SECOND,
    }
}

fn weight_at(second: f64, decay: PriorityDecay) -> f64 {
    urgency().weight_at(second * 1e6, &class(DeliverySemantics::Idempotent), decay)
}

#[test]
fn weight_is_full_until_objective_and_zero_from_deadline() {
    for decay in [PriorityDecay::Linear, PriorityDecay::Exponential] {
        assert_eq!(weight_at(0.0, decay), 4.0);
        assert_eq!(weight_at(10.0, decay), 4.0);
        assert!(weight_at(13.999, decay) > 0.0);
        assert_eq!(weight_at(14.0, decay), 0.0);
    }
}

#[test]
fn linear_decay_ends_at_late_weight_share() {
    assert_eq!(weight_at(12.0, PriorityDecay::Linear), 4.0 * 0.625);
    assert!((weight_at(13.999_999, PriorityDecay::Linear) - 1.0).abs() < 1e-3);
}

#[test]
fn exponential_decay_halves_per_objective_down_to_late_weight_share() {
    assert_eq!(weight_at(11.0, PriorityDecay::Exponential), 2.0);
    assert_eq!(weight_at(12.0, PriorityDecay::Exponential), 1.0);
    assert_eq!(weight_at(13.5, PriorityDecay::Exponential), 1.0);
}

#[test]
fn expected_loss_is_zero_long_before_objective() {
    let class = class(DeliverySemantics::Idempotent);
    let loss = urgency().expected_loss(0, 0.0, &class, &config());
    assert_eq!(loss, 0.0);
}

#[test]
fn expected_loss_is_full_weight_if_sendable_only_now() {
    let class = class(DeliverySemantics::Idempotent);
    let sendable_only_now = Urgency {
        latest_send_at: 9 * SECOND + 1,
        ..urgency()
    };
    let loss = sendable_only_now.expected_loss(9 * SECOND, 0.0, &class, &config());
    assert_eq!(loss, 4.0);
}

#[test]
fn look_ahead_delays_scale_with_shortest_objective() {
    assert_eq!(look_ahead_delays(&config()), [0.0, 0.25e6, 1e6, 3e6]);
}

#[test]
fn decay_time_ends_at_late_weight_share_and_is_finite() {
    assert_eq!(decay_time(&class(DeliverySemantics::Idempotent)), 2e6);
    let without_late_weight = DeliveryClassConfig {
        late_weight_share: 0.0,
        ..class(DeliverySemantics::Idempotent)
    };
    assert!(decay_time(&without_late_weight).is_finite());
}

#[test]
fn excludes_message_too_late_to_send() {
    let class = class(DeliverySemantics::Idempotent);
    // The last permitted send is 4 s after the latency objective.
    let eligible = eligible_objectives(10 * SECOND, 4_000_000, 4_000_000, &class, false);
    let margin = SEND_MARGIN as i64;
    assert!(!eligible.contains(&(6_000_000 + margin)));
    assert!(eligible.contains(&(6_000_000 + margin + 1)));
    assert_eq!(*eligible.end(), i64::MAX);
}

#[test]
fn excludes_at_most_once_message_from_degraded_endpoint_until_last_quarter() {
    let at_most_once = class(DeliverySemantics::AtMostOnce);
    let eligible =
        |degraded| eligible_objectives(10 * SECOND, 4_000_000, 4_000_000, &at_most_once, degraded);
    // A quarter of the time to live is left if the objective was at 8 s and the deadline is at 12
    // s.
    assert!(!eligible(true).contains(&8_000_000));
    assert!(eligible(true).contains(&7_999_999));
    assert!(eligible(false).contains(&8_000_000));
}

#[test]
fn late_message_takes_call_only_if_one_is_spare() {
    assert!(may_take_call(SECOND, SECOND + 1, false));
    assert!(!may_take_call(SECOND, SECOND, false));
    assert!(may_take_call(SECOND, SECOND, true));
}

#[test]
fn shorter_permit_time_ranks_higher() {
    assert!(loss_per_permit_time(1.0, 10.0) > loss_per_permit_time(1.0, 20.0));
    assert_eq!(loss_per_permit_time(1.0, 0.0), 1.0);
}

#[test]
fn ranks_endpoints_by_cost_then_by_load() {
    let free_of_charge = endpoint_rank(0.0, 50_000.0, 20, 1.0);
    let paid = endpoint_rank(0.001, 50_000.0, 0, 1.0);
    assert!(free_of_charge < paid);
    let busy = endpoint_rank(0.0, 50_000.0, 2, 0.5);
    let idle = endpoint_rank(0.0, 50_000.0, 0, 1.5);
    assert!(idle < busy);
}

#[test]
fn tie_breaker_stays_in_range() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..100 {
        assert!((0.5..1.5).contains(&draw_tie_breaker(&mut rng)));
    }
}
