//! Whether an ejected endpoint is tried with a health check or with a message.
//!
//! An ejected endpoint is tried once its budget holds a call ([`super::slow_start`]). Usually the
//! trial is a health check, which puts no message at risk. A message is sent instead if the
//! forwarder's share is negligible, if the next call would be too late for the shortest latency
//! objective, and sometimes at random, because health checks may fail at an endpoint that serves
//! messages.

use super::slow_start::ForwarderShare;
use crate::model::{Config, MICROS_PER_SECOND};
use rand::Rng;

/// Probability that a message is sent instead of a health check.
const MESSAGE_PROBABILITY: f64 = 0.25;

/// The kind of call with which an ejected endpoint is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// A health check.
    HealthCheck,
    /// The next message for the endpoint.
    Message,
}

/// Chooses the trial of an ejected endpoint whose budget holds a call. `share` is this forwarder's
/// share of the endpoint's allowed load.
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
