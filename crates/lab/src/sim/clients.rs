//! Clients: they hand a message in when it is due, come again after a rejection, and go elsewhere when a forwarder is not there.

use super::{ClientMessage, Sim, SimulatedEvent};
use crate::load::Due;
use crate::oracle::{FinalAnswer, SubmissionRecord};
use crate::tally::Tick;
use opalpulley::{
    AttemptHistory, DeliveryClassId, DestinationId, MessageId, Micros, OrderKey, Submission,
    TenantId,
};
use rand::Rng;

const OTHER_FORWARDER_DELAY: Micros = 50_000; // after a connection that was refused
const ANSWER_TIMEOUT: Micros = 400_000; // a client waits so long for the answer to its request
const DEFAULT_RETRY_AFTER: Micros = 1_000_000; // where no time was told
const MAX_TRIES: u32 = 20; // of a client that finds no forwarder

/// No tenant: the core finds no share for it.
const NO_TENANT: TenantId = TenantId(u32::MAX);

/// What becomes of a submission at once.
pub(super) enum SubmissionAnswer {
    Accepted,
    Rejected(Option<Micros>),
    Failed,
}

impl Sim {
    pub(super) fn message_due(&mut self, due: Due) {
        let message = self.next_message;
        self.next_message += 1;
        self.tally.due(self.now, due.class);
        let expires = self.now + due.left;
        self.messages.insert(
            message,
            ClientMessage {
                expires,
                resubmissions: due.resubmissions,
                resubmitted: false,
                tries: 0,
                due,
            },
        );
        self.submit(message);
    }

    pub(super) fn submit(&mut self, number: u64) {
        let Some(message) = self.messages.get_mut(&number) else {
            return;
        };
        if self.now >= message.expires {
            return self.given_up(number);
        }
        let forwarder = self.clients.random_range(0..self.processes.len());
        let process = &self.processes[forwarder];
        if !process.up() || process.paused {
            message.tries += 1;
            let (tries, after) = (
                message.tries,
                if process.paused {
                    ANSWER_TIMEOUT
                } else {
                    OTHER_FORWARDER_DELAY
                },
            );
            self.tally.counts.turned_away += 1;
            return match tries < MAX_TRIES {
                true => self.schedule(self.now + after, SimulatedEvent::Submit { message: number }),
                false => self.given_up(number),
            };
        }
        self.tally.counts.submissions += 1;
        if process.open.len() >= self.scenario.forwarders.message_capacity as usize {
            self.tally.counts.turned_away += 1;
            return self.schedule_resubmission(number, None);
        }
        let submission = self.next_submission;
        self.next_submission += 1;
        let message = &self.messages[&number];
        let left = message.expires - self.now;
        let ordered = self.scenario.classes[usize::from(message.due.class)].ordered;
        let key = ordered.then_some(message.due.key);
        let record = SubmissionRecord {
            submission,
            message: number,
            forwarder: forwarder as u32,
            expires: message.expires,
            class: message.due.class,
            destination: message.due.destination,
            key,
        };
        let arrival = Submission {
            id: MessageId(0),
            class: DeliveryClassId(message.due.class),
            tenant: message.due.tenant.map_or(NO_TENANT, TenantId),
            key: key.map(|k| OrderKey(k + 1)),
            time_left: left,
            destination: DestinationId(message.due.destination),
            resubmitted: message.resubmitted,
            history: AttemptHistory::default(),
        };
        let expires = message.expires;
        self.oracle.submitted(record);
        match self.accept_submission(forwarder as u32, number, submission, expires, arrival) {
            SubmissionAnswer::Accepted => self.oracle.accepted(submission),
            SubmissionAnswer::Rejected(retry_after) => {
                self.oracle.refused(submission, self.now);
                self.tally.counts.rejections += 1;
                self.schedule_resubmission(number, retry_after);
            }
            SubmissionAnswer::Failed => {
                self.oracle.refused(submission, self.now);
                self.fail_message(number);
            }
        }
    }

    /// The client was asked to come back later.
    pub(super) fn schedule_resubmission(&mut self, number: u64, retry_after: Option<Micros>) {
        self.tally.tick(self.now, Tick::Rejected);
        let Some(message) = self.messages.get_mut(&number) else {
            return;
        };
        let wait = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        if message.resubmissions == 0 || self.now + wait >= message.expires {
            return self.given_up(number);
        }
        message.resubmissions -= 1;
        message.resubmitted = true;
        // By chance a tenth longer: clients do not all keep the same time.
        let at = self.now + wait + (wait as f64 * 0.1 * self.clients.random::<f64>()) as Micros;
        self.schedule(at, SimulatedEvent::Submit { message: number });
    }

    fn given_up(&mut self, number: u64) {
        if self.messages.remove(&number).is_some() {
            self.tally.counts.given_up += 1;
        }
    }

    pub(super) fn fail_message(&mut self, number: u64) {
        if self.messages.remove(&number).is_some() {
            self.tally.counts.written_off += 1;
            self.tally.tick(self.now, Tick::MessageFailed);
        }
    }

    /// A final answer that came after the message was accepted.
    pub(super) fn final_answer(
        &mut self,
        number: u64,
        submission: u64,
        end: FinalAnswer,
        retry_after: Option<Micros>,
        attempt: u32,
    ) {
        self.oracle.ended(submission, end, self.now);
        match end {
            FinalAnswer::Served => {
                let Some(message) = self.messages.remove(&number) else {
                    return;
                };
                match self.now <= message.expires {
                    true => {
                        let took = self.now - message.due.at;
                        self.tally.served(
                            self.now,
                            took,
                            message.due.class,
                            attempt,
                            message.resubmitted,
                        );
                    }
                    false => self.tally.counts.written_off += 1,
                }
            }
            FinalAnswer::Rejected => {
                self.tally.counts.rejections += 1;
                self.schedule_resubmission(number, retry_after);
            }
            FinalAnswer::Failed => self.fail_message(number),
        }
    }
}
