//! The rules that the oracle checks, and the violations that it records.

use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A rule that a run can break. Outcomes name a rule by its serialized text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A message got no final answer by its deadline.
    Lost,
    /// A message got a second final answer.
    SecondFinalAnswer,
    /// A message was sent after its final answer.
    SentAfterEnd,
    /// A message took effect twice, or was sent again when a second effect was possible.
    EffectTwice,
    /// A message was sent while another of its attempts was in flight.
    #[serde(rename = "two-trips-out")]
    TwoAttemptsInFlight,
    /// A message was attempted more often than the configured maximum.
    #[serde(rename = "too-many-trips")]
    TooManyAttempts,
    /// A message was sent to an endpoint that the forwarder knew to be draining or removed.
    DrainNotKept,
    /// An endpoint failed from overload under the calls of forwarders that had seen it fail.
    PushedOver,
    /// A message was sent before an earlier message of its order key had ended.
    OrderNotKept,
    /// A message or health check was sent before the retry-after time had elapsed.
    #[serde(rename = "wait-not-heeded")]
    RetryAfterIgnored,
    /// A message was sent to an endpoint of another destination, or of none.
    WrongDestination,
    /// A forwarder had more calls in flight than its concurrency limit.
    #[serde(rename = "too-many-slots")]
    TooManyInFlight,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = serde_json::to_value(self).ok();
        let name = name.as_ref().and_then(|name| name.as_str());
        f.write_str(name.unwrap_or("rule"))
    }
}

/// One violation of a rule, as it is written to outcomes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleViolation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When the violation was observed, in µs since the start of the run.
    pub at: Micros,
    /// Description for a human reader.
    pub what: String,
}
