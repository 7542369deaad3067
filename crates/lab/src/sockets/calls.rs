//! Calls and health checks as a stand-in answers them: judged by the oracle, with the fate that the receivers' model tells.

use super::endpoints::StandInEndpoint;
use super::replies::write_response;
use super::wire::{HttpConnection, HttpMessage};
use super::{RunContext, RunState};
use crate::oracle::{FinalAnswer, SentCall, TookEffect};
use crate::receivers::{CallResult, ReceiverReply};
use crate::scenario::DeliverySemantics;
use crate::tally::Tick;
use opalpulley::Micros;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks whether the call before has ended.
const PREVIOUS_CALL_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// So many looks: then two calls are in flight.
const MAX_PREVIOUS_CALL_POLLS: usize = 25;
/// Half of a timer's grain, µs: what is due within it is not waited for.
const HALF_TIMER_RESOLUTION: Micros = 500;
/// No forwarder: health checks of several can't be told apart.
const UNKNOWN_FORWARDER: u32 = u32::MAX;

/// A call that is in.
struct ReceivedCall {
    submission: u64,
    forwarder: u32,
    endpoint_index: usize,
    /// Which attempt of its message this is, from 0.
    attempt: u32,
    received_at: Micros,
    result: CallResult,
}

/// Answers one request; gives the connection back where it can serve again.
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

/// Answers a call that the laboratory did not submit; where nobody judges, it is shown.
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

/// A call that its forwarder has cancelled may be seen to end later than the next one comes.
async fn wait_for_previous_call(context: &RunContext, submission: u64) {
    for _ in 0..MAX_PREVIOUS_CALL_POLLS {
        if !context.lock_state().oracle.is_out(submission) {
            return;
        }
        tokio::time::sleep(PREVIOUS_CALL_POLL_INTERVAL).await;
    }
}

/// A call's last byte is in.
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
        holder: incarnation,
        limiter: layout_endpoint.limiter_index,
    };
    state.oracle.sent(call, now);
    state.tally.counts.calls += 1;
    state.tally.calls_out += 1;
    state.tally.tick(now, Tick::Call);
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
        attempt: state.oracle.attempts(submission).saturating_sub(1),
        received_at: now,
        result,
    }
}

/// Answers a call when its fate says, unless its forwarder closes the connection before.
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
        call.record_end(&mut context.lock_state(), TookEffect::No);
        conn.reset();
        return None;
    }
    let silent = result.reply == ReceiverReply::Silent;
    let closed = tokio::select! {
        // A forwarder that has closed the connection gets no answer that is due at the same moment.
        biased;
        () = conn.wait_for_close() => true,
        () = wait_until(context, result.reply_at), if !silent => false,
    };
    let now = context.now();
    if closed {
        let mut state = context.lock_state();
        state.tally.outcome("closed by the forwarder");
        state.tally.tick(now, Tick::CallFailed);
        call.record_end(&mut state, TookEffect::Perhaps);
        return None;
    }
    call.record_response(context, now);
    write_response(context, conn, result).await
}

/// Waits until then; what is due within a timer's grain is not waited for.
async fn wait_until(context: &RunContext, at: Micros) {
    if at > context.now() + HALF_TIMER_RESOLUTION {
        tokio::time::sleep_until(context.instant_at(at)).await;
    }
}

impl ReceivedCall {
    fn record_end(&self, state: &mut RunState, took_effect: TookEffect) {
        state.oracle.over(
            self.submission,
            self.forwarder,
            self.received_at,
            took_effect,
        );
    }

    /// The answer leaves now: tells tally and oracle.
    fn record_response(&self, context: &RunContext, now: Micros) {
        let mut state = context.lock_state();
        let lateness = now.saturating_sub(self.result.reply_at);
        state.receiver_lateness.saturating_record(lateness.max(1));
        let (outcome, tick, took_effect) = classify_reply(self.result.reply);
        state.tally.outcome(outcome);
        state.tally.tick(now, tick);
        state.tally.calls_out = state.tally.calls_out.saturating_sub(1);
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

/// How a reply is counted, and what its forwarder can know of the call's effect.
fn classify_reply(reply: ReceiverReply) -> (&'static str, Tick, TookEffect) {
    match reply {
        ReceiverReply::Served | ReceiverReply::ServedThenReset | ReceiverReply::Endless => {
            ("delivered", Tick::CallSucceeded, TookEffect::Perhaps)
        }
        ReceiverReply::InternalError => ("error", Tick::CallFailed, TookEffect::Perhaps),
        ReceiverReply::TooManyRequests { .. } | ReceiverReply::Overloaded => {
            ("refused", Tick::CallRefused, TookEffect::No)
        }
        ReceiverReply::Refused | ReceiverReply::ClosedEarly => {
            ("no-connection", Tick::CallFailed, TookEffect::No)
        }
        ReceiverReply::Reset
        | ReceiverReply::Garbled
        | ReceiverReply::TooManyRequestsTruncated { .. }
        | ReceiverReply::Silent => ("reset", Tick::CallFailed, TookEffect::Perhaps),
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

/// Judges a health check; gives what the endpoint answers. The platform's protocol names no forwarder in it: where there is
/// only one it is that one, else the health check counts for none.
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
        let what = format!("a probe to target {endpoint_index}");
        state
            .oracle
            .check_retry_after(forwarder, limiter, now, &what);
    }
    let result = state.receivers.health_check(now, endpoint_index, forwarder);
    result.reply
}
