//! Judges each call when it is sent: its destination and endpoint, its attempt number, its order, and the limits that bind it.

use super::submissions::{CallEffect, TrackedSubmission};
use super::{Oracle, Rule};
use crate::scenario::DeliverySemantics;
use opalpulley::Micros;

/// A call at the time when it is sent.
#[derive(Clone, Copy, Debug)]
pub struct SentCall {
    /// The number of the submission whose message the call carries.
    pub submission: u64,
    /// The number of the forwarder that sends the call.
    pub forwarder: u32,
    /// The number of the destination that the endpoint belongs to.
    pub destination: u32,
    /// The index of the endpoint in the layout.
    pub endpoint: usize,
    /// The incarnation of the endpoint: each new endpoint at the same address has the next number.
    pub incarnation: u32,
    /// The index of the rate limiter that the endpoint shares.
    pub limiter: usize,
}

impl Oracle {
    /// Judges a call that was sent at `now`, or on sockets received at `now`, and counts it as in flight. The caller reports
    /// its end with `call_ended`.
    pub fn call_sent(&mut self, call: SentCall, now: Micros) {
        let SentCall {
            submission: submission_number,
            forwarder,
            endpoint,
            ..
        } = call;
        let Some(submission) = self.submissions.get(&submission_number).cloned() else {
            let description = format!(
                "message {submission_number} to endpoint {endpoint}: unknown, or ended long ago"
            );
            return self.record_violation(Rule::SentAfterEnd, now, description);
        };
        let description =
            format!("message {submission_number} of forwarder {forwarder} to endpoint {endpoint}");
        self.judge_attempt(&submission, call, now, &description);
        self.judge_repeat(&submission, now, &description);
        self.check_limits(
            forwarder,
            endpoint,
            call.incarnation,
            call.limiter,
            now,
            &description,
        );
        self.judge_order(&submission, call, now, &description);
        self.judge_concurrency(forwarder, now, &description);
        if let Some(submission) = self.submissions.get_mut(&submission_number) {
            submission.calls_in_flight += 1;
            submission.attempt_count += 1;
        }
    }

    /// Checks the destination, the final answer, concurrent attempts and the number of attempts.
    fn judge_attempt(
        &mut self,
        submission: &TrackedSubmission,
        call: SentCall,
        now: Micros,
        description: &str,
    ) {
        if submission.record.destination != call.destination {
            let description = format!("{description}: the endpoint belongs to another destination");
            self.record_violation(Rule::WrongDestination, now, description);
        }
        if self.is_after_end(submission, now) {
            let description = format!("{description}: the message already has its final answer");
            self.record_violation(Rule::SentAfterEnd, now, description);
        }
        if submission.calls_in_flight > 0 {
            let description = format!("{description}: an attempt is still in flight");
            self.record_violation(Rule::TwoAttemptsInFlight, now, description);
        }
        if submission.attempt_count >= self.max_attempts {
            let description = format!("{description}: attempt {}", submission.attempt_count + 1);
            self.record_violation(Rule::TooManyAttempts, now, description);
        }
    }

    /// Returns whether a call at `now` was sent after a final answer that the forwarder knows of.
    fn is_after_end(&self, submission: &TrackedSubmission, now: Micros) -> bool {
        let Some(ended_at) = submission.ended_at else {
            return false;
        };
        // Without slack, calls and answers are observed on one clock, and a call observed at the instant of the answer was sent
        // after it.
        let seen_after_end = match self.observation_slack {
            0 => now >= ended_at,
            observation_slack => now > ended_at + observation_slack,
        };
        let end_known = submission.accepted || !submission.no_answer_owed;
        seen_after_end && end_known && !submission.unacknowledged
    }

    /// Checks that a repeated call can't take effect a second time.
    fn judge_repeat(&mut self, submission: &TrackedSubmission, now: Micros, description: &str) {
        let Some(first_sent_at) = submission.possible_effect_sent_at else {
            return;
        };
        let class = &self.classes[usize::from(submission.record.class)];
        match class.semantics {
            DeliverySemantics::AtMostOnce => {
                let description = format!("{description}: the class is at-most-once, and an earlier attempt may have taken effect");
                self.record_violation(Rule::EffectTwice, now, description);
            }
            DeliverySemantics::IdempotencyKeyed
                if now > first_sent_at + class.window.0 + self.observation_slack =>
            {
                let description = format!(
                    "{description}: the window in which receivers recognize a repeat has ended"
                );
                self.record_violation(Rule::EffectTwice, now, description);
            }
            _ => {}
        }
    }

    /// Checks that every earlier message of the same order key has ended.
    fn judge_order(
        &mut self,
        submission: &TrackedSubmission,
        call: SentCall,
        now: Micros,
        description: &str,
    ) {
        let ordered = self.classes[usize::from(submission.record.class)].ordered;
        let Some(key) = submission.record.order_key.filter(|_| ordered) else {
            return;
        };
        let Some(queue) = self.ordered_queues.get(&(call.forwarder, key)) else {
            return;
        };
        let mut earlier_submissions = queue
            .iter()
            .take_while(|submission_number| **submission_number != call.submission);
        let is_unfinished = |submission_number: &u64| {
            let earlier = self.submissions.get(submission_number);
            earlier.is_some_and(|earlier| earlier.ended_at.is_none() || earlier.calls_in_flight > 0)
        };
        if earlier_submissions.any(is_unfinished) {
            let description =
                format!("{description}: an earlier message of its order key has not ended");
            self.record_violation(Rule::OrderNotKept, now, description);
        }
    }

    /// Counts the call as in flight, and checks the concurrency limit of its forwarder.
    fn judge_concurrency(&mut self, forwarder: u32, now: Micros, description: &str) {
        let in_flight = self.calls_in_flight.entry(forwarder).or_default();
        *in_flight += 1;
        let in_flight = *in_flight;
        if in_flight > self.concurrency_limit {
            let description = format!("{description}: {in_flight} calls in flight");
            self.record_violation(Rule::TooManyInFlight, now, description);
        }
    }

    /// Checks the drain and the retry-after time that bind a call. Both bind at the time when the bytes of the call leave,
    /// even if the forwarder chose the endpoint earlier.
    pub fn check_limits(
        &mut self,
        forwarder: u32,
        endpoint: usize,
        incarnation: u32,
        limiter: usize,
        now: Micros,
        description: &str,
    ) {
        if self
            .limits
            .violates_drain(forwarder, endpoint, incarnation, now)
        {
            let description = format!("{description}: the endpoint is draining or removed");
            self.record_violation(Rule::DrainNotKept, now, description);
        }
        let description = format!("{description}: the retry-after time has not elapsed");
        self.check_retry_after(forwarder, limiter, now, &description);
    }

    /// Checks the retry-after time that binds calls and health checks alike. `description` is recorded with
    /// a violation.
    pub fn check_retry_after(
        &mut self,
        forwarder: u32,
        limiter: usize,
        now: Micros,
        description: &str,
    ) {
        if self.limits.violates_retry_after(forwarder, limiter, now) {
            self.record_violation(Rule::RetryAfterIgnored, now, description.to_owned());
        }
    }

    /// Subtracts an attempt that was withdrawn before its bytes were sent from the attempt count of its submission.
    pub fn withdrawn_before_send(&mut self, submission: u64) {
        if let Some(submission) = self.submissions.get_mut(&submission) {
            submission.attempt_count = submission.attempt_count.saturating_sub(1);
        }
    }

    /// Counts a call as no longer in flight. `sent_at` is when it was sent, µs; `effect` is what its outcome tells the forwarder
    /// about an effect.
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

    /// Records that a forwarder was notified at `now` whether this incarnation of an endpoint takes new calls.
    pub fn endpoint_status_notified(
        &mut self,
        forwarder: u32,
        endpoint: usize,
        incarnation: u32,
        ready: bool,
        now: Micros,
    ) {
        self.limits
            .set_ready(forwarder, endpoint, incarnation, ready, now);
    }

    /// Records that a forwarder was notified at `now` of a retry-after time, which elapses at `until`, µs.
    pub fn retry_after_notified(
        &mut self,
        forwarder: u32,
        limiter: usize,
        now: Micros,
        until: Micros,
    ) {
        self.limits.set_retry_after(forwarder, limiter, now, until);
    }

    /// Returns whether a call of the submission is in flight.
    pub fn has_call_in_flight(&self, submission: u64) -> bool {
        let submission = self.submissions.get(&submission);
        submission.is_some_and(|submission| submission.calls_in_flight > 0)
    }

    /// Returns the number of attempts of the submission, without those withdrawn before they were sent.
    pub fn attempt_count(&self, submission: u64) -> u32 {
        let submission = self.submissions.get(&submission);
        submission.map_or(0, |submission| submission.attempt_count)
    }
}
