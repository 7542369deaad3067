//! Tracks submissions from the client's request to the final answer, and the effects of their messages.

use super::{Oracle, Rule, RETENTION_AFTER_DEADLINE};
use crate::scenario::DeliverySemantics;
use opalpulley::Micros;

/// Upper bound on the time by which, on sockets, the record of a response precedes the moment at which its forwarder can read
/// it, in µs. It is the lateness up to which a run counts.
const RESPONSE_RECORD_LEAD: Micros = 25_000;

/// The final answer that a client gets for an accepted message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The message was delivered.
    Served,
    /// The message was rejected; the client may submit it again.
    Rejected,
    /// The message was not delivered.
    Failed,
}

/// What the outcome of a call tells a forwarder about an effect at the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEffect {
    /// The call took no effect.
    None,
    /// The call may have taken effect.
    Possible,
}

/// A message as a client submits it to a forwarder.
#[derive(Clone, Debug)]
pub struct SubmissionRecord {
    /// The number of the submission.
    pub submission: u64,
    /// The client's number of the message.
    pub message: u64,
    /// The number of the forwarder that it was submitted to.
    pub forwarder: u32,
    /// The deadline, µs.
    pub deadline: Micros,
    /// The index of the delivery class in the scenario.
    pub class: u16,
    /// The number of the destination.
    pub destination: u32,
    /// The order key; present for messages of ordered classes only.
    pub order_key: Option<u64>,
}

/// The state of one submission, from `message_submitted` until it is removed some time after its deadline.
#[derive(Clone, Debug)]
pub(super) struct TrackedSubmission {
    pub record: SubmissionRecord,
    /// Whether the client was told that the message is accepted.
    pub accepted: bool,
    /// Time from which on no final answer is expected, µs; `None` as long as one may follow.
    pub ended_at: Option<Micros>,
    pub answer: Option<FinalAnswer>,
    /// Whether the message was delivered while its forwarder was down or paused. The forwarder may not have learnt of the
    /// delivery, and may end the message once more.
    pub unacknowledged: bool,
    /// Whether, on sockets, an endpoint may have responded at or after the deadline. The forwarder may read the response too
    /// late to count it, and still owes the final answer.
    pub delivered_late: bool,
    /// Whether no final answer is owed: the message was not accepted, its forwarder was lost with its state folder, or a missing
    /// answer was reported already.
    pub no_answer_owed: bool,
    /// When the first call that may have taken effect was sent, µs.
    pub possible_effect_sent_at: Option<Micros>,
    pub calls_in_flight: u32,
    pub attempt_count: u32,
}

impl TrackedSubmission {
    fn new(record: SubmissionRecord) -> TrackedSubmission {
        TrackedSubmission {
            record,
            accepted: false,
            ended_at: None,
            answer: None,
            unacknowledged: false,
            delivered_late: false,
            no_answer_owed: false,
            possible_effect_sent_at: None,
            calls_in_flight: 0,
            attempt_count: 0,
        }
    }
}

impl Oracle {
    /// Starts to track a submission. The caller reports the forwarder's answer with `submission_accepted` or
    /// `submission_refused`.
    pub fn message_submitted(&mut self, record: SubmissionRecord) {
        let submission_number = record.submission;
        self.by_deadline
            .insert((record.deadline, submission_number));
        let class = self.classes.get(usize::from(record.class));
        if let Some(key) = record
            .order_key
            .filter(|_| class.is_some_and(|class| class.ordered))
        {
            let queue = self.ordered_queues.entry((record.forwarder, key));
            queue.or_default().push_back(submission_number);
        }
        self.submissions
            .insert(submission_number, TrackedSubmission::new(record));
    }

    /// Records that the client was told that its message is accepted: a final answer is owed from now on.
    pub fn submission_accepted(&mut self, submission: u64) {
        if let Some(submission) = self.submissions.get_mut(&submission) {
            submission.accepted = true;
        }
    }

    /// Records that the client was told that its message is not accepted, or got no answer: no final answer is owed.
    pub fn submission_refused(&mut self, submission_number: u64, now: Micros) {
        if let Some(submission) = self.submissions.get_mut(&submission_number) {
            submission.ended_at = submission.ended_at.or(Some(now));
            submission.no_answer_owed = true;
        }
        self.leave_order(submission_number);
    }

    /// Records that a forwarder was lost with its state folder: it owes no final answers. Returns the client's numbers of the
    /// messages that it had accepted and that have no final answer, in the order of their submissions.
    pub fn lost_with_folder(&mut self, forwarder: u32, now: Micros) -> Vec<u64> {
        let lost = self.submissions.values().filter(|submission| {
            submission.record.forwarder == forwarder && submission.ended_at.is_none()
        });
        let mut records: Vec<(SubmissionRecord, bool)> = lost
            .map(|submission| (submission.record.clone(), submission.accepted))
            .collect();
        records.sort_unstable_by_key(|(record, _)| record.submission);
        for (record, _) in &records {
            self.submission_refused(record.submission, now);
        }
        let accepted = records.into_iter().filter(|(_, accepted)| *accepted);
        accepted.map(|(record, _)| record.message).collect()
    }

    /// Returns whether the submission already has this answer from an earlier completion report. Always false for `Served`,
    /// which is not reported.
    pub fn already_reported(&self, submission: u64, answer: FinalAnswer) -> bool {
        let submission = self.submissions.get(&submission);
        let known = submission.is_some_and(|submission| submission.answer == Some(answer));
        known && answer != FinalAnswer::Served
    }

    /// Excuses a forwarder from its deadlines until `until`, µs. Replaces an earlier excuse.
    pub fn excuse_until(&mut self, forwarder: u32, until: Micros) {
        self.excused_until.insert(forwarder, until);
    }

    /// Returns whether the forwarder must give its final answers in time at `now`: it is not excused.
    fn is_answer_due(&self, forwarder: u32, now: Micros) -> bool {
        let until = self.excused_until.get(&forwarder);
        until.is_none_or(|until| now > *until)
    }

    /// Records that a forwarder process ended: it has lost its retry-after times, and none of its calls is in flight.
    pub fn process_ended(&mut self, forwarder: u32) {
        self.limits.forget_retry_after(forwarder);
        self.calls_in_flight.remove(&forwarder);
        for submission in self.submissions.values_mut() {
            if submission.record.forwarder == forwarder {
                submission.calls_in_flight = 0;
            }
        }
    }

    /// Returns the submission as the client made it, if it is still tracked.
    pub fn record(&self, submission: u64) -> Option<&SubmissionRecord> {
        let submission = self.submissions.get(&submission)?;
        Some(&submission.record)
    }

    /// Judges a final answer that was given at `now`: whether it is the only one, and whether it is in time.
    pub fn message_ended(&mut self, submission_number: u64, answer: FinalAnswer, now: Micros) {
        let forwarder = self
            .record(submission_number)
            .map_or(0, |record| record.forwarder);
        let answer_due = self.is_answer_due(forwarder, now);
        let allowed_lateness = self.answer_slack + self.observation_slack;
        let is_on_sockets = self.observation_slack > 0;
        let Some(submission) = self.submissions.get_mut(&submission_number) else {
            let description =
                format!("message {submission_number}: {answer:?}, unknown, or ended long ago");
            return self.record_violation(Rule::SecondFinalAnswer, now, description);
        };
        match submission.ended_at {
            Some(_) if submission.no_answer_owed => {}
            Some(_) if submission.unacknowledged => {
                submission.unacknowledged = answer == FinalAnswer::Served;
            }
            Some(_) if submission.delivered_late && answer != FinalAnswer::Served => {
                submission.delivered_late = false;
                submission.answer = Some(answer);
            }
            Some(ended_at) => {
                let description = format!(
                    "message {submission_number}: second final answer {answer:?}, {} us after the first, which came {} us \
                     before the deadline",
                    now.saturating_sub(ended_at),
                    submission.record.deadline.saturating_sub(ended_at)
                );
                self.record_violation(Rule::SecondFinalAnswer, now, description);
            }
            None => {
                submission.ended_at = Some(now);
                submission.answer = Some(answer);
                submission.unacknowledged = !answer_due && answer == FinalAnswer::Served;
                let deadline = submission.record.deadline;
                submission.delivered_late = is_on_sockets
                    && answer == FinalAnswer::Served
                    && now + RESPONSE_RECORD_LEAD >= deadline;
                if answer_due && now > deadline + allowed_lateness {
                    let lateness = now - deadline;
                    let description = format!(
                        "message {submission_number}: final answer {answer:?} {lateness} us after the deadline"
                    );
                    self.record_violation(Rule::Lost, now, description);
                }
            }
        }
        self.leave_order(submission_number);
    }

    /// Removes a submission from the queue of its order key once it has ended and has no call in flight.
    pub(super) fn leave_order(&mut self, submission_number: u64) {
        let Some(submission) = self.submissions.get(&submission_number) else {
            return;
        };
        if submission.ended_at.is_none() || submission.calls_in_flight > 0 {
            return;
        }
        let Some(key) = submission.record.order_key else {
            return;
        };
        let queue_key = (submission.record.forwarder, key);
        if let Some(queue) = self.ordered_queues.get_mut(&queue_key) {
            queue.retain(|other| *other != submission_number);
            if queue.is_empty() {
                self.ordered_queues.remove(&queue_key);
            }
        }
    }

    /// Judges an effect at a receiver that didn't recognise the message as a repeat. Effects of idempotent and of never
    /// accepted messages are ignored.
    pub fn took_effect(&mut self, message: u64, submission: u64, now: Micros) {
        self.forget_effects(now);
        let Some(submission) = self.submissions.get(&submission) else {
            return;
        };
        let class = &self.classes[usize::from(submission.record.class)];
        let never_accepted = submission.no_answer_owed && !submission.accepted;
        if class.semantics == DeliverySemantics::Idempotent || never_accepted {
            return;
        }
        if self.effect_times.insert(message, now).is_some() {
            let description = format!("message {message} took effect a second time");
            self.record_violation(Rule::EffectTwice, now, description);
        } else {
            self.effects_by_age.push_back((now, message));
        }
    }

    fn forget_effects(&mut self, now: Micros) {
        while let Some((at, message)) = self.effects_by_age.front().copied() {
            if at + self.effect_retention >= now {
                return;
            }
            self.effects_by_age.pop_front();
            self.effect_times.remove(&message);
        }
    }

    /// Records a violation for each overdue final answer, and removes submissions whose retention has ended. Called at regular
    /// intervals.
    pub fn check_overdue_answers(&mut self, now: Micros) {
        let allowed_lateness = self.answer_slack + self.observation_slack;
        while let Some((deadline, submission_number)) = self.by_deadline.first().copied() {
            if deadline + allowed_lateness >= now {
                break;
            }
            self.by_deadline.pop_first();
            self.judge_deadline(submission_number, deadline, now);
        }
        while let Some((forget_at, submission_number)) = self.expired.front().copied() {
            if forget_at >= now {
                break;
            }
            self.expired.pop_front();
            self.submissions.remove(&submission_number);
        }
    }

    /// Judges a submission whose deadline, with the tolerances of the rules, has passed. `scheduled_at` is the time of its entry
    /// in `by_deadline`, which is later than the deadline if the submission was scheduled again.
    fn judge_deadline(&mut self, submission_number: u64, scheduled_at: Micros, now: Micros) {
        let Some(record) = self.record(submission_number) else {
            return;
        };
        let (forwarder, deadline) = (record.forwarder, record.deadline);
        let answer_due = self.is_answer_due(forwarder, now);
        let Some(submission) = self.submissions.get_mut(&submission_number) else {
            return;
        };
        let is_unanswered = submission.ended_at.is_none();
        let accepted = submission.accepted;
        if is_unanswered
            && (!answer_due || !accepted)
            && (accepted || now < deadline + RETENTION_AFTER_DEADLINE)
        {
            self.by_deadline
                .insert((now.max(scheduled_at), submission_number));
            return;
        }
        if is_unanswered && accepted {
            submission.ended_at = Some(now);
            submission.no_answer_owed = true;
            let description =
                format!("message {submission_number} of forwarder {forwarder}: no final answer by {deadline}");
            self.record_violation(Rule::Lost, now, description);
            self.leave_order(submission_number);
        }
        self.expired
            .push_back((now + RETENTION_AFTER_DEADLINE, submission_number));
    }
}
