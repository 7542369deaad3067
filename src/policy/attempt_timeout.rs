//! Latency bounds of attempts, their cancellation, and the timeouts of calls.
//!
//! The latency bound of an endpoint is the mean of its response times plus a multiple of their
//! deviation, and at least one second. The bound doubles with each further attempt at a message,
//! because some messages take long at every endpoint. If the deployment allows it, an attempt that
//! exceeds its bound is cancelled: sooner while no concurrency permit is free, later if the message
//! must not be repeated. The timeout of the call is longer than any of these limits, and ends calls
//! that hang.
//!
//! Times are in µs. `docs/design.md` gives the reasons.

use crate::latency::LatencyEstimator;
use crate::model::{DeliveryClassConfig, DeliverySemantics, Micros};

/// Lower bound on the latency bound, in µs. A healthy endpoint may stall for this long, so a
/// shorter silence is no evidence of a failure.
pub const SILENCE_THRESHOLD: Micros = 1_000_000;

/// Weight of a new response in the running mean, which thus spans about eight responses.
const RESPONSE_WEIGHT: f64 = 0.125;
/// Number of responses from which an endpoint's own estimate is used alone.
const TRUSTED_RESPONSES: f64 = 3.0;
/// Deviations above the mean within which a response is expected. Latencies have long tails.
const BOUND_DEVIATIONS: f64 = 8.0;
/// Deviations above the mean from which a call counts as slow.
const SLOW_DEVIATIONS: f64 = BOUND_DEVIATIONS / 2.0;
/// Factor on the latency bound of an attempt while permits are free. It applies once more if the
/// message must not be repeated.
const BOUND_EXTENSION: f64 = 2.0;
/// Timeout of a call as a multiple of the attempt's latency bound. An attempt is cancelled no later
/// than this.
const TIMEOUT_BOUND_FACTOR: f64 = BOUND_EXTENSION * BOUND_EXTENSION;
/// Upper bound on the doublings of the latency bound. Keeps the shift in range.
const MAX_DOUBLINGS: u32 = 8;

/// Availability of concurrency permits. Other messages may be waiting for a permit while none is
/// free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permits {
    /// At least one permit is free.
    Free,
    /// All permits are in use.
    Exhausted,
}

impl Permits {
    /// Returns the factor on the latency bound after which an attempt is cancelled.
    fn bound_factor(self) -> f64 {
        match self {
            Permits::Free => BOUND_EXTENSION,
            Permits::Exhausted => 1.0,
        }
    }
}

/// Adds a response that took `latency` µs to an estimate.
pub fn observe(estimate: &mut LatencyEstimator, latency: Micros) {
    estimate.observe(latency as f64, RESPONSE_WEIGHT);
}

/// Returns the expected latency of an endpoint, in µs.
///
/// While the endpoint has few responses of its own (`own`), the result is blended with the estimate
/// over all endpoints (`overall`).
pub fn mean_latency(own: &LatencyEstimator, overall: &LatencyEstimator) -> f64 {
    own.blend_with(overall, TRUSTED_RESPONSES, |estimate| estimate.mean)
}

/// Returns the time within which an endpoint is expected to respond, in µs: at least
/// [`SILENCE_THRESHOLD`].
pub fn latency_bound(own: &LatencyEstimator, overall: &LatencyEstimator) -> f64 {
    let bound = |estimate: &LatencyEstimator| estimate.mean + BOUND_DEVIATIONS * estimate.deviation;
    own.blend_with(overall, TRUSTED_RESPONSES, bound)
        .max(SILENCE_THRESHOLD as f64)
}

/// Returns the time from which a call counts as slow, in µs; 0 while there is no response to
/// estimate it from.
pub fn slow_threshold(own: &LatencyEstimator, overall: &LatencyEstimator) -> f64 {
    own.blend_with(overall, TRUSTED_RESPONSES, |estimate| {
        estimate.mean + SLOW_DEVIATIONS * estimate.deviation
    })
}

/// Returns the latency bound of an attempt at a message, in µs. The first attempt has number 1.
pub fn attempt_bound(latency_bound: f64, attempt_number: u32) -> f64 {
    let doublings = attempt_number.saturating_sub(1).min(MAX_DOUBLINGS);
    latency_bound * f64::from(1u32 << doublings)
}

/// Returns whether to cancel an attempt that was sent `elapsed` µs ago and has no response.
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

/// Returns the timeout of a call in µs, between 1 and `time_left`, which must be at least 1.
/// `None`: the call may take until the deadline.
///
/// The timeout is at most half the time to live and half the deduplication window, so that a repeat
/// fits into the rest. A message with at-most-once semantics gets no timeout: it can't be repeated,
/// so ending its attempt early gains nothing.
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
