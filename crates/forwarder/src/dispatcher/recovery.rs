//! Recovery: passes the messages of the journal to a new core, after a restart of the process or a panic of the core.

use super::submissions::core_submission;
use super::unfinished_messages::UnfinishedMessage;
use super::{CoreState, Dispatcher};
use crate::commands::{EndpointCommand, PendingCompletionReport};
use crate::journal::StoredMessage;
use crate::protocol::{Ending, SubmittedMessage};
use opalpulley::{
    AttemptHistory, DeliveryClassId, DestinationId, EndpointListUpdate, Event, Forwarder,
    MessageId, Micros, OrderKey, PossibleEffect, Submission, TenantId, ZoneId,
};
use slog::crit;
use std::sync::atomic::Ordering;

impl Dispatcher {
    /// Restores the messages of a previous run. If no endpoint list is known, they wait for one, for at most
    /// `FIRST_LIST_TIMEOUT`. With a list, even one that is withheld, they are submitted to the core at once, which sends
    /// them as soon as discovery has confirmed a list.
    pub fn restore_previous_run(&mut self, messages: Vec<StoredMessage>) {
        self.recovered_messages = Some(messages);
        if !self.known_destinations.is_empty() {
            self.submit_recovered_messages();
        }
    }

    /// Passes the messages of a previous run to the core, unless that is already done. From then on clients may submit
    /// messages.
    pub(super) fn submit_recovered_messages(&mut self) {
        if let Some(messages) = self.recovered_messages.take() {
            self.restore_messages(messages);
            self.ready.store(true, Ordering::Relaxed);
        }
    }

    /// Passes messages of the journal to the core, with the recorded history of their attempts. For a message that has
    /// ended, only the completion report is sent again.
    pub(super) fn restore_messages(&mut self, messages: Vec<StoredMessage>) {
        let now = self.clock.now();
        for stored in messages {
            let id = self.unfinished_messages.unused_id();
            match stored.pending_report {
                Some(ending) => self.restore_pending_report(id, stored, ending),
                None => self.restore_message(now, id, stored),
            }
        }
    }

    /// Restores a message that has ended and whose completion report the platform has not acknowledged.
    fn restore_pending_report(&mut self, id: MessageId, stored: StoredMessage, ending: Ending) {
        if let Some(key) = stored.order_key {
            self.handle_event(Event::CompletionReportPending {
                id,
                class: DeliveryClassId(stored.class),
                order_key: OrderKey(key),
            });
        }
        let ordered_message = stored.order_key.map(|_| id);
        let report = PendingCompletionReport {
            serial: stored.serial,
            request_id: stored.request_id,
            ending,
        };
        self.send_report(report, ordered_message);
    }

    fn restore_message(&mut self, now: Micros, id: MessageId, stored: StoredMessage) {
        let history = AttemptHistory {
            attempts: stored.attempts_started,
            possible_effect: possible_effect(now, &stored),
        };
        let serial = stored.serial;
        let deadline = stored.deadline;
        let submitted = submitted_message(now, stored);
        let submission = Submission {
            resubmitted: true,
            ..core_submission(id, &submitted, history)
        };
        let message = UnfinishedMessage::new(serial, submitted, deadline, history.attempts);
        self.unfinished_messages.insert(id, message);
        self.handle_event(Event::MessageSubmitted(submission));
    }

    /// Handles a panic of the core. `submitted_id` is the message whose submission caused the panic, if it was a
    /// submission.
    pub(super) fn handle_core_panic(&mut self, submitted_id: Option<MessageId>) {
        match self.core_state {
            CoreState::Running => self.replace_core(),
            // Another replacement would panic on the same message again, so the message fails.
            CoreState::Replacing => {
                if let Some(id) = submitted_id {
                    self.end_with_report(id, Ending::Failed);
                }
            }
        }
    }

    /// Replaces a core that panicked. The new core gets the endpoint list and the messages of the journal, as after a
    /// restart of the process.
    pub(super) fn replace_core(&mut self) {
        self.core_replacements += 1;
        crit!(self.log, "decision core replaced after a panic"; "panics" => self.core_replacements);
        let seed = self.seed.wrapping_add(self.core_replacements);
        self.forwarder = Forwarder::new(self.config.clone(), seed);
        self.timers.clear();
        self.queued_events.clear();
        // The journal also holds the messages of a previous run. They are restored from it below, so clients may submit
        // messages.
        if self.recovered_messages.take().is_some() {
            self.ready.store(true, Ordering::Relaxed);
        }
        self.cancel_all_attempts();
        self.core_state = CoreState::Replacing;
        let entries = self
            .listed_endpoints
            .iter()
            .map(|(endpoint, listed)| listed.to_entry(*endpoint))
            .collect();
        self.process_event(Event::EndpointListUpdated(EndpointListUpdate::Cached(
            entries,
        )));
        let messages = self.journal.recover_messages();
        self.restore_messages(messages);
        self.core_state = CoreState::Running;
    }

    /// Removes all unfinished messages and cancels their attempts.
    fn cancel_all_attempts(&mut self) {
        for (id, message) in self.unfinished_messages.take_all() {
            for attempt in message.outstanding_attempts {
                let attempt_index = attempt.attempt_index;
                self.send_endpoint_command(
                    attempt.endpoint,
                    EndpointCommand::CancelAttempt { id, attempt_index },
                );
            }
        }
    }
}

/// Returns the earliest attempt that may have taken effect.
///
/// A start in the future means that the clock was set back, so that the age of the attempt is not known. The start is
/// then set to 0: the attempt is older than any deduplication window, so that it is not repeated.
fn possible_effect(now: Micros, stored: &StoredMessage) -> Option<PossibleEffect> {
    let effect = stored.possible_effect?;
    let started_in_future = effect.started_at > now;
    Some(PossibleEffect {
        sent_at: if started_in_future {
            0
        } else {
            effect.started_at
        },
        zone: ZoneId(effect.zone),
    })
}

fn submitted_message(now: Micros, stored: StoredMessage) -> SubmittedMessage {
    SubmittedMessage {
        request_id: stored.request_id,
        class: DeliveryClassId(stored.class),
        tenant: stored.tenant.map(TenantId),
        destination: DestinationId(stored.destination),
        time_left: stored.deadline.saturating_sub(now),
        idempotency_key: stored.idempotency_key,
        order_key: stored.order_key,
        resubmitted: stored.resubmitted,
        from_failed_forwarder: stored.from_failed_forwarder,
        body: stored.body,
    }
}
