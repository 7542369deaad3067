//! The oracle: the six rules and the final answers, judged from outside, on both clocks. It knows what clients were told,
//! what reached the receivers and what forwarders had been told; it knows nothing of how a forwarder decides.
//!
//! A submission is a message as one forwarder accepted it; a client that submits it again makes a new one. A submission leaves
//! the tables some time after its deadline, once none of its calls is in flight. A retry-after time, a drain and an order key
//! leave as they end.
//!
//! `rule` names the rules, `submissions` follows final answers, `calls` judges each call, `limits` holds what forwarders were
//! told about endpoints.

mod calls;
mod limits;
mod rule;
mod submissions;

pub use calls::SentCall;
pub use rule::{Rule, RuleViolation};
pub use submissions::{CallEffect, FinalAnswer, SubmissionRecord};

use crate::receivers::Fall;
use crate::scenario::{DeliveryClass, Scenario};
use limits::NotifiedLimits;
use opalpulley::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use submissions::TrackedSubmission;

/// A submission stays known for so long after its deadline, µs: late calls must still be told from unknown ones.
const RETENTION_AFTER_DEADLINE: Micros = 60_000_000;
/// Breaks that are kept with all their words; further ones are counted.
const MAX_RECORDED_VIOLATIONS: usize = 20;

/// Judges a run.
pub struct Oracle {
    classes: Vec<DeliveryClass>,
    answer_slack: Micros,
    max_attempts: u32,
    concurrency_limit: u32,
    /// How much later something is seen than it was done, µs.
    observation_slack: Micros,
    submissions: HashMap<u64, TrackedSubmission>,
    /// Submissions by deadline. Each leaves as its deadline has passed; one that is not owed yet is looked at again.
    by_deadline: BTreeSet<(Micros, u64)>,
    /// Submissions whose deadline has passed, each with the time when it is forgotten.
    expired: VecDeque<(Micros, u64)>,
    limits: NotifiedLimits,
    /// Submissions of a forwarder and an order key that are not over, in their order.
    ordered_queues: HashMap<(u32, u64), VecDeque<u64>>,
    /// Calls in flight of each forwarder.
    calls_in_flight: HashMap<u32, u32>,
    /// Messages that took effect, and when.
    effect_times: HashMap<u64, Micros>,
    effects_by_age: VecDeque<(Micros, u64)>,
    /// An effect is remembered for so long, µs.
    effect_retention: Micros,
    /// Until when a forwarder that is down, stopped or just back may be late with final answers.
    excused_until: HashMap<u32, Micros>,
    /// The first broken rules, with what happened.
    pub violations: Vec<RuleViolation>,
    /// How often each rule was broken.
    pub violation_counts: BTreeMap<Rule, u64>,
}

impl Oracle {
    /// `observation_slack`: how much later something is seen than it was done, µs, beside what the rules allow.
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
            effect_retention: scenario.longest_time_to_live() + RETENTION_AFTER_DEADLINE,
            excused_until: HashMap::new(),
            violations: Vec::new(),
            violation_counts: BTreeMap::new(),
        }
    }

    /// On sockets a call that its forwarder has closed is seen to end later: the concurrency limit is not judged there.
    pub fn for_sockets(mut self) -> Oracle {
        self.concurrency_limit = u32::MAX;
        self
    }

    /// Notes that a rule was broken.
    pub fn record_violation(&mut self, rule: Rule, at: Micros, what: String) {
        *self.violation_counts.entry(rule).or_default() += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.violations.push(RuleViolation { rule, at, what });
        }
    }

    /// Judges the endpoints that fell over: a fall breaks a rule where forwarders are to blame.
    pub fn judge_falls(&mut self, falls: &[Fall]) {
        for fall in falls.iter().filter(|fall| fall.blamed) {
            let what = format!(
                "target {} fell over: {} calls in the window, {:.1} allowed",
                fall.endpoint, fall.calls, fall.budget
            );
            self.record_violation(Rule::PushedOver, fall.at, what);
        }
    }

    /// How often each rule was broken, by the rule's name.
    pub fn violation_counts_by_name(&self) -> BTreeMap<String, u64> {
        let counts = self.violation_counts.iter();
        counts
            .map(|(rule, count)| (rule.to_string(), *count))
            .collect()
    }

    /// Accepted submissions that are not over.
    pub fn open_submissions(&self) -> usize {
        let submissions = self.submissions.values();
        submissions
            .filter(|submission| submission.accepted && submission.ended_at.is_none())
            .count()
    }

    /// Entries in all tables.
    pub fn table_entries(&self) -> usize {
        self.submissions.len()
            + self.effect_times.len()
            + self.ordered_queues.len()
            + self.limits.retry_after_count()
    }
}

#[cfg(test)]
mod tests;
