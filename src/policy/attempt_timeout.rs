//! How long an attempt may take, and when it is cancelled.
//!
//! An endpoint's answers set a latency bound: their mean and a multiple of their deviation, one
//! second at least. Each further attempt at a message gets twice the bound of the one before, for
//! some messages take long wherever they go. An attempt beyond the bound is cancelled, where the
//! deployment allows it: sooner while no concurrency permit is free, later for a message that
//! must not be repeated. The timeout of the call itself is wider, for calls that hang.
//! Times are µs. The rule is ours; `docs/design.md` has the reasons.

use crate::latency::LatencyEstimator;
use crate::model::{DeliveryClassConfig, DeliverySemantics, Micros};

/// An attempt that is unanswered for less than this says nothing: a healthy endpoint may stall for
/// as long.
pub const SILENCE_THRESHOLD: Micros = 1_000_000;

/// Weight of a new answer in the running mean: some eight answers count.
const RESPONSE_WEIGHT: f64 = 0.125;
/// Answers from which an endpoint's own estimate counts alone.
const TRUSTED_RESPONSES: f64 = 3.0;
/// Deviations above the mean within which an answer is expected: latencies have long tails.
const BOUND_DEVIATIONS: f64 = 8.0;
/// Deviations above the mean from which a call is slow.
const SLOW_DEVIATIONS: f64 = BOUND_DEVIATIONS / 2.0;
/// How much longer an attempt may take while permits are free, and again where it must not be
/// repeated.
const BOUND_EXTENSION: f64 = 2.0;
/// The timeout of a call, in attempt bounds: beyond any moment at which it is cancelled.
const TIMEOUT_BOUND_FACTOR: f64 = BOUND_EXTENSION * BOUND_EXTENSION;
/// Keeps the factor in range.
const MAX_DOUBLINGS: u32 = 8;

/// Whether concurrency permits are left: if none is, other messages may wait for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permits {
    /// Some are free.
    Free,
    /// All are taken.
    Exhausted,
}

impl Permits {
    fn bound_factor(self) -> f64 {
        match self {
            Permits::Free => BOUND_EXTENSION,
            Permits::Exhausted => 1.0,
        }
    }
}

/// Takes an answer into an estimate.
pub fn observe(estimate: &mut LatencyEstimator, latency: Micros) {
    estimate.observe(latency as f64, RESPONSE_WEIGHT);
}

/// The latency to expect of an endpoint. Where it has few answers of its own, the estimate over all
/// endpoints makes up for the rest.
pub fn mean_latency(own: &LatencyEstimator, all: &LatencyEstimator) -> f64 {
    own.blend_with(all, TRUSTED_RESPONSES, |estimate| estimate.mean)
}

/// The time within which an answer of an endpoint is expected.
pub fn latency_bound(own: &LatencyEstimator, all: &LatencyEstimator) -> f64 {
    let bound = |estimate: &LatencyEstimator| estimate.mean + BOUND_DEVIATIONS * estimate.deviation;
    own.blend_with(all, TRUSTED_RESPONSES, bound)
        .max(SILENCE_THRESHOLD as f64)
}

/// The time from which a call counts as slow; 0 while nothing is known.
pub fn slow_threshold(own: &LatencyEstimator, all: &LatencyEstimator) -> f64 {
    own.blend_with(all, TRUSTED_RESPONSES, |estimate| {
        estimate.mean + SLOW_DEVIATIONS * estimate.deviation
    })
}

/// The latency bound of the `attempt_number`-th attempt at a message.
pub fn attempt_bound(latency_bound: f64, attempt_number: u32) -> f64 {
    let doublings = attempt_number.saturating_sub(1).min(MAX_DOUBLINGS);
    latency_bound * f64::from(1u32 << doublings)
}

/// Whether an attempt that has been out for `elapsed` is to be cancelled.
pub fn is_overdue(
    elapsed: Micros,
    attempt_bound: f64,
    semantics: DeliverySemantics,
    permits: Permits,
) -> bool {
    let bound_factor = match semantics {
        DeliverySemantics::AtMostOnce => BOUND_EXTENSION * permits.bound_factor(),
        _ => permits.bound_factor(),
    };
    elapsed as f64 / attempt_bound > bound_factor
}

/// The timeout of a call; none: it may take until the deadline.
///
/// At most half the time to live and half the deduplication window, so that a repeat fits in. A
/// message that is lost with its attempt gains nothing by an early timeout.
pub fn timeout(
    class: &DeliveryClassConfig,
    attempt_bound: f64,
    time_left: Micros,
) -> Option<Micros> {
    let max_timeout = (TIMEOUT_BOUND_FACTOR * attempt_bound).min(class.time_to_live as f64 / 2.0);
    let timeout = match class.semantics {
        DeliverySemantics::AtMostOnce => return None,
        DeliverySemantics::Idempotent => max_timeout as Micros,
        DeliverySemantics::IdempotencyKeyed { window, .. } => {
            (max_timeout as Micros).min(window / 2)
        }
    };
    Some(timeout.clamp(1, time_left))
}

#[cfg(test)]
mod tests;
