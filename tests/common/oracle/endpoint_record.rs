//! The health of one endpoint as the service rules define it, and the rule on calls to an endpoint
//! that returns from an outage.

use super::super::CheckResult;
use opalpulley::*;
use std::collections::BTreeSet;

/// Number of consecutive failed calls at which an endpoint counts as failing.
const OUTAGE_FAILURE_THRESHOLD: u32 = 3;

/// Calls beyond the slow-start budget that are tolerated, because chance and rounding may add them.
const SLACK_CALLS: f64 = 2.0;

/// Tracks the calls to one endpoint and its health. Owned by the oracle.
#[derive(Default)]
pub struct EndpointRecord {
    /// Number of consecutive failed calls.
    consecutive_failures: u32,
    /// Times in µs at which the calls were sent whose outcome was counted.
    counted_calls_sent_at: BTreeSet<Micros>,
    is_failing: bool,
    /// Time in µs at which the forwarder last learned that the endpoint fails or has returned.
    state_known_since: Micros,
    /// Time in µs of the first response after an outage.
    returned_at: Option<Micros>,
    /// Times in µs at which calls and health checks were sent within the last overload window.
    calls_sent_at: Vec<Micros>,
}

impl EndpointRecord {
    /// Counts the outcome of a call. Messages that were sent together in a batch count once.
    pub fn observe_outcome(
        &mut self,
        now: Micros,
        sent_at: Micros,
        outcome: Outcome,
        has_batches: bool,
    ) {
        let is_first_of_call = self.counted_calls_sent_at.insert(sent_at);
        if has_batches && !is_first_of_call {
            return;
        }
        match outcome {
            Outcome::Delivered => {
                if self.is_failing {
                    self.is_failing = false;
                    self.returned_at = Some(now);
                    self.state_known_since = now;
                }
                self.consecutive_failures = 0;
            }
            Outcome::Error | Outcome::Timeout | Outcome::ConnectionReset => {
                self.consecutive_failures += 1
            }
            _ => {}
        }
        if self.consecutive_failures >= OUTAGE_FAILURE_THRESHOLD && !self.is_failing {
            self.is_failing = true;
            self.state_known_since = now;
        }
    }

    /// Counts a call or a health check that is sent now, and checks the slow-start budget.
    ///
    /// Rule: to an endpoint that fails or warms up, the forwarder sends no more than its part of
    /// the fleet's slow-start budget. Calls do not count if they were sent before the forwarder
    /// knew that the endpoint fails or has returned. `rate` is in calls per second.
    pub fn check_slow_start(
        &mut self,
        now: Micros,
        rate: f32,
        has_batches: bool,
        config: &Config,
    ) -> CheckResult {
        let rules = &config.rules;
        self.calls_sent_at
            .retain(|sent_at| sent_at + rules.overload_window > now);
        if !has_batches || self.calls_sent_at.last() != Some(&now) {
            self.calls_sent_at.push(now);
        }
        let Some(warm_up_progress) = self.warm_up_progress(now, rules) else {
            return Ok(());
        };
        let capacity_share =
            rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warm_up_progress;
        let window_seconds = rules.overload_window as f64 / 1e6;
        let budget = rules.overload_multiple * capacity_share * f64::from(rate) * window_seconds;
        let limit = budget / f64::from(config.fleet_size) + SLACK_CALLS;
        let is_counted = |sent_at: &&Micros| **sent_at >= self.state_known_since;
        let calls = self.calls_sent_at.iter().filter(is_counted).count();
        if calls as f64 > limit {
            return Err(format!(
                "{calls} calls to an endpoint that fails or warms up, expected at most {limit}"
            ));
        }
        Ok(())
    }

    /// Returns the progress of the warm-up from 0 to 1, which is 0 while the endpoint fails, or
    /// `None` if the endpoint is warm.
    fn warm_up_progress(&self, now: Micros, rules: &ServiceRuleConfig) -> Option<f64> {
        if self.is_failing {
            return Some(0.0);
        }
        let since_return = now - self.returned_at?;
        let warm_up_progress = since_return as f64 / rules.warm_up_time as f64;
        (warm_up_progress > 0.0 && warm_up_progress < 1.0).then_some(warm_up_progress)
    }
}
