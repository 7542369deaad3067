//! The configuration of the measured core: the fleet size and limits of the operators' deployment, with the usual
//! service rules.

use opalpulley::{
    Config, DeduplicationScope, DeliveryClassConfig, DeliverySemantics, EndpointKindConfig,
    ListedRateAccuracy, Micros, ServiceRuleConfig,
};

/// One second in µs.
pub const SECOND: Micros = 1_000_000;
/// Number of forwarders in the operators' fleet.
pub(super) const FLEET_SIZE: u32 = 400;
/// Upper bound on the calls that a forwarder has in flight at once.
const CONCURRENCY_LIMIT: u32 = 116;
/// Time for which receivers recognize a repeated message by its idempotency key, in µs.
const DEDUPLICATION_WINDOW: Micros = 15 * SECOND;
/// Number of zones over which the endpoints are spread in turn.
const ZONE_COUNT: usize = 4;

/// Returns the configuration of the measured core; `time_to_live` is in µs, and `full_destinations` is `None` for no
/// limit.
pub(super) fn forwarder_config(
    max_messages: u32,
    time_to_live: Micros,
    full_destinations: Option<u32>,
) -> Config {
    Config {
        forwarder_id: 0,
        fleet_size: FLEET_SIZE,
        concurrency_limit: CONCURRENCY_LIMIT,
        max_messages,
        max_attempts: 6,
        may_health_check: true,
        may_cancel: true,
        may_send_retry_after: true,
        may_gossip: true,
        max_retry_after: 2 * SECOND,
        listed_rate_accuracy: ListedRateAccuracy::Nominal,
        over_quota_weight_share: 0.1,
        classes: classes(time_to_live),
        endpoint_kinds: vec![EndpointKindConfig {
            has_independent_limits: false,
            max_batch_size: 1,
        }],
        zone_costs: vec![0.0; ZONE_COUNT],
        rules: rules(),
        full_destinations,
        ..Config::default()
    }
}

/// Returns one delivery class per delivery semantics; the stricter the semantics, the higher its priority weight.
fn classes(time_to_live: Micros) -> Vec<DeliveryClassConfig> {
    let class_config = |semantics, priority_weight| DeliveryClassConfig {
        semantics,
        latency_objective: 2_500_000,
        time_to_live,
        priority_weight,
        late_weight_share: 0.5,
        ordered: false,
    };
    let idempotency_keyed = DeliverySemantics::IdempotencyKeyed {
        scope: DeduplicationScope::AllEndpoints,
        window: DEDUPLICATION_WINDOW,
    };
    vec![
        class_config(DeliverySemantics::Idempotent, 1.0),
        class_config(idempotency_keyed, 2.0),
        class_config(DeliverySemantics::AtMostOnce, 4.0),
    ]
}

fn rules() -> ServiceRuleConfig {
    ServiceRuleConfig {
        answer_slack: 20_000,
        drain_grace: 500_000,
        cold_capacity_share: 0.2,
        warm_up_time: 10 * SECOND,
        overload_multiple: 2.0,
        overload_window: 2 * SECOND,
        order_settle_time: SECOND,
    }
}
