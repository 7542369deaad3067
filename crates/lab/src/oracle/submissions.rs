//! Submissions from acceptance to final answer, and the effects of their messages.

use super::{Oracle, Rule, LINGER};
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
pub enum TookEffect {
    /// It took none.
    No,
    /// It may have taken effect.
    Perhaps,
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
    pub expires: Micros,
    /// The delivery class, by its place in the scenario.
    pub class: u16,
    /// The destination, by its number.
    pub destination: u32,
    /// The order key of an ordered message.
    pub key: Option<u64>,
}

/// A submission and what became of it so far.
#[derive(Clone, Debug)]
pub(super) struct TrackedSubmission {
    pub record: SubmissionRecord,
    /// The client was told that it is accepted.
    pub accepted: bool,
    /// When it was over.
    pub ended: Option<Micros>,
    pub answer: Option<FinalAnswer>,
    /// Served while its forwarder was down or stopped. The forwarder may not know, goes on, and ends it once more.
    pub unacknowledged: bool,
    /// On sockets: an endpoint answered at or after the deadline. The forwarder may read that answer too late to count
    /// it, and still owes the final answer.
    pub delivered_late: bool,
    /// Nothing is owed for it: it was not accepted, or its forwarder was lost with its folder.
    pub void: bool,
    /// When the first call that may have taken effect was sent.
    pub possible_effect_since: Option<Micros>,
    pub in_flight: u32,
    pub attempts: u32,
}

impl TrackedSubmission {
    fn new(record: SubmissionRecord) -> TrackedSubmission {
        TrackedSubmission {
            record,
            accepted: false,
            ended: None,
            answer: None,
            unacknowledged: false,
            delivered_late: false,
            void: false,
            possible_effect_since: None,
            in_flight: 0,
            attempts: 0,
        }
    }
}

impl Oracle {
    /// A client submits a message; the forwarder has not answered yet.
    pub fn submitted(&mut self, record: SubmissionRecord) {
        let number = record.submission;
        self.by_deadline.insert((record.expires, number));
        let class = self.classes.get(usize::from(record.class));
        if let Some(key) = record
            .key
            .filter(|_| class.is_some_and(|class| class.ordered))
        {
            let queue = self.ordered_queues.entry((record.forwarder, key));
            queue.or_default().push_back(number);
        }
        self.submissions
            .insert(number, TrackedSubmission::new(record));
    }

    /// The client was told that it is accepted.
    pub fn accepted(&mut self, submission: u64) {
        if let Some(submission) = self.submissions.get_mut(&submission) {
            submission.accepted = true;
        }
    }

    /// The client was told that it is not accepted, or was told nothing: no final answer is owed.
    pub fn refused(&mut self, number: u64, now: Micros) {
        if let Some(submission) = self.submissions.get_mut(&number) {
            submission.ended = submission.ended.or(Some(now));
            submission.void = true;
        }
        self.leave_order(number);
    }

    /// The forwarder is gone and its folder with it. Gives the messages that it had accepted.
    pub fn lost_with_folder(&mut self, forwarder: u32, now: Micros) -> Vec<u64> {
        let lost = self.submissions.values().filter(|submission| {
            submission.record.forwarder == forwarder && submission.ended.is_none()
        });
        let mut records: Vec<(SubmissionRecord, bool)> = lost
            .map(|submission| (submission.record.clone(), submission.accepted))
            .collect();
        records.sort_unstable_by_key(|(record, _)| record.submission);
        for (record, _) in &records {
            self.refused(record.submission, now);
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
    pub fn excuse(&mut self, forwarder: u32, until: Micros) {
        self.excused.insert(forwarder, until);
    }

    fn is_owed(&self, forwarder: u32, now: Micros) -> bool {
        let until = self.excused.get(&forwarder);
        until.is_none_or(|until| now > *until)
    }

    /// A process ended: it has forgotten retry-after times, and none of its calls is in flight.
    pub fn process_ended(&mut self, forwarder: u32) {
        self.limits.forget_retry_after(forwarder);
        self.in_flight.remove(&forwarder);
        for submission in self.submissions.values_mut() {
            if submission.record.forwarder == forwarder {
                submission.in_flight = 0;
            }
        }
    }

    /// Who submitted what to whom, and until when.
    pub fn record(&self, submission: u64) -> Option<&SubmissionRecord> {
        let submission = self.submissions.get(&submission)?;
        Some(&submission.record)
    }

    /// A final answer.
    pub fn ended(&mut self, number: u64, answer: FinalAnswer, now: Micros) {
        let forwarder = self.record(number).map_or(0, |record| record.forwarder);
        let owed = self.is_owed(forwarder, now);
        let slack = self.answer_slack + self.slack;
        let is_on_sockets = self.slack > 0;
        let Some(submission) = self.submissions.get_mut(&number) else {
            let what = format!("message {number}: {answer:?}, long over or never submitted");
            return self.broken(Rule::SecondFinalAnswer, now, what);
        };
        match submission.ended {
            Some(_) if submission.void => {}
            Some(_) if submission.unacknowledged => {
                submission.unacknowledged = answer == FinalAnswer::Served;
            }
            Some(_) if submission.delivered_late && answer != FinalAnswer::Served => {
                submission.delivered_late = false;
                submission.answer = Some(answer);
            }
            Some(before) => {
                let what = format!(
                    "message {number}: {answer:?} now, and a final answer at {before} already"
                );
                self.broken(Rule::SecondFinalAnswer, now, what);
            }
            None => {
                submission.ended = Some(now);
                submission.answer = Some(answer);
                submission.unacknowledged = !owed && answer == FinalAnswer::Served;
                let expires = submission.record.expires;
                submission.delivered_late =
                    is_on_sockets && answer == FinalAnswer::Served && now >= expires;
                if owed && now > expires + slack {
                    let late = now - expires;
                    let what =
                        format!("message {number}: {answer:?} {late} us after its time was up");
                    self.broken(Rule::Lost, now, what);
                }
            }
        }
        self.leave_order(number);
    }

    /// A submission that is over, with no call in flight, does not hold up others of its order key.
    pub(super) fn leave_order(&mut self, number: u64) {
        let Some(submission) = self.submissions.get(&number) else {
            return;
        };
        if submission.ended.is_none() || submission.in_flight > 0 {
            return;
        }
        let Some(key) = submission.record.key else {
            return;
        };
        let queue_key = (submission.record.forwarder, key);
        if let Some(queue) = self.ordered_queues.get_mut(&queue_key) {
            queue.retain(|other| *other != number);
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
        let never_accepted = submission.void && !submission.accepted;
        if class.semantics == DeliverySemantics::Idempotent || never_accepted {
            return;
        }
        if self.effects.insert(message, now).is_some() {
            let what = format!("message {message} took effect a second time");
            self.broken(Rule::EffectTwice, now, what);
        } else {
            self.effects_by_age.push_back((now, message));
        }
    }

    fn forget_effects(&mut self, now: Micros) {
        while let Some((at, message)) = self.effects_by_age.front().copied() {
            if at + self.effect_memory >= now {
                return;
            }
            self.effects_by_age.pop_front();
            self.effects.remove(&message);
        }
    }

    /// Looks for final answers that are overdue, and forgets submissions that are long over.
    pub fn sweep(&mut self, now: Micros) {
        let grace = self.answer_slack + self.slack;
        while let Some((expires, number)) = self.by_deadline.first().copied() {
            if expires + grace >= now {
                break;
            }
            self.by_deadline.pop_first();
            self.judge_deadline(number, expires, now);
        }
        while let Some((forget_at, number)) = self.expired.front().copied() {
            if forget_at >= now {
                break;
            }
            self.expired.pop_front();
            self.submissions.remove(&number);
        }
    }

    /// A deadline has passed, with all that the rules allow after it. `listed_at` is the time under which it was found; it is
    /// later than the deadline for a submission that was looked at before.
    fn judge_deadline(&mut self, number: u64, listed_at: Micros, now: Micros) {
        let Some(record) = self.record(number) else {
            return;
        };
        let (forwarder, deadline) = (record.forwarder, record.expires);
        let owed = self.is_owed(forwarder, now);
        let Some(submission) = self.submissions.get_mut(&number) else {
            return;
        };
        let open = submission.ended.is_none();
        let accepted = submission.accepted;
        if open && (!owed || !accepted) && (accepted || now < deadline + LINGER) {
            self.by_deadline.insert((now.max(listed_at), number));
            return;
        }
        if open && accepted {
            submission.ended = Some(now);
            submission.void = true;
            let what =
                format!("message {number} of forwarder {forwarder}: no final answer by {deadline}");
            self.broken(Rule::Lost, now, what);
            self.leave_order(number);
        }
        self.expired.push_back((now + LINGER, number));
    }
}
