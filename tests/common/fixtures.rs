//! Endpoints, delivery classes and a configuration for tests.

use opalpulley::*;

/// One millisecond in µs.
pub const MS: Micros = 1_000;

/// Time to live of every delivery class in these fixtures, and the time left of a message unless a
/// test sets another one, in µs.
pub const TIME_TO_LIVE: Micros = 8_000 * MS;

/// Latency objective of every delivery class in these fixtures, in µs.
pub const LATENCY_OBJECTIVE: Micros = 1_000 * MS;

/// Index of the delivery class of messages that may be repeated.
pub const IDEMPOTENT: u16 = 0;

/// Index of the delivery class of messages that may be repeated within a deduplication window.
pub const IDEMPOTENCY_KEYED: u16 = 1;

/// Index of the delivery class of messages that must not be repeated once they may have taken
/// effect.
pub const AT_MOST_ONCE: u16 = 2;

/// Returns the id of the endpoint with this number, which is the last byte of its address.
pub fn endpoint(number: u8) -> EndpointId {
    EndpointId {
        address: [10, 0, 0, number],
        port: 80,
        incarnation: 0,
    }
}

/// Returns the list entry of a ready endpoint with a rate in calls per second. Endpoints with even
/// numbers are in zone 0, the others in zone 1.
pub fn listed_endpoint(number: u8, destination: u32, rate: f32) -> EndpointEntry {
    EndpointEntry {
        endpoint: endpoint(number),
        zone: ZoneId(u16::from(number % 2)),
        up_since: 0,
        status: EndpointStatus::Ready,
        rate,
        destination: DestinationId(destination),
        kind: EndpointKindId(0),
    }
}

/// Returns the entry with another status.
pub fn with_status(entry: EndpointEntry, status: EndpointStatus) -> EndpointEntry {
    EndpointEntry { status, ..entry }
}

/// Returns a delivery class that is not ordered.
pub fn delivery_class(semantics: DeliverySemantics) -> DeliveryClassConfig {
    DeliveryClassConfig {
        semantics,
        latency_objective: LATENCY_OBJECTIVE,
        time_to_live: TIME_TO_LIVE,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        ordered: false,
    }
}

/// Returns an endpoint kind whose calls carry one message each.
pub fn endpoint_kind(has_independent_limits: bool) -> EndpointKindConfig {
    EndpointKindConfig {
        has_independent_limits,
        max_batch_size: 1,
    }
}

/// Returns the configuration of one of two forwarders, with eight permits and every optional
/// feature enabled.
pub fn config() -> Config {
    let keyed = DeliverySemantics::IdempotencyKeyed {
        scope: DeduplicationScope::AllEndpoints,
        window: 3_000 * MS,
    };
    Config {
        forwarder_id: 0,
        fleet_size: 2,
        concurrency_limit: 8,
        max_messages: 100,
        max_attempts: 6,
        order_release: OrderRelease::OnFinalAnswer,
        may_health_check: true,
        may_cancel: true,
        may_send_retry_after: true,
        may_gossip: true,
        max_retry_after: 2_000 * MS,
        listed_rate_accuracy: ListedRateAccuracy::Nominal,
        priority_decay: PriorityDecay::Exponential,
        over_quota_weight_share: 0.1,
        classes: vec![
            delivery_class(DeliverySemantics::Idempotent),
            delivery_class(keyed),
            delivery_class(DeliverySemantics::AtMostOnce),
        ],
        tenants: Vec::new(),
        endpoint_kinds: vec![endpoint_kind(false)],
        zone_costs: vec![0.0, 0.05],
        list_poll_interval: None,
        list_notification_delay: None,
        rules: service_rules(),
        min_tick_interval: 5 * MS,
        full_destinations: None,
    }
}

fn service_rules() -> ServiceRuleConfig {
    ServiceRuleConfig {
        answer_slack: 20 * MS,
        drain_grace: 500 * MS,
        cold_capacity_share: 0.2,
        warm_up_time: 10_000 * MS,
        overload_multiple: 2.0,
        overload_window: 2_000 * MS,
        order_settle_time: 300 * MS,
    }
}

/// Returns a submission of the first tenant that was never submitted before and has no order key.
pub fn submission(id: MessageId, class: u16, destination: u32, time_left: Micros) -> Submission {
    Submission {
        id,
        class: DeliveryClassId(class),
        tenant: TenantId(0),
        order_key: None,
        time_left,
        destination: DestinationId(destination),
        resubmitted: false,
        history: AttemptHistory::default(),
    }
}
