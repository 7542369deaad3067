//! Submits messages to forwarders and applies the answers.

use super::clients::ForwarderClient;
use super::wire::HttpMessage;
use super::{ClientMessage, Resubmission, RunContext, RunState};
use crate::load::DueMessage;
use crate::oracle::SubmissionRecord;
use crate::scenario::DeliverySemantics;
use opalpulley::Micros;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Time within which a client expects the answer to its request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a client submits to another forwarder after a refused connection or a missing answer, in µs.
const FAILOVER_DELAY: Micros = 50_000;
/// Number of submissions of a message after which a client gives up if the last one got no answer.
const MAX_SUBMISSIONS: u32 = 20;
/// Lower bound on the time to the deadline of a message that is submitted, in µs. The protocol has a resolution of 1 ms.
const MIN_TIME_LEFT: Micros = 1_000;

/// The clients of all forwarders, selected round robin.
pub(super) struct ClientPool {
    clients: Vec<Arc<ForwarderClient>>,
    next_index: AtomicUsize,
}

impl ClientPool {
    /// Creates a pool that starts with the first client.
    pub fn new(clients: Vec<Arc<ForwarderClient>>) -> Arc<ClientPool> {
        Arc::new(ClientPool {
            clients,
            next_index: AtomicUsize::new(0),
        })
    }

    /// Returns the number of the next forwarder. Skips unavailable forwarders unless all of them are unavailable.
    fn next_forwarder(&self) -> usize {
        let first = self.next_index.fetch_add(1, Ordering::Relaxed);
        let count = self.clients.len();
        let mut numbers = (0..count).map(|offset| (first + offset) % count);
        let available =
            numbers.find(|number| self.clients[*number].available.load(Ordering::Relaxed));
        available.unwrap_or(first % count)
    }
}

/// A request to a forwarder, ready to be sent.
struct SubmissionRequest {
    /// Number of the submission in the oracle.
    submission: u64,
    bytes: Vec<u8>,
}

/// Submits a message to the next forwarder and applies its answer.
pub(super) async fn submit(
    context: Arc<RunContext>,
    clients: Arc<ClientPool>,
    message_number: u64,
) {
    let now = context.now();
    let forwarder = clients.next_forwarder();
    let Some(request) = begin_submission(&context, forwarder as u32, message_number, now) else {
        return;
    };
    let exchange = clients.clients[forwarder].exchange(&request.bytes);
    let timed_answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
    let answer = timed_answer.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let now = context.now();
    let mut state = context.lock_state();
    match answer {
        Ok(answer) => apply_answer(
            &mut state,
            &context,
            message_number,
            request.submission,
            &answer,
            now,
        ),
        Err(_) => record_unanswered(
            &mut state,
            &context,
            message_number,
            request.submission,
            now,
        ),
    }
}

/// Records a submission and returns its request. Returns none if the message has ended or is about to expire; in the latter case
/// the client gives it up.
fn begin_submission(
    context: &RunContext,
    forwarder: u32,
    message_number: u64,
    now: Micros,
) -> Option<SubmissionRequest> {
    let mut state = context.lock_state();
    let message = state.messages.get_mut(&message_number)?;
    if now + MIN_TIME_LEFT >= message.deadline {
        state.give_up_message(message_number);
        return None;
    }
    message.submission_count += 1;
    let message = message.clone();
    let submission = state.next_submission_number;
    state.next_submission_number += 1;
    state.tally.counts.submissions += 1;
    // A disabled oracle must not accumulate submissions.
    if !context.without_oracle {
        state.oracle.message_submitted(SubmissionRecord {
            submission,
            message: message_number,
            forwarder,
            deadline: message.deadline,
            class: message.due.class,
            destination: message.due.destination,
            order_key: None,
        });
    }
    let time_left_ms = (message.deadline - now) / 1000;
    let head = request_head(context, &message, message_number, submission, time_left_ms);
    Some(SubmissionRequest {
        submission,
        bytes: append_body(head, &message.due),
    })
}

/// Applies the answer of a forwarder to a message and its submission.
fn apply_answer(
    state: &mut RunState,
    context: &RunContext,
    message_number: u64,
    submission: u64,
    answer: &HttpMessage,
    now: Micros,
) {
    match answer.status {
        200 | 202 => {
            state.oracle.submission_accepted(submission);
            if context.without_oracle {
                // The outcome of the message can't be observed without the oracle.
                state.messages.remove(&message_number);
            }
            state.tally.count_outcome("hand-in: taken");
        }
        429 | 503 => {
            state.oracle.submission_refused(submission, now);
            state.tally.counts.rejections += 1;
            let retry_after = retry_after(answer);
            if retry_after.is_none() {
                state.tally.counts.turned_away += 1;
            }
            state.schedule_resubmission(context, message_number, retry_after, now);
        }
        status => {
            state.oracle.submission_refused(submission, now);
            state.tally.count_outcome(&format!("hand-in: {status}"));
            state.fail_message(message_number, now);
        }
    }
}

fn retry_after(answer: &HttpMessage) -> Option<Micros> {
    let seconds: f64 = answer.header("retry-after")?.parse().ok()?;
    Some((seconds * 1e6) as Micros)
}

/// Records that a forwarder was unreachable or gave no answer in time. The client submits the message to another forwarder,
/// with another request id.
fn record_unanswered(
    state: &mut RunState,
    context: &RunContext,
    message_number: u64,
    submission: u64,
    now: Micros,
) {
    state.oracle.submission_refused(submission, now);
    state.tally.counts.turned_away += 1;
    let Some(message) = state.messages.get_mut(&message_number) else {
        return;
    };
    message.resubmitted = true;
    message.forwarder_unresponsive = true;
    let at = now + FAILOVER_DELAY;
    if message.submission_count < MAX_SUBMISSIONS && at < message.deadline {
        context.resubmit(Resubmission { message_number, at });
    } else {
        state.give_up_message(message_number);
    }
}

/// Returns the head of a submission in the format of the platform's protocol.
fn request_head(
    context: &RunContext,
    message: &ClientMessage,
    message_number: u64,
    submission: u64,
    time_left_ms: u64,
) -> String {
    let due = &message.due;
    let class = &context.scenario.classes[usize::from(due.class)];
    let mut head = format!(
        "POST /{0} HTTP/1.1\r\nHost: forwarder\r\nRequest-Id: p{submission}\r\nRequest-Class: {0}\r\n\
         Request-Timeout-Ms: {time_left_ms}\r\nEnvelope: dest={1}\r\nContent-Length: {2}\r\n",
        class.name, due.destination, due.body_bytes
    );
    if class.semantics == DeliverySemantics::IdempotencyKeyed {
        head += &format!("Idempotency-Key: {message_number:032x}\r\n");
    }
    if class.ordered {
        head += &format!("Affinity-Key: {:016x}\r\n", due.order_key);
    }
    let tenants = &context.scenario.tenants;
    if let Some(tenant) = due.tenant.and_then(|index| tenants.get(index as usize)) {
        head += &format!("Tenant: {}\r\n", tenant.name);
    }
    if message.forwarder_unresponsive {
        head += "Client-Retry: again\r\n";
    } else if message.resubmitted {
        head += "Client-Retry: 1\r\n";
    }
    head + "\r\n"
}

/// Returns a request with the head and a body of the message's size.
fn append_body(head: String, due: &DueMessage) -> Vec<u8> {
    let mut request = head.into_bytes();
    request.resize(request.len() + due.body_bytes, b'.');
    request
}
