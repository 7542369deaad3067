//! Outlier detection: when an endpoint is ejected, and when it counts as degraded.
//!
//! An endpoint is ejected after several consecutive failures, if most of its latest attempts
//! failed, if it responds to none of several calls, or if it sends a retry-after that is longer
//! than an overload lasts. The first delivered message readmits the endpoint. A successful health
//! check only allows a trial with a message ([`super::health_check`]). Failed connections alone are
//! no evidence of an outage while other calls succeed, because the endpoint's connection table may
//! be full.
//!
//! The inputs are outcomes of attempts, and times in µs. See `docs/design.md`.

use super::attempt_timeout::SILENCE_THRESHOLD;
use crate::model::{Micros, Outcome};
use std::collections::VecDeque;

/// Number of latest outcomes by which an endpoint is judged. At one call per second, the verdict
/// changes within seconds.
pub const OUTCOME_WINDOW_SIZE: usize = 8;
/// An endpoint with fewer successes than this in a full window is ejected: most attempts failed.
const EJECT_BELOW_SUCCESSES: usize = 4;
/// Number of consecutive failures or rejections from which an endpoint is ejected. Three are seldom
/// a coincidence.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Number of consecutive failures from which an endpoint is ejected if this forwarder's share of
/// its allowed load is negligible, or would be if the endpoint were cold. The retries of a large
/// fleet add up.
const EJECT_AFTER_FAILURES_NEGLIGIBLE_SHARE: u32 = 2;
/// Upper bound on the consecutive failed connections that are excused while other calls succeed.
const MAX_EXCUSED_CONNECTION_FAILURES: u32 = 4;
/// Number of failures in the window from which an endpoint is degraded. One may be a coincidence.
const DEGRADED_FAILURES: usize = 2;
/// Number of calls without a response beyond the latency bound from which an endpoint is ejected.
const EJECT_AFTER_UNANSWERED_CALLS: usize = 2;

/// Time after a response during which failed connections are excused, in µs.
pub const CONNECTION_GRACE: Micros = 2 * SILENCE_THRESHOLD;

/// Holds the latest outcomes of an endpoint: at most [`OUTCOME_WINDOW_SIZE`].
#[derive(Clone, Debug, Default)]
pub struct OutcomeWindow {
    /// Whether each attempt was successful, the newest first.
    successes: VecDeque<bool>,
}

impl OutcomeWindow {
    /// Adds an outcome. The oldest outcome is dropped if the window is full.
    pub fn record(&mut self, success: bool) {
        self.successes.push_front(success);
        self.successes.truncate(OUTCOME_WINDOW_SIZE);
    }

    /// Removes all outcomes.
    pub fn clear(&mut self) {
        self.successes.clear();
    }

    /// Returns the number of outcomes in the window.
    pub fn len(&self) -> usize {
        self.successes.len()
    }

    /// Returns the number of failures in the window.
    pub fn failures(&self) -> usize {
        self.successes.iter().filter(|success| !**success).count()
    }

    /// Returns whether the window is full and most of its outcomes are failures.
    fn has_mostly_failures(&self) -> bool {
        self.len() == OUTCOME_WINDOW_SIZE && self.len() - self.failures() < EJECT_BELOW_SUCCESSES
    }

    /// Encodes each outcome as one bit: 1 for a success, the newest outcome in the lowest bit.
    pub fn to_bits(&self) -> u8 {
        self.successes
            .iter()
            .enumerate()
            .fold(0, |bits, (index, success)| {
                bits | u8::from(*success) << index
            })
    }

    /// Decodes `len` outcomes from the bits that [`OutcomeWindow::to_bits`] returned. `len` must be
    /// at most [`OUTCOME_WINDOW_SIZE`].
    pub fn from_bits(bits: u8, len: u8) -> OutcomeWindow {
        OutcomeWindow {
            successes: (0..len).map(|index| bits >> index & 1 == 1).collect(),
        }
    }
}

/// The consequence of an outcome for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint keeps its health state.
    Keep,
    /// The caller must eject the endpoint.
    Eject,
}

/// The conditions under which an outcome is judged.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeContext {
    /// The current time, in µs.
    pub now: Micros,
    /// Time for which a destination must be overloaded to fail, in µs. Rejections over a shorter
    /// time come from a rate limit and not from an outage.
    pub overload_window: Micros,
    /// Whether this forwarder's share of the endpoint's allowed load is negligible. For a healthy
    /// endpoint: whether the share would be negligible if the endpoint were cold.
    pub is_share_negligible: bool,
}

/// Accumulates the outcomes of the attempts at one endpoint, which owns it.
#[derive(Clone, Debug, Default)]
pub struct FailureAccrual {
    /// The latest outcomes that count as a success or a failure.
    pub window: OutcomeWindow,
    /// Number of failures and rejections since the last success. Excused connection failures are
    /// not counted.
    pub consecutive_failures: u32,
    /// Number of excused connection failures since the last response.
    pub excused_connection_failures: u32,
    /// Time of the first of the consecutive failures; without one, the time of the last outcome.
    pub failure_run_started_at: Micros,
    /// Time of the last response that accepted or rejected a request, in µs. For a new endpoint,
    /// the owner sets the time from which the grace for failed connections counts.
    pub last_response_at: Micros,
}

impl FailureAccrual {
    /// Records the outcome of an attempt, and returns whether the endpoint must be ejected.
    pub fn record(&mut self, outcome: Outcome, context: OutcomeContext) -> Verdict {
        let now = context.now;
        if self.consecutive_failures == 0 {
            self.failure_run_started_at = now;
        }
        if matches!(outcome, Outcome::Delivered | Outcome::Rejected { .. }) {
            self.excused_connection_failures = 0;
        }
        match outcome {
            Outcome::NoConnection if self.excuses_connection_failure(now) => {
                self.excused_connection_failures += 1;
                return Verdict::Keep;
            }
            Outcome::WithdrawnBeforeSend | Outcome::NotAttempted { .. } => return Verdict::Keep,
            Outcome::Cancelled if !context.is_share_negligible => return Verdict::Keep,
            Outcome::Delivered => {
                self.last_response_at = now;
                self.consecutive_failures = 0;
            }
            Outcome::Rejected { .. } => {
                self.last_response_at = now;
                self.consecutive_failures += 1;
            }
            _ => self.consecutive_failures += 1,
        }
        let is_rejection = matches!(outcome, Outcome::Rejected { .. });
        if !is_rejection {
            self.window.record(outcome == Outcome::Delivered);
        }
        self.judge(is_rejection, context)
    }

    /// Returns whether a failed connection is excused because other calls have succeeded recently.
    fn excuses_connection_failure(&self, now: Micros) -> bool {
        now < self.last_response_at + CONNECTION_GRACE
            && self.excused_connection_failures < MAX_EXCUSED_CONNECTION_FAILURES
    }

    /// Judges the outcomes so far. `is_rejection` describes the outcome that was recorded last.
    fn judge(&self, is_rejection: bool, context: OutcomeContext) -> Verdict {
        let min_run_duration = if is_rejection {
            context.overload_window
        } else {
            0
        };
        let run_length = self
            .consecutive_failures
            .max(self.excused_connection_failures);
        let is_long_run = run_length >= EJECT_AFTER_FAILURES
            && context.now >= self.failure_run_started_at + min_run_duration;
        let is_run_on_negligible_share = !is_rejection
            && context.is_share_negligible
            && self.consecutive_failures >= EJECT_AFTER_FAILURES_NEGLIGIBLE_SHARE;
        if is_long_run || is_run_on_negligible_share || self.window.has_mostly_failures() {
            Verdict::Eject
        } else {
            Verdict::Keep
        }
    }

    /// Returns whether the endpoint is degraded.
    pub fn is_degraded(&self) -> bool {
        self.window.failures() >= DEGRADED_FAILURES
    }
}

/// Returns whether an endpoint must be ejected because of calls without a response.
///
/// `unanswered_calls` is the number of calls that were sent since the last response and have
/// exceeded the latency bound. The caller must apply this only to a healthy endpoint.
pub fn is_unresponsive(unanswered_calls: usize) -> bool {
    unanswered_calls >= EJECT_AFTER_UNANSWERED_CALLS
}

/// Returns whether a retry-after is longer than an overload lasts. The destination is then treated
/// as unavailable.
pub fn is_long_retry_after(retry_after: Micros, overload_window: Micros) -> bool {
    retry_after > overload_window
}

#[cfg(test)]
mod tests;
