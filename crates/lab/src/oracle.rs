//! The oracle checks the platform's six rules and the final answers from outside a forwarder, on the simulated clock and on
//! sockets. It observes the answers to clients, the calls that reach the receivers, and the endpoint statuses and retry-after
//! times that forwarders were notified of. It has no access to a forwarder's decisions.
//!
//! A submission is one message as submitted to one forwarder; a resubmission by the client is a new submission. A submission
//! is removed from the tables some time after its deadline, once none of its calls is in flight. A retry-after time, a drain
//! and an order key are removed when they end.
//!
//! `rule` defines the rules, `submissions` tracks final answers, `calls` judges each call, and `limits` holds the drains and
//! retry-after times that forwarders were notified of.

mod calls;
mod limits;
mod rule;
mod submissions;

pub use calls::SentCall;
pub use rule::{Rule, RuleViolation};
pub use submissions::{CallEffect, FinalAnswer, SubmissionRecord};

use crate::receivers::OverloadFailure;
use crate::scenario::{DeliveryClass, Scenario};
use limits::NotifiedLimits;
use opalpulley::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use submissions::TrackedSubmission;

/// Time for which a submission is kept after its deadline, µs, so that a late call is not mistaken for a call of an unknown
/// submission.
const RETENTION_AFTER_DEADLINE: Micros = 60_000_000;
/// Upper bound on the violations that are kept with their description. Further violations are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 20;

/// Judges one run. Owned by the simulation, or by the shared state of a run on sockets.
pub struct Oracle {
    classes: Vec<DeliveryClass>,
    answer_slack: Micros,
    max_attempts: u32,
    concurrency_limit: u32,
    /// Upper bound on the delay between an action of a forwarder and its observation, µs; 0 on the simulated clock.
    observation_slack: Micros,
    submissions: HashMap<u64, TrackedSubmission>,
    /// Submissions by deadline. An entry is removed once the deadline has passed, and is scheduled again while no answer is
    /// due yet.
    by_deadline: BTreeSet<(Micros, u64)>,
    /// Submissions whose deadline has passed, each with the instant of its removal from `submissions`, µs.
    expired: VecDeque<(Micros, u64)>,
    limits: NotifiedLimits,
    /// Submissions by forwarder and order key, in the order of submission. A submission is removed once it has ended and has
    /// no call in flight.
    ordered_queues: HashMap<(u32, u64), VecDeque<u64>>,
    /// Number of calls in flight, by forwarder.
    calls_in_flight: HashMap<u32, u32>,
    /// When each message took effect, µs. Idempotent messages are not tracked.
    effect_times: HashMap<u64, Micros>,
    effects_by_age: VecDeque<(Micros, u64)>,
    /// Time for which an effect is kept, µs.
    effect_retention: Micros,
    /// Instant until which a forwarder that is down, paused or restarting may be late with final answers, µs.
    excused_until: HashMap<u32, Micros>,
    /// The first violations, `MAX_RECORDED_VIOLATIONS` at most.
    pub violations: Vec<RuleViolation>,
    /// Number of violations of each rule.
    pub violation_counts: BTreeMap<Rule, u64>,
}

impl Oracle {
    /// Creates an oracle for a scenario. `observation_slack` is the upper bound on the delay between an action and its
    /// observation, µs; it is granted in addition to the tolerances of the rules.
    pub fn new(scenario: &Scenario, observation_slack: Micros) -> Oracle {
        Oracle {
            classes: scenario.classes.clone(),
            answer_slack: scenario.rules.answer_slack.0,
            max_attempts: scenario.forwarders.max_attempts,
            concurrency_limit: scenario.forwarders.concurrency_limit,
            observation_slack,
            submissions: HashMap::new(),
            by_deadline: BTreeSet::new(),
            expired: VecDeque::new(),
            limits: NotifiedLimits::new(scenario.rules.drain_grace.0, observation_slack),
            ordered_queues: HashMap::new(),
            calls_in_flight: HashMap::new(),
            effect_times: HashMap::new(),
            effects_by_age: VecDeque::new(),
            effect_retention: scenario.max_time_to_live() + RETENTION_AFTER_DEADLINE,
            excused_until: HashMap::new(),
            violations: Vec::new(),
            violation_counts: BTreeMap::new(),
        }
    }

    /// Disables the check of the concurrency limit. On sockets the end of a call that its forwarder has closed is observed
    /// late, so the number of calls in flight is not known exactly.
    pub fn for_sockets(mut self) -> Oracle {
        self.concurrency_limit = u32::MAX;
        self
    }

    /// Counts a violation, and keeps its description if it is one of the first.
    pub fn record_violation(&mut self, rule: Rule, at: Micros, description: String) {
        *self.violation_counts.entry(rule).or_default() += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.violations.push(RuleViolation {
                rule,
                at,
                what: description,
            });
        }
    }

    /// Records a violation for each overload failure that was caused by forwarders that had seen the endpoint fail. Other
    /// overload failures break no rule.
    pub fn judge_overload_failures(&mut self, overload_failures: &[OverloadFailure]) {
        for failure in overload_failures
            .iter()
            .filter(|failure| failure.caused_by_witnesses)
        {
            let description = format!(
                "endpoint {} failed from overload: {} calls in the window, {:.1} allowed",
                failure.endpoint, failure.calls, failure.overload_limit
            );
            self.record_violation(Rule::PushedOver, failure.at, description);
        }
    }

    /// Returns the number of violations of each rule, by the rule's name in outcomes.
    pub fn violation_counts_by_name(&self) -> BTreeMap<String, u64> {
        let counts = self.violation_counts.iter();
        counts
            .map(|(rule, count)| (rule.to_string(), *count))
            .collect()
    }

    /// Returns the number of accepted submissions without a final answer.
    pub fn unanswered_submissions(&self) -> usize {
        let submissions = self.submissions.values();
        submissions
            .filter(|submission| submission.accepted && submission.ended_at.is_none())
            .count()
    }

    /// Returns the number of entries in the tables whose size must not grow with the length of a run.
    pub fn table_entries(&self) -> usize {
        self.submissions.len()
            + self.effect_times.len()
            + self.ordered_queues.len()
            + self.limits.retry_after_count()
    }
}

#[cfg(test)]
mod tests;
