//! Each call is judged as it is sent: to whom, how often, in which order, within which limits.

use super::submissions::{TookEffect, TrackedSubmission};
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
    pub fn sent(&mut self, call: SentCall, now: Micros) {
        let SentCall {
            submission: number,
            forwarder,
            endpoint,
            ..
        } = call;
        let Some(submission) = self.submissions.get(&number).cloned() else {
            let what =
                format!("message {number} to endpoint {endpoint}: long over or never submitted");
            return self.broken(Rule::SentAfterEnd, now, what);
        };
        let what = format!("message {number} of forwarder {forwarder} to endpoint {endpoint}");
        self.judge_attempt(&submission, call, now, &what);
        self.judge_repeat(&submission, now, &what);
        self.check_bound(forwarder, endpoint, call.holder, call.limiter, now, &what);
        self.judge_order(&submission, call, now, &what);
        self.judge_concurrency(forwarder, now, &what);
        if let Some(submission) = self.submissions.get_mut(&number) {
            submission.in_flight += 1;
            submission.attempts += 1;
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
            self.broken(Rule::WrongDestination, now, what);
        }
        if self.is_after_end(submission, now) {
            let what = format!("{what}: it has its final answer");
            self.broken(Rule::SentAfterEnd, now, what);
        }
        if submission.in_flight > 0 {
            let what = format!("{what}: an attempt is still in flight");
            self.broken(Rule::TwoAttemptsInFlight, now, what);
        }
        if submission.attempts >= self.max_attempts {
            let what = format!("{what}: attempt {}", submission.attempts + 1);
            self.broken(Rule::TooManyAttempts, now, what);
        }
    }

    /// Whether a call at this time was sent after the final answer that the forwarder knows of.
    fn is_after_end(&self, submission: &TrackedSubmission, now: Micros) -> bool {
        let Some(ended) = submission.ended else {
            return false;
        };
        // Without slack both are seen on one clock: what is seen at the same time was sent after the end.
        let after = match self.slack {
            0 => now >= ended,
            slack => now > ended + slack,
        };
        let known = submission.accepted || !submission.void;
        after && known && !submission.unacknowledged
    }

    /// Whether a repeat might take effect a second time.
    fn judge_repeat(&mut self, submission: &TrackedSubmission, now: Micros, what: &str) {
        let Some(first) = submission.possible_effect_since else {
            return;
        };
        let class = &self.classes[usize::from(submission.record.class)];
        match class.semantics {
            DeliverySemantics::AtMostOnce => {
                let what = format!("{what}: binding, and it may have run");
                self.broken(Rule::EffectTwice, now, what);
            }
            DeliverySemantics::IdempotencyKeyed if now > first + class.window.0 + self.slack => {
                let what = format!("{what}: past the window in which repeats are known");
                self.broken(Rule::EffectTwice, now, what);
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
        let Some(key) = submission.record.key.filter(|_| ordered) else {
            return;
        };
        let Some(queue) = self.ordered_queues.get(&(call.forwarder, key)) else {
            return;
        };
        let mut earlier = queue
            .iter()
            .take_while(|number| **number != call.submission);
        let is_open = |number: &u64| {
            let earlier = self.submissions.get(number);
            earlier.is_some_and(|earlier| earlier.ended.is_none() || earlier.in_flight > 0)
        };
        if earlier.any(is_open) {
            let what = format!("{what}: an earlier one of its key is not over");
            self.broken(Rule::OrderNotKept, now, what);
        }
    }

    /// Counts the call, and judges how many its forwarder has in flight.
    fn judge_concurrency(&mut self, forwarder: u32, now: Micros, what: &str) {
        let in_flight = self.in_flight.entry(forwarder).or_default();
        *in_flight += 1;
        let in_flight = *in_flight;
        if in_flight > self.concurrency_limit {
            let what = format!("{what}: {in_flight} calls out");
            self.broken(Rule::TooManyInFlight, now, what);
        }
    }

    /// Drains and retry-after times bind a call as its bytes leave, whenever it was decided.
    pub fn check_bound(
        &mut self,
        forwarder: u32,
        endpoint: usize,
        holder: u32,
        limiter: usize,
        now: Micros,
        what: &str,
    ) {
        if self.limits.drain_broken(forwarder, endpoint, holder, now) {
            let what = format!("{what}: it drains or is gone");
            self.broken(Rule::DrainNotKept, now, what);
        }
        let what = format!("{what}: told to wait");
        self.check_retry_after(forwarder, limiter, now, &what);
    }

    /// A retry-after time binds calls and health checks.
    pub fn check_retry_after(&mut self, forwarder: u32, limiter: usize, now: Micros, what: &str) {
        if self.limits.retry_after_broken(forwarder, limiter, now) {
            self.broken(Rule::RetryAfterIgnored, now, what.to_owned());
        }
    }

    /// An attempt was withdrawn before its bytes left: it counts for nothing.
    pub fn withdrawn_before_send(&mut self, submission: u64) {
        if let Some(submission) = self.submissions.get_mut(&submission) {
            submission.attempts = submission.attempts.saturating_sub(1);
        }
    }

    /// A call is not in flight any more. `took_effect`: what its forwarder can know of its effect; `since`: when it was sent.
    pub fn over(&mut self, number: u64, forwarder: u32, since: Micros, took_effect: TookEffect) {
        if let Some(in_flight) = self.in_flight.get_mut(&forwarder) {
            *in_flight = in_flight.saturating_sub(1);
        }
        if let Some(submission) = self.submissions.get_mut(&number) {
            submission.in_flight = submission.in_flight.saturating_sub(1);
            if took_effect == TookEffect::Perhaps {
                let first = submission.possible_effect_since.unwrap_or(since);
                submission.possible_effect_since = Some(first.min(since));
            }
        }
        self.leave_order(number);
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
    pub fn is_out(&self, submission: u64) -> bool {
        let submission = self.submissions.get(&submission);
        submission.is_some_and(|submission| submission.in_flight > 0)
    }

    /// Attempts that the message has made under this submission.
    pub fn attempts(&self, submission: u64) -> u32 {
        let submission = self.submissions.get(&submission);
        submission.map_or(0, |submission| submission.attempts)
    }
}
