//! Submissions from acceptance to final answer, and the effects of their messages.

use super::{Oracle, Rule, RETENTION_AFTER_DEADLINE};
use crate::scenario::DeliverySemantics;
use opalpulley::Micros;

/// A final answer, as the client gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Delivered.
    Served,
    /// Rejected: the client may submit it again.
    Rejected,
    /// Not delivered.
    Failed,
}

/// What an outcome says about an effect, from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEffect {
    /// It took none.
    None,
    /// It may have taken effect.
    Possible,
}

/// A message as a client submits it to a forwarder.
#[derive(Clone, Debug)]
pub struct SubmissionRecord {
    /// The number of the submission.
    pub submission: u64,
    /// The message as its client numbers it.
    pub message: u64,
    /// To whom it was submitted.
    pub forwarder: u32,
    /// The deadline, µs.
    pub deadline: Micros,
    /// The delivery class, by its place in the scenario.
    pub class: u16,
    /// The destination, by its number.
    pub destination: u32,
    /// The order key of an ordered message.
    pub order_key: Option<u64>,
}

/// A submission and what became of it so far.
#[derive(Clone, Debug)]
pub(super) struct TrackedSubmission {
    pub record: SubmissionRecord,
    /// The client was told that it is accepted.
    pub accepted: bool,
    /// When it was over.
    pub ended_at: Option<Micros>,
    pub answer: Option<FinalAnswer>,
    /// Served while its forwarder was down or stopped. The forwarder may not know, goes on, and ends it once more.
    pub unacknowledged: bool,
    /// On sockets: an endpoint answered at or after the deadline. The forwarder may read that answer too late to count
    /// it, and still owes the final answer.
    pub delivered_late: bool,
    /// Nothing is owed for it: it was not accepted, or its forwarder was lost with its folder.
    pub no_answer_owed: bool,
    /// When the first call that may have taken effect was sent.
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
    /// A client submits a message; the forwarder has not answered yet.
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

    /// The client was told that it is accepted.
    pub fn submission_accepted(&mut self, submission: u64) {
        if let Some(submission) = self.submissions.get_mut(&submission) {
            submission.accepted = true;
        }
    }

    /// The client was told that it is not accepted, or was told nothing: no final answer is owed.
    pub fn submission_refused(&mut self, submission_number: u64, now: Micros) {
        if let Some(submission) = self.submissions.get_mut(&submission_number) {
            submission.ended_at = submission.ended_at.or(Some(now));
            submission.no_answer_owed = true;
        }
        self.leave_order(submission_number);
    }

    /// The forwarder is gone and its folder with it. Gives the messages that it had accepted.
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

    /// Whether a submission has this very answer already, from a report before.
    pub fn already_reported(&self, submission: u64, answer: FinalAnswer) -> bool {
        let submission = self.submissions.get(&submission);
        let known = submission.is_some_and(|submission| submission.answer == Some(answer));
        known && answer != FinalAnswer::Served
    }

    /// What a forwarder owes is not late before then.
    pub fn excuse_until(&mut self, forwarder: u32, until: Micros) {
        self.excused_until.insert(forwarder, until);
    }

    fn is_answer_due(&self, forwarder: u32, now: Micros) -> bool {
        let until = self.excused_until.get(&forwarder);
        until.is_none_or(|until| now > *until)
    }

    /// A process ended: it has forgotten retry-after times, and none of its calls is in flight.
    pub fn process_ended(&mut self, forwarder: u32) {
        self.limits.forget_retry_after(forwarder);
        self.calls_in_flight.remove(&forwarder);
        for submission in self.submissions.values_mut() {
            if submission.record.forwarder == forwarder {
                submission.calls_in_flight = 0;
            }
        }
    }

    /// Who submitted what to whom, and until when.
    pub fn record(&self, submission: u64) -> Option<&SubmissionRecord> {
        let submission = self.submissions.get(&submission)?;
        Some(&submission.record)
    }

    /// A final answer.
    pub fn message_ended(&mut self, submission_number: u64, answer: FinalAnswer, now: Micros) {
        let forwarder = self
            .record(submission_number)
            .map_or(0, |record| record.forwarder);
        let answer_due = self.is_answer_due(forwarder, now);
        let allowed_lateness = self.answer_slack + self.observation_slack;
        let is_on_sockets = self.observation_slack > 0;
        let Some(submission) = self.submissions.get_mut(&submission_number) else {
            let what =
                format!("message {submission_number}: {answer:?}, long over or never submitted");
            return self.record_violation(Rule::SecondFinalAnswer, now, what);
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
                let what = format!(
                    "message {submission_number}: {answer:?} now, and a final answer at {ended_at} already"
                );
                self.record_violation(Rule::SecondFinalAnswer, now, what);
            }
            None => {
                submission.ended_at = Some(now);
                submission.answer = Some(answer);
                submission.unacknowledged = !answer_due && answer == FinalAnswer::Served;
                let deadline = submission.record.deadline;
                submission.delivered_late =
                    is_on_sockets && answer == FinalAnswer::Served && now >= deadline;
                if answer_due && now > deadline + allowed_lateness {
                    let late = now - deadline;
                    let what = format!(
                        "message {submission_number}: {answer:?} {late} us after its time was up"
                    );
                    self.record_violation(Rule::Lost, now, what);
                }
            }
        }
        self.leave_order(submission_number);
    }

    /// A submission that is over, with no call in flight, does not hold up others of its order key.
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

    /// The message took effect at a receiver that did not know it as a repeat.
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
            let what = format!("message {message} took effect a second time");
            self.record_violation(Rule::EffectTwice, now, what);
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

    /// Looks for final answers that are overdue, and forgets submissions that are long over.
    pub fn sweep(&mut self, now: Micros) {
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

    /// A deadline has passed, with all that the rules allow after it. `scheduled_at` is the time under which it was found; it is
    /// later than the deadline for a submission that was looked at before.
    fn judge_deadline(&mut self, submission_number: u64, scheduled_at: Micros, now: Micros) {
        let Some(record) = self.record(submission_number) else {
            return;
        };
        let (forwarder, deadline) = (record.forwarder, record.deadline);
        let answer_due = self.is_answer_due(forwarder, now);
        let Some(submission) = self.submissions.get_mut(&submission_number) else {
            return;
        };
        let is_open = submission.ended_at.is_none();
        let accepted = submission.accepted;
        if is_open
            && (!answer_due || !accepted)
            && (accepted || now < deadline + RETENTION_AFTER_DEADLINE)
        {
            self.by_deadline
                .insert((now.max(scheduled_at), submission_number));
            return;
        }
        if is_open && accepted {
            submission.ended_at = Some(now);
            submission.no_answer_owed = true;
            let what =
                format!("message {submission_number} of forwarder {forwarder}: no final answer by {deadline}");
            self.record_violation(Rule::Lost, now, what);
            self.leave_order(submission_number);
        }
        self.expired
            .push_back((now + RETENTION_AFTER_DEADLINE, submission_number));
    }
}
