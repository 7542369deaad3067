//! Tests of weights, load shedding and final answers, at the limits of the rules.

use super::*;
use crate::model::{
    AttemptHistory, DeliveryClassId, DestinationId, MessageId, TenantConfig, ZoneId,
};

const SECOND: Micros = 1_000_000;
const NOW: Micros = 100 * SECOND;
const TENANT: TenantId = TenantId(0);

fn config() -> Config {
    Config {
        fleet_size: 10,
        over_quota_weight_share: 0.1,
        max_retry_after: 5 * SECOND,
        may_send_retry_after: true,
        tenants: vec![TenantConfig { quota: 50.0 }],
        ..Config::default()
    }
}

fn submission(time_left: Micros) -> Submission {
    Submission {
        id: MessageId(1),
        class: DeliveryClassId(0),
        tenant: TENANT,
        order_key: None,
        time_left,
        destination: DestinationId(1),
        resubmitted: false,
        history: AttemptHistory::default(),
    }
}

fn class() -> DeliveryClassConfig {
    DeliveryClassConfig {
        latency_objective: SECOND,
        time_to_live: 6 * SECOND,
        ..DeliveryClassConfig::default()
    }
}

fn undelivered(attempts: u32, has_effect: bool) -> UndeliveredMessage {
    UndeliveredMessage {
        semantics: DeliverySemantics::AtMostOnce,
        attempts,
        deadline: NOW + 3 * SECOND,
        possible_effect: has_effect.then_some(PossibleEffect {
            sent_at: NOW,
            zone: ZoneId(0),
        }),
    }
}

#[test]
fn applies_over_quota_weight_after_two_seconds_of_quota() {
    let mut quotas = TenantQuotas::new(1);
    let factors: Vec<f64> = (0..11)
        .map(|_| quotas.weight_factor(NOW, TENANT, &config()))
        .collect();
    assert_eq!(factors[..10], [1.0; 10]);
    assert_eq!(factors[10], 0.1);
    let later = NOW + SECOND / 5;
    assert_eq!(quotas.weight_factor(later, TENANT, &config()), 1.0);
    assert_eq!(quotas.weight_factor(later, TENANT, &config()), 0.1);
}

#[test]
fn applies_no_quota_to_unknown_tenant() {
    let mut quotas = TenantQuotas::new(1);
    for _ in 0..1_000 {
        assert_eq!(quotas.weight_factor(NOW, TenantId(9), &config()), 1.0);
    }
}

#[test]
fn derives_objective_from_deadline() {
    let whole = submission(6 * SECOND);
    assert_eq!(objective_at(NOW, &whole, &class()), NOW + SECOND);
    let half = submission(3 * SECOND);
    assert_eq!(objective_at(NOW, &half, &class()), NOW - 2 * SECOND);
}

#[test]
fn uses_deadline_as_objective_for_short_first_submission() {
    let short = submission(SECOND);
    assert_eq!(objective_at(NOW, &short, &class()), NOW + SECOND);
    let again = Submission {
        resubmitted: true,
        ..short
    };
    assert_eq!(objective_at(NOW, &again, &class()), NOW - 4 * SECOND);
}

#[test]
fn is_overloaded_above_95_percent_of_max_messages() {
    assert!(!is_overloaded(95, 100));
    assert!(is_overloaded(96, 100));
}

#[test]
fn rejects_message_without_effect_with_minimum_retry_after() {
    assert_eq!(
        final_answer(NOW, undelivered(1, false), 0, &config()),
        FinalAnswer::Reject {
            retry_after: Some(SECOND)
        }
    );
}

#[test]
fn derives_retry_after_from_pause_up_to_maximum() {
    let at = |pause| final_answer(NOW, undelivered(0, false), NOW + pause, &config());
    let reject = |retry_after| FinalAnswer::Reject {
        retry_after: Some(retry_after),
    };
    assert_eq!(at(2 * SECOND), reject(2 * SECOND));
    assert_eq!(at(60 * SECOND), reject(5 * SECOND));
}

#[test]
fn fails_attempted_message_if_resubmission_would_miss_deadline() {
    let until = NOW + 3 * SECOND;
    let answer = |attempts| final_answer(NOW, undelivered(attempts, false), until, &config());
    assert_eq!(answer(1), FinalAnswer::Fail);
    assert!(
        matches!(answer(0), FinalAnswer::Reject { .. }),
        "a message without an attempt is rejected and does not fail"
    );
}

#[test]
fn fails_at_most_once_message_after_possible_effect() {
    let answer = final_answer(NOW, undelivered(1, true), 0, &config());
    assert_eq!(answer, FinalAnswer::Fail);
}

#[test]
fn omits_retry_after_if_deployment_forbids_it() {
    let config = Config {
        may_send_retry_after: false,
        ..config()
    };
    assert_eq!(
        final_answer(NOW, undelivered(0, false), 0, &config),
        FinalAnswer::Reject { retry_after: None }
    );
}
