//! The limit on the calls of a fleet to a destination that warms up.

use super::common::MS;
use opalpulley::*;
use std::collections::VecDeque;

/// A call or a health check that was sent.
struct Call {
    sent_at: Micros,
    /// Index of the forwarder that sent it.
    forwarder: usize,
}

/// Counts the calls and health checks of the whole fleet and compares them with the limit. Owned by
/// the fleet.
pub struct FleetBudget {
    rules: ServiceRuleConfig,
    /// Capacity of the destination when it is warm, in calls per second.
    capacity: f64,
    /// Time at which the destination returns, in µs.
    returns_at: Micros,
    /// Calls since the return, within the last overload window.
    recent_calls: VecDeque<Call>,
    /// Largest ratio of the calls in one overload window to the limit.
    pub max_limit_share: f64,
    /// Description of the first overload window whose calls exceeded the limit.
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

    /// Returns the time at which the destination is warm, in µs.
    pub fn warm_at(&self) -> Micros {
        self.returns_at + self.rules.warm_up_time
    }

    /// Counts a call or a health check if the destination is warming up. `saw_failure` holds for
    /// each forwarder whether it has seen the destination fail.
    ///
    /// An overload window counts only if more than two thirds of its calls come from forwarders
    /// that have seen a failure, because the other forwarders cannot know that the destination
    /// warms up.
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
        // The tolerance is two standard deviations of a Poisson count, plus two calls for rounding.
        let limit = allowed_calls + 2.0 * allowed_calls.sqrt() + 2.0;
        self.max_limit_share = self.max_limit_share.max(calls as f64 / limit);
        if calls as f64 > limit && self.first_excess.is_none() {
            let elapsed_ms = (now - self.returns_at) / MS;
            self.first_excess = Some(format!(
                "{calls} calls, {allowed_calls:.1} allowed, limit {limit:.1}, {elapsed_ms} ms \
                 after the return"
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

    /// Returns the number of calls in one overload window that do not overload the destination.
    fn allowed_calls(&self, now: Micros) -> f64 {
        let rules = &self.rules;
        let warm_up_progress = (now - self.returns_at) as f64 / rules.warm_up_time as f64;
        let capacity_share =
            rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warm_up_progress;
        let window_seconds = rules.overload_window as f64 / 1e6;
        rules.overload_multiple * capacity_share * self.capacity * window_seconds
    }
}
