//! Stand-in endpoints: a listener each, calls and health checks answered as the receivers' model says, when it says.

use super::wire::{Conn, HttpMessage, Port};
use super::{Stage, State};
use crate::oracle::{FinalAnswer, SentCall, TookEffect};
use crate::receivers::{Fate, ReceiverReply};
use crate::scenario::{DeliverySemantics, FaultKind};
use crate::tally::Tick;
use opalpulley::Micros;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

const POLL: Duration = Duration::from_millis(10); // of an endpoint that flaps
const CROSSING: Duration = Duration::from_millis(2); // between looks whether the call before has ended
const GRAIN: Micros = 500; // half of the timer's
const CROSSINGS: usize = 25; // such looks: then two are out

/// Of a door that is shut now and then; no second, for those kept out come again after one.
const SPAN: Duration = Duration::from_millis(1300);
const LINE: i32 = 1024; // connections waiting to be accepted, while the door is open

/// What is known of one stand-in.
pub struct StandIn {
    pub address: SocketAddr,
    port: Port,
    /// Which holder of the address answers now.
    holder: AtomicU32,
    open: AtomicU32,
}

impl StandIn {
    pub fn holder(&self) -> u32 {
        self.holder.load(Ordering::Relaxed)
    }

    pub(crate) fn replaced(&self) {
        self.holder.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts all of them, on free ports of loopback.
pub async fn start(stage: &Arc<Stage>) -> io::Result<Vec<Arc<StandIn>>> {
    let mut stand_ins = Vec::new();
    for endpoint in 0..stage.layout.endpoints.len() {
        let port = Port::hold(0)?;
        let (listener, address) = (port.listen()?, port.address);
        let stand_in = Arc::new(StandIn {
            address,
            port,
            holder: AtomicU32::new(0),
            open: AtomicU32::new(0),
        });
        stand_ins.push(stand_in.clone());
        tokio::spawn(keep(stage.clone(), endpoint, stand_in, listener));
    }
    Ok(stand_ins)
}

/// Makes connections come up late. Only a full line of connections waiting to be accepted does that on sockets: the kernel of
/// whoever is kept out tries again a second later. So for a share of each span the line is kept full, by one connection.
struct AcceptQueue {
    share: f64,
    turns: Instant,
    filler: Option<TcpStream>,
}

impl AcceptQueue {
    fn of(stage: &Stage) -> AcceptQueue {
        let share = stage
            .scenario
            .network
            .late_connections
            .as_ref()
            .map_or(0.0, |late| late.share);
        AcceptQueue {
            share,
            turns: Instant::now() + SPAN,
            filler: None,
        }
    }

    fn is_shut(&self) -> bool {
        self.filler.is_some()
    }

    /// Waits for its time and shuts it, or opens it; whoever drops this before its end loses nothing but time.
    async fn turn(&mut self, listener: &TcpListener) -> io::Result<()> {
        tokio::time::sleep_until(self.turns).await;
        let shuts = !self.is_shut();
        SockRef::from(listener).listen(if shuts { 0 } else { LINE })?;
        self.filler = match shuts {
            true => {
                let filler = TcpStream::connect(listener.local_addr()?);
                tokio::time::timeout(POLL, filler).await.ok().transpose()?
            }
            false => None, // it is accepted, found closed and forgotten
        };
        // Another has the one place in the line: that one is accepted first, for its call may be on its way.
        let missed = shuts && !self.is_shut();
        let part = if shuts { self.share } else { 1.0 - self.share };
        self.turns = Instant::now() + if missed { POLL } else { SPAN.mul_f64(part) };
        Ok(())
    }
}

/// Listens while the endpoint does, and not while it refuses.
async fn keep(stage: Arc<Stage>, endpoint: usize, stand_in: Arc<StandIn>, listener: TcpListener) {
    let mut listener = Some(listener);
    let mut changed = stage.changed.subscribe();
    let mut accept_queue = AcceptQueue::of(&stage);
    let flaps = stage
        .scenario
        .faults
        .iter()
        .any(|t| matches!(t.kind, FaultKind::Flapping { .. }));
    loop {
        let refuses = stage.lock().receivers.refuses(stage.now(), endpoint);
        match (refuses, &listener) {
            (true, Some(_)) => listener = None,
            (false, None) => listener = stand_in.port.listen().ok(),
            _ => {}
        }
        let shut = accept_queue.is_shut();
        let accept = async {
            match &listener {
                Some(listener) if !shut => listener.accept().await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accept => match accepted {
                Ok((stream, _)) => _ = tokio::spawn(serve(stage.clone(), endpoint, stand_in.clone(), Conn::new(stream))),
                Err(_) => tokio::time::sleep(POLL).await, // out of descriptors: some come free
            },
            _ = changed.changed() => {}
            turned = async { accept_queue.turn(listener.as_ref()?).await.ok() }, if accept_queue.share > 0.0 => {
                if turned.is_none() {
                    tokio::time::sleep(POLL).await; // it does not listen now
                }
            }
            () = tokio::time::sleep(POLL), if flaps || listener.is_none() => {}
        }
    }
}

/// One connection, to its end.
async fn serve(stage: Arc<Stage>, endpoint: usize, stand_in: Arc<StandIn>, mut conn: Conn) {
    let group = &stage.scenario.destinations[stage.layout.endpoints[endpoint].group];
    let open = stand_in.open.fetch_add(1, Ordering::Relaxed) + 1;
    if group.max_connections > 0 && open > group.max_connections {
        conn.reset();
    } else {
        if group.handshake.0 > 0 {
            tokio::time::sleep(Duration::from_micros(group.handshake.0)).await;
        }
        let idle = Duration::from_micros(group.idle_timeout.0);
        let mut changed = stage.changed.subscribe();
        loop {
            let request = tokio::select! {
                request = tokio::time::timeout(idle, conn.request()) => request,
                _ = changed.changed() => match stage.lock().receivers.refuses(stage.now(), endpoint) {
                    true => break, // whoever is down holds no idle connection
                    false => continue,
                },
            };
            let Ok(Ok(Some(request))) = request else {
                break;
            };
            match answer(&stage, endpoint, &stand_in, conn, request).await {
                Some(usable) => conn = usable,
                None => break,
            }
        }
    }
    stand_in.open.fetch_sub(1, Ordering::Relaxed);
}

/// Waits until then; what is due within a timer's grain is not kept waiting for it.
async fn when(stage: &Stage, at: Micros) {
    if at > stage.now() + GRAIN {
        tokio::time::sleep_until(stage.at(at)).await;
    }
}

/// Answers one request; gives the connection back where it can serve again.
async fn answer(
    stage: &Arc<Stage>,
    endpoint: usize,
    stand_in: &StandIn,
    mut conn: Conn,
    request: HttpMessage,
) -> Option<Conn> {
    if request.method == "GET" {
        return health_check(stage, endpoint, conn).await;
    }
    let id = request.header("request-id").unwrap_or("");
    let submission: Option<u64> = id.strip_prefix('p').and_then(|n| n.parse().ok());
    let Some(submission) = submission.filter(|_| !stage.alone) else {
        let fate = stage.lock().receivers.call(stage.now(), endpoint, 0, None);
        if stage.alone {
            println!(
                "{} {} of {} bytes: {:?}",
                stand_in.address,
                id,
                request.body.len(),
                fate.says
            );
        }
        return carry_out(stage, conn, fate).await;
    };
    // A call that its forwarder has cancelled may be seen to end later than the next one comes.
    for _ in 0..CROSSINGS {
        if !stage.lock().oracle.is_out(submission) {
            break;
        }
        tokio::time::sleep(CROSSING).await;
    }
    let now = stage.now();
    let Call {
        fate,
        forwarder,
        attempt,
    } = begin(
        &mut stage.lock(),
        stage,
        endpoint,
        stand_in.holder(),
        submission,
        now,
    );
    // Until it answers, the forwarder may close the connection: then the call is out no more.
    let over =
        |state: &mut State, ran: TookEffect| state.oracle.over(submission, forwarder, now, ran);
    if matches!(
        fate.says,
        ReceiverReply::Refused | ReceiverReply::ClosedEarly
    ) {
        over(&mut stage.lock(), TookEffect::No);
        conn.reset();
        return None;
    }
    let silent = fate.says == ReceiverReply::Silent;
    let left = tokio::select! {
        biased; // whoever has left hears no answer that is due at the same moment
        () = conn.closed() => true,
        () = when(stage, fate.at), if !silent => false,
    };
    let done = stage.now();
    {
        let mut state = stage.lock();
        if left {
            state.tally.outcome("closed by the forwarder");
            state.tally.tick(done, Tick::CallFailed);
            over(&mut state, TookEffect::Perhaps);
            return None;
        }
        state
            .receivers_late
            .saturating_record((done.saturating_sub(fate.at)).max(1));
        settle(
            &mut state, stage, &fate, submission, forwarder, endpoint, attempt, now, done,
        );
    }
    carry_out(stage, conn, fate).await
}

struct Call {
    fate: Fate,
    forwarder: u32,
    attempt: u32,
}

/// A call's last byte is in.
fn begin(
    state: &mut State,
    stage: &Stage,
    endpoint: usize,
    holder: u32,
    submission: u64,
    now: Micros,
) -> Call {
    let spot = stage.layout.endpoints[endpoint];
    let (forwarder, message, class) = state
        .oracle
        .record(submission)
        .map_or((0, u64::MAX, 0), |t| (t.forwarder, t.message, t.class));
    let (destination, limiter) = (spot.destination, spot.limiter);
    state.oracle.sent(
        SentCall {
            submission,
            forwarder,
            destination,
            endpoint,
            holder,
            limiter,
        },
        now,
    );
    state.tally.counts.calls += 1;
    state.tally.calls_out += 1;
    state.tally.tick(now, Tick::Call);
    let idempotency_key = (state.effects[usize::from(class)]
        == DeliverySemantics::IdempotencyKeyed)
        .then_some(message);
    let falls = state.receivers.falls.len();
    let fate = state
        .receivers
        .call(now, endpoint, forwarder, idempotency_key);
    if state.receivers.falls.len() > falls {
        stage.changed.send_modify(|n| *n += 1);
    }
    if let Some(ran) = fate.ran {
        state.oracle.took_effect(message, submission, ran);
    }
    Call {
        fate,
        forwarder,
        attempt: state.oracle.attempts(submission).saturating_sub(1),
    }
}

/// The answer goes out now.
#[allow(clippy::too_many_arguments)]
fn settle(
    state: &mut State,
    stage: &Stage,
    fate: &Fate,
    submission: u64,
    forwarder: u32,
    endpoint: usize,
    attempt: u32,
    since: Micros,
    now: Micros,
) {
    let (name, tick, ran) = match fate.says {
        ReceiverReply::Served | ReceiverReply::ServedThenReset | ReceiverReply::Endless => {
            ("delivered", Tick::CallSucceeded, TookEffect::Perhaps)
        }
        ReceiverReply::Erred => ("error", Tick::CallFailed, TookEffect::Perhaps),
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
    };
    state.tally.outcome(name);
    state.tally.tick(now, tick);
    state.tally.calls_out = state.tally.calls_out.saturating_sub(1);
    state.oracle.over(submission, forwarder, since, ran);
    if let ReceiverReply::TooManyRequests { wait: Some(wait) }
    | ReceiverReply::TooManyRequestsTruncated { wait: Some(wait) } = fate.says
    {
        let limiter = stage.layout.endpoints[endpoint].limiter;
        state
            .oracle
            .retry_after_notified(forwarder, limiter, now, now + wait);
    }
    if name == "delivered" {
        state.ended(stage, submission, FinalAnswer::Served, None, attempt, now);
    }
}

const TURNED_AWAY: &str = "429 Too Many Requests";

/// The line of a head that tells a wait.
fn wait_line(wait: Option<Micros>) -> String {
    wait.map_or(String::new(), |wait| {
        format!("Wait-Ms: {}\r\n", wait.div_ceil(1000))
    })
}

/// Writes what the fate says.
async fn carry_out(stage: &Stage, mut conn: Conn, fate: Fate) -> Option<Conn> {
    if stage.alone && fate.says != ReceiverReply::Silent {
        tokio::time::sleep_until(stage.at(fate.at)).await;
    }
    let written = match fate.says {
        ReceiverReply::Served => conn.reply("200 OK", "", "").await,
        ReceiverReply::Erred => conn.reply("500 Internal Server Error", "", "").await,
        ReceiverReply::TooManyRequests { wait } => {
            conn.reply(TURNED_AWAY, &wait_line(wait), "").await
        }
        ReceiverReply::Overloaded => conn.reply("503 Service Unavailable", "", "").await,
        ReceiverReply::Silent => {
            conn.closed().await;
            return None;
        }
        ReceiverReply::ServedThenReset => {
            let _ = conn.reply("200 OK", "", "").await; // whoever has left does not hear it
            tokio::time::sleep(CROSSING).await;
            conn.reset();
            return None;
        }
        ReceiverReply::Garbled => {
            let _ = conn
                .write(b"\x16\x03\x01 not what was asked for \xff\xfe\r\n\r\n")
                .await;
            conn.closed().await;
            return None;
        }
        ReceiverReply::TooManyRequestsTruncated { wait } => {
            let head = format!(
                "HTTP/1.1 {TURNED_AWAY}\r\n{}Content-Length: 5\r\n\r\nno",
                wait_line(wait)
            );
            let _ = conn.write(head.as_bytes()).await; // whoever has left does not hear it
            tokio::time::sleep(CROSSING).await;
            conn.reset();
            return None;
        }
        ReceiverReply::Endless => {
            let mut written = conn
                .write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
                .await;
            while written.is_ok() {
                tokio::time::sleep(CROSSING).await;
                written = conn.write(&[b'x'; 512]).await;
            }
            return None;
        }
        ReceiverReply::Refused | ReceiverReply::ClosedEarly | ReceiverReply::Reset => {
            conn.reset();
            return None;
        }
    };
    written.ok().map(|()| conn)
}

async fn health_check(stage: &Arc<Stage>, endpoint: usize, mut conn: Conn) -> Option<Conn> {
    let now = stage.now();
    // The platform's protocol names nobody in a health check: with one forwarder it is that one, else it counts for none.
    let nobody = u32::MAX;
    let forwarder = if stage.scenario.forwarders.count == 1 {
        0
    } else {
        nobody
    };
    let fate = {
        let mut state = stage.lock();
        state.tally.counts.health_checks += 1;
        if forwarder != nobody {
            let limiter = stage.layout.endpoints[endpoint].limiter;
            state.oracle.check_retry_after(
                forwarder,
                limiter,
                now,
                &format!("a probe to target {endpoint}"),
            );
        }
        state.receivers.health_check(now, endpoint, forwarder)
    };
    match fate.says {
        ReceiverReply::Served => conn.reply("200 OK", "", "").await.ok().map(|()| conn),
        ReceiverReply::Overloaded => conn
            .reply("503 Service Unavailable", "", "")
            .await
            .ok()
            .map(|()| conn),
        ReceiverReply::Silent => {
            conn.closed().await;
            None
        }
        _ => {
            conn.reset();
            None
        }
    }
}
