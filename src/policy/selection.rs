//! Which message is sent next, and to which endpoint.
//!
//! Permits and paced calls are scarce, so the message goes first that loses most by waiting: what
//! its delivery counts now, less what it counts somewhat later, on the scale of the shortest
//! latency objective. Between destinations the loss per time that a permit is held decides.
//! Among endpoints the cheapest goes first, then the one with the shortest expected wait.
//! Times are µs; weights have no unit. The rule is ours (`docs/design.md`).

use super::retry::SEND_MARGIN;
use crate::model::{
    Config, DeliveryClassConfig, DeliverySemantics, Micros, PriorityDecay, MICROS_PER_SECOND,
};
use rand::Rng;
use std::ops::RangeInclusive;

/// In the last part of its time to live (one in so many) a message that must not be repeated may
/// go to a degraded endpoint.
const LAST_RESORT_TIME_TO_LIVE_DIVISOR: Micros = 4;
/// Width of the random tie-breaker between endpoints, in calls.
const TIE_BREAKER_RANGE: std::ops::Range<f64> = 0.5..1.5;

/// What decides when a message is sent.
#[derive(Clone, Copy, Debug)]
pub struct Urgency {
    /// What its delivery counts up to the latency objective.
    pub weight: f64,
    /// When it is late.
    pub objective_at: Micros,
    /// When it is over.
    pub deadline: Micros,
    /// The last moment at which it may be sent.
    pub last_send_at: Micros,
}

impl Urgency {
    /// What a delivery at this time counts.
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

    /// What is lost by sending it somewhat later than now: its weight now, less the mean over
    /// the later times of [`look_ahead_delays`].
    pub fn expected_loss(
        &self,
        now: Micros,
        mean_latency: f64,
        class: &DeliveryClassConfig,
        config: &Config,
    ) -> f64 {
        let now = now as f64;
        let weight_after = |delay: f64| {
            if now + delay < self.last_send_at as f64 {
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

/// How far ahead the loss is looked at: now, and on the scale of the shortest objective.
pub fn look_ahead_delays(config: &Config) -> [f64; 4] {
    let objective = config.shortest_latency_objective() as f64;
    [0.0, objective / 4.0, objective, 3.0 * objective]
}

/// How long after its objective the weight of a message falls, where it decays exponentially.
pub fn decay_time(class: &DeliveryClassConfig) -> f64 {
    let late_weight_share = class.late_weight_share.max(f64::MIN_POSITIVE);
    -late_weight_share.log2() * class.latency_objective as f64
}

/// The latency objectives (`objective_at`) of messages that an endpoint may get now.
///
/// `objective_to_deadline` and `objective_to_last_send` are what the messages have in common. A
/// message that must not be repeated is kept from a degraded endpoint until the last quarter of
/// its time to live: an endpoint that loses what it takes would lose it for good.
pub fn eligible_objectives(
    now: Micros,
    objective_to_deadline: i64,
    objective_to_last_send: i64,
    class: &DeliveryClassConfig,
    is_degraded: bool,
) -> RangeInclusive<i64> {
    let earliest = (now + SEND_MARGIN) as i64 - objective_to_last_send + 1;
    let latest = if class.semantics == DeliverySemantics::AtMostOnce && is_degraded {
        let last_resort_time = (class.time_to_live / LAST_RESORT_TIME_TO_LIVE_DIVISOR) as i64;
        now as i64 + last_resort_time - objective_to_deadline - 1
    } else {
        i64::MAX
    };
    earliest..=latest
}

/// Whether the best message may take the next paced call. A late one loses no more by waiting: it
/// leaves the call to messages that come in time, until a second call is to spare. Only the best
/// message is asked: where it is late, none goes.
pub fn may_take_call(now: Micros, objective_at: Micros, has_spare_call: bool) -> bool {
    has_spare_call || objective_at > now
}

/// What is lost by waiting, per µs that the call would hold its permit.
pub fn loss_per_permit_time(expected_loss: f64, mean_latency: f64) -> f64 {
    expected_loss / mean_latency.max(1.0)
}

/// The rank of an endpoint among those that can take a call: the least goes first.
///
/// `cost` is its price for a message, `calls_in_flight` those out there; latency in µs.
pub fn endpoint_rank(
    cost: f64,
    mean_latency: f64,
    calls_in_flight: usize,
    tie_breaker: f64,
) -> f64 {
    let load = calls_in_flight as f64 + tie_breaker;
    cost * MICROS_PER_SECOND * MICROS_PER_SECOND + mean_latency * load
}

/// Draws a tie-breaker for [`endpoint_rank`]: forwarders that know little must not all choose the
/// same endpoint.
pub fn draw_tie_breaker(rng: &mut impl Rng) -> f64 {
    rng.random_range(TIE_BREAKER_RANGE)
}

#[cfg(test)]
mod tests;
