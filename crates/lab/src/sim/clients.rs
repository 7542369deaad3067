//! Clients: they submit a message when it is due, submit it again after a rejection, and go to another forwarder when one is
//! not there.

use super::event::SimulatedEvent;
use super::simulated_process::NewSubmission;
use super::Sim;
use crate::load::Due;
use crate::oracle::{FinalAnswer, SubmissionRecord};
use crate::tally::BucketEvent;
use opalpulley::{
    AttemptHistory, DeliveryClassId, DestinationId, MessageId, Micros, OrderKey, Submission,
    TenantId,
};
use rand::Rng;

/// A client goes to another forwarder so long after a connection was refused, µs.
const OTHER_FORWARDER_DELAY: Micros = 50_000;
/// A client waits so long for the answer to its request, µs.
const ANSWER_TIMEOUT: Micros = 400_000;
/// A client submits again after so long where no time was named, µs.
const DEFAULT_RETRY_AFTER: Micros = 1_000_000;
/// Tries of a client that finds no forwarder.
const MAX_UNREACHABLE_FORWARDERS: u32 = 20;
/// A client submits again up to this part of the named time later, by chance: clients do not all keep the same time.
const RETRY_JITTER: f64 = 0.1;

/// No tenant: the core finds no quota for it.
const NO_TENANT: TenantId = TenantId(u32::MAX);

/// A message as its client knows it.
pub(super) struct ClientMessage {
    due: Due,
    deadline: Micros,
    /// How often it may still be submitted again.
    resubmissions_left: u32,
    /// It was rejected before.
    resubmitted: bool,
    /// Forwarders that were not there.
    unreachable_forwarders: u32,
}

/// What a forwarder answers to a submission at once.
pub(super) enum SubmissionAnswer {
    Accepted,
    /// Rejected, with the retry-after time where there is one, µs.
    Rejected(Option<Micros>),
    Failed,
}

impl Sim {
    /// A message of the load is due: its client submits it.
    pub(super) fn message_due(&mut self, due: Due) {
        let message_number = self.next_message;
        self.next_message += 1;
        self.tally.message_due(self.now, due.class);
        let message = ClientMessage {
            deadline: self.now + due.left,
            resubmissions_left: due.resubmissions,
            resubmitted: false,
            unreachable_forwarders: 0,
            due,
        };
        self.messages.insert(message_number, message);
        self.submit(message_number);
    }

    /// The client of a message submits it to a forwarder drawn by chance.
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
            return self.try_another_forwarder(message_number, OTHER_FORWARDER_DELAY);
        }
        if process.paused {
            return self.try_another_forwarder(message_number, ANSWER_TIMEOUT);
        }
        self.tally.counts.submissions += 1;
        if process.open_messages.len() >= self.scenario.forwarders.message_capacity as usize {
            self.tally.counts.turned_away += 1;
            return self.schedule_resubmission(message_number, None);
        }
        self.submit_to(forwarder as u32, message_number);
    }

    /// A forwarder was not there: the client tries another after some time.
    fn try_another_forwarder(&mut self, message_number: u64, after: Micros) {
        self.tally.counts.turned_away += 1;
        let Some(message) = self.messages.get_mut(&message_number) else {
            return;
        };
        message.unreachable_forwarders += 1;
        if message.unreachable_forwarders >= MAX_UNREACHABLE_FORWARDERS {
            return self.give_up(message_number);
        }
        self.schedule(
            self.now + after,
            SimulatedEvent::Submit {
                message: message_number,
            },
        );
    }

    /// Submits a message to a forwarder that has room for it, and takes its answer.
    fn submit_to(&mut self, forwarder: u32, message_number: u64) {
        let submission = self.next_submission;
        self.next_submission += 1;
        let message = &self.messages[&message_number];
        let ordered = self.scenario.classes[usize::from(message.due.class)].ordered;
        let key = ordered.then_some(message.due.key);
        let record = SubmissionRecord {
            submission,
            message: message_number,
            forwarder,
            deadline: message.deadline,
            class: message.due.class,
            destination: message.due.destination,
            order_key: key,
        };
        let new = NewSubmission {
            submission,
            client_message: message_number,
            deadline: message.deadline,
            message: message.as_submitted(key, self.now),
        };
        self.oracle.message_submitted(record);
        match self.accept_submission(forwarder, new) {
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

    /// The client was asked to submit again later; it gives up where that is too late.
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

    /// The client gets the final answer to a message that was accepted; `attempt` is the number of the one that served it.
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

    /// Counts a served message; one served after its deadline counts as failed.
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
    /// The message as it is submitted now; the forwarder chooses its id.
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
