//! How an ejected endpoint is tried: by a health check, or by a message.
//!
//! Once its budget holds a call ([`super::slow_start`]) an ejected endpoint is tried. Mostly a
//! health check goes, which risks no message. A message goes in its place where the next call
//! would come too late for it, and now and then at random, for health checks may be what fails.
//! The rule is ours.

use super::slow_start::ForwarderShare;
use crate::model::{Config, MICROS_PER_SECOND};
use rand::Rng;

/// Chance that a message goes in place of a health check.
const MESSAGE_PROBABILITY: f64 = 0.25;

/// What tries an ejected endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// A health check.
    HealthCheck,
    /// The next message.
    Message,
}

/// Chooses what tries an ejected endpoint whose budget holds a call.
pub fn choose_trial(share: ForwarderShare, config: &Config, rng: &mut impl Rng) -> Trial {
    let objective = config.shortest_latency_objective() as f64;
    let is_next_call_late = share.calls_per_second * objective < MICROS_PER_SECOND;
    if share.is_negligible || is_next_call_late || rng.random_bool(MESSAGE_PROBABILITY) {
        Trial::Message
    } else {
        Trial::HealthCheck
    }
}

#[cfg(test)]
mod tests;
