//! Handles the calls and health checks that reach a stand-in endpoint. The receiver model determines the result, and the oracle
//! judges the call.

use super::endpoints::StandInEndpoint;
use super::replies::write_response;
use super::wire::{HttpConnection, HttpMessage};
use super::{RunContext, RunState};
use crate::oracle::{CallEffect, FinalAnswer, SentCall};
use crate::receivers::{CallResult, ReceiverReply};
use crate::scenario::DeliverySemantics;
use crate::tally::BucketEvent;
use opalpulley::Micros;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the end of the previous call with the same submission is polled.
const PREVIOUS_CALL_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Number of polls after which the previous call counts as still in flight.
const MAX_PREVIOUS_CALL_POLLS: usize = 25;
/// Half of the timer resolution, in µs. No timer is set for a response that is due within it.
const HALF_TIMER_RESOLUTION: Micros = 500;
/// Forwarder number of a health check whose sender is unknown: with several forwarders their health checks can't be told
/// apart.
const UNKNOWN_FORWARDER: u32 = u32::MAX;

/// A call that has been received completely.
struct ReceivedCall {
    submission: u64,
    forwarder: u32,
    endpoint_index: usize,
    /// Index of the attempt of the submission, from 0.
    attempt: u32,
    received_at: Micros,
    result: CallResult,
}

/// Responds to one request. Returns the connection if it can be reused.
pub(super) async fn respond(
    context: &Arc<RunContext>,
    endpoint_index: usize,
    stand_in: &StandInEndpoint,
    conn: HttpConnection,
    request: HttpMessage,
) -> Option<HttpConnection> {
    if request.method == "GET" {
        return respond_to_health_check(context, endpoint_index, conn).await;
    }
    let id = request.header("request-id").unwrap_or("");
    let submission = id.strip_prefix('p').and_then(|number| number.parse().ok());
    match submission {
        Some(submission) if !context.without_oracle => {
            wait_for_previous_call(context, submission).await;
            let call = begin_call(context, endpoint_index, stand_in.incarnation(), submission);
            respond_to_call(context, conn, call).await
        }
        _ => respond_without_oracle(context, endpoint_index, stand_in, conn, &request).await,
    }
}

/// Responds to a call that the oracle does not judge, and prints the call if the oracle is disabled.
async fn respond_without_oracle(
    context: &RunContext,
    endpoint_index: usize,
    stand_in: &StandInEndpoint,
    conn: HttpConnection,
    request: &HttpMessage,
) -> Option<HttpConnection> {
    let now = context.now();
    let result = context
        .lock_state()
        .receivers
        .call(now, endpoint_index, 0, None);
    if context.without_oracle {
        println!(
            "{} {} of {} bytes: {:?}",
            stand_in.address,
            request.header("request-id").unwrap_or(""),
            request.body.len(),
            result.reply
        );
    }
    write_response(context, conn, result).await
}

/// Waits for a limited time until the previous call with the submission has ended. The end of a call that its forwarder has
/// cancelled may be observed after the arrival of the next one.
async fn wait_for_previous_call(context: &RunContext, submission: u64) {
    for _ in 0..MAX_PREVIOUS_CALL_POLLS {
        if !context.lock_state().oracle.has_call_in_flight(submission) {
            return;
        }
        tokio::time::sleep(PREVIOUS_CALL_POLL_INTERVAL).await;
    }
}

/// Records that the last byte of a call has been received, and determines its result.
fn begin_call(
    context: &RunContext,
    endpoint_index: usize,
    incarnation: u32,
    submission: u64,
) -> ReceivedCall {
    let now = context.now();
    let mut state = context.lock_state();
    let layout_endpoint = context.layout.endpoints[endpoint_index];
    let record = state.oracle.record(submission);
    let (forwarder, message, class) = record.map_or((0, u64::MAX, 0), |record| {
        (record.forwarder, record.message, record.class)
    });
    let call = SentCall {
        submission,
        forwarder,
        destination: layout_endpoint.destination,
        endpoint: endpoint_index,
        incarnation,
        limiter: layout_endpoint.limiter_index,
    };
    state.oracle.call_sent(call, now);
    state.tally.counts.calls += 1;
    state.tally.calls_in_flight += 1;
    state.tally.count(now, BucketEvent::Call);
    let is_keyed =
        state.semantics_by_class[usize::from(class)] == DeliverySemantics::IdempotencyKeyed;
    let failures_before = state.receivers.overload_failures.len();
    let result = state
        .receivers
        .call(now, endpoint_index, forwarder, is_keyed.then_some(message));
    if state.receivers.overload_failures.len() > failures_before {
        context
            .receivers_changed
            .send_modify(|changes| *changes += 1);
    }
    if let Some(effect_at) = result.effect_at {
        state.oracle.took_effect(message, submission, effect_at);
    }
    ReceivedCall {
        submission,
        forwarder,
        endpoint_index,
        attempt: state.oracle.attempt_count(submission).saturating_sub(1),
        received_at: now,
        result,
    }
}

/// Responds to a call at the time that its result sets, unless its forwarder closes the connection first. Returns the
/// connection if it can be reused.
async fn respond_to_call(
    context: &Arc<RunContext>,
    mut conn: HttpConnection,
    call: ReceivedCall,
) -> Option<HttpConnection> {
    let result = call.result;
    if matches!(
        result.reply,
        ReceiverReply::Refused | ReceiverReply::ClosedEarly
    ) {
        call.record_end(&mut context.lock_state(), CallEffect::None);
        conn.reset();
        return None;
    }
    let silent = result.reply == ReceiverReply::Silent;
    let closed = tokio::select! {
        // The close is polled first: a response that is due at the same moment is not sent.
        biased;
        () = conn.wait_for_close() => true,
        () = wait_until(context, result.reply_at), if !silent => false,
    };
    let now = context.now();
    if closed {
        let mut state = context.lock_state();
        state.tally.count_outcome("closed by the forwarder");
        state.tally.count(now, BucketEvent::CallFailed);
        call.record_end(&mut state, CallEffect::Possible);
        return None;
    }
    call.record_lateness(context, now);
    if result.reply == ReceiverReply::EndlessError {
        // The call is out until its forwarder closes the connection.
        write_response(context, conn, result).await;
        call.record_response(context, context.now());
        return None;
    }
    call.record_response(context, now);
    write_response(context, conn, result).await
}

/// Waits until `at`, in µs on the run's clock. Returns at once if `at` is within [`HALF_TIMER_RESOLUTION`].
async fn wait_until(context: &RunContext, at: Micros) {
    if at > context.now() + HALF_TIMER_RESOLUTION {
        tokio::time::sleep_until(context.instant_at(at)).await;
    }
}

impl ReceivedCall {
    fn record_end(&self, state: &mut RunState, took_effect: CallEffect) {
        state.oracle.call_ended(
            self.submission,
            self.forwarder,
            self.received_at,
            took_effect,
        );
    }

    /// Records by how much the response, which begins at `now`, is late.
    fn record_lateness(&self, context: &RunContext, now: Micros) {
        let lateness = now.saturating_sub(self.result.reply_at);
        let mut state = context.lock_state();
        state.receiver_lateness.saturating_record(lateness.max(1));
    }

    /// Records in the tally and the oracle that the call ends with its response at `now`.
    fn record_response(&self, context: &RunContext, now: Micros) {
        let mut state = context.lock_state();
        let (outcome, bucket_event, took_effect) = classify_reply(self.result.reply);
        state.tally.count_outcome(outcome);
        state.tally.count(now, bucket_event);
        state.tally.calls_in_flight = state.tally.calls_in_flight.saturating_sub(1);
        self.record_end(&mut state, took_effect);
        if let ReceiverReply::TooManyRequests {
            retry_after: Some(wait),
        }
        | ReceiverReply::TooManyRequestsTruncated {
            retry_after: Some(wait),
        } = self.result.reply
        {
            let limiter = context.layout.endpoints[self.endpoint_index].limiter_index;
            state
                .oracle
                .retry_after_notified(self.forwarder, limiter, now, now + wait);
        }
        if !self.result.reply.reveals_failure() {
            let answer = FinalAnswer::Served;
            state.submission_ended(context, self.submission, answer, None, self.attempt, now);
        }
    }
}

/// Returns the outcome and the time bucket event under which a reply is counted, and what the forwarder can know about
/// the effect of the call.
fn classify_reply(reply: ReceiverReply) -> (&'static str, BucketEvent, CallEffect) {
    match reply {
        ReceiverReply::Served | ReceiverReply::ServedThenReset | ReceiverReply::Endless => (
            "delivered",
            BucketEvent::CallSucceeded,
            CallEffect::Possible,
        ),
        ReceiverReply::InternalError | ReceiverReply::EndlessError => {
            ("error", BucketEvent::CallFailed, CallEffect::Possible)
        }
        ReceiverReply::TooManyRequests { .. } | ReceiverReply::Overloaded => {
            ("refused", BucketEvent::CallRejected, CallEffect::None)
        }
        ReceiverReply::Refused | ReceiverReply::ClosedEarly => {
            ("no-connection", BucketEvent::CallFailed, CallEffect::None)
        }
        ReceiverReply::Reset
        | ReceiverReply::Garbled
        | ReceiverReply::TooManyRequestsTruncated { .. }
        | ReceiverReply::Silent => ("reset", BucketEvent::CallFailed, CallEffect::Possible),
    }
}

async fn respond_to_health_check(
    context: &RunContext,
    endpoint_index: usize,
    mut conn: HttpConnection,
) -> Option<HttpConnection> {
    let sent = match health_check_reply(context, endpoint_index) {
        ReceiverReply::Served => conn.respond("200 OK", "", "").await,
        ReceiverReply::Overloaded => conn.respond("503 Service Unavailable", "", "").await,
        ReceiverReply::Silent => {
            conn.wait_for_close().await;
            return None;
        }
        _ => {
            conn.reset();
            return None;
        }
    };
    sent.ok().map(|()| conn)
}

/// Judges a health check and returns the reply of the endpoint. A health check of the platform's protocol does not name its
/// forwarder. If the scenario has a single forwarder, it is the sender; otherwise the sender is unknown.
fn health_check_reply(context: &RunContext, endpoint_index: usize) -> ReceiverReply {
    let now = context.now();
    let forwarder = match context.scenario.forwarders.count {
        1 => 0,
        _ => UNKNOWN_FORWARDER,
    };
    let mut state = context.lock_state();
    state.tally.counts.health_checks += 1;
    if forwarder != UNKNOWN_FORWARDER {
        let limiter = context.layout.endpoints[endpoint_index].limiter_index;
        let description = format!("a probe to target {endpoint_index}");
        state
            .oracle
            .check_retry_after(forwarder, limiter, now, &description);
    }
    let result = state.receivers.health_check(now, endpoint_index, forwarder);
    result.reply
}
