//! Admission of messages, and load shedding near `max_messages`.

use super::common::*;
use opalpulley::*;

#[test]
fn rejects_lowest_weight_message_near_max_messages() -> CheckResult {
    let mut config = config();
    config.max_messages = 20;
    let mut world = World::new(config, vec![listed_endpoint(1, 0, 2.0)]);
    world.submit_many(20, IDEMPOTENT, 0)?;
    world.advance(50 * MS)?;
    let has_rejected = world.actions.iter().any(|action| {
        matches!(
            action,
            Action::Reject {
                retry_after: Some(_),
                ..
            }
        )
    });
    assert!(has_rejected);
    assert!(world.messages.pending_count() < 20);
    Ok(())
}

/// Returns a configuration with every limit at its minimum.
fn config_with_minimum_limits() -> Config {
    let mut config = Config {
        concurrency_limit: 1,
        max_messages: 1,
        max_attempts: 1,
        fleet_size: 0,
        listed_rate_accuracy: ListedRateAccuracy::Unlisted,
        ..config()
    };
    config.classes[0].latency_objective = 0;
    config.endpoint_kinds[0].max_batch_size = 0;
    config
}

/// Returns a configuration without permits and with only one delivery class.
fn config_without_permits() -> Config {
    Config {
        concurrency_limit: 0,
        classes: vec![delivery_class(DeliverySemantics::AtMostOnce)],
        endpoint_kinds: vec![endpoint_kind(true)],
        ..config()
    }
}

/// The endpoint list holds rates that are not valid, and some messages have no time left or an
/// unknown destination.
#[test]
fn sends_one_final_answer_per_message_under_extreme_configurations() -> CheckResult {
    let list = vec![
        listed_endpoint(1, 0, f32::NAN),
        listed_endpoint(2, 0, f32::INFINITY),
        listed_endpoint(3, 1, -1.0),
    ];
    for config in [config_with_minimum_limits(), config_without_permits()] {
        let mut world = World::new(config, list.clone());
        for (destination, time_left) in [(0, 8_000), (0, 0), (1, 1), (9, 8_000), (1, 8_000)] {
            world.submit_with_time_left(IDEMPOTENT, destination, time_left * MS)?;
        }
        world.advance(20_000 * MS)?;
        assert!(world.messages.all().all(|message| message.completed));
    }
    Ok(())
}
