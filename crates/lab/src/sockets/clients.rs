//! The load tool: an open loop of clients on kept connections. A packet goes out when it is due, whatever became of those
//! before; how late that was is part of the result.

use super::wire::{Conn, Message};
use super::{Again, Packet, Stage};
use crate::load::{Due, Loads};
use crate::oracle::Taking;
use crate::scenario::Effect;
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
const TRIES: u32 = 20; // of a client that finds no forwarder
const KEPT: usize = 512; // connections that clients keep to a forwarder at most
const AT_ONCE: usize = 32; // packets that go out before others get a turn

/// The door of one forwarder, and the connections that clients keep to it.
pub struct Door {
    address: SocketAddr,
    /// Clients go there.
    pub open: AtomicBool,
    idle: Mutex<Vec<Conn>>,
}

impl Door {
    pub fn new(address: SocketAddr) -> Arc<Door> {
        Arc::new(Door {
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
    async fn exchange(&self, request: &[u8]) -> io::Result<Message> {
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

    fn done(&self, conn: Conn, answer: Message) -> Message {
        if answer.header("connection") != Some("close") {
            self.give_back(conn);
        }
        answer
    }
}

/// The load tool's own thread: hand-ins under way can't keep it from the next packet's time. Dropped, it stops.
pub(crate) struct Pacer {
    _stop: oneshot::Sender<()>,
}

/// Starts it. What it hands in goes on in the runtime that this is called from.
pub(crate) fn start(
    stage: Arc<Stage>,
    doors: Vec<Arc<Door>>,
    loads: Loads,
    agains: mpsc::UnboundedReceiver<Again>,
    begin: Micros,
) -> io::Result<Pacer> {
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
                    () = run(stage, doors.into(), loads, agains, begin, others) => {}
                    _ = stopped => {}
                }
            });
        })?;
    Ok(Pacer { _stop: stop })
}

/// Hands everything in when it is due, and again what was deferred.
async fn run(
    stage: Arc<Stage>,
    doors: Arc<[Arc<Door>]>,
    mut loads: Loads,
    mut agains: mpsc::UnboundedReceiver<Again>,
    begin: Micros,
    others: Handle,
) {
    let mut handed = 0;
    let next_door = Arc::new(AtomicUsize::new(0));
    let mut next = loads.next();
    let mut later: BinaryHeap<Reverse<(Micros, u64)>> = BinaryHeap::new();
    loop {
        let due = next.as_ref().map(|d| d.at + begin);
        let retry = later.peek().map(|r| r.0 .0);
        let Some(at) = due.into_iter().chain(retry).min() else {
            match agains.recv().await {
                Some(Again::HandIn { packet, at }) => later.push(Reverse((at, packet))),
                None => return,
            }
            continue;
        };
        if at > stage.now() {
            tokio::select! {
                () = tokio::time::sleep_until(stage.at(at)) => {}
                Some(Again::HandIn { packet, at }) = agains.recv() => later.push(Reverse((at, packet))),
            }
            continue;
        }
        let number = if retry.is_some_and(|r| r <= at) {
            later.pop().map(|r| r.0 .1)
        } else {
            next.take().map(|mut due| {
                next = loads.next();
                due.at += begin;
                packet_due(&stage, due)
            })
        };
        if let Some(number) = number {
            others.spawn(hand_in(
                stage.clone(),
                doors.clone(),
                next_door.clone(),
                number,
            ));
        }
        handed += 1;
        if handed % AT_ONCE == 0 {
            tokio::task::yield_now().await;
        }
    }
}

fn packet_due(stage: &Stage, due: Due) -> u64 {
    let now = stage.now();
    let mut state = stage.lock();
    let number = state.next_packet;
    state.next_packet += 1;
    state.tally.due(due.at, due.profile);
    state
        .load_late
        .saturating_record(now.saturating_sub(due.at).max(1));
    let (expires, returns) = (due.at + due.left, due.returns);
    state.packets.insert(
        number,
        Packet {
            expires,
            returns,
            again: false,
            orphan: false,
            tries: 0,
            due,
        },
    );
    number
}

async fn hand_in(
    stage: Arc<Stage>,
    doors: Arc<[Arc<Door>]>,
    next_door: Arc<AtomicUsize>,
    number: u64,
) {
    let now = stage.now();
    // In turn, past those that are known to be down.
    let first = next_door.fetch_add(1, Ordering::Relaxed);
    let door = (0..doors.len())
        .map(|n| (first + n) % doors.len())
        .find(|d| doors[*d].open.load(Ordering::Relaxed));
    let forwarder = door.unwrap_or(first % doors.len());
    let (duty, request) = {
        let mut state = stage.lock();
        let Some(packet) = state.packets.get_mut(&number) else {
            return;
        };
        if now + 1_000 >= packet.expires {
            return state.given_up(number);
        }
        packet.tries += 1;
        let (due, expires, again, orphan) = (
            packet.due.clone(),
            packet.expires,
            packet.again,
            packet.orphan,
        );
        let duty = state.next_duty;
        state.next_duty += 1;
        state.tally.counts.hand_ins += 1;
        // Where nobody judges, nothing is kept for the judge.
        let judged = |taking| if stage.alone { None } else { Some(taking) };
        let taking = judged(Taking {
            duty,
            packet: number,
            forwarder: forwarder as u32,
            expires,
            profile: due.profile,
            destination: due.destination,
            key: None,
        });
        taking.into_iter().for_each(|t| state.oracle.handed_in(t));
        (
            duty,
            head(
                &stage,
                &due,
                number,
                duty,
                (expires - now) / 1000,
                again,
                orphan,
            ),
        )
    };
    let answer = tokio::time::timeout(ANSWER, doors[forwarder].exchange(&request)).await;
    let now = stage.now();
    let mut state = stage.lock();
    match answer {
        Ok(Ok(answer)) if matches!(answer.status, 200 | 202) => {
            state.oracle.taken(duty);
            if stage.alone {
                state.packets.remove(&number); // what becomes of it is not seen from here
            }
            state.tally.outcome("hand-in: taken");
        }
        Ok(Ok(answer)) if matches!(answer.status, 429 | 503) => {
            state.oracle.refused(duty, now);
            state.tally.counts.deferrals += 1;
            let after: Option<f64> = answer.header("retry-after").and_then(|v| v.parse().ok());
            if after.is_none() {
                state.tally.counts.turned_away += 1;
            }
            state.come_again(&stage, number, after.map(|s| (s * 1e6) as Micros), now);
        }
        Ok(Ok(answer)) => {
            state.oracle.refused(duty, now);
            state.tally.outcome(&format!("hand-in: {}", answer.status));
            if state.packets.remove(&number).is_some() {
                state.tally.counts.written_off += 1;
                state.tally.tick(now, Tick::WrittenOff);
            }
        }
        Ok(Err(_)) | Err(_) => {
            // Nobody there, or no answer in time: it goes elsewhere under another id.
            state.oracle.refused(duty, now);
            state.tally.counts.turned_away += 1;
            let Some(packet) = state.packets.get_mut(&number) else {
                return;
            };
            (packet.again, packet.orphan) = (true, true);
            match packet.tries < TRIES && now + ELSEWHERE < packet.expires {
                true => {
                    _ = stage.again.send(Again::HandIn {
                        packet: number,
                        at: now + ELSEWHERE,
                    })
                }
                false => state.given_up(number),
            }
        }
    }
}

/// The request of one hand-in, as the platform's protocol has it.
fn head(
    stage: &Stage,
    due: &Due,
    packet: u64,
    duty: u64,
    left_ms: u64,
    again: bool,
    orphan: bool,
) -> Vec<u8> {
    let profile = &stage.scenario.profiles[usize::from(due.profile)];
    let mut text = format!(
        "POST /{0} HTTP/1.1\r\nHost: forwarder\r\nRequest-Id: p{duty}\r\nRequest-Class: {0}\r\n\
         Request-Timeout-Ms: {left_ms}\r\nEnvelope: dest={1}\r\nContent-Length: {2}\r\n",
        profile.name, due.destination, due.body
    );
    if profile.effect == Effect::Fingerprinted {
        text += &format!("Idempotency-Key: {packet:032x}\r\n");
    }
    if profile.in_order {
        text += &format!("Affinity-Key: {:016x}\r\n", due.key);
    }
    if let Some(tenant) = due
        .tenant
        .and_then(|t| stage.scenario.tenants.get(t as usize))
    {
        text += &format!("Tenant: {}\r\n", tenant.name);
    }
    match (orphan, again) {
        (true, _) => text += "Client-Retry: again\r\n",
        (_, true) => text += "Client-Retry: 1\r\n",
        _ => {}
    }
    let mut request = (text + "\r\n").into_bytes();
    request.resize(request.len() + due.body, b'.');
    request
}
