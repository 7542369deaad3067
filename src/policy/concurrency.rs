//! How many calls may be out at once: to one destination, to all degraded ones together, and to
//! one endpoint.
//!
//! A forwarder has a fixed number of concurrency permits. A destination gets a share of them, a
//! smaller one while any of its endpoints is degraded, and all degraded ones together leave the
//! rest to the others.
//! An endpoint gets what its capacity keeps busy, and as much again.
//! Source: the design page ("calls per destination under a share of slots").

use crate::model::MICROS_PER_SECOND;

/// Part of the permits for a destination that answers well.
const HEALTHY_SHARE: f64 = 0.75;
/// Part of the permits for a degraded destination.
const DEGRADED_SHARE: f64 = 0.5;
/// Part of the permits for all degraded destinations together.
const ALL_DEGRADED_SHARE: f64 = 0.5;
/// Calls at once to an endpoint, as a multiple of what its capacity keeps busy.
const ENDPOINT_QUEUE_FACTOR: f64 = 2.0;
/// Fewest calls at once to an endpoint: enough to learn from.
const MIN_ENDPOINT_LIMIT: usize = 4;

/// Calls out at once to one destination at most.
pub fn destination_limit(permits: u32, is_degraded: bool) -> usize {
    let share = if is_degraded {
        DEGRADED_SHARE
    } else {
        HEALTHY_SHARE
    };
    ((share * f64::from(permits)) as usize).max(1)
}

/// Calls out at once to all degraded destinations together at most.
pub fn all_degraded_limit(permits: usize) -> usize {
    ((ALL_DEGRADED_SHARE * permits as f64) as usize).max(1)
}

/// Calls out at once to one endpoint at most.
///
/// `capacity` is in calls per second, `mean_latency` in µs.
pub fn endpoint_limit(capacity: f64, mean_latency: f64) -> usize {
    let busy_calls = capacity * mean_latency / MICROS_PER_SECOND;
    ((1.0 + ENDPOINT_QUEUE_FACTOR * busy_calls).ceil() as usize).max(MIN_ENDPOINT_LIMIT)
}

#[cfg(test)]
mod tests;
