//! Limits on concurrent calls: to one destination, to all degraded destinations together, and to
//! one endpoint.
//!
//! A forwarder has a fixed number of concurrency permits. The calls to a destination are limited to
//! a share of the permits, which is smaller while any of its endpoints is degraded. All degraded
//! destinations together are limited to a share as well, so that the rest remains for healthy ones.
//! The calls to an endpoint are limited to one more than twice its calls at capacity: the mean
//! number in flight when it is called at its capacity.
//!
//! See `docs/design.md` on the limit of calls per destination.

use crate::model::MICROS_PER_SECOND;

/// Share of the permits that a healthy destination may use.
const HEALTHY_SHARE: f64 = 0.75;
/// Share of the permits that a degraded destination may use.
const DEGRADED_SHARE: f64 = 0.5;
/// Share of the permits that all degraded destinations together may use.
const ALL_DEGRADED_SHARE: f64 = 0.5;
/// Limit on the concurrent calls to an endpoint, as a multiple of its calls at capacity.
const ENDPOINT_QUEUE_FACTOR: f64 = 2.0;
/// Lower bound on the limit of an endpoint. Fewer calls give too few outcomes to estimate from.
const MIN_ENDPOINT_LIMIT: usize = 4;

/// Returns the limit on concurrent calls to one destination: at least 1.
pub fn destination_limit(permits: u32, is_degraded: bool) -> usize {
    let share = if is_degraded {
        DEGRADED_SHARE
    } else {
        HEALTHY_SHARE
    };
    ((share * f64::from(permits)) as usize).max(1)
}

/// Returns the limit on concurrent calls to all degraded destinations together: at least 1.
pub fn all_degraded_limit(permits: usize) -> usize {
    ((ALL_DEGRADED_SHARE * permits as f64) as usize).max(1)
}

/// Returns the limit on concurrent calls to one endpoint.
///
/// `capacity` is in calls per second, `mean_latency` in µs.
pub fn endpoint_limit(capacity: f64, mean_latency: f64) -> usize {
    let calls_at_capacity = capacity * mean_latency / MICROS_PER_SECOND;
    ((1.0 + ENDPOINT_QUEUE_FACTOR * calls_at_capacity).ceil() as usize).max(MIN_ENDPOINT_LIMIT)
}

#[cfg(test)]
mod tests;
