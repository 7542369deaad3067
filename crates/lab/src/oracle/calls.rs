//! Each call is judged as it is sent: to whom, how often, in which order, within which limits.

use super::submissions::{CallEffect, TrackedSubmission};
use super::{Oracle, Rule};
use crate::scenario::DeliverySemantics;
use opalpulley::Micros;

/// A call as it goes out: whose message, from whom, to whom.
#[derive(Clone, Copy, Debug)]
pub struct SentCall {
    /// The submission whose message it carries.
    pub submission: u64,
    /// Who sends it.
    pub forwarder: u32,
    /// The destination of the endpoint.
    pub destination: u32,
    /// Where it goes.
    pub endpoint: usize,
    /// The holder of the endpoint's address.
    pub holder: u32,
    /// The limiter of the endpoint.
    pub limiter: usize,
}

impl Oracle {
    /// A call with a submission's message, sent (or, on sockets, received) at `now`.
    pub fn call_sent(&mut self, call: SentCall, now: Micros) {
        let SentCall {
            submission: submission_number,
            forwarder,
            endpoint,
            ..
        } = call;
        let Some(submission) = self.submissions.get(&submission_number).cloned() else {
            let what = format!(
                "message {submission_number} to endpoint {endpoint}: long over or never submitted"
            );
            return self.record_violation(Rule::SentAfterEnd, now, what);
        };
        let what =
            format!("message {submission_number} of forwarder {forwarder} to endpoint {endpoint}");
        self.judge_attempt(&submission, call, now, &what);
        self.judge_repeat(&submission, now, &what);
        self.check_limits(forwarder, endpoint, call.holder, call.limiter, now, &what);
        self.judge_order(&submission, call, now, &what);
        self.judge_concurrency(forwarder, now, &what);
        if let Some(submission) = self.submissions.get_mut(&submission_number) {
            submission.calls_in_flight += 1;
            submission.attempt_count += 1;
        }
    }

    /// Whether the message may be sent there, at this time, once more.
    fn judge_attempt(
        &mut self,
        submission: &TrackedSubmission,
        call: SentCall,
        now: Micros,
        what: &str,
    ) {
        if submission.record.destination != call.destination {
            let what = format!("{what} of another destination");
            self.record_violation(Rule::WrongDestination, now, what);
        }
        if self.is_after_end(submission, now) {
            let what = format!("{what}: it has its final answer");
            self.record_violation(Rule::SentAfterEnd, now, what);
        }
        if submission.calls_in_flight > 0 {
            let what = format!("{what}: an attempt is still in flight");
            self.record_violation(Rule::TwoAttemptsInFlight, now, what);
        }
        if submission.attempt_count >= self.max_attempts {
            let what = format!("{what}: attempt {}", submission.attempt_count + 1);
            self.record_violation(Rule::TooManyAttempts, now, what);
        }
    }

    /// Whether a call at this time was sent after the final answer that the forwarder knows of.
    fn is_after_end(&self, submission: &TrackedSubmission, now: Micros) -> bool {
        let Some(ended_at) = submission.ended_at else {
            return false;
        };
        // Without slack both are seen on one clock: what is seen at the same time was sent after the end.
        let seen_after_end = match self.observation_slack {
            0 => now >= ended_at,
            observation_slack => now > ended_at + observation_slack,
        };
        let end_known = submission.accepted || !submission.no_answer_owed;
        seen_after_end && end_known && !submission.unacknowledged
    }

    /// Whether a repeat might take effect a second time.
    fn judge_repeat(&mut self, submission: &TrackedSubmission, now: Micros, what: &str) {
        let Some(first_sent_at) = submission.possible_effect_sent_at else {
            return;
        };
        let class = &self.classes[usize::from(submission.record.class)];
        match class.semantics {
            DeliverySemantics::AtMostOnce => {
                let what = format!("{what}: binding, and it may have run");
                self.record_violation(Rule::EffectTwice, now, what);
            }
            DeliverySemantics::IdempotencyKeyed
                if now > first_sent_at + class.window.0 + self.observation_slack =>
            {
                let what = format!("{what}: past the window in which repeats are known");
                self.record_violation(Rule::EffectTwice, now, what);
            }
            _ => {}
        }
    }

    /// Whether an earlier message of the same order key is not over.
    fn judge_order(
        &mut self,
        submission: &TrackedSubmission,
        call: SentCall,
        now: Micros,
        what: &str,
    ) {
        let ordered = self.classes[usize::from(submission.record.class)].ordered;
        let Some(key) = submission.record.order_key.filter(|_| ordered) else {
            return;
        };
        let Some(queue) = self.ordered_queues.get(&(call.forwarder, key)) else {
            return;
        };
        let mut earlier = queue
            .iter()
            .take_while(|submission_number| **submission_number != call.submission);
        let is_open = |submission_number: &u64| {
            let earlier = self.submissions.get(submission_number);
            earlier.is_some_and(|earlier| earlier.ended_at.is_none() || earlier.calls_in_flight > 0)
        };
        if earlier.any(is_open) {
            let what = format!("{what}: an earlier one of its key is not over");
            self.record_violation(Rule::OrderNotKept, now, what);
        }
    }

    /// Counts the call, and judges how many its forwarder has in flight.
    fn judge_concurrency(&mut self, forwarder: u32, now: Micros, what: &str) {
        let in_flight = self.calls_in_flight.entry(forwarder).or_default();
        *in_flight += 1;
        let in_flight = *in_flight;
        if in_flight > self.concurrency_limit {
            let what = format!("{what}: {in_flight} calls out");
            self.record_violation(Rule::TooManyInFlight, now, what);
        }
    }

    /// Drains and retry-after times bind a call as its bytes leave, whenever it was decided.
    pub fn check_limits(
        &mut self,
        forwarder: u32,
        endpoint: usize,
        holder: u32,
        limiter: usize,
        now: Micros,
        what: &str,
    ) {
        if self.limits.violates_drain(forwarder, endpoint, holder, now) {
            let what = format!("{what}: it drains or is gone");
            self.record_violation(Rule::DrainNotKept, now, what);
        }
        let what = format!("{what}: told to wait");
        self.check_retry_after(forwarder, limiter, now, &what);
    }

    /// A retry-after time binds calls and health checks.
    pub fn check_retry_after(&mut self, forwarder: u32, limiter: usize, now: Micros, what: &str) {
        if self.limits.violates_retry_after(forwarder, limiter, now) {
            self.record_violation(Rule::RetryAfterIgnored, now, what.to_owned());
        }
    }

    /// An attempt was withdrawn before its bytes left: it counts for nothing.
    pub fn withdrawn_before_send(&mut self, submission: u64) {
        if let Some(submission) = self.submissions.get_mut(&submission) {
            submission.attempt_count = submission.attempt_count.saturating_sub(1);
        }
    }

    /// A call is not in flight any more. `took_effect`: what its forwarder can know of its effect; `since`: when it was sent.
    pub fn call_ended(
        &mut self,
        submission_number: u64,
        forwarder: u32,
        sent_at: Micros,
        effect: CallEffect,
    ) {
        if let Some(in_flight) = self.calls_in_flight.get_mut(&forwarder) {
            *in_flight = in_flight.saturating_sub(1);
        }
        if let Some(submission) = self.submissions.get_mut(&submission_number) {
            submission.calls_in_flight = submission.calls_in_flight.saturating_sub(1);
            if effect == CallEffect::Possible {
                let first_sent_at = submission.possible_effect_sent_at.unwrap_or(sent_at);
                submission.possible_effect_sent_at = Some(first_sent_at.min(sent_at));
            }
        }
        self.leave_order(submission_number);
    }

    /// A forwarder knows now whether an endpoint (this holder of its address) takes new calls.
    pub fn endpoint_status_notified(
        &mut self,
        forwarder: u32,
        endpoint: usize,
        holder: u32,
        ready: bool,
        now: Micros,
    ) {
        self.limits
            .set_ready(forwarder, endpoint, holder, ready, now);
    }

    /// A forwarder was told that it may send there again at `until`.
    pub fn retry_after_notified(
        &mut self,
        forwarder: u32,
        limiter: usize,
        now: Micros,
        until: Micros,
    ) {
        self.limits.set_retry_after(forwarder, limiter, now, until);
    }

    /// Whether a call with the submission's message is in flight.
    pub fn has_call_in_flight(&self, submission: u64) -> bool {
        let submission = self.submissions.get(&submission);
        submission.is_some_and(|submission| submission.calls_in_flight > 0)
    }

    /// Attempts that the message has made under this submission.
    pub fn attempt_count(&self, submission: u64) -> u32 {
        let submission = self.submissions.get(&submission);
        submission.map_or(0, |submission| submission.attempt_count)
    }
}
