//! Calls and health checks as a stand-in answers them: judged by the oracle, with the fate that the receivers' model tells.

use super::endpoints::StandIn;
use super::replies::write_reply;
use super::wire::{Conn, HttpMessage};
use super::{Stage, State};
use crate::oracle::{CallEffect, FinalAnswer, SentCall};
use crate::receivers::{CallResult, ReceiverReply};
use crate::scenario::DeliverySemantics;
use crate::tally::BucketEvent;
use opalpulley::Micros;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks whether the call before has ended.
const CROSSING_INTERVAL: Duration = Duration::from_millis(2);
/// So many looks: then two calls are in flight.
const CROSSING_LOOKS: usize = 25;
/// Half of a timer's grain, µs: what is due within it is not waited for.
const TIMER_GRAIN: Micros = 500;
/// No forwarder: health checks of several can't be told apart.
const NO_FORWARDER: u32 = u32::MAX;

/// A call that is in.
struct Call {
    submission: u64,
    forwarder: u32,
    endpoint: usize,
    /// Which attempt of its message this is, from 0.
    attempt: u32,
    since: Micros,
    fate: CallResult,
}

/// Answers one request; gives the connection back where it can serve again.
pub(super) async fn answer(
    stage: &Arc<Stage>,
    endpoint: usize,
    stand_in: &StandIn,
    conn: Conn,
    request: HttpMessage,
) -> Option<Conn> {
    if request.method == "GET" {
        return answer_health_check(stage, endpoint, conn).await;
    }
    let id = request.header("request-id").unwrap_or("");
    let submission = id.strip_prefix('p').and_then(|number| number.parse().ok());
    match submission {
        Some(submission) if !stage.alone => {
            wait_for_call_before(stage, submission).await;
            let call = begin_call(stage, endpoint, stand_in.holder(), submission);
            answer_call(stage, conn, call).await
        }
        _ => answer_unjudged(stage, endpoint, stand_in, conn, &request).await,
    }
}

/// Answers a call that the laboratory did not submit; where nobody judges, it is shown.
async fn answer_unjudged(
    stage: &Stage,
    endpoint: usize,
    stand_in: &StandIn,
    conn: Conn,
    request: &HttpMessage,
) -> Option<Conn> {
    let now = stage.now();
    let fate = stage.lock().receivers.call(now, endpoint, 0, None);
    if stage.alone {
        println!(
            "{} {} of {} bytes: {:?}",
            stand_in.address,
            request.header("request-id").unwrap_or(""),
            request.body.len(),
            fate.reply
        );
    }
    write_reply(stage, conn, fate).await
}

/// A call that its forwarder has cancelled may be seen to end later than the next one comes.
async fn wait_for_call_before(stage: &Stage, submission: u64) {
    for _ in 0..CROSSING_LOOKS {
        if !stage.lock().oracle.has_call_in_flight(submission) {
            return;
        }
        tokio::time::sleep(CROSSING_INTERVAL).await;
    }
}

/// A call's last byte is in.
fn begin_call(stage: &Stage, endpoint: usize, holder: u32, submission: u64) -> Call {
    let now = stage.now();
    let mut state = stage.lock();
    let place = stage.layout.endpoints[endpoint];
    let record = state.oracle.record(submission);
    let (forwarder, message, class) = record.map_or((0, u64::MAX, 0), |record| {
        (record.forwarder, record.message, record.class)
    });
    let call = SentCall {
        submission,
        forwarder,
        destination: place.destination,
        endpoint,
        incarnation: holder,
        limiter: place.limiter_index,
    };
    state.oracle.call_sent(call, now);
    state.tally.counts.calls += 1;
    state.tally.calls_in_flight += 1;
    state.tally.count(now, BucketEvent::Call);
    let keyed = state.semantics[usize::from(class)] == DeliverySemantics::IdempotencyKeyed;
    let falls = state.receivers.overload_failures.len();
    let fate = state
        .receivers
        .call(now, endpoint, forwarder, keyed.then_some(message));
    if state.receivers.overload_failures.len() > falls {
        stage.changed.send_modify(|changes| *changes += 1);
    }
    if let Some(ran) = fate.effect_at {
        state.oracle.took_effect(message, submission, ran);
    }
    Call {
        submission,
        forwarder,
        endpoint,
        attempt: state.oracle.attempt_count(submission).saturating_sub(1),
        since: now,
        fate,
    }
}

/// Answers a call when its fate says, unless its forwarder closes the connection before.
async fn answer_call(stage: &Arc<Stage>, mut conn: Conn, call: Call) -> Option<Conn> {
    let fate = call.fate;
    if matches!(
        fate.reply,
        ReceiverReply::Refused | ReceiverReply::ClosedEarly
    ) {
        call.is_over(&mut stage.lock(), CallEffect::None);
        conn.reset();
        return None;
    }
    let silent = fate.reply == ReceiverReply::Silent;
    let closed = tokio::select! {
        // A forwarder that has closed the connection gets no answer that is due at the same moment.
        biased;
        () = conn.closed() => true,
        () = wait_until(stage, fate.reply_at), if !silent => false,
    };
    let now = stage.now();
    if closed {
        let mut state = stage.lock();
        state.tally.count_outcome("closed by the forwarder");
        state.tally.count(now, BucketEvent::CallFailed);
        call.is_over(&mut state, CallEffect::Possible);
        return None;
    }
    call.settle(stage, now);
    write_reply(stage, conn, fate).await
}

/// Waits until then; what is due within a timer's grain is not waited for.
async fn wait_until(stage: &Stage, at: Micros) {
    if at > stage.now() + TIMER_GRAIN {
        tokio::time::sleep_until(stage.at(at)).await;
    }
}

impl Call {
    fn is_over(&self, state: &mut State, took_effect: CallEffect) {
        state
            .oracle
            .call_ended(self.submission, self.forwarder, self.since, took_effect);
    }

    /// The answer leaves now: tells tally and oracle.
    fn settle(&self, stage: &Stage, now: Micros) {
        let mut state = stage.lock();
        let late = now.saturating_sub(self.fate.reply_at);
        state.receivers_late.saturating_record(late.max(1));
        let (name, tick, took_effect) = outcome_of(self.fate.reply);
        state.tally.count_outcome(name);
        state.tally.count(now, tick);
        state.tally.calls_in_flight = state.tally.calls_in_flight.saturating_sub(1);
        self.is_over(&mut state, took_effect);
        if let ReceiverReply::TooManyRequests {
            retry_after: Some(wait),
        }
        | ReceiverReply::TooManyRequestsTruncated {
            retry_after: Some(wait),
        } = self.fate.reply
        {
            let limiter = stage.layout.endpoints[self.endpoint].limiter_index;
            state
                .oracle
                .retry_after_notified(self.forwarder, limiter, now, now + wait);
        }
        if !self.fate.reply.reveals_failure() {
            let answer = FinalAnswer::Served;
            state.ended(stage, self.submission, answer, None, self.attempt, now);
        }
    }
}

/// How a reply is counted, and what its forwarder can know of the call's effect.
fn outcome_of(reply: ReceiverReply) -> (&'static str, BucketEvent, CallEffect) {
    match reply {
        ReceiverReply::Served | ReceiverReply::ServedThenReset | ReceiverReply::Endless => (
            "delivered",
            BucketEvent::CallSucceeded,
            CallEffect::Possible,
        ),
        ReceiverReply::InternalError => ("error", BucketEvent::CallFailed, CallEffect::Possible),
        ReceiverReply::TooManyRequests { .. } | ReceiverReply::Overloaded => {
            ("refused", BucketEvent::CallRefused, CallEffect::None)
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

async fn answer_health_check(stage: &Stage, endpoint: usize, mut conn: Conn) -> Option<Conn> {
    let answered = match health_check_reply(stage, endpoint) {
        ReceiverReply::Served => conn.reply("200 OK", "", "").await,
        ReceiverReply::Overloaded => conn.reply("503 Service Unavailable", "", "").await,
        ReceiverReply::Silent => {
            conn.closed().await;
            return None;
        }
        _ => {
            conn.reset();
            return None;
        }
    };
    answered.ok().map(|()| conn)
}

/// Judges a health check; gives what the endpoint answers. The platform's protocol names no forwarder in it: where there is
/// only one it is that one, else the health check counts for none.
fn health_check_reply(stage: &Stage, endpoint: usize) -> ReceiverReply {
    let now = stage.now();
    let forwarder = match stage.scenario.forwarders.count {
        1 => 0,
        _ => NO_FORWARDER,
    };
    let mut state = stage.lock();
    state.tally.counts.health_checks += 1;
    if forwarder != NO_FORWARDER {
        let limiter = stage.layout.endpoints[endpoint].limiter_index;
        let what = format!("a probe to target {endpoint}");
        state
            .oracle
            .check_retry_after(forwarder, limiter, now, &what);
    }
    let fate = state.receivers.health_check(now, endpoint, forwarder);
    fate.reply
}
