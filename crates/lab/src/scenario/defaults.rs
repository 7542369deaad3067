//! Default values of the keys that a scenario file omits. The comments name the keys.

use super::{DeliveryClass, DeliverySemantics, Span};

/// `seed`.
pub fn seed() -> u64 {
    1
}

/// `count` and `targets` of destinations.
pub fn count() -> u32 {
    1
}

/// `weight` of destinations and `importance` of a delivery class.
pub fn weight() -> f64 {
    1.0
}

/// `late_share` of a delivery class.
pub fn late_weight_share() -> f64 {
    0.5
}

/// `limited` and `falls_over` of destinations.
pub fn enabled() -> bool {
    true
}

/// `places` of destinations.
pub fn concurrency() -> u32 {
    16
}

/// `queue` of destinations.
pub fn queue_limit() -> u32 {
    64
}

/// `idle` of destinations.
pub fn idle_timeout() -> Span {
    Span(5_000_000)
}

/// `window` of a delivery class.
pub fn deduplication_window() -> Span {
    Span(15_000_000)
}

/// `keys` of a load.
pub fn keys() -> u64 {
    1000
}

/// `body` of a load.
pub fn body_bytes() -> usize {
    200
}

/// `returns` of a load.
pub fn resubmissions() -> u32 {
    3
}

/// `profiles`: a single class, so that a small scenario needs to define none.
pub fn classes() -> Vec<DeliveryClass> {
    vec![DeliveryClass {
        name: "notice".into(),
        semantics: DeliverySemantics::IdempotencyKeyed,
        window: deduplication_window(),
        latency_objective: Span(2_500_000),
        time_to_live: Span(28_000_000),
        priority_weight: 1.0,
        late_weight_share: 0.5,
        ordered: false,
    }]
}
