//! The values of keys that a file leaves out.

use super::{DeliveryClass, DeliverySemantics, Span};

pub fn seed() -> u64 {
    1
}

pub fn count() -> u32 {
    1
}

pub fn one() -> f64 {
    1.0
}

pub fn half() -> f64 {
    0.5
}

pub fn yes() -> bool {
    true
}

pub fn concurrency() -> u32 {
    16
}

pub fn queue_limit() -> u32 {
    64
}

pub fn idle_timeout() -> Span {
    Span(5_000_000)
}

pub fn window() -> Span {
    Span(15_000_000)
}

pub fn keys() -> u64 {
    1000
}

pub fn body_bytes() -> usize {
    200
}

pub fn resubmissions() -> u32 {
    3
}

pub fn classes() -> Vec<DeliveryClass> {
    vec![DeliveryClass {
        name: "notice".into(),
        semantics: DeliverySemantics::IdempotencyKeyed,
        window: window(),
        latency_objective: Span(2_500_000),
        time_to_live: Span(28_000_000),
        priority_weight: 1.0,
        late_weight_share: 0.5,
        ordered: false,
    }]
}
