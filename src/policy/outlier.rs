//! When an endpoint is ejected, and when it counts as degraded.
//!
//! An endpoint is ejected after several failures in a row, once most of its latest attempts
//! failed, when it answers none of several calls, or when it asks for a wait that is longer than
//! an overload lasts. The first delivered message readmits it; a successful health check only
//! lets a message try it ([`super::health_check`]). Failed connections alone prove nothing while other calls get through:
//! a connection table may be full.
//! Inputs are outcomes of attempts, times in µs. The rule is ours (`docs/design.md`).

use super::attempt_timeout::SILENCE_THRESHOLD;
use crate::model::{Micros, Outcome};
use std::collections::VecDeque;

/// Latest outcomes that judge an endpoint: at a call per second a verdict turns within seconds.
pub const OUTCOME_WINDOW_SIZE: usize = 8;
/// Fewer successes than this in a full window eject: most attempts failed.
const EJECT_BELOW_SUCCESSES: usize = 4;
/// Failures or rejections in a row from which an endpoint is ejected: chance seldom makes three.
const EJECT_AFTER_FAILURES: u32 = 3;
/// The same where a cold endpoint would get next to nothing: the retries of a large fleet add up.
const EJECT_AFTER_FAILURES_NEGLIGIBLE_BUDGET: u32 = 2;
/// Failed connections in a row that are excused while other calls get through.
const MAX_EXCUSED_CONNECTION_FAILURES: u32 = 4;
/// Failures in the window that make an endpoint degraded: one may be chance.
const DEGRADED_FAILURES: usize = 2;
/// Unanswered calls beyond the latency bound that eject.
const EJECT_AFTER_UNANSWERED_CALLS: usize = 2;

/// After an answer, failed connections prove nothing for this time.
pub const CONNECTION_GRACE: Micros = 2 * SILENCE_THRESHOLD;

/// The latest outcomes of an endpoint, the newest first, [`OUTCOME_WINDOW_SIZE`] at most.
#[derive(Clone, Debug, Default)]
pub struct OutcomeWindow {
    successes: VecDeque<bool>,
}

impl OutcomeWindow {
    /// Takes an outcome in.
    pub fn record(&mut self, success: bool) {
        self.successes.push_front(success);
        self.successes.truncate(OUTCOME_WINDOW_SIZE);
    }

    /// Forgets all outcomes.
    pub fn clear(&mut self) {
        self.successes.clear();
    }

    /// Outcomes in the window.
    pub fn len(&self) -> usize {
        self.successes.len()
    }

    /// Failures in the window.
    pub fn failures(&self) -> usize {
        self.successes.iter().filter(|success| !**success).count()
    }

    fn has_mostly_failures(&self) -> bool {
        self.len() == OUTCOME_WINDOW_SIZE && self.len() - self.failures() < EJECT_BELOW_SUCCESSES
    }

    /// One bit an outcome, the newest in the lowest, 1 for a success.
    pub fn to_bits(&self) -> u8 {
        self.successes
            .iter()
            .enumerate()
            .fold(0, |bits, (index, success)| {
                bits | u8::from(*success) << index
            })
    }

    /// Reads what [`OutcomeWindow::to_bits`] wrote of `len` outcomes.
    pub fn from_bits(bits: u8, len: u8) -> OutcomeWindow {
        OutcomeWindow {
            successes: (0..len).map(|index| bits >> index & 1 == 1).collect(),
        }
    }
}

/// What an outcome comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint stays as it is.
    Keep,
    /// The endpoint is to be ejected.
    Eject,
}

/// Under what conditions an outcome is judged.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeContext {
    /// Now.
    pub now: Micros,
    /// How long a destination is overloaded before it falls over: rejections over a shorter time
    /// come from a limit, not from an outage.
    pub overload_window: Micros,
    /// Whether this forwarder's share of the endpoint is next to nothing. For a healthy endpoint:
    /// whether it would be, if the endpoint were cold.
    pub is_budget_negligible: bool,
}

/// What the outcomes of attempts say of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct FailureAccrual {
    /// The latest outcomes.
    pub window: OutcomeWindow,
    /// Failures and rejections since the last success. Excused connection failures don't count.
    pub consecutive_failures: u32,
    /// Failed connections since the last answer, while other calls got through.
    pub refused_connections: u32,
    /// When the failures in a row began; while there are none, the time of the last outcome.
    pub run_started_at: Micros,
    /// When the endpoint answered last.
    pub last_response_at: Micros,
}

impl FailureAccrual {
    /// Takes the outcome of an attempt in.
    pub fn record(&mut self, outcome: Outcome, context: OutcomeContext) -> Verdict {
        let now = context.now;
        if self.consecutive_failures == 0 {
            self.run_started_at = now;
        }
        if matches!(outcome, Outcome::Delivered | Outcome::Rejected { .. }) {
            self.refused_connections = 0;
        }
        match outcome {
            Outcome::NoConnection if self.excuses_connection_failure(now) => {
                self.refused_connections += 1;
                return Verdict::Keep;
            }
            Outcome::WithdrawnBeforeSend | Outcome::NotAttempted { .. } => return Verdict::Keep,
            Outcome::Cancelled if !context.is_budget_negligible => return Verdict::Keep,
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

    fn excuses_connection_failure(&self, now: Micros) -> bool {
        now < self.last_response_at + CONNECTION_GRACE
            && self.refused_connections < MAX_EXCUSED_CONNECTION_FAILURES
    }

    fn judge(&self, is_rejection: bool, context: OutcomeContext) -> Verdict {
        let min_run_duration = if is_rejection {
            context.overload_window
        } else {
            0
        };
        let run_length = self.consecutive_failures.max(self.refused_connections);
        let is_long_run = run_length >= EJECT_AFTER_FAILURES
            && context.now >= self.run_started_at + min_run_duration;
        let is_run_on_negligible_budget = !is_rejection
            && context.is_budget_negligible
            && self.consecutive_failures >= EJECT_AFTER_FAILURES_NEGLIGIBLE_BUDGET;
        if is_long_run || is_run_on_negligible_budget || self.window.has_mostly_failures() {
            Verdict::Eject
        } else {
            Verdict::Keep
        }
    }

    /// Whether the outcomes make the endpoint degraded.
    pub fn is_degraded(&self) -> bool {
        self.window.failures() >= DEGRADED_FAILURES
    }
}

/// Whether so many calls, sent since the last answer and unanswered beyond the latency bound,
/// eject an endpoint. Only a healthy one is judged by it.
pub fn is_unresponsive(unanswered_calls: usize) -> bool {
    unanswered_calls >= EJECT_AFTER_UNANSWERED_CALLS
}

/// Whether a retry-after is too long for an overload: the destination is taken for shut.
pub fn is_long_retry_after(retry_after: Micros, overload_window: Micros) -> bool {
    retry_after > overload_window
}

#[cfg(test)]
mod tests;
