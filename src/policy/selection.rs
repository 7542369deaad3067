//! Selection of the message that is sent next, and of its endpoint.
//!
//! Permits and paced calls are scarce, so the message that loses most by waiting is sent first. Its
//! loss is the weight of a delivery now, minus the weight of a delivery somewhat later, on the
//! scale of the shortest latency objective. Destinations are compared by the loss per time for
//! which the call would hold a permit. Among the endpoints of a destination, the cheapest one is
//! chosen, and among equally cheap ones the one with the shortest expected wait.
//!
//! Times are in µs; weights have no unit. See `docs/design.md`.

use super::retry::SEND_MARGIN;
use crate::model::{
    Config, DeliveryClassConfig, DeliverySemantics, Micros, PriorityDecay, MICROS_PER_SECOND,
};
use rand::Rng;
use std::ops::RangeInclusive;

/// A message with at-most-once semantics may be sent to a degraded endpoint once the time left is
/// below the time to live divided by this number.
const LAST_RESORT_TIME_TO_LIVE_DIVISOR: Micros = 4;
/// Range of the random tie-breaker between endpoints, in calls.
const TIE_BREAKER_RANGE: std::ops::Range<f64> = 0.5..1.5;

/// The properties of a message that determine how urgent it is.
#[derive(Clone, Copy, Debug)]
pub struct Urgency {
    /// Weight of a delivery up to the latency objective.
    pub weight: f64,
    /// Time from which the message is late, in µs.
    pub objective_at: Micros,
    /// Time from which a delivery has no weight, in µs.
    pub deadline: Micros,
    /// Last time at which the message may be sent, in µs.
    pub latest_send_at: Micros,
}

impl Urgency {
    /// Returns the weight of a delivery at the time `at`, in µs.
    pub fn weight_at(&self, at: f64, class: &DeliveryClassConfig, decay: PriorityDecay) -> f64 {
        if at >= self.deadline as f64 {
            return 0.0;
        }
        let lateness = (at - self.objective_at as f64).max(0.0);
        let remaining_share = match decay {
            PriorityDecay::Exponential => {
                let half_life = (class.latency_objective as f64).max(1.0);
                (-lateness / half_life).exp2().max(class.late_weight_share)
            }
            PriorityDecay::Linear => {
                let decay_span = self.deadline.saturating_sub(self.objective_at) as f64;
                1.0 - (1.0 - class.late_weight_share) * lateness / decay_span.max(1.0)
            }
        };
        self.weight * remaining_share
    }

    /// Returns the weight that is lost by sending the message somewhat later than now: the weight
    /// if sent now, minus the mean weight over the later delays of [`look_ahead_delays`].
    ///
    /// `mean_latency` is the expected latency of the endpoint, in µs.
    pub fn expected_loss(
        &self,
        now: Micros,
        mean_latency: f64,
        class: &DeliveryClassConfig,
        config: &Config,
    ) -> f64 {
        let now = now as f64;
        let weight_after = |delay: f64| {
            if now + delay < self.latest_send_at as f64 {
                self.weight_at(now + delay + mean_latency, class, config.priority_decay)
            } else {
                0.0
            }
        };
        let [weight_now, weight_soon, weight_later, weight_late] =
            look_ahead_delays(config).map(weight_after);
        weight_now - (weight_soon + weight_later + weight_late) / 3.0
    }
}

/// Returns the delays for which the loss is evaluated, in µs: 0, and three multiples of the
/// shortest latency objective.
pub fn look_ahead_delays(config: &Config) -> [f64; 4] {
    let objective = config.shortest_latency_objective() as f64;
    [0.0, objective / 4.0, objective, 3.0 * objective]
}

/// Returns the time after its latency objective during which the weight of a message decreases, in
/// µs, if it decays exponentially.
pub fn decay_time(class: &DeliveryClassConfig) -> f64 {
    let late_weight_share = class.late_weight_share.max(f64::MIN_POSITIVE);
    -late_weight_share.log2() * class.latency_objective as f64
}

/// Returns the range of latency objectives (`objective_at`) of the messages that may be sent to an
/// endpoint now.
///
/// The messages share `objective_to_deadline` and `objective_to_latest_send`: the times from the
/// latency objective to the deadline and to the latest instant to send, in µs. A message with
/// at-most-once semantics is not sent to a degraded endpoint before the last quarter of its time to
/// live, because a message that such an endpoint loses can't be repeated.
pub fn eligible_objectives(
    now: Micros,
    objective_to_deadline: i64,
    objective_to_latest_send: i64,
    class: &DeliveryClassConfig,
    is_degraded: bool,
) -> RangeInclusive<i64> {
    let earliest = (now + SEND_MARGIN) as i64 - objective_to_latest_send + 1;
    let latest = if class.semantics == DeliverySemantics::AtMostOnce && is_degraded {
        let last_resort_time = (class.time_to_live / LAST_RESORT_TIME_TO_LIVE_DIVISOR) as i64;
        now as i64 + last_resort_time - objective_to_deadline - 1
    } else {
        i64::MAX
    };
    earliest..=latest
}

/// Returns whether the best message may use the next paced call.
///
/// A late message has missed its objective whether it waits or not. It leaves the call to messages
/// that can still meet theirs, unless there is a spare call. The caller must ask only for the best
/// message: if that message may not use the call, no message does.
pub fn may_take_call(now: Micros, objective_at: Micros, has_spare_call: bool) -> bool {
    has_spare_call || objective_at > now
}

/// Returns the loss by waiting per µs for which the call would hold its permit.
pub fn loss_per_permit_time(expected_loss: f64, mean_latency: f64) -> f64 {
    expected_loss / mean_latency.max(1.0)
}

/// Returns the rank of an endpoint among those that can accept a call. The endpoint with the lowest
/// rank is chosen.
///
/// `cost` is the price of a message to the endpoint, `mean_latency` is in µs, and `calls_in_flight`
/// counts the calls to the endpoint that have not ended.
pub fn endpoint_rank(
    cost: f64,
    mean_latency: f64,
    calls_in_flight: usize,
    tie_breaker: f64,
) -> f64 {
    let load = calls_in_flight as f64 + tie_breaker;
    cost * MICROS_PER_SECOND * MICROS_PER_SECOND + mean_latency * load
}

/// Draws a tie-breaker for [`endpoint_rank`]. It keeps forwarders that have few estimates from all
/// choosing the same endpoint.
pub fn draw_tie_breaker(rng: &mut impl Rng) -> f64 {
    rng.random_range(TIE_BREAKER_RANGE)
}

#[cfg(test)]
mod tests;
