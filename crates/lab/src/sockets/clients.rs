//! The load tool: an open loop of clients on kept connections. A message goes out when it is due, whatever became of those
//! before; how late that was is part of the result.

use super::wire::{Conn, HttpMessage};
use super::{ClientMessage, Resubmission, Stage};
use crate::load::{Due, Loads};
use crate::oracle::SubmissionRecord;
use crate::scenario::DeliverySemantics;
use crate::tally::Tick;
use opalpulley::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

const ANSWER: Duration = Duration::from_millis(400); // a client waits so long for its answer
const ELSEWHERE: Micros = 50_000; // µs after a connection that was refused
const MAX_TRIES: u32 = 20; // of a client that finds no forwarder
const KEPT: usize = 512; // connections that clients keep to a forwarder at most
const AT_ONCE: usize = 32; // messages that go out before others get a turn

/// The door of one forwarder, and the connections that clients keep to it.
pub struct ForwarderClient {
    address: SocketAddr,
    /// Clients go there.
    pub open: AtomicBool,
    idle: Mutex<Vec<Conn>>,
}

impl ForwarderClient {
    pub fn new(address: SocketAddr) -> Arc<ForwarderClient> {
        Arc::new(ForwarderClient {
            address,
            open: AtomicBool::new(true),
            idle: Mutex::new(Vec::new()),
        })
    }

    fn take(&self) -> Option<Conn> {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop()
    }

    fn give_back(&self, conn: Conn) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < KEPT {
            idle.push(conn);
        }
    }

    /// One exchange; a kept connection that was closed meanwhile is replaced once.
    async fn exchange(&self, request: &[u8]) -> io::Result<HttpMessage> {
        if let Some(mut conn) = self.take() {
            let written = conn.write(request).await;
            if written.is_ok() {
                match conn.answer().await {
                    Ok(answer) => return Ok(self.done(conn, answer)),
                    Err(e)
                        if !matches!(
                            e.kind(),
                            io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset
                        ) =>
                    {
                        return Err(e)
                    }
                    Err(_) => {} // it crossed the close: sent once more, under the same id
                }
            }
        }
        let mut conn = Conn::new(TcpStream::connect(self.address).await?);
        conn.write(request).await?;
        let answer = conn.answer().await?;
        Ok(self.done(conn, answer))
    }

    fn done(&self, conn: Conn, answer: HttpMessage) -> HttpMessage {
        if answer.header("connection") != Some("close") {
            self.give_back(conn);
        }
        answer
    }
}

/// The load tool's own thread: submissions under way can't keep it from the next message's time. Dropped, it stops.
pub(crate) struct LoadThread {
    _stop: oneshot::Sender<()>,
}

/// Starts it. What it hands in goes on in the runtime that this is called from.
pub(crate) fn start(
    stage: Arc<Stage>,
    clients: Vec<Arc<ForwarderClient>>,
    loads: Loads,
    resubmissions: mpsc::UnboundedReceiver<Resubmission>,
    begin: Micros,
) -> io::Result<LoadThread> {
    let (stop, stopped) = oneshot::channel::<()>();
    let others = Handle::current();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    std::thread::Builder::new()
        .name("load".into())
        .spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = run(stage, clients.into(), loads, resubmissions, begin, others) => {}
                    _ = stopped => {}
                }
            });
        })?;
    Ok(LoadThread { _stop: stop })
}

/// Hands everything in when it is due, and again what was rejected.
async fn run(
    stage: Arc<Stage>,
    clients: Arc<[Arc<ForwarderClient>]>,
    mut loads: Loads,
    mut resubmissions: mpsc::UnboundedReceiver<Resubmission>,
    begin: Micros,
    others: Handle,
) {
    let mut submitted_count = 0;
    let next_client = Arc::new(AtomicUsize::new(0));
    let mut next = loads.next();
    let mut later: BinaryHeap<Reverse<(Micros, u64)>> = BinaryHeap::new();
    loop {
        let due = next.as_ref().map(|d| d.at + begin);
        let retry = later.peek().map(|r| r.0 .0);
        let Some(at) = due.into_iter().chain(retry).min() else {
            match resubmissions.recv().await {
                Some(Resubmission::Submit { message, at }) => later.push(Reverse((at, message))),
                None => return,
            }
            continue;
        };
        if at > stage.now() {
            tokio::select! {
                () = tokio::time::sleep_until(stage.at(at)) => {}
                Some(Resubmission::Submit { message, at }) = resubmissions.recv() => later.push(Reverse((at, message))),
            }
            continue;
        }
        let number = if retry.is_some_and(|r| r <= at) {
            later.pop().map(|r| r.0 .1)
        } else {
            next.take().map(|mut due| {
                next = loads.next();
                due.at += begin;
                message_due(&stage, due)
            })
        };
        if let Some(number) = number {
            others.spawn(submit(
                stage.clone(),
                clients.clone(),
                next_client.clone(),
                number,
            ));
        }
        submitted_count += 1;
        if submitted_count % AT_ONCE == 0 {
            tokio::task::yield_now().await;
        }
    }
}

fn message_due(stage: &Stage, due: Due) -> u64 {
    let now = stage.now();
    let mut state = stage.lock();
    let number = state.next_message;
    state.next_message += 1;
    state.tally.due(due.at, due.class);
    state
        .load_late
        .saturating_record(now.saturating_sub(due.at).max(1));
    let (expires, resubmissions) = (due.at + due.left, due.resubmissions);
    state.messages.insert(
        number,
        ClientMessage {
            expires,
            resubmissions,
            resubmitted: false,
            forwarder_lost: false,
            tries: 0,
            due,
        },
    );
    number
}

async fn submit(
    stage: Arc<Stage>,
    clients: Arc<[Arc<ForwarderClient>]>,
    next_client: Arc<AtomicUsize>,
    number: u64,
) {
    let now = stage.now();
    // In turn, past those that are known to be down.
    let first = next_client.fetch_add(1, Ordering::Relaxed);
    let client = (0..clients.len())
        .map(|n| (first + n) % clients.len())
        .find(|d| clients[*d].open.load(Ordering::Relaxed));
    let forwarder = client.unwrap_or(first % clients.len());
    let (submission, request) = {
        let mut state = stage.lock();
        let Some(message) = state.messages.get_mut(&number) else {
            return;
        };
        if now + 1_000 >= message.expires {
            return state.given_up(number);
        }
        message.tries += 1;
        let (due, expires, resubmitted, forwarder_lost) = (
            message.due.clone(),
            message.expires,
            message.resubmitted,
            message.forwarder_lost,
        );
        let submission = state.next_submission;
        state.next_submission += 1;
        state.tally.counts.submissions += 1;
        // Where nobody judges, nothing is kept for the judge.
        let judged = |record| if stage.alone { None } else { Some(record) };
        let record = judged(SubmissionRecord {
            submission,
            message: number,
            forwarder: forwarder as u32,
            expires,
            class: due.class,
            destination: due.destination,
            key: None,
        });
        record.into_iter().for_each(|t| state.oracle.submitted(t));
        (
            submission,
            head(
                &stage,
                &due,
                number,
                submission,
                (expires - now) / 1000,
                resubmitted,
                forwarder_lost,
            ),
        )
    };
    let answer = tokio::time::timeout(ANSWER, clients[forwarder].exchange(&request)).await;
    let now = stage.now();
    let mut state = stage.lock();
    match answer {
        Ok(Ok(answer)) if matches!(answer.status, 200 | 202) => {
            state.oracle.accepted(submission);
            if stage.alone {
                state.messages.remove(&number); // what becomes of it is not seen from here
            }
            state.tally.outcome("hand-in: taken");
        }
        Ok(Ok(answer)) if matches!(answer.status, 429 | 503) => {
            state.oracle.refused(submission, now);
            state.tally.counts.rejections += 1;
            let after: Option<f64> = answer.header("retry-after").and_then(|v| v.parse().ok());
            if after.is_none() {
                state.tally.counts.turned_away += 1;
            }
            state.schedule_resubmission(&stage, number, after.map(|s| (s * 1e6) as Micros), now);
        }
        Ok(Ok(answer)) => {
            state.oracle.refused(submission, now);
            state.tally.outcome(&format!("hand-in: {}", answer.status));
            if state.messages.remove(&number).is_some() {
                state.tally.counts.written_off += 1;
                state.tally.tick(now, Tick::MessageFailed);
            }
        }
        Ok(Err(_)) | Err(_) => {
            // Nobody there, or no answer in time: it goes elsewhere under another id.
            state.oracle.refused(submission, now);
            state.tally.counts.turned_away += 1;
            let Some(message) = state.messages.get_mut(&number) else {
                return;
            };
            (message.resubmitted, message.forwarder_lost) = (true, true);
            match message.tries < MAX_TRIES && now + ELSEWHERE < message.expires {
                true => {
                    _ = stage.resubmissions.send(Resubmission::Submit {
                        message: number,
                        at: now + ELSEWHERE,
                    })
                }
                false => state.given_up(number),
            }
        }
    }
}

/// The request of one submission, as the platform's protocol has it.
fn head(
    stage: &Stage,
    due: &Due,
    message: u64,
    submission: u64,
    left_ms: u64,
    resubmitted: bool,
    forwarder_lost: bool,
) -> Vec<u8> {
    let class = &stage.scenario.classes[usize::from(due.class)];
    let mut text = format!(
        "POST /{0} HTTP/1.1\r\nHost: forwarder\r\nRequest-Id: p{submission}\r\nRequest-Class: {0}\r\n\
         Request-Timeout-Ms: {left_ms}\r\nEnvelope: dest={1}\r\nContent-Length: {2}\r\n",
        class.name, due.destination, due.body_bytes
    );
    if class.semantics == DeliverySemantics::IdempotencyKeyed {
        text += &format!("Idempotency-Key: {message:032x}\r\n");
    }
    if class.ordered {
        text += &format!("Affinity-Key: {:016x}\r\n", due.key);
    }
    if let Some(tenant) = due
        .tenant
        .and_then(|t| stage.scenario.tenants.get(t as usize))
    {
        text += &format!("Tenant: {}\r\n", tenant.name);
    }
    match (forwarder_lost, resubmitted) {
        (true, _) => text += "Client-Retry: again\r\n",
        (_, true) => text += "Client-Retry: 1\r\n",
        _ => {}
    }
    let mut request = (text + "\r\n").into_bytes();
    request.resize(request.len() + due.body_bytes, b'.');
    request
}
