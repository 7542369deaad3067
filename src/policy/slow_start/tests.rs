//! What the rule on slow start promises at its limits.

use super::*;

const SECOND: Micros = 1_000_000;

/// A cold endpoint has a tenth of its capacity, and falls over at twice what it can take.
fn config(fleet_size: u32) -> Config {
    Config {
        fleet_size,
        rules: ServiceRuleConfig {
            cold_capacity_share: 0.1,
            warm_up_time: 10 * SECOND,
            overload_multiple: 2.0,
            overload_window: SECOND,
            ..ServiceRuleConfig::default()
        },
        ..Config::default()
    }
}

fn assert_close(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-9, "{value}, not {expected}");
}

#[test]
fn the_share_grows_over_the_warm_up_time_and_keeps_a_margin() {
    let rules = config(1).rules;
    let share = |now| allowed_load(now, Some(0), &rules);
    assert_close(allowed_load(SECOND, None, &rules), 0.8 * 2.0 * 0.1);
    assert_close(share(0), 0.8 * 2.0 * 0.1);
    assert_close(share(5 * SECOND), 0.8 * 2.0 * 0.55);
    assert_close(share(10 * SECOND), 0.8 * 2.0);
    assert_close(share(50 * SECOND), 0.8 * 2.0);
}

#[test]
fn the_shares_of_the_fleet_sum_to_the_allowed_load() {
    for fleet_size in [1, 4, 8] {
        let share = forwarder_share(0.16, 100.0, &config(fleet_size));
        assert!(!share.is_scant);
        assert_close(share.calls_per_second * f64::from(fleet_size), 16.0);
    }
}

#[test]
fn a_scant_share_is_halved_and_the_other_half_earned_by_messages() {
    let share = forwarder_share(0.16, 100.0, &config(400));
    assert!(share.is_scant);
    assert_close(share.calls_per_second, 16.0 / 400.0 / 2.0);
    let mut budget = SlowStartBudget::new(0.0, 0);
    budget.refill(10 * SECOND, share, 1.0, 0.16);
    assert_close(budget.calls.tokens, 0.2 + 0.08);
}

#[test]
fn messages_earn_nothing_where_the_share_is_not_scant() {
    let share = forwarder_share(0.16, 1.0, &config(1));
    assert!(share.is_scant);
    let ample = ForwarderShare {
        is_scant: false,
        ..share
    };
    let mut budget = SlowStartBudget::new(0.0, 0);
    budget.refill(SECOND, ample, 100.0, 0.16);
    assert_close(budget.calls.tokens, share.calls_per_second);
}

#[test]
fn many_messages_earn_one_and_a_half_halves_at_most() {
    let share = forwarder_share(0.16, 100.0, &config(400));
    let mut budget = SlowStartBudget::new(0.0, 0);
    budget.refill(10 * SECOND, share, 1e6, 0.16);
    assert_close(budget.calls.tokens, 0.2 + 1.5 * 0.2);
}

#[test]
fn a_budget_holds_one_call_at_most() {
    let share = forwarder_share(0.16, 100.0, &config(1));
    let mut budget = SlowStartBudget::new(0.5, 0);
    assert!(!budget.has_call());
    budget.refill(100 * SECOND, share, 0.0, 0.16);
    assert!(budget.has_call());
    assert_eq!(budget.whole_calls(), 1);
    budget.refund_call();
    assert_eq!(budget.whole_calls(), 1);
}

#[test]
fn a_spent_budget_allows_nothing_until_it_has_refilled() {
    let mut budget = SlowStartBudget::new(1.0, 0);
    budget.spend_call();
    budget.spend_batched_message();
    assert_eq!(budget.whole_calls(), 0);
    assert!(!budget.has_call());
    budget.refund_call();
    assert_close(budget.calls.tokens, 0.85);
}
