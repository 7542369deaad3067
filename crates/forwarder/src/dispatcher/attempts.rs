//! Starts, cancels and records attempts. An attempt is journalled before it is sent, and again once its outcome is known.

use super::unfinished_messages::{OutstandingAttempt, UnfinishedMessage};
use super::Dispatcher;
use crate::commands::{AttemptJournalling, AttemptRequest, AttemptTimes, EndpointCommand};
use opalpulley::{
    Config, DeliveryClassId, DeliverySemantics, EndpointId, Event, MessageId, Micros, Outcome,
};
use slog::error;
use std::time::Duration;
use tokio::sync::oneshot;

impl Dispatcher {
    /// Journals the next attempt at a message and sends it to the endpoint's actor. If either fails, the core gets the
    /// outcome [`Outcome::NotAttempted`]. The start of an attempt at an at-most-once message is journalled once its
    /// connection is open ([`Dispatcher::journal_connected_attempt`]).
    ///
    /// Times are in µs. `timeout` is cut to the message's time left; `None` stands for the time left itself. The attempt
    /// must begin by `send_by`.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Option<Micros>,
        send_by: Micros,
    ) {
        let zone = self.zone_of(endpoint);
        let clock = self.clock;
        let Some(message) = self.unfinished_messages.get_undecided(id) else {
            error!(self.log, "attempt from the core ignored: its message is unknown or has ended";
                "message" => id.0);
            return;
        };
        let time_left = message.deadline.saturating_sub(now);
        let timeout = timeout.map_or(time_left, |timeout| timeout.min(time_left));
        let attempt_index = message.take_attempt_index();
        let times = AttemptTimes {
            timeout: Duration::from_micros(timeout),
            send_by: clock.at(send_by),
            deadline: clock.at(message.deadline),
        };
        let journalled = journalling_of(&self.config, message.submitted.class);
        let request = attempt_request(id, attempt_index, message, journalled, times);
        let serial = message.serial;
        let outstanding = OutstandingAttempt {
            attempt_index,
            endpoint,
            is_journalled: journalled == AttemptJournalling::BeforeStart,
        };
        if outstanding.is_journalled {
            let start_written = self
                .journal
                .record_attempt_start(serial, attempt_index, now, zone);
            if start_written.is_err() {
                self.log_journal_error(start_written);
                self.queue_not_attempted(id, outstanding);
                return;
            }
        }
        if self.send_endpoint_command(endpoint, EndpointCommand::StartAttempt(Box::new(request))) {
            self.add_outstanding_attempt(id, outstanding);
            return;
        }
        if outstanding.is_journalled {
            let end_written = self
                .journal
                .record_attempt_end(serial, attempt_index, false);
            self.log_journal_error(end_written);
        }
        self.queue_not_attempted(id, outstanding);
    }

    /// Journals the start of an attempt whose connection is open, and permits its first byte. The permit is dropped if the
    /// message has ended, the attempt is not outstanding or the journal fails: the attempt then ends without a byte.
    pub(super) fn journal_connected_attempt(
        &mut self,
        id: MessageId,
        attempt_index: u8,
        permit: oneshot::Sender<()>,
    ) {
        let now = self.clock.now();
        let Some(endpoint) = self
            .unfinished_messages
            .endpoint_of_attempt(id, attempt_index)
        else {
            return;
        };
        let zone = self.zone_of(endpoint);
        let Some((serial, attempt)) = self
            .unfinished_messages
            .undecided_attempt(id, attempt_index)
        else {
            return;
        };
        let start_written = self
            .journal
            .record_attempt_start(serial, attempt_index, now, zone);
        if start_written.is_err() {
            self.log_journal_error(start_written);
            return;
        }
        attempt.is_journalled = true;
        // The attempt may have been cancelled meanwhile; its end is then recorded as usual.
        let _ = permit.send(());
    }

    fn zone_of(&self, endpoint: EndpointId) -> u16 {
        self.listed_endpoints
            .get(&endpoint)
            .map_or(0, |listed| listed.zone.0)
    }

    fn add_outstanding_attempt(&mut self, id: MessageId, attempt: OutstandingAttempt) {
        self.endpoint_actors.attempt_started(attempt.endpoint);
        if let Some(message) = self.unfinished_messages.get_mut(id) {
            message.outstanding_attempts.push(attempt);
        }
    }

    /// Queues the event that ends an attempt of which no byte was sent.
    fn queue_not_attempted(&mut self, id: MessageId, attempt: OutstandingAttempt) {
        self.queued_events.push_back(Event::AttemptEnded {
            id,
            attempt_index: attempt.attempt_index,
            endpoint: attempt.endpoint,
            outcome: Outcome::NotAttempted { no_permit: false },
            elapsed: 0,
            message_completed: false,
            load_metrics: Vec::new(),
        });
    }

    /// Tells the endpoint's actor to cancel an attempt. Does nothing if the attempt is not outstanding.
    pub(super) fn cancel_attempt(&mut self, id: MessageId, attempt_index: u8) {
        if let Some(endpoint) = self
            .unfinished_messages
            .endpoint_of_attempt(id, attempt_index)
        {
            self.send_endpoint_command(
                endpoint,
                EndpointCommand::CancelAttempt { id, attempt_index },
            );
        }
    }

    /// Records the end of an attempt before the core gets the event; does nothing for other events. A delivery after the
    /// message's deadline does not complete the message: the message still needs its final answer.
    pub(super) fn record_attempt_end(&mut self, event: &mut Event) {
        let Event::AttemptEnded {
            id,
            attempt_index,
            endpoint,
            outcome,
            message_completed,
            ..
        } = event
        else {
            return;
        };
        let is_late = self
            .unfinished_messages
            .get(*id)
            .is_some_and(|message| self.clock.now() >= message.deadline);
        if is_late && *outcome == Outcome::Delivered {
            *message_completed = false;
        }
        let now = self.clock.now();
        self.endpoint_actors.attempt_ended(now, *endpoint);
        self.purge_if_removed(*endpoint);
        self.journal_attempt_end(*id, *attempt_index, *outcome, *message_completed);
    }

    fn journal_attempt_end(
        &mut self,
        id: MessageId,
        attempt_index: u8,
        outcome: Outcome,
        message_completed: bool,
    ) {
        let Some(message) = self.unfinished_messages.get_mut(id) else {
            return;
        };
        let ended: Vec<OutstandingAttempt> = message
            .outstanding_attempts
            .extract_if(.., |attempt| attempt.attempt_index == attempt_index)
            .collect();
        let is_journalled = ended.iter().all(|attempt| attempt.is_journalled);
        let serial = message.serial;
        let end_written = if message.ending_decided {
            Ok(())
        } else if message_completed {
            message.ending_decided = true;
            self.journal.record_message_end(serial)
        } else if outcome == Outcome::WithdrawnBeforeSend {
            message.attempts_started = u32::from(attempt_index);
            if is_journalled {
                self.journal
                    .record_attempt_withdrawal(serial, attempt_index)
            } else {
                Ok(())
            }
        } else if !is_journalled {
            Ok(())
        } else {
            let may_have_taken_effect = outcome.may_have_taken_effect();
            self.journal
                .record_attempt_end(serial, attempt_index, may_have_taken_effect)
        };
        self.log_journal_error(end_written);
        self.unfinished_messages.remove_if_possible(id);
    }
}

fn attempt_request(
    id: MessageId,
    attempt_index: u8,
    message: &UnfinishedMessage,
    journalled: AttemptJournalling,
    times: AttemptTimes,
) -> AttemptRequest {
    AttemptRequest {
        id,
        attempt_index,
        request_id: message.submitted.request_id.clone(),
        idempotency_key: message.submitted.idempotency_key.clone(),
        body: message.submitted.body.clone(),
        journalled,
        times,
    }
}

/// Returns when the attempts of a class are journalled. An attempt at an at-most-once message is the last one once it may
/// have taken effect, so that it must not count before its connection is open.
fn journalling_of(config: &Config, class: DeliveryClassId) -> AttemptJournalling {
    let class_config = config.classes.get(usize::from(class.0));
    match class_config.map(|class_config| class_config.semantics) {
        Some(DeliverySemantics::AtMostOnce) => AttemptJournalling::OnceConnected,
        _ => AttemptJournalling::BeforeStart,
    }
}
