//! Tests of allowed load, forwarder shares and call budgets, at the limits of the rules.

use super::*;

const SECOND: Micros = 1_000_000;

/// A cold endpoint has a tenth of its capacity, and fails at twice the load that it can serve.
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
    assert!(
        (value - expected).abs() < 1e-9,
        "expected {expected}, got {value}"
    );
}

#[test]
fn allowed_load_grows_over_warm_up_time_with_margin() {
    let rules = config(1).rules;
    let share = |now| allowed_load(now, Some(0), &rules);
    assert_close(allowed_load(SECOND, None, &rules), 0.8 * 2.0 * 0.1);
    assert_close(share(0), 0.8 * 2.0 * 0.1);
    assert_close(share(5 * SECOND), 0.8 * 2.0 * 0.55);
    assert_close(share(10 * SECOND), 0.8 * 2.0);
    assert_close(share(50 * SECOND), 0.8 * 2.0);
}

#[test]
fn forwarder_shares_sum_to_allowed_load() {
    for fleet_size in [1, 4, 8] {
        let share = forwarder_share(0.16, 100.0, &config(fleet_size));
        assert!(!share.is_negligible);
        assert_close(share.calls_per_second * f64::from(fleet_size), 16.0);
    }
}

#[test]
fn halves_negligible_share_and_credits_calls_for_messages() {
    let share = forwarder_share(0.16, 100.0, &config(400));
    assert!(share.is_negligible);
    assert_close(share.calls_per_second, 16.0 / 400.0 / 2.0);
    let mut budget = SlowStartBudget::new(0.0, 0);
    budget.refill(10 * SECOND, share, 1.0, 0.16);
    assert_close(budget.calls.tokens, 0.2 + 0.08);
}

#[test]
fn credits_no_calls_for_messages_if_share_is_not_negligible() {
    let share = forwarder_share(0.16, 1.0, &config(1));
    assert!(share.is_negligible);
    let not_negligible = ForwarderShare {
        is_negligible: false,
        ..share
    };
    let mut budget = SlowStartBudget::new(0.0, 0);
    budget.refill(SECOND, not_negligible, 100.0, 0.16);
    assert_close(budget.calls.tokens, share.calls_per_second);
}

#[test]
fn credits_at_most_one_and_a_half_times_halved_share() {
    let share = forwarder_share(0.16, 100.0, &config(400));
    let mut budget = SlowStartBudget::new(0.0, 0);
    budget.refill(10 * SECOND, share, 1e6, 0.16);
    assert_close(budget.calls.tokens, 0.2 + 1.5 * 0.2);
}

#[test]
fn budget_holds_at_most_one_call() {
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
fn spent_budget_allows_no_call() {
    let mut budget = SlowStartBudget::new(1.0, 0);
    budget.spend_call();
    budget.spend_batched_message();
    assert_eq!(budget.whole_calls(), 0);
    assert!(!budget.has_call());
    budget.refund_call();
    assert_close(budget.calls.tokens, 0.85);
}
