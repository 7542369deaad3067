//! Slow start: the load on an endpoint that may have just returned from an outage.
//!
//! The first calls of a whole fleet can overload a destination that has just returned. While an
//! endpoint is ejected or warming up, the fleet therefore limits its load to a share of the
//! endpoint's capacity that grows over the warm-up time, and each forwarder limits its load to an
//! even share of the fleet's. If the even share is negligible, half of it is instead credited to
//! the forwarders for the messages that arrive for the endpoint.
//!
//! Rates are in calls per second, times in µs. See `docs/design.md` on returning destinations.

use crate::model::{Config, Micros, ServiceRuleConfig, MICROS_PER_SECOND};
use crate::token_bucket::TokenBucket;

/// Share of the allowed load that is used. Each forwarder only estimates the capacity.
const ALLOWED_LOAD_SHARE_USED: f64 = 0.8;
/// Number of calls per overload window below which a forwarder's even share is negligible.
const NEGLIGIBLE_CALLS: f64 = 0.25;
/// Upper bound on the calls that are credited for arriving messages while the share is negligible,
/// as a multiple of the halved share. 1.5 times the half is three quarters of the even share.
const MAX_CREDITED_SHARES: f64 = 1.5;
/// Cost of each further message in the same call, in calls.
const BATCHED_MESSAGE_COST: f64 = 0.15;
/// Upper bound on the calls that a budget holds.
const MAX_BUDGET_CALLS: f64 = 1.0;

/// This forwarder's share of the allowed load of an endpoint that may be cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwarderShare {
    /// Calls per second that are allowed independently of the messages for the endpoint.
    pub calls_per_second: f64,
    /// Whether the even share is negligible, so that additional calls are credited for arriving
    /// messages.
    pub is_negligible: bool,
}

/// Returns the load that the whole fleet may put on an endpoint, as a multiple of the endpoint's
/// capacity. This is the recovery ramp, which rises from the cold share to the full share over the
/// warm-up time.
///
/// `warming_since` is the time of readmission, at most `now`; `None` while the endpoint is ejected.
pub fn allowed_load(now: Micros, warming_since: Option<Micros>, rules: &ServiceRuleConfig) -> f64 {
    let warm_up_progress = match warming_since {
        Some(since) => (now - since) as f64 / rules.warm_up_time.max(1) as f64,
        None => 0.0,
    };
    let cold_share = rules.cold_capacity_share;
    ALLOWED_LOAD_SHARE_USED
        * rules.overload_multiple
        * (cold_share + (1.0 - cold_share) * warm_up_progress.min(1.0))
}

/// Returns this forwarder's even share of the allowed load. `capacity` is in calls per second.
pub fn forwarder_share(allowed_load: f64, capacity: f64, config: &Config) -> ForwarderShare {
    let even_share = allowed_load * capacity / f64::from(config.fleet_size.max(1));
    let is_negligible =
        even_share * (config.rules.overload_window as f64) < NEGLIGIBLE_CALLS * MICROS_PER_SECOND;
    ForwarderShare {
        calls_per_second: if is_negligible {
            even_share / 2.0
        } else {
            even_share
        },
        is_negligible,
    }
}

/// Tracks the calls that this forwarder may send to an endpoint that may be cold: at most one at a
/// time. Owned by the endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartBudget {
    calls: TokenBucket,
    /// Calls that may still be credited for arriving messages.
    creditable_calls: TokenBucket,
}

impl SlowStartBudget {
    /// Creates the budget of an endpoint that is ejected now. The caller must draw `calls` at
    /// random from 0 to 1, so that forwarders that eject an endpoint together don't try it
    /// together.
    pub fn new(calls: f64, now: Micros) -> SlowStartBudget {
        SlowStartBudget {
            calls: TokenBucket {
                tokens: calls,
                refilled_at: now,
            },
            creditable_calls: TokenBucket {
                tokens: 0.0,
                refilled_at: now,
            },
        }
    }

    /// Adds the calls that have accrued since the last refill.
    ///
    /// `arrivals` is the number of messages for the endpoint since then. Calls are
    /// credited for them only if the share is negligible.
    pub fn refill(&mut self, now: Micros, share: ForwarderShare, arrivals: f64, allowed_load: f64) {
        let credited_calls = if share.is_negligible {
            arrivals / 2.0 * allowed_load
        } else {
            0.0
        };
        let max_credited_per_second = MAX_CREDITED_SHARES * share.calls_per_second;
        self.creditable_calls
            .refill(now, max_credited_per_second, MAX_BUDGET_CALLS);
        let credited_calls = credited_calls.min(self.creditable_calls.tokens);
        self.creditable_calls.tokens -= credited_calls;
        self.calls.tokens += credited_calls;
        self.calls
            .refill(now, share.calls_per_second, MAX_BUDGET_CALLS);
    }

    /// Returns the number of whole calls that may be sent now.
    pub fn whole_calls(&self) -> usize {
        self.calls.tokens as usize // a negative budget gives 0
    }

    /// Returns whether a call may be sent now.
    pub fn has_call(&self) -> bool {
        self.calls.tokens >= 1.0
    }

    /// Deducts a call that is sent now.
    pub fn spend_call(&mut self) {
        self.calls.tokens -= 1.0;
    }

    /// Deducts the cost of a further message in the same call.
    pub fn spend_batched_message(&mut self) {
        self.calls.tokens -= BATCHED_MESSAGE_COST;
    }

    /// Refunds a call that was deducted but not sent.
    pub fn refund_call(&mut self) {
        self.calls.tokens = (self.calls.tokens + 1.0).min(MAX_BUDGET_CALLS);
    }

    /// Replaces the budget by a fraction of a call. The caller must apply this to a full budget
    /// during a pause, and draw `calls` at random from 0 to 1, so that the forwarders that the same
    /// pause delays don't all call when it ends.
    pub fn randomise(&mut self, calls: f64) {
        self.calls.tokens = calls;
    }
}

#[cfg(test)]
mod tests;
