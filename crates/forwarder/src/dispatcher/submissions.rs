//! Accepts or rejects the messages that clients submit.

use super::unfinished_messages::UnfinishedMessage;
use super::{message_log, Decision, Dispatcher};
use crate::clock::micros;
use crate::commands::{SubmissionAnswer, SubmissionRequest};
use crate::journal::StoredMessage;
use crate::protocol::SubmittedMessage;
use opalpulley::{
    Action, AttemptHistory, Event, MessageId, Micros, OrderKey, Submission, TenantId,
};
use slog::error;
use tokio::sync::oneshot;

/// The tenant of messages without one. No deployment configures this id, so that the core finds no quota for it.
const NO_TENANT: TenantId = TenantId(u32::MAX);

impl Dispatcher {
    /// Accepts or rejects one submission and answers its client. An accepted message is journalled before the answer is
    /// sent.
    pub(super) fn handle_submission(&mut self, request: SubmissionRequest) {
        let SubmissionRequest {
            mut submitted,
            received_at,
            answer_sender,
        } = request;
        // The client has disconnected and the message is not accepted yet, so it can be dropped.
        if answer_sender.is_closed() {
            return;
        }
        if let Some(answer) = self.answer_without_acceptance(&submitted) {
            if answer != SubmissionAnswer::Accepted {
                message_log::refused(&self.log, &submitted, answer);
            }
            send_answer(answer_sender, answer);
            return;
        }
        // The time left is counted from the last byte of the request, which includes the wait in the mailbox.
        submitted.time_left = submitted
            .time_left
            .saturating_sub(micros(received_at.elapsed()));
        let Some(submission) = self.accept_message(submitted) else {
            send_answer(answer_sender, SubmissionAnswer::ResourceExhausted);
            return;
        };
        let id = submission.id;
        let is_ordered = submission.order_key.is_some();
        match self.process_submission(submission) {
            Some(rejection) => self.reject_submission(id, is_ordered, rejection, answer_sender),
            None => self.confirm_submission(id, answer_sender),
        }
        self.handle_queued_events();
    }

    /// Returns the answer to a submission that needs no space in the journal: a submission to an unknown destination, or
    /// the repeat of an unfinished message, which a client sends if the first answer was lost.
    fn answer_without_acceptance(&self, submitted: &SubmittedMessage) -> Option<SubmissionAnswer> {
        if let Some(unfinished_message) = self
            .unfinished_messages
            .get_by_request_id(&submitted.request_id)
        {
            return Some(
                if has_same_content(&unfinished_message.submitted, submitted) {
                    SubmissionAnswer::Accepted
                } else {
                    SubmissionAnswer::ConflictingContent
                },
            );
        }
        if !self.known_destinations.contains(&submitted.destination) {
            return Some(SubmissionAnswer::UnknownDestination);
        }
        None
    }

    /// Journals a message and adds it to the unfinished messages. Returns `None` if there is no capacity for it or the
    /// journal fails.
    fn accept_message(&mut self, submitted: SubmittedMessage) -> Option<Submission> {
        let deadline = self.clock.now() + submitted.time_left;
        let stored = stored_message(&submitted, deadline);
        // The configured capacity is checked before the core gets the submission, as in the simulator.
        let is_full = self.unfinished_messages.len() >= self.config.max_messages as usize;
        if is_full || !self.journal.has_space_for(&stored) {
            message_log::refused(&self.log, &submitted, SubmissionAnswer::ResourceExhausted);
            return None;
        }
        let serial = match self.journal.record_message(stored) {
            Ok(serial) => serial,
            Err(error) => {
                error!(self.log, "submission rejected: the message could not be written to the journal";
                    "problem" => %error);
                return None;
            }
        };
        let id = self.unfinished_messages.unused_id();
        let submission = core_submission(id, &submitted, AttemptHistory::default());
        let message = UnfinishedMessage::new(serial, submitted, deadline, 0);
        self.unfinished_messages.insert(id, message);
        Some(submission)
    }

    /// Passes a submission to the core and executes the core's actions. An action that ends this message at once is not
    /// executed: it is returned as the answer to the client.
    fn process_submission(&mut self, submission: Submission) -> Option<SubmissionAnswer> {
        let submitted_id = submission.id;
        let Decision { now, actions } = self.call_core(Event::MessageSubmitted(submission));
        let mut rejection = None;
        for action in actions {
            match action {
                Action::Fail { id } if id == submitted_id => {
                    rejection = Some(SubmissionAnswer::Failed);
                }
                Action::Reject { id, retry_after } if id == submitted_id => {
                    rejection = Some(SubmissionAnswer::Rejected { retry_after });
                }
                other => self.execute_action(now, other),
            }
        }
        rejection
    }

    /// Ends a message that the core rejected at once, and sends the rejection to its client. The platform gets no
    /// completion report, because the client's answer is final. `is_ordered`: the message has an order key, so that the
    /// core waits for the acknowledgement of the final answer.
    fn reject_submission(
        &mut self,
        id: MessageId,
        is_ordered: bool,
        rejection: SubmissionAnswer,
        answer_sender: oneshot::Sender<SubmissionAnswer>,
    ) {
        if let Some(message) = self.unfinished_messages.get(id) {
            message_log::refused(&self.log, &message.submitted, rejection);
        }
        self.end_without_report(id);
        if is_ordered {
            let acknowledged = Event::FinalAnswerAcknowledged { id };
            self.queued_events.push_back(acknowledged);
        }
        send_answer(answer_sender, rejection);
    }

    /// Answers the client that its message is accepted. Withdraws the message if the client has disconnected.
    fn confirm_submission(
        &mut self,
        id: MessageId,
        answer_sender: oneshot::Sender<SubmissionAnswer>,
    ) {
        let is_answered = answer_sender.send(SubmissionAnswer::Accepted).is_ok();
        if let Some(message) = self.unfinished_messages.get(id) {
            if is_answered {
                let time_left = message.deadline.saturating_sub(self.clock.now());
                message_log::accepted(&self.log, message, time_left);
            } else {
                message_log::withdrawn(&self.log, message);
            }
        }
        if !is_answered {
            self.end_without_report(id);
            self.handle_event(Event::MessageWithdrawn { id });
        }
    }
}

/// Sends an answer to a client. The answer is dropped if the client has disconnected, because no message was accepted.
fn send_answer(answer_sender: oneshot::Sender<SubmissionAnswer>, answer: SubmissionAnswer) {
    let _ = answer_sender.send(answer);
}

/// Returns whether two submissions with the same request id are the same message.
fn has_same_content(first: &SubmittedMessage, second: &SubmittedMessage) -> bool {
    first.class == second.class
        && first.destination == second.destination
        && first.order_key == second.order_key
        && first.idempotency_key == second.idempotency_key
        && first.body == second.body
}

/// Returns a message as the journal stores it before the first attempt. `deadline` is in µs. The journal assigns the
/// serial number.
pub(super) fn stored_message(submitted: &SubmittedMessage, deadline: Micros) -> StoredMessage {
    StoredMessage {
        serial: 0,
        request_id: submitted.request_id.clone(),
        class: submitted.class.0,
        tenant: submitted.tenant.map(|tenant| tenant.0),
        destination: submitted.destination.0,
        deadline,
        idempotency_key: submitted.idempotency_key.clone(),
        resubmitted: submitted.resubmitted,
        from_failed_forwarder: submitted.from_failed_forwarder,
        body: submitted.body.clone(),
        order_key: submitted.order_key,
        attempts_started: 0,
        possible_effect: None,
        attempts_in_flight: Vec::new(),
        pending_report: None,
    }
}

/// Returns a message as the core gets it. `history` holds the attempts of previous runs.
pub(super) fn core_submission(
    id: MessageId,
    submitted: &SubmittedMessage,
    history: AttemptHistory,
) -> Submission {
    Submission {
        id,
        class: submitted.class,
        tenant: submitted.tenant.unwrap_or(NO_TENANT),
        order_key: submitted.order_key.map(OrderKey),
        time_left: submitted.time_left,
        destination: submitted.destination,
        resubmitted: submitted.resubmitted,
        history,
    }
}
