//! Accepting the messages that clients submit.

use super::in_flight::InFlightMessage;
use super::{Decision, Dispatcher};
use crate::clock::micros;
use crate::commands::{SubmissionAnswer, SubmissionRequest};
use crate::journal::StoredMessage;
use crate::protocol::SubmittedMessage;
use opalpulley::{
    Action, AttemptHistory, Event, MessageId, Micros, OrderKey, Submission, TenantId,
};
use slog::{debug, error};
use tokio::sync::oneshot;

/// A tenant that no deployment has: the core finds no quota for it.
const NO_TENANT: TenantId = TenantId(u32::MAX);

impl Dispatcher {
    /// Accepts or rejects one submission and answers its client. The message is journalled before the answer.
    pub(super) fn handle_submission(&mut self, request: SubmissionRequest) {
        let SubmissionRequest {
            mut submitted,
            received_at,
            answer_sender,
        } = request;
        // The client has left, and nothing was accepted yet: there is nothing to do.
        if answer_sender.is_closed() {
            return;
        }
        if let Some(answer) = self.answer_without_acceptance(&submitted) {
            send_answer(answer_sender, answer);
            return;
        }
        // The time left is counted from the last byte of the request, not from its turn in the mailbox.
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

    /// The answer to a submission that needs no place in the journal: the repeat of a message in flight, which a
    /// client sends where the first answer was lost, or one to an unknown destination.
    fn answer_without_acceptance(&self, submitted: &SubmittedMessage) -> Option<SubmissionAnswer> {
        if let Some(in_flight) = self.in_flight.get_by_request_id(&submitted.request_id) {
            return Some(if has_same_content(&in_flight.submitted, submitted) {
                SubmissionAnswer::Accepted
            } else {
                SubmissionAnswer::ConflictingContent
            });
        }
        if !self.known_destinations.contains(&submitted.destination) {
            return Some(SubmissionAnswer::UnknownDestination);
        }
        None
    }

    /// Journals a message and adds it to those in flight. None where there is no capacity for it.
    fn accept_message(&mut self, submitted: SubmittedMessage) -> Option<Submission> {
        let deadline = self.clock.now() + submitted.time_left;
        let stored = stored_message(&submitted, deadline);
        // The configured capacity is checked before the core is asked, as the simulator does.
        let is_full = self.in_flight.len() >= self.config.max_messages as usize;
        if is_full || !self.journal.has_room(&stored) {
            return None;
        }
        let serial = match self.journal.accept(stored) {
            Ok(serial) => serial,
            Err(error) => {
                error!(self.log, "a message could not be journalled"; "problem" => %error);
                return None;
            }
        };
        let id = self.in_flight.unused_id();
        let submission = core_submission(id, &submitted, AttemptHistory::default());
        let message = InFlightMessage::new(serial, submitted, deadline, 0);
        self.in_flight.insert(id, message);
        Some(submission)
    }

    /// Gives the core a submission and carries out its actions. The action that ends this message at once is returned
    /// as the answer to its client instead.
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

    /// The client's own answer ends the message: the platform gets no completion report.
    fn reject_submission(
        &mut self,
        id: MessageId,
        is_ordered: bool,
        rejection: SubmissionAnswer,
        answer_sender: oneshot::Sender<SubmissionAnswer>,
    ) {
        self.end_without_report(id);
        if is_ordered {
            let acknowledged = Event::FinalAnswerAcknowledged { id };
            self.queued_events.push_back(acknowledged);
        }
        send_answer(answer_sender, rejection);
    }

    /// Tells the client that its message is accepted. The message is withdrawn where the client has left meanwhile.
    fn confirm_submission(
        &mut self,
        id: MessageId,
        answer_sender: oneshot::Sender<SubmissionAnswer>,
    ) {
        if answer_sender.send(SubmissionAnswer::Accepted).is_err() {
            debug!(self.log, "a client left before its answer"; "message" => id.0);
            self.end_without_report(id);
            self.handle_event(Event::MessageWithdrawn { id });
        }
    }
}

/// An answer to a client that has left is dropped: nothing was accepted from it.
fn send_answer(answer_sender: oneshot::Sender<SubmissionAnswer>, answer: SubmissionAnswer) {
    let _ = answer_sender.send(answer);
}

/// Whether two submissions with the same request id are the same message.
fn has_same_content(first: &SubmittedMessage, second: &SubmittedMessage) -> bool {
    first.class == second.class
        && first.destination == second.destination
        && first.order_key == second.order_key
        && first.idempotency_key == second.idempotency_key
        && first.body == second.body
}

/// A message as the journal stores it, before its first attempt. `deadline` is in µs.
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
        key: submitted.order_key,
        attempts: 0,
        possible_effect: None,
        attempts_out: Vec::new(),
        pending_report: None,
    }
}

/// A message as the core gets it.
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
