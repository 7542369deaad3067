//! The health of one endpoint as the rules see it, and the rule on calls to an endpoint that
//! returns from an outage.

use super::super::Checked;
use opalpulley::*;
use std::collections::BTreeSet;

/// Failures in a row from which an endpoint counts as failing.
const FAILURES_OF_AN_OUTAGE: u32 = 3;

/// Calls beyond the budget that are allowed: what chance and rounding may add.
const SLACK_CALLS: f64 = 2.0;

/// What happened at one endpoint.
#[derive(Default)]
pub struct EndpointRecord {
    /// Calls that failed in a row.
    consecutive_failures: u32,
    /// When the calls were sent whose outcome was counted.
    counted: BTreeSet<Micros>,
    is_failing: bool,
    /// Since when the forwarder knows whether the endpoint fails.
    known_since: Micros,
    /// The first answer after an outage.
    returned_at: Option<Micros>,
    /// When calls and health checks were sent, within the last overload window.
    sent_at: Vec<Micros>,
}

impl EndpointRecord {
    /// Counts the outcome of a call. Messages sent together in a batch count once.
    pub fn observe_outcome(
        &mut self,
        now: Micros,
        sent_at: Micros,
        outcome: Outcome,
        has_batches: bool,
    ) {
        let is_first_of_call = self.counted.insert(sent_at);
        if has_batches && !is_first_of_call {
            return;
        }
        match outcome {
            Outcome::Delivered => {
                if self.is_failing {
                    self.is_failing = false;
                    self.returned_at = Some(now);
                    self.known_since = now;
                }
                self.consecutive_failures = 0;
            }
            Outcome::Error | Outcome::Timeout | Outcome::ConnectionReset => {
                self.consecutive_failures += 1
            }
            _ => {}
        }
        if self.consecutive_failures >= FAILURES_OF_AN_OUTAGE && !self.is_failing {
            self.is_failing = true;
            self.known_since = now;
        }
    }

    /// Counts a call or a health check that is sent now.
    ///
    /// Rule: to an endpoint that fails or warms up, the forwarder sends no more than its part of
    /// the fleet's slow-start budget, plus the calls in flight before the outage was known. `rate`
    /// is in calls per second.
    pub fn check_slow_start(
        &mut self,
        now: Micros,
        rate: f32,
        has_batches: bool,
        config: &Config,
    ) -> Checked {
        let rules = &config.rules;
        self.sent_at
            .retain(|sent_at| sent_at + rules.overload_window > now);
        if !has_batches || self.sent_at.last() != Some(&now) {
            self.sent_at.push(now);
        }
        let Some(warmth) = self.warmth(now, rules) else {
            return Ok(());
        };
        let share = rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warmth;
        let window = rules.overload_window as f64 / 1e6;
        let budget = rules.overload_multiple * share * f64::from(rate) * window;
        let limit = budget / f64::from(config.fleet_size) + SLACK_CALLS;
        let since_known = |sent_at: &&Micros| **sent_at >= self.known_since;
        let calls = self.sent_at.iter().filter(since_known).count();
        if calls as f64 > limit {
            return Err(format!(
                "{calls} calls to an endpoint that warms up, at most {limit}"
            ));
        }
        Ok(())
    }

    /// How far an endpoint that fails or warms up has come, from 0 to 1. None if it is warm.
    fn warmth(&self, now: Micros, rules: &ServiceRuleConfig) -> Option<f64> {
        if self.is_failing {
            return Some(0.0);
        }
        let since_return = now - self.returned_at?;
        let warmth = since_return as f64 / rules.warm_up_time as f64;
        (warmth > 0.0 && warmth < 1.0).then_some(warmth)
    }
}
