//! One submission: a client's request to a forwarder, and what its answer means.

use super::clients::ForwarderClient;
use super::wire::HttpMessage;
use super::{ClientMessage, Resubmission, Stage, State};
use crate::load::DueMessage;
use crate::oracle::SubmissionRecord;
use crate::scenario::DeliverySemantics;
use opalpulley::Micros;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A client waits so long for the answer to its request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// A client goes to another forwarder so long after a connection was refused, µs.
const OTHER_FORWARDER_DELAY: Micros = 50_000;
/// Tries of a client that finds no forwarder.
const MAX_TRIES: u32 = 20;
/// A message with less time than this is not submitted, µs: the protocol counts in milliseconds.
const MIN_TIME_LEFT: Micros = 1_000;

/// The clients of all forwarders, used in turn.
pub(super) struct ClientPool {
    clients: Vec<Arc<ForwarderClient>>,
    next: AtomicUsize,
}

impl ClientPool {
    /// Begins with the first.
    pub fn new(clients: Vec<Arc<ForwarderClient>>) -> Arc<ClientPool> {
        Arc::new(ClientPool {
            clients,
            next: AtomicUsize::new(0),
        })
    }

    /// The number of the next forwarder, past those that are known to be down.
    fn next_forwarder(&self) -> usize {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.clients.len();
        let mut numbers = (0..count).map(|offset| (first + offset) % count);
        let open = numbers.find(|number| self.clients[*number].open.load(Ordering::Relaxed));
        open.unwrap_or(first % count)
    }
}

/// A request to a forwarder that is to be sent.
struct Request {
    /// The submission as the oracle numbers it.
    submission: u64,
    bytes: Vec<u8>,
}

/// Submits a message to the next forwarder and takes its answer.
pub(super) async fn submit(stage: Arc<Stage>, clients: Arc<ClientPool>, number: u64) {
    let now = stage.now();
    let forwarder = clients.next_forwarder();
    let Some(request) = begin_submission(&stage, forwarder as u32, number, now) else {
        return;
    };
    let exchange = clients.clients[forwarder].exchange(&request.bytes);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
    let answer = answer.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let now = stage.now();
    let mut state = stage.lock();
    match answer {
        Ok(answer) => take_answer(&mut state, &stage, number, request.submission, &answer, now),
        Err(_) => no_answer(&mut state, &stage, number, request.submission, now),
    }
}

/// Notes a submission and writes its request; none where the message is over, or its time is up.
fn begin_submission(stage: &Stage, forwarder: u32, number: u64, now: Micros) -> Option<Request> {
    let mut state = stage.lock();
    let message = state.messages.get_mut(&number)?;
    if now + MIN_TIME_LEFT >= message.expires {
        state.given_up(number);
        return None;
    }
    message.tries += 1;
    let message = message.clone();
    let submission = state.next_submission;
    state.next_submission += 1;
    state.tally.counts.submissions += 1;
    // Where nobody judges, nothing is kept for the oracle.
    if !stage.alone {
        state.oracle.message_submitted(SubmissionRecord {
            submission,
            message: number,
            forwarder,
            deadline: message.expires,
            class: message.due.class,
            destination: message.due.destination,
            order_key: None,
        });
    }
    let time_left_ms = (message.expires - now) / 1000;
    let head = request_head(stage, &message, number, submission, time_left_ms);
    Some(Request {
        submission,
        bytes: with_body(head, &message.due),
    })
}

/// What a forwarder's answer means for a message.
fn take_answer(
    state: &mut State,
    stage: &Stage,
    number: u64,
    submission: u64,
    answer: &HttpMessage,
    now: Micros,
) {
    match answer.status {
        200 | 202 => {
            state.oracle.submission_accepted(submission);
            if stage.alone {
                // What becomes of it is not seen from here.
                state.messages.remove(&number);
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
            state.schedule_resubmission(stage, number, retry_after, now);
        }
        status => {
            state.oracle.submission_refused(submission, now);
            state.tally.count_outcome(&format!("hand-in: {status}"));
            state.fail_message(number, now);
        }
    }
}

fn retry_after(answer: &HttpMessage) -> Option<Micros> {
    let seconds: f64 = answer.header("retry-after")?.parse().ok()?;
    Some((seconds * 1e6) as Micros)
}

/// A forwarder is not there, or did not answer in time: the client submits to another one, under another id.
fn no_answer(state: &mut State, stage: &Stage, number: u64, submission: u64, now: Micros) {
    state.oracle.submission_refused(submission, now);
    state.tally.counts.turned_away += 1;
    let Some(message) = state.messages.get_mut(&number) else {
        return;
    };
    message.resubmitted = true;
    message.forwarder_lost = true;
    let at = now + OTHER_FORWARDER_DELAY;
    if message.tries < MAX_TRIES && at < message.expires {
        stage.resubmit(Resubmission {
            message: number,
            at,
        });
    } else {
        state.given_up(number);
    }
}

/// The head of a request, as the platform's protocol has it.
fn request_head(
    stage: &Stage,
    message: &ClientMessage,
    number: u64,
    submission: u64,
    time_left_ms: u64,
) -> String {
    let due = &message.due;
    let class = &stage.scenario.classes[usize::from(due.class)];
    let mut head = format!(
        "POST /{0} HTTP/1.1\r\nHost: forwarder\r\nRequest-Id: p{submission}\r\nRequest-Class: {0}\r\n\
         Request-Timeout-Ms: {time_left_ms}\r\nEnvelope: dest={1}\r\nContent-Length: {2}\r\n",
        class.name, due.destination, due.body_bytes
    );
    if class.semantics == DeliverySemantics::IdempotencyKeyed {
        head += &format!("Idempotency-Key: {number:032x}\r\n");
    }
    if class.ordered {
        head += &format!("Affinity-Key: {:016x}\r\n", due.order_key);
    }
    let tenants = &stage.scenario.tenants;
    if let Some(tenant) = due.tenant.and_then(|place| tenants.get(place as usize)) {
        head += &format!("Tenant: {}\r\n", tenant.name);
    }
    if message.forwarder_lost {
        head += "Client-Retry: again\r\n";
    } else if message.resubmitted {
        head += "Client-Retry: 1\r\n";
    }
    head + "\r\n"
}

/// A request with the body of a message.
fn with_body(head: String, due: &DueMessage) -> Vec<u8> {
    let mut request = head.into_bytes();
    request.resize(request.len() + due.body_bytes, b'.');
    request
}
