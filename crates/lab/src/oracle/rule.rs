//! The rules by name, and a broken one with what happened.

use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A rule that a run can break. Outcomes name it by the text that serde writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// No final answer by the deadline.
    Lost,
    /// A second final answer.
    SecondFinalAnswer,
    /// Sent after its final answer.
    SentAfterEnd,
    /// Might take effect twice, or did.
    EffectTwice,
    /// A second attempt while one is in flight.
    #[serde(rename = "two-trips-out")]
    TwoAttemptsInFlight,
    /// More attempts than a message may have.
    #[serde(rename = "too-many-trips")]
    TooManyAttempts,
    /// Sent to an endpoint that the forwarder knew drains or is gone.
    DrainNotKept,
    /// An endpoint fell over under calls of forwarders that had seen it fail.
    PushedOver,
    /// Sent while an earlier message of its order key is not over.
    OrderNotKept,
    /// Sent before the retry-after time was over.
    #[serde(rename = "wait-not-heeded")]
    RetryAfterIgnored,
    /// Sent to an endpoint of another destination, or of none.
    WrongDestination,
    /// More calls in flight than a forwarder may have.
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

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleViolation {
    /// Which rule.
    pub rule: Rule,
    /// µs from the start of the run.
    pub at: Micros,
    /// What happened, for a person.
    pub what: String,
}
