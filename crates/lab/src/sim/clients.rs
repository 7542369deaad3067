//! Simulated clients. A client submits a message when it is due, submits it again after a rejection, and tries another forwarder
//! when one is unreachable.

use super::event::SimulatedEvent;
use super::simulated_process::NewSubmission;
use super::Sim;
use crate::load::DueMessage;
use crate::oracle::{FinalAnswer, SubmissionRecord};
use crate::tally::BucketEvent;
use opalpulley::{
    AttemptHistory, DeliveryClassId, DestinationId, MessageId, Micros, OrderKey, Submission,
    TenantId,
};
use rand::Rng;

/// Delay before a client tries another forwarder after a refused connection, µs.
const FAILOVER_DELAY: Micros = 50_000;
/// Time for which a client waits for the answer to a request, µs.
const ANSWER_TIMEOUT: Micros = 400_000;
/// Delay before a resubmission if the rejection gave no retry-after time, µs.
const DEFAULT_RETRY_AFTER: Micros = 1_000_000;
/// Number of times that the chosen forwarder is unreachable after which a client gives a message up.
const MAX_UNREACHABLE_FORWARDERS: u32 = 20;
/// Upper bound on the random delay of a resubmission, as a share of the retry-after time. It spreads the resubmissions of
/// clients that were rejected at the same time.
const RETRY_JITTER: f64 = 0.1;

/// The id that stands for no tenant; the core has no quota for it.
const NO_TENANT: TenantId = TenantId(u32::MAX);

/// The state of an unfinished message at its client. It is removed when the client gets the final answer or gives up, or when
/// the message is lost. Unlike in the forwarder, attempts may still be in flight then.
pub(super) struct ClientMessage {
    due: DueMessage,
    deadline: Micros,
    /// Number of resubmissions that are left.
    resubmissions_left: u32,
    /// Whether the message was rejected before.
    resubmitted: bool,
    /// Number of times that the chosen forwarder was unreachable.
    unreachable_forwarders: u32,
}

/// A forwarder's immediate answer to a submission.
pub(super) enum SubmissionAnswer {
    Accepted,
    /// The message was rejected, with the retry-after time if there is one, µs.
    Rejected(Option<Micros>),
    Failed,
}

impl Sim {
    /// Creates the client of a message that is due, and submits the message.
    pub(super) fn message_due(&mut self, due: DueMessage) {
        let message_number = self.next_message;
        self.next_message += 1;
        self.tally.message_due(self.now, due.class);
        let message = ClientMessage {
            deadline: self.now + due.time_left,
            resubmissions_left: due.resubmissions,
            resubmitted: false,
            unreachable_forwarders: 0,
            due,
        };
        self.messages.insert(message_number, message);
        self.submit(message_number);
    }

    /// Submits a message to a randomly chosen forwarder, or gives it up at its deadline. If the forwarder is unreachable or
    /// at its message capacity, the client submits the message again later.
    pub(super) fn submit(&mut self, message_number: u64) {
        let Some(message) = self.messages.get(&message_number) else {
            return;
        };
        if self.now >= message.deadline {
            return self.give_up(message_number);
        }
        let forwarder = self.client_rng.random_range(0..self.processes.len());
        let process = &self.processes[forwarder];
        if !process.is_up() {
            return self.try_another_forwarder(message_number, FAILOVER_DELAY);
        }
        if process.paused {
            return self.try_another_forwarder(message_number, ANSWER_TIMEOUT);
        }
        self.tally.counts.submissions += 1;
        if process.unfinished_messages.len() >= self.scenario.forwarders.message_capacity as usize {
            self.tally.counts.turned_away += 1;
            return self.schedule_resubmission(message_number, None);
        }
        self.submit_to(forwarder as u32, message_number);
    }

    /// Schedules a submission to another forwarder after `delay`, µs, because the chosen one was unreachable.
    fn try_another_forwarder(&mut self, message_number: u64, delay: Micros) {
        self.tally.counts.turned_away += 1;
        let Some(message) = self.messages.get_mut(&message_number) else {
            return;
        };
        message.unreachable_forwarders += 1;
        if message.unreachable_forwarders >= MAX_UNREACHABLE_FORWARDERS {
            return self.give_up(message_number);
        }
        self.schedule(
            self.now + delay,
            SimulatedEvent::Submit {
                message: message_number,
            },
        );
    }

    /// Submits a message to a forwarder that is below its message capacity, and handles its answer.
    fn submit_to(&mut self, forwarder: u32, message_number: u64) {
        let submission = self.next_submission;
        self.next_submission += 1;
        let message = &self.messages[&message_number];
        let ordered = self.scenario.classes[usize::from(message.due.class)].ordered;
        let key = ordered.then_some(message.due.order_key);
        let record = SubmissionRecord {
            submission,
            message: message_number,
            forwarder,
            deadline: message.deadline,
            class: message.due.class,
            destination: message.due.destination,
            order_key: key,
        };
        let new_submission = NewSubmission {
            submission,
            client_message: message_number,
            deadline: message.deadline,
            message: message.as_submitted(key, self.now),
        };
        self.oracle.message_submitted(record);
        match self.accept_submission(forwarder, new_submission) {
            SubmissionAnswer::Accepted => self.oracle.submission_accepted(submission),
            SubmissionAnswer::Rejected(retry_after) => {
                self.oracle.submission_refused(submission, self.now);
                self.tally.counts.rejections += 1;
                self.schedule_resubmission(message_number, retry_after);
            }
            SubmissionAnswer::Failed => {
                self.oracle.submission_refused(submission, self.now);
                self.fail_message(message_number);
            }
        }
    }

    /// Schedules a resubmission of a rejected message, or gives the message up if none is left or its deadline is too near.
    fn schedule_resubmission(&mut self, message_number: u64, retry_after: Option<Micros>) {
        self.tally.count(self.now, BucketEvent::Rejected);
        let Some(message) = self.messages.get_mut(&message_number) else {
            return;
        };
        let delay = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        if message.resubmissions_left == 0 || self.now + delay >= message.deadline {
            return self.give_up(message_number);
        }
        message.resubmissions_left -= 1;
        message.resubmitted = true;
        let jitter = (delay as f64 * RETRY_JITTER * self.client_rng.random::<f64>()) as Micros;
        let at = self.now + delay + jitter;
        self.schedule(
            at,
            SimulatedEvent::Submit {
                message: message_number,
            },
        );
    }

    fn give_up(&mut self, message_number: u64) {
        if self.messages.remove(&message_number).is_some() {
            self.tally.counts.given_up += 1;
        }
    }

    fn fail_message(&mut self, message_number: u64) {
        if self.messages.remove(&message_number).is_some() {
            self.tally.counts.failed += 1;
            self.tally.count(self.now, BucketEvent::MessageFailed);
        }
    }

    /// Handles the final answer to an accepted message at its client. `attempt` is the index of the attempt that served it.
    pub(super) fn final_answer(
        &mut self,
        message_number: u64,
        submission: u64,
        answer: FinalAnswer,
        retry_after: Option<Micros>,
        attempt: u32,
    ) {
        self.oracle.message_ended(submission, answer, self.now);
        match answer {
            FinalAnswer::Served => self.message_served(message_number, attempt),
            FinalAnswer::Rejected => {
                self.tally.counts.rejections += 1;
                self.schedule_resubmission(message_number, retry_after);
            }
            FinalAnswer::Failed => self.fail_message(message_number),
        }
    }

    /// Counts a served message, or a failed one if it was served after its deadline.
    fn message_served(&mut self, message_number: u64, attempt: u32) {
        let Some(message) = self.messages.remove(&message_number) else {
            return;
        };
        if self.now > message.deadline {
            self.tally.counts.failed += 1;
            return;
        }
        let latency = self.now - message.due.at;
        let class = message.due.class;
        let resubmitted = message.resubmitted;
        self.tally
            .message_served(self.now, latency, class, attempt, resubmitted);
    }
}

impl ClientMessage {
    /// Returns the message as it is submitted at `now`. Its id is a placeholder: the forwarder process assigns the id.
    fn as_submitted(&self, key: Option<u64>, now: Micros) -> Submission {
        Submission {
            id: MessageId(0),
            class: DeliveryClassId(self.due.class),
            tenant: self.due.tenant.map_or(NO_TENANT, TenantId),
            order_key: key.map(|key| OrderKey(key + 1)),
            time_left: self.deadline - now,
            destination: DestinationId(self.due.destination),
            resubmitted: self.resubmitted,
            history: AttemptHistory::default(),
        }
    }
}
