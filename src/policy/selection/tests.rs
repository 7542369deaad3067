//! What the rule on selection promises at its limits.

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

/// Due at 10 s, over at 14 s.
fn urgency() -> Urgency {
    Urgency {
        weight: 4.0,
        objective_at: 10 * SECOND,
        deadline: 14 * SECOND,
        last_send: 14 * SECOND,
    }
}

fn weight_at(second: f64, decay: PriorityDecay) -> f64 {
    urgency().weight_at(second * 1e6, &class(DeliverySemantics::Idempotent), decay)
}

#[test]
fn a_delivery_counts_in_full_up_to_the_objective_and_nothing_from_the_deadline() {
    for decay in [PriorityDecay::Linear, PriorityDecay::Exponential] {
        assert_eq!(weight_at(0.0, decay), 4.0);
        assert_eq!(weight_at(10.0, decay), 4.0);
        assert!(weight_at(13.999, decay) > 0.0);
        assert_eq!(weight_at(14.0, decay), 0.0);
    }
}

#[test]
fn linear_decay_ends_at_the_late_share() {
    assert_eq!(weight_at(12.0, PriorityDecay::Linear), 4.0 * 0.625);
    assert!((weight_at(13.999_999, PriorityDecay::Linear) - 1.0).abs() < 1e-3);
}

#[test]
fn exponential_decay_halves_with_each_objective_down_to_the_late_share() {
    assert_eq!(weight_at(11.0, PriorityDecay::Exponential), 2.0);
    assert_eq!(weight_at(12.0, PriorityDecay::Exponential), 1.0);
    assert_eq!(weight_at(13.5, PriorityDecay::Exponential), 1.0);
}

#[test]
fn nothing_is_lost_by_leaving_a_message_that_is_not_due_for_long() {
    let class = class(DeliverySemantics::Idempotent);
    let loss = urgency().expected_loss(0, 0.0, &class, &config());
    assert_eq!(loss, 0.0);
}

#[test]
fn all_is_lost_where_it_can_be_sent_only_now() {
    let class = class(DeliverySemantics::Idempotent);
    let last_call = Urgency {
        last_send: 9 * SECOND + 1,
        ..urgency()
    };
    let loss = last_call.expected_loss(9 * SECOND, 0.0, &class, &config());
    assert_eq!(loss, 4.0);
}

#[test]
fn the_loss_is_looked_at_on_the_scale_of_the_shortest_objective() {
    assert_eq!(look_ahead(&config()), [0.0, 0.25e6, 1e6, 3e6]);
}

#[test]
fn a_weight_decays_until_it_reaches_the_late_share() {
    assert_eq!(decay_time(&class(DeliverySemantics::Idempotent)), 2e6);
    let no_late_share = DeliveryClassConfig {
        late_weight_share: 0.0,
        ..class(DeliverySemantics::Idempotent)
    };
    assert!(decay_time(&no_late_share).is_finite());
}

#[test]
fn a_message_too_late_to_be_sent_is_not_eligible() {
    let class = class(DeliverySemantics::Idempotent);
    // Its last moment to send is 4 s after its objective.
    let eligible = eligible_objectives(10 * SECOND, 4_000_000, 4_000_000, &class, false);
    let margin = SEND_MARGIN as i64;
    assert!(!eligible.contains(&(6_000_000 + margin)));
    assert!(eligible.contains(&(6_000_000 + margin + 1)));
    assert_eq!(*eligible.end(), i64::MAX);
}

#[test]
fn an_at_most_once_message_is_kept_from_a_degraded_endpoint_while_there_is_time() {
    let once = class(DeliverySemantics::AtMostOnce);
    let eligible =
        |degraded| eligible_objectives(10 * SECOND, 4_000_000, 4_000_000, &once, degraded);
    // A quarter of its time to live is left: its objective was at 8 s, its deadline is at 12 s.
    assert!(!eligible(true).contains(&8_000_000));
    assert!(eligible(true).contains(&7_999_999));
    assert!(eligible(false).contains(&8_000_000));
}

#[test]
fn a_late_message_leaves_the_next_call_to_others_unless_one_is_to_spare() {
    assert!(may_take_call(SECOND, SECOND + 1, false));
    assert!(!may_take_call(SECOND, SECOND, false));
    assert!(may_take_call(SECOND, SECOND, true));
}

#[test]
fn a_permit_that_is_held_for_less_is_used_better() {
    assert!(loss_per_permit_time(1.0, 10.0) > loss_per_permit_time(1.0, 20.0));
    assert_eq!(loss_per_permit_time(1.0, 0.0), 1.0);
}

#[test]
fn the_cheapest_endpoint_goes_first_then_the_least_loaded() {
    let free = endpoint_rank(0.0, 50_000.0, 20, 1.0);
    let paid = endpoint_rank(0.001, 50_000.0, 0, 1.0);
    assert!(free < paid);
    let busy = endpoint_rank(0.0, 50_000.0, 2, 0.5);
    let idle = endpoint_rank(0.0, 50_000.0, 0, 1.5);
    assert!(idle < busy);
}

#[test]
fn a_tie_breaker_is_less_than_a_call() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..100 {
        assert!((0.5..1.5).contains(&tie_breaker(&mut rng)));
    }
}
