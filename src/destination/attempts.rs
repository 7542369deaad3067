//! The end of attempts, and its consequences for the message, its order key and the pacing.

use super::{Destination, InFlightAttempt};
use crate::forwarder::context::DecisionContext;
use crate::forwarder::mailbox::{EndedAttempt, EndpointEvent, ForwarderEvent};
use crate::model::{Action, EndpointId, MessageId, Micros, Outcome, PossibleEffect, ZoneId};
use crate::policy::attempt_timeout::{self, Permits};
use crate::policy::{ordering, retry};
use rand::Rng;

impl Destination {
    /// Removes and returns the in-flight attempt of a message if it was sent to `endpoint`. Returns
    /// `None` for an unknown message or another endpoint.
    pub(super) fn take_attempt(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
    ) -> Option<InFlightAttempt> {
        let message = self.messages.get_mut(&id)?;
        message
            .in_flight
            .take_if(|attempt| attempt.endpoint == endpoint)
    }

    /// Applies the outcome of an attempt that [`Destination::take_attempt`] returned.
    pub(super) fn end_attempt(
        &mut self,
        ended: EndedAttempt,
        attempt: InFlightAttempt,
        context: &mut DecisionContext,
    ) {
        let EndedAttempt {
            id,
            endpoint,
            outcome,
            elapsed,
            message_completed,
        } = ended;
        let sent_at = attempt.sent_at;
        self.in_flight.remove(&id);
        if let Some(message) = self.messages.get_mut(&id) {
            message.is_completed |= message_completed;
        }
        let event = EndpointEvent::AttemptEnded {
            sent_at,
            outcome,
            elapsed,
        };
        context.mailboxes.send_to_endpoint(endpoint, event);
        if let Outcome::Rejected { retry_after } = outcome {
            self.apply_rejection(endpoint, sent_at, retry_after.unwrap_or(0), context);
        }
        self.record_possible_effect(id, attempt, outcome, context);
        self.answer_or_retry(id, outcome, context);
    }

    fn apply_rejection(
        &mut self,
        endpoint: EndpointId,
        sent_at: Micros,
        retry_after: Micros,
        context: &mut DecisionContext,
    ) {
        self.apply_retry_after(endpoint, retry_after, context);
        if let Some(pacer) = self.pacer_of(endpoint) {
            pacer.handle_rejection(context.now, sent_at, context.config, context.rng);
        }
    }

    /// Records that an attempt may have taken effect or may still be running. The first limits
    /// where and until when the message may be repeated; the second delays the next message of its
    /// order key.
    fn record_possible_effect(
        &mut self,
        id: MessageId,
        attempt: InFlightAttempt,
        outcome: Outcome,
        context: &mut DecisionContext,
    ) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        if let Some(order_key) = message
            .order_key
            .filter(|_| ordering::is_outcome_unknown(outcome))
        {
            context
                .mailboxes
                .send_to_forwarder(ForwarderEvent::OutcomeUnknown { order_key });
        }
        if outcome.may_have_taken_effect() && message.possible_effect.is_none() {
            let zone = self.endpoints.get(&attempt.endpoint).map_or(0, |e| e.zone);
            message.possible_effect = Some(PossibleEffect {
                sent_at: attempt.sent_at,
                zone: ZoneId(zone),
            });
        }
    }

    /// Ends the message or returns it to the queue. The message fails if its backoff ends too late
    /// for another attempt: only a message that is waiting can be rejected
    /// ([`Destination::give_up`]).
    fn answer_or_retry(&mut self, id: MessageId, outcome: Outcome, context: &mut DecisionContext) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        if message.is_completed || outcome == Outcome::Delivered {
            // A delivery that ended too late does not complete the message: the final answer is
            // still due.
            let answer = (!message.is_completed).then_some(Action::Fail { id });
            return self.end_message(id, answer, context);
        }
        if outcome == Outcome::WithdrawnBeforeSend {
            message.attempts -= 1; // it was not sent and keeps its place in the queue
            return self.queue.insert(&message.queue_entry(context.config));
        }
        let time_to_live = context.config.classes[message.class_index].time_to_live;
        let random = context.rng.random();
        message.backoff_until =
            context.now + retry::backoff(message.attempts, time_to_live, random);
        let entry = message.queue_entry(context.config);
        self.queue.insert(&entry);
        if entry.backoff_until >= entry.latest_send_at {
            self.end_message(id, Some(Action::Fail { id }), context);
        }
    }

    /// Cancels attempts that take too long, because the request or the response may have been lost.
    /// Attempts at an ejected endpoint are left running: the endpoint responds to nobody, so
    /// cancelling them gains nothing.
    pub(super) fn cancel_overdue_attempts(
        &mut self,
        permits: Permits,
        context: &mut DecisionContext,
    ) {
        if !context.config.may_cancel {
            return;
        }
        for id in &self.in_flight {
            let Some(message) = self.messages.get_mut(id) else {
                continue;
            };
            let Some(attempt) = message.in_flight else {
                continue;
            };
            let Some(endpoint) = self.endpoints.get(&attempt.endpoint) else {
                continue;
            };
            if message.is_attempt_cancelled || message.is_completed || endpoint.is_ejected {
                continue;
            }
            let elapsed = context.now - attempt.sent_at;
            let attempt_bound =
                attempt_timeout::attempt_bound(endpoint.latency_bound, message.attempts);
            let semantics = context.config.classes[message.class_index].semantics;
            if attempt_timeout::is_overdue(elapsed, attempt_bound, semantics, permits) {
                message.is_attempt_cancelled = true;
                context.mailboxes.emit_action(Action::CancelAttempt {
                    id: *id,
                    attempt_index: (message.attempts - 1) as u8,
                });
            }
        }
    }
}
