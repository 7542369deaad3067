//! How much an endpoint gets that may have returned from an outage.
//!
//! The first calls of a whole fleet can overload a destination that has just returned. So
//! while an endpoint is ejected or warms up, the fleet keeps within a part of its capacity that
//! grows over the warm-up time, and each forwarder within its even part of that. Where the even
//! part is next to nothing, half of it goes to forwarders with messages for the endpoint.
//! Rates are calls per second, times µs. Source: the design page (returning destinations); the
//! division among forwarders is ours.

use crate::model::{Config, Micros, ServiceRuleConfig, MICROS_PER_SECOND};
use crate::token_bucket::TokenBucket;

/// Part of the allowed load that is used: each forwarder only estimates the capacity.
const ALLOWED_LOAD_USED: f64 = 0.8;
/// Calls per overload window under which an even part is scant.
const SCANT_CALLS: f64 = 0.25;
/// What messages may add to a scant part, as a multiple of what is left of it: 1.5 halves.
const MAX_EARNED_SHARES: f64 = 1.5;
/// What a further message in a call costs, in calls.
const BATCHED_MESSAGE_COST: f64 = 0.15;
/// Calls that a budget holds at most.
const MAX_BUDGET: f64 = 1.0;

/// What this forwarder may send to an endpoint that may be cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwarderShare {
    /// Calls per second, whatever messages there are.
    pub calls_per_second: f64,
    /// Whether it is next to nothing, so that messages earn calls on top.
    pub is_scant: bool,
}

/// What an endpoint may get from the whole fleet, as a multiple of its capacity. It is the recovery
/// ramp: it grows from the cold share to the whole over the warm-up time.
///
/// `warming_since`: when it was readmitted; none while it is ejected.
pub fn allowed_load(now: Micros, warming_since: Option<Micros>, rules: &ServiceRuleConfig) -> f64 {
    let warmth = match warming_since {
        Some(since) => (now - since) as f64 / rules.warm_up_time.max(1) as f64,
        None => 0.0,
    };
    let cold = rules.cold_capacity_share;
    ALLOWED_LOAD_USED * rules.overload_multiple * (cold + (1.0 - cold) * warmth.min(1.0))
}

/// This forwarder's even part of the allowed load; `capacity` is in calls per second.
pub fn forwarder_share(allowed_load: f64, capacity: f64, config: &Config) -> ForwarderShare {
    let even = allowed_load * capacity / f64::from(config.fleet_size.max(1));
    let is_scant = even * (config.rules.overload_window as f64) < SCANT_CALLS * MICROS_PER_SECOND;
    ForwarderShare {
        calls_per_second: if is_scant { even / 2.0 } else { even },
        is_scant,
    }
}

/// Calls that an endpoint which may be cold still gets from this forwarder, one at most.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartBudget {
    calls: TokenBucket,
    /// Bounds what messages add.
    earned: TokenBucket,
}

impl SlowStartBudget {
    /// A budget of an endpoint that is ejected now. `calls` is drawn from 0 to 1: forwarders that
    /// eject an endpoint together are not to try it together.
    pub fn new(calls: f64, now: Micros) -> SlowStartBudget {
        SlowStartBudget {
            calls: TokenBucket {
                tokens: calls,
                refilled_at: now,
            },
            earned: TokenBucket {
                tokens: 0.0,
                refilled_at: now,
            },
        }
    }

    /// Adds what has come since the last time.
    ///
    /// `arrivals`: messages for the endpoint since then; they count where the share is scant.
    pub fn refill(&mut self, now: Micros, share: ForwarderShare, arrivals: f64, allowed_load: f64) {
        let earned = if share.is_scant {
            arrivals / 2.0 * allowed_load
        } else {
            0.0
        };
        let max_earned_per_second = MAX_EARNED_SHARES * share.calls_per_second;
        self.earned.refill(now, max_earned_per_second, MAX_BUDGET);
        let earned = earned.min(self.earned.tokens);
        self.earned.tokens -= earned;
        self.calls.tokens += earned;
        self.calls.refill(now, share.calls_per_second, MAX_BUDGET);
    }

    /// Whole calls that may go now.
    pub fn whole_calls(&self) -> usize {
        self.calls.tokens as usize // a negative budget gives 0
    }

    /// Whether a call may go now.
    pub fn has_call(&self) -> bool {
        self.calls.tokens >= 1.0
    }

    /// A call goes.
    pub fn spend_call(&mut self) {
        self.calls.tokens -= 1.0;
    }

    /// A further message goes in the same call.
    pub fn spend_batched_message(&mut self) {
        self.calls.tokens -= BATCHED_MESSAGE_COST;
    }

    /// A call that was spent did not go.
    pub fn refund_call(&mut self) {
        self.calls.tokens = (self.calls.tokens + 1.0).min(MAX_BUDGET);
    }

    /// Replaces a full budget after a pause by a part of a call, drawn from 0 to 1: the forwarders
    /// that the same pause held back then don't all call as it ends.
    pub fn randomise(&mut self, calls: f64) {
        self.calls.tokens = calls;
    }
}

#[cfg(test)]
mod tests;
