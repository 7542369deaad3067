//! Tests of the choice between a health check and a message, at the limits of the rules.

use super::*;
use crate::model::DeliveryClassConfig;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn trials(calls_per_second: f64, is_negligible: bool) -> Vec<Trial> {
    let config = Config {
        classes: vec![DeliveryClassConfig {
            latency_objective: 1_000_000,
            ..DeliveryClassConfig::default()
        }],
        ..Config::default()
    };
    let share = ForwarderShare {
        calls_per_second,
        is_negligible,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    (0..1_000)
        .map(|_| choose_trial(share, &config, &mut rng))
        .collect()
}

#[test]
fn chooses_message_for_a_quarter_of_trials() {
    let trials = trials(1.0, false);
    let messages = trials.iter().filter(|trial| **trial == Trial::Message);
    let messages = messages.count();
    assert!(
        (200..=300).contains(&messages),
        "{messages} of 1,000 trials were messages, expected 200 to 300"
    );
}

#[test]
fn chooses_message_if_next_call_would_miss_objective() {
    assert!(!trials(0.99, false).contains(&Trial::HealthCheck));
}

#[test]
fn chooses_message_if_share_is_negligible() {
    assert!(!trials(10.0, true).contains(&Trial::HealthCheck));
}
