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
    window: VecDeque<Call>,
    /// The largest part of the limit that the calls of one window made up.
    pub largest_part: f64,
    /// The first window beyond the limit, in words.
    pub first_excess: Option<String>,
}

impl FleetBudget {
    pub fn new(rules: ServiceRuleConfig, capacity: f64, returns_at: Micros) -> FleetBudget {
        FleetBudget {
            rules,
            capacity,
            returns_at,
            window: VecDeque::new(),
            largest_part: 0.0,
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
    pub fn count(&mut self, now: Micros, forwarder: usize, saw_failure: &[bool]) {
        if !(self.returns_at..self.warm_at()).contains(&now) {
            return;
        }
        self.forget_before(now);
        self.window.push_back(Call {
            sent_at: now,
            forwarder,
        });
        let calls = self.window.len();
        let knowing = self
            .window
            .iter()
            .filter(|call| saw_failure[call.forwarder])
            .count();
        if 3 * knowing <= 2 * calls {
            return;
        }
        let allowed = self.allowed(now);
        // Two standard deviations of a Poisson count, and two calls for rounding.
        let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
        self.largest_part = self.largest_part.max(calls as f64 / limit);
        if calls as f64 > limit && self.first_excess.is_none() {
            let after = (now - self.returns_at) / MS;
            self.first_excess = Some(format!(
                "{calls} calls, {allowed:.1} allowed, limit {limit:.1}, {after} ms after the return"
            ));
        }
    }

    fn forget_before(&mut self, now: Micros) {
        while let Some(oldest) = self.window.front() {
            if oldest.sent_at + self.rules.overload_window > now {
                return;
            }
            self.window.pop_front();
        }
    }

    /// Calls in one overload window at which the destination does not fall over.
    fn allowed(&self, now: Micros) -> f64 {
        let rules = &self.rules;
        let warmth = (now - self.returns_at) as f64 / rules.warm_up_time as f64;
        let share = rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warmth;
        let seconds = rules.overload_window as f64 / 1e6;
        rules.overload_multiple * share * self.capacity * seconds
    }
}
