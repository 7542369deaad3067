//! Simulated attempts: a call leaves its forwarder, reaches its endpoint, and its outcome reaches the forwarder.

use super::connections::ConnectDelay;
use super::event::SimulatedEvent;
use super::simulated_process::UnfinishedMessage;
use super::Sim;
use crate::oracle::{CallEffect, FinalAnswer, SentCall};
use crate::receivers::ReceiverReply;
use crate::scenario::DeliverySemantics;
use crate::tally::BucketEvent;
use crate::world::Layout;
use opalpulley::{EndpointId, Event, MessageId, Micros, Outcome, PossibleEffect, ZoneId};

/// Interval after which delivery to a paused forwarder is tried again, µs.
const PAUSED_POLL_INTERVAL: Micros = 10_000;

/// An attempt in flight. Owned by `Sim` from the send until the outcome.
pub(super) struct Attempt {
    pub forwarder: u32,
    /// The forwarder's id of the message.
    pub id: MessageId,
    /// The oracle's number of the submission.
    pub submission: u64,
    /// The client's number of the message.
    pub client_message: u64,
    /// The index of the attempt among those of its message, from 0.
    pub attempt_index: u8,
    pub endpoint: EndpointId,
    pub sent_at: Micros,
    pub idempotency_key: Option<u64>,
    /// Whether its connection is not established yet, so that the attempt can still be withdrawn.
    pub unsent: bool,
}

impl Sim {
    /// Sends a message of a forwarder to an endpoint. The attempt times out after `timeout`, µs, and at the deadline of the
    /// message at the latest.
    pub(super) fn send_call(
        &mut self,
        forwarder: u32,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Option<Micros>,
    ) {
        let process = &mut self.processes[forwarder as usize];
        let Some(unfinished_message) = process.unfinished_messages.get_mut(&id) else {
            return self.record_send_after_end(forwarder, id, endpoint);
        };
        let attempt_index = unfinished_message.attempts.min(255) as u8;
        unfinished_message.attempts += 1;
        let attempt_number = self.next_attempt;
        self.next_attempt += 1;
        unfinished_message
            .in_flight
            .push((attempt_index, attempt_number));
        let time_left = unfinished_message.deadline.saturating_sub(self.now);
        let (submission, client_message) = (
            unfinished_message.submission,
            unfinished_message.client_message,
        );
        let class = unfinished_message.message.class.0;
        let timeout = timeout.map_or(time_left, |limit| limit.min(time_left));
        self.record_call(forwarder, submission, endpoint);
        let index = Layout::endpoint_index(endpoint);
        let connect_delay = self.connect(forwarder, index);
        let attempt = Attempt {
            forwarder,
            id,
            submission,
            client_message,
            attempt_index,
            endpoint,
            sent_at: self.now,
            idempotency_key: self.idempotency_key_of(client_message, class),
            unsent: connect_delay.is_some_and(|delay| delay.lateness > 0),
        };
        self.attempts.insert(attempt_number, attempt);
        match connect_delay {
            Some(delay) => self.schedule_call(attempt_number, delay, timeout),
            None => self.schedule_refusal(attempt_number, index),
        }
    }

    /// Schedules the arrival of a call once its connection is established, and its timeout.
    fn schedule_call(&mut self, attempt: u64, delay: ConnectDelay, timeout: Micros) {
        let sent_at = self.now + delay.setup + delay.lateness;
        if delay.lateness > 0 {
            self.schedule(sent_at, SimulatedEvent::RequestSent { attempt });
        } else {
            let arrives_at = sent_at + self.scenario.network.delay.0;
            self.schedule(arrives_at, SimulatedEvent::RequestArrives { attempt });
        }
        self.schedule_attempt_end(self.now + timeout, attempt, Outcome::Timeout);
    }

    /// Schedules the failure of a call whose connection the endpoint refuses. The attempt counts as a connection until its
    /// outcome releases it.
    fn schedule_refusal(&mut self, attempt_number: u64, endpoint: usize) {
        self.connections[endpoint].in_use += 1;
        let refused_at = self.now + 2 * self.scenario.network.delay.0;
        self.schedule_attempt_end(refused_at, attempt_number, Outcome::NoConnection);
    }

    pub(super) fn schedule_attempt_end(&mut self, at: Micros, attempt: u64, outcome: Outcome) {
        self.schedule(at, SimulatedEvent::AttemptEnds { attempt, outcome });
    }

    /// Reports a call with a message that is finished to the oracle. Only a faulty forwarder sends one.
    fn record_send_after_end(&mut self, forwarder: u32, id: MessageId, endpoint: EndpointId) {
        let process = &self.processes[forwarder as usize];
        if let Some(submission) = process.finished_submission(id) {
            let call = self.describe_call(forwarder, submission, endpoint);
            self.oracle.call_sent(call, self.now);
            self.oracle
                .call_ended(submission, forwarder, self.now, CallEffect::None);
        }
    }

    fn describe_call(&self, forwarder: u32, submission: u64, endpoint: EndpointId) -> SentCall {
        let index = Layout::endpoint_index(endpoint);
        let layout_endpoint = self.layout.endpoints[index];
        SentCall {
            submission,
            forwarder,
            destination: layout_endpoint.destination,
            endpoint: index,
            incarnation: endpoint.incarnation,
            limiter: layout_endpoint.limiter_index,
        }
    }

    /// Reports a call that is sent now to the oracle and the tally.
    fn record_call(&mut self, forwarder: u32, submission: u64, endpoint: EndpointId) {
        let call = self.describe_call(forwarder, submission, endpoint);
        self.oracle.call_sent(call, self.now);
        self.tally.counts.calls += 1;
        self.tally.calls_in_flight += 1;
        self.tally.count(self.now, BucketEvent::Call);
    }

    fn idempotency_key_of(&self, message: u64, class: u16) -> Option<u64> {
        let semantics = self.scenario.classes[usize::from(class)].semantics;
        (semantics == DeliverySemantics::IdempotencyKeyed).then_some(message)
    }

    /// Sends the bytes of a call whose connection was established late. Drains and retry-after times that the forwarder was
    /// notified of in the meantime bind the call.
    pub(super) fn request_sent(&mut self, attempt_number: u64) {
        // A missing attempt was withdrawn or cancelled.
        let Some(attempt) = self.attempts.get_mut(&attempt_number) else {
            return;
        };
        attempt.unsent = false;
        let (forwarder, endpoint) = (attempt.forwarder, attempt.endpoint);
        let client_message = attempt.client_message;
        let index = Layout::endpoint_index(endpoint);
        let description = format!(
            "message {client_message} of forwarder {forwarder} to endpoint {index}, on a late connection"
        );
        let limiter = self.layout.endpoints[index].limiter_index;
        self.oracle.check_limits(
            forwarder,
            index,
            endpoint.incarnation,
            limiter,
            self.now,
            &description,
        );
        let arrives_at = self.now + self.scenario.network.delay.0;
        let arrives = SimulatedEvent::RequestArrives {
            attempt: attempt_number,
        };
        self.schedule(arrives_at, arrives);
    }

    /// Lets the receiver handle a call, and schedules its response if it sends one.
    pub(super) fn request_arrives(&mut self, attempt_number: u64) {
        // A missing attempt was cancelled in flight.
        let Some(attempt) = self.attempts.get(&attempt_number) else {
            return;
        };
        let index = Layout::endpoint_index(attempt.endpoint);
        let result =
            self.receivers
                .call(self.now, index, attempt.forwarder, attempt.idempotency_key);
        if let Some(effect_at) = result.effect_at {
            self.oracle
                .took_effect(attempt.client_message, attempt.submission, effect_at);
        }
        let Some(outcome) = outcome_of(result.reply) else {
            return;
        };
        let at = result.reply_at.max(self.now) + self.scenario.network.delay.0;
        if let ReceiverReply::TooManyRequestsTruncated {
            retry_after: Some(retry_after),
        } = result.reply
        {
            let received = SimulatedEvent::RetryAfterReceived {
                attempt: attempt_number,
                retry_after,
            };
            self.schedule(at, received);
        }
        self.schedule_attempt_end(at, attempt_number, outcome);
    }

    /// Ends an attempt when its outcome reaches the forwarder. The outcome waits while the forwarder is paused.
    pub(super) fn attempt_ends(&mut self, attempt_number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(&attempt_number) else {
            return;
        };
        if self.processes[attempt.forwarder as usize].paused {
            // A paused process reads nothing: the response waits in its socket, and the process's timers don't fire.
            return self.schedule_attempt_end(
                self.now + PAUSED_POLL_INTERVAL,
                attempt_number,
                outcome,
            );
        }
        let Some(attempt) = self.attempts.remove(&attempt_number) else {
            return;
        };
        self.record_outcome(&attempt, outcome);
        self.end_attempt(attempt_number, &attempt, outcome);
    }

    /// Ends an attempt at its forwarder process, gives the client the final answer after a delivery, and delivers the outcome
    /// to the forwarder.
    fn end_attempt(&mut self, attempt_number: u64, attempt: &Attempt, outcome: Outcome) {
        let process = &mut self.processes[attempt.forwarder as usize];
        let incarnation = process.incarnation;
        let clock_offset = process.clock_offset;
        let layout_endpoint = self.layout.endpoints[Layout::endpoint_index(attempt.endpoint)];
        let Some(unfinished_message) = process.unfinished_messages.get_mut(&attempt.id) else {
            return;
        };
        let served = outcome == Outcome::Delivered && !unfinished_message.ended;
        let sent_at = attempt.sent_at + clock_offset;
        unfinished_message.attempt_ended(
            attempt_number,
            outcome,
            sent_at,
            ZoneId(layout_endpoint.zone),
        );
        let message_completed = unfinished_message.ended;
        if served {
            self.final_answer(
                attempt.client_message,
                attempt.submission,
                FinalAnswer::Served,
                None,
                u32::from(attempt.attempt_index),
            );
        }
        self.forget_finished(attempt.forwarder, attempt.id);
        let ended = Event::AttemptEnded {
            id: attempt.id,
            attempt_index: attempt.attempt_index,
            endpoint: attempt.endpoint,
            outcome,
            elapsed: self.now - attempt.sent_at,
            message_completed,
            load_metrics: Vec::new(),
        };
        self.deliver_event(attempt.forwarder, incarnation, ended);
    }

    /// Releases the connection of an attempt, and reports its outcome to the tally and the oracle.
    fn record_outcome(&mut self, attempt: &Attempt, outcome: Outcome) {
        self.tally.calls_in_flight = self.tally.calls_in_flight.saturating_sub(1);
        let index = Layout::endpoint_index(attempt.endpoint);
        let usable = matches!(
            outcome,
            Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. }
        );
        self.release_connection(attempt.forwarder, index, usable);
        self.count_outcome(outcome);
        let effect = match outcome.may_have_taken_effect() {
            true => CallEffect::Possible,
            false => CallEffect::None,
        };
        self.oracle.call_ended(
            attempt.submission,
            attempt.forwarder,
            attempt.sent_at,
            effect,
        );
        if outcome == Outcome::WithdrawnBeforeSend {
            self.oracle.withdrawn_before_send(attempt.submission);
        }
        if let Outcome::Rejected {
            retry_after: Some(retry_after),
        } = outcome
        {
            let limiter = self.layout.endpoints[index].limiter_index;
            let until = self.now + retry_after;
            self.oracle
                .retry_after_notified(attempt.forwarder, limiter, self.now, until);
        }
    }

    fn count_outcome(&mut self, outcome: Outcome) {
        let (name, bucket_event) = match outcome {
            Outcome::Delivered => ("delivered", BucketEvent::CallSucceeded),
            Outcome::Error => ("error", BucketEvent::CallFailed),
            Outcome::Rejected { .. } => ("refused", BucketEvent::CallRejected),
            Outcome::Timeout => ("time-out", BucketEvent::CallFailed),
            Outcome::NoConnection => ("no-connection", BucketEvent::CallFailed),
            Outcome::ConnectionReset => ("reset", BucketEvent::CallFailed),
            Outcome::Cancelled => ("called-off", BucketEvent::CallFailed),
            Outcome::WithdrawnBeforeSend => ("taken-back", BucketEvent::CallFailed),
            Outcome::NotAttempted { .. } => ("moot", BucketEvent::CallFailed),
        };
        self.tally.count_outcome(name);
        self.tally.count(self.now, bucket_event);
    }

    /// Delivers the retry-after time in the head of a response to the forwarder, which reads it at once unless it is paused.
    pub(super) fn retry_after_received(&mut self, attempt_number: u64, retry_after: Micros) {
        let Some(attempt) = self.attempts.get(&attempt_number) else {
            return;
        };
        let (forwarder, endpoint) = (attempt.forwarder, attempt.endpoint);
        let process = &self.processes[forwarder as usize];
        let incarnation = process.incarnation;
        if process.paused {
            let received = SimulatedEvent::RetryAfterReceived {
                attempt: attempt_number,
                retry_after,
            };
            return self.schedule(self.now + PAUSED_POLL_INTERVAL, received);
        }
        let limiter = self.layout.endpoints[Layout::endpoint_index(endpoint)].limiter_index;
        let until = self.now + retry_after;
        self.oracle
            .retry_after_notified(forwarder, limiter, self.now, until);
        let received = Event::RetryAfterReceived {
            endpoint,
            retry_after,
        };
        self.deliver_event(forwarder, incarnation, received);
    }

    /// Ends an attempt in flight that its forwarder cancels.
    pub(super) fn cancel_attempt(&mut self, forwarder: u32, id: MessageId, attempt_index: u8) {
        let unfinished_message = self.processes[forwarder as usize]
            .unfinished_messages
            .get(&id);
        if let Some(attempt) =
            unfinished_message.and_then(|message| message.attempt_in_flight(attempt_index))
        {
            self.schedule_attempt_end(self.now, attempt, Outcome::Cancelled);
        }
    }

    /// Ends the unsent attempts of a forwarder to an endpoint, in the order of their numbers so that runs stay deterministic.
    pub(super) fn withdraw_unsent(&mut self, forwarder: u32, endpoint: EndpointId) {
        let unsent = self.attempts.iter().filter(|(_, attempt)| {
            attempt.forwarder == forwarder && attempt.endpoint == endpoint && attempt.unsent
        });
        let mut numbers: Vec<u64> = unsent.map(|(attempt_number, _)| *attempt_number).collect();
        numbers.sort_unstable();
        for attempt in numbers {
            self.schedule_attempt_end(self.now, attempt, Outcome::WithdrawnBeforeSend);
        }
    }
}

impl UnfinishedMessage {
    /// Records the outcome of an attempt of this message. `sent_at` is in µs on the forwarder's clock.
    fn attempt_ended(
        &mut self,
        attempt_number: u64,
        outcome: Outcome,
        sent_at: Micros,
        zone: ZoneId,
    ) {
        self.in_flight
            .retain(|(_, attempt)| *attempt != attempt_number);
        if outcome == Outcome::WithdrawnBeforeSend {
            self.attempts -= 1;
        }
        if outcome.may_have_taken_effect() && self.possible_effect.is_none() {
            self.possible_effect = Some(PossibleEffect { sent_at, zone });
        }
        if outcome == Outcome::Delivered {
            self.ended = true;
        }
    }
}

/// Returns the outcome that a forwarder observes for a receiver's reply; `None` if the receiver stays silent.
fn outcome_of(reply: ReceiverReply) -> Option<Outcome> {
    Some(match reply {
        ReceiverReply::Served | ReceiverReply::ServedThenReset | ReceiverReply::Endless => {
            Outcome::Delivered
        }
        ReceiverReply::InternalError | ReceiverReply::EndlessError => Outcome::Error,
        ReceiverReply::TooManyRequests { retry_after } => Outcome::Rejected { retry_after },
        ReceiverReply::Overloaded => Outcome::Rejected { retry_after: None },
        ReceiverReply::Refused | ReceiverReply::ClosedEarly => Outcome::NoConnection,
        ReceiverReply::Reset
        | ReceiverReply::Garbled
        | ReceiverReply::TooManyRequestsTruncated { .. } => Outcome::ConnectionReset,
        ReceiverReply::Silent => return None,
    })
}
