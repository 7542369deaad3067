//! What a fleet may send to a destination that warms up.

use super::common::MS;
use opalpulley::*;
use std::collections::VecDeque;

/// A call or a health check.
struct Call {
    sent_at: Micros,
    /// The number of its forwarder.
    forwarder: usize,
}

/// The calls and health checks of the whole fleet, compared with the limit.
pub struct FleetBudget {
    rules: ServiceRuleConfig,
    /// Calls per second that the destination takes when it is warm.
    capacity: f64,
    /// When the destination returns.
    returns_at: Micros,
    /// Those since the return, within the last overload window.
    recent_calls: VecDeque<Call>,
    /// The largest part of the limit that the calls of one window made up.
    pub max_limit_share: f64,
    /// The first window beyond the limit, in words.
    pub first_excess: Option<String>,
}

impl FleetBudget {
    pub fn new(rules: ServiceRuleConfig, capacity: f64, returns_at: Micros) -> FleetBudget {
        FleetBudget {
            rules,
            capacity,
            returns_at,
            recent_calls: VecDeque::new(),
            max_limit_share: 0.0,
            first_excess: None,
        }
    }

    /// When the destination is warm.
    pub fn warm_at(&self) -> Micros {
        self.returns_at + self.rules.warm_up_time
    }

    /// Counts a call or a health check, if the destination warms up. `saw_failure` says of each
    /// forwarder whether it has seen the destination fail.
    ///
    /// A window counts only if more than two thirds of its calls come from such forwarders: the
    /// others can't know that the destination warms up.
    pub fn record_call(&mut self, now: Micros, forwarder: usize, saw_failure: &[bool]) {
        if !(self.returns_at..self.warm_at()).contains(&now) {
            return;
        }
        self.remove_expired(now);
        self.recent_calls.push_back(Call {
            sent_at: now,
            forwarder,
        });
        let calls = self.recent_calls.len();
        let informed_calls = self
            .recent_calls
            .iter()
            .filter(|call| saw_failure[call.forwarder])
            .count();
        if 3 * informed_calls <= 2 * calls {
            return;
        }
        let allowed_calls = self.allowed_calls(now);
        // Two standard deviations of a Poisson count, and two calls for rounding.
        let limit = allowed_calls + 2.0 * allowed_calls.sqrt() + 2.0;
        self.max_limit_share = self.max_limit_share.max(calls as f64 / limit);
        if calls as f64 > limit && self.first_excess.is_none() {
            let elapsed_ms = (now - self.returns_at) / MS;
            self.first_excess = Some(format!(
                "{calls} calls, {allowed_calls:.1} allowed, limit {limit:.1}, {elapsed_ms} ms after the return"
            ));
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some(oldest) = self.recent_calls.front() {
            if oldest.sent_at + self.rules.overload_window > now {
                return;
            }
            self.recent_calls.pop_front();
        }
    }

    /// Calls in one overload window at which the destination does not fall over.
    fn allowed_calls(&self, now: Micros) -> f64 {
        let rules = &self.rules;
        let warm_up_progress = (now - self.returns_at) as f64 / rules.warm_up_time as f64;
        let capacity_share =
            rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warm_up_progress;
        let window_seconds = rules.overload_window as f64 / 1e6;
        rules.overload_multiple * capacity_share * self.capacity * window_seconds
    }
}
