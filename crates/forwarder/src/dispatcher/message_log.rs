//! Log lines of the state transitions of messages. Each names the message by the client's id, by which the logs of clients and
//! endpoints can be joined. The end of an attempt, which may complete its message, is logged by the endpoint's actor: it
//! knows the response.

use super::unfinished_messages::UnfinishedMessage;
use crate::commands::SubmissionAnswer;
use crate::protocol::{Ending, SubmittedMessage};
use opalpulley::Micros;
use slog::{info, Logger};

/// Logs that a message was accepted: the forwarder owes it a delivery or a completion report.
pub fn accepted(log: &Logger, message: &UnfinishedMessage, time_left: Micros) {
    info!(log, "message accepted"; "message" => &message.submitted.request_id,
        "destination" => message.submitted.destination.0, "time_left_us" => time_left);
}

/// Logs that a submission was not accepted, with the answer that its client got.
pub fn refused(log: &Logger, submitted: &SubmittedMessage, answer: SubmissionAnswer) {
    info!(log, "submission refused"; "message" => &submitted.request_id,
        "destination" => submitted.destination.0, "answer" => ?answer);
}

/// Logs that a message ended without delivery, and that its completion report is pending.
pub fn ended(log: &Logger, message: &UnfinishedMessage, ending: Ending) {
    info!(log, "message ended without delivery"; "message" => &message.submitted.request_id,
        "ending" => ?ending, "attempts" => message.attempts_started);
}

/// Logs that an accepted message was dropped because its client disconnected before the answer.
pub fn withdrawn(log: &Logger, message: &UnfinishedMessage) {
    info!(log, "message withdrawn: the client disconnected before the answer";
        "message" => &message.submitted.request_id);
}
