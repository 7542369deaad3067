//! Stand-in targets: a listener each, calls and probes answered as the receivers' model says, when it says.

use super::wire::{Conn, Message, Port};
use super::{Stage, State};
use crate::oracle::{Final, Ran, Sending};
use crate::receivers::{Fate, Says};
use crate::scenario::{Effect, What};
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

const POLL: Duration = Duration::from_millis(10); // of a target that flaps
const CROSSING: Duration = Duration::from_millis(2); // between looks whether the call before has ended
const GRAIN: Micros = 500; // half of the timer's
const CROSSINGS: usize = 25; // such looks: then two are out

/// Of a door that is shut now and then; no second, for those kept out come again after one.
const SPAN: Duration = Duration::from_millis(1300);
const LINE: i32 = 1024; // connections waiting to be accepted, while the door is open

/// What is known of one stand-in.
pub struct Standin {
    pub address: SocketAddr,
    port: Port,
    /// Which holder of the address answers now.
    holder: AtomicU32,
    open: AtomicU32,
}

impl Standin {
    pub fn holder(&self) -> u32 {
        self.holder.load(Ordering::Relaxed)
    }

    pub(crate) fn replaced(&self) {
        self.holder.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts all of them, on free ports of loopback.
pub async fn start(stage: &Arc<Stage>) -> io::Result<Vec<Arc<Standin>>> {
    let mut standins = Vec::new();
    for target in 0..stage.layout.targets.len() {
        let port = Port::hold(0)?;
        let (listener, address) = (port.listen()?, port.address);
        let standin = Arc::new(Standin {
            address,
            port,
            holder: AtomicU32::new(0),
            open: AtomicU32::new(0),
        });
        standins.push(standin.clone());
        tokio::spawn(keep(stage.clone(), target, standin, listener));
    }
    Ok(standins)
}

/// Makes connections come up late. Only a full line of connections waiting to be accepted does that on sockets: the kernel of
/// whoever is kept out tries again a second later. So for a share of each span the line is kept full, by one connection.
struct Door {
    share: f64,
    turns: Instant,
    filler: Option<TcpStream>,
}

impl Door {
    fn of(stage: &Stage) -> Door {
        let share = stage
            .scenario
            .network
            .late
            .as_ref()
            .map_or(0.0, |late| late.share);
        Door {
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

/// Listens while the target does, and not while it refuses.
async fn keep(stage: Arc<Stage>, target: usize, standin: Arc<Standin>, listener: TcpListener) {
    let mut listener = Some(listener);
    let mut changed = stage.changed.subscribe();
    let mut door = Door::of(&stage);
    let flaps = stage
        .scenario
        .troubles
        .iter()
        .any(|t| matches!(t.what, What::Flapping { .. }));
    loop {
        let refuses = stage.lock().receivers.refuses(stage.now(), target);
        match (refuses, &listener) {
            (true, Some(_)) => listener = None,
            (false, None) => listener = standin.port.listen().ok(),
            _ => {}
        }
        let shut = door.is_shut();
        let accept = async {
            match &listener {
                Some(listener) if !shut => listener.accept().await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accept => match accepted {
                Ok((stream, _)) => _ = tokio::spawn(serve(stage.clone(), target, standin.clone(), Conn::new(stream))),
                Err(_) => tokio::time::sleep(POLL).await, // out of descriptors: some come free
            },
            _ = changed.changed() => {}
            turned = async { door.turn(listener.as_ref()?).await.ok() }, if door.share > 0.0 => {
                if turned.is_none() {
                    tokio::time::sleep(POLL).await; // it does not listen now
                }
            }
            () = tokio::time::sleep(POLL), if flaps || listener.is_none() => {}
        }
    }
}

/// One connection, to its end.
async fn serve(stage: Arc<Stage>, target: usize, standin: Arc<Standin>, mut conn: Conn) {
    let group = &stage.scenario.destinations[stage.layout.targets[target].group];
    let open = standin.open.fetch_add(1, Ordering::Relaxed) + 1;
    if group.connections > 0 && open > group.connections {
        conn.reset();
    } else {
        if group.handshake.0 > 0 {
            tokio::time::sleep(Duration::from_micros(group.handshake.0)).await;
        }
        let idle = Duration::from_micros(group.idle.0);
        let mut changed = stage.changed.subscribe();
        loop {
            let request = tokio::select! {
                request = tokio::time::timeout(idle, conn.request()) => request,
                _ = changed.changed() => match stage.lock().receivers.refuses(stage.now(), target) {
                    true => break, // whoever is down holds no idle connection
                    false => continue,
                },
            };
            let Ok(Ok(Some(request))) = request else {
                break;
            };
            match answer(&stage, target, &standin, conn, request).await {
                Some(usable) => conn = usable,
                None => break,
            }
        }
    }
    standin.open.fetch_sub(1, Ordering::Relaxed);
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
    target: usize,
    standin: &Standin,
    mut conn: Conn,
    request: Message,
) -> Option<Conn> {
    if request.method == "GET" {
        return probe(stage, target, conn).await;
    }
    let id = request.header("request-id").unwrap_or("");
    let duty: Option<u64> = id.strip_prefix('p').and_then(|n| n.parse().ok());
    let Some(duty) = duty.filter(|_| !stage.alone) else {
        let fate = stage.lock().receivers.call(stage.now(), target, 0, None);
        if stage.alone {
            println!(
                "{} {} of {} bytes: {:?}",
                standin.address,
                id,
                request.body.len(),
                fate.says
            );
        }
        return carry_out(stage, conn, fate).await;
    };
    // A call that its forwarder has called off may be seen to end later than the next one comes.
    for _ in 0..CROSSINGS {
        if !stage.lock().oracle.is_out(duty) {
            break;
        }
        tokio::time::sleep(CROSSING).await;
    }
    let now = stage.now();
    let Call {
        fate,
        forwarder,
        trip,
    } = begin(
        &mut stage.lock(),
        stage,
        target,
        standin.holder(),
        duty,
        now,
    );
    // Until it answers, the forwarder may close the connection: then the call is out no more.
    let over = |state: &mut State, ran: Ran| state.oracle.over(duty, forwarder, now, ran);
    if matches!(fate.says, Says::Refused | Says::Cut) {
        over(&mut stage.lock(), Ran::No);
        conn.reset();
        return None;
    }
    let silent = fate.says == Says::Silent;
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
            state.tally.tick(done, Tick::Failed);
            over(&mut state, Ran::Perhaps);
            return None;
        }
        state
            .receivers_late
            .saturating_record((done.saturating_sub(fate.at)).max(1));
        settle(
            &mut state, stage, &fate, duty, forwarder, target, trip, now, done,
        );
    }
    carry_out(stage, conn, fate).await
}

struct Call {
    fate: Fate,
    forwarder: u32,
    trip: u32,
}

/// A call's last byte is in.
fn begin(
    state: &mut State,
    stage: &Stage,
    target: usize,
    holder: u32,
    duty: u64,
    now: Micros,
) -> Call {
    let spot = stage.layout.targets[target];
    let (forwarder, packet, profile) = state
        .oracle
        .taking(duty)
        .map_or((0, u64::MAX, 0), |t| (t.forwarder, t.packet, t.profile));
    let (destination, gate) = (spot.destination, spot.gate);
    state.oracle.sent(
        Sending {
            duty,
            forwarder,
            destination,
            target,
            holder,
            gate,
        },
        now,
    );
    state.tally.counts.calls += 1;
    state.tally.calls_out += 1;
    state.tally.tick(now, Tick::Call);
    let mark = (state.effects[usize::from(profile)] == Effect::Fingerprinted).then_some(packet);
    let falls = state.receivers.falls.len();
    let fate = state.receivers.call(now, target, forwarder, mark);
    if state.receivers.falls.len() > falls {
        stage.changed.send_modify(|n| *n += 1);
    }
    if let Some(ran) = fate.ran {
        state.oracle.took_effect(packet, duty, ran);
    }
    Call {
        fate,
        forwarder,
        trip: state.oracle.trips(duty).saturating_sub(1),
    }
}

/// The answer goes out now.
#[allow(clippy::too_many_arguments)]
fn settle(
    state: &mut State,
    stage: &Stage,
    fate: &Fate,
    duty: u64,
    forwarder: u32,
    target: usize,
    trip: u32,
    since: Micros,
    now: Micros,
) {
    let (name, tick, ran) = match fate.says {
        Says::Served | Says::ServedThenReset | Says::Endless => {
            ("delivered", Tick::Good, Ran::Perhaps)
        }
        Says::Erred => ("error", Tick::Failed, Ran::Perhaps),
        Says::Full { .. } | Says::Crowded => ("refused", Tick::Refused, Ran::No),
        Says::Refused | Says::Cut => ("no-connection", Tick::Failed, Ran::No),
        Says::Reset | Says::Garbled | Says::FullCut { .. } | Says::Silent => {
            ("reset", Tick::Failed, Ran::Perhaps)
        }
    };
    state.tally.outcome(name);
    state.tally.tick(now, tick);
    state.tally.calls_out = state.tally.calls_out.saturating_sub(1);
    state.oracle.over(duty, forwarder, since, ran);
    if let Says::Full { wait: Some(wait) } | Says::FullCut { wait: Some(wait) } = fate.says {
        let gate = stage.layout.targets[target].gate;
        state.oracle.told_to_wait(forwarder, gate, now, now + wait);
    }
    if name == "delivered" {
        state.ended(stage, duty, Final::Served, None, trip, now);
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
    if stage.alone && fate.says != Says::Silent {
        tokio::time::sleep_until(stage.at(fate.at)).await;
    }
    let written = match fate.says {
        Says::Served => conn.reply("200 OK", "", "").await,
        Says::Erred => conn.reply("500 Internal Server Error", "", "").await,
        Says::Full { wait } => conn.reply(TURNED_AWAY, &wait_line(wait), "").await,
        Says::Crowded => conn.reply("503 Service Unavailable", "", "").await,
        Says::Silent => {
            conn.closed().await;
            return None;
        }
        Says::ServedThenReset => {
            let _ = conn.reply("200 OK", "", "").await; // whoever has left does not hear it
            tokio::time::sleep(CROSSING).await;
            conn.reset();
            return None;
        }
        Says::Garbled => {
            let _ = conn
                .write(b"\x16\x03\x01 not what was asked for \xff\xfe\r\n\r\n")
                .await;
            conn.closed().await;
            return None;
        }
        Says::FullCut { wait } => {
            let head = format!(
                "HTTP/1.1 {TURNED_AWAY}\r\n{}Content-Length: 5\r\n\r\nno",
                wait_line(wait)
            );
            let _ = conn.write(head.as_bytes()).await; // whoever has left does not hear it
            tokio::time::sleep(CROSSING).await;
            conn.reset();
            return None;
        }
        Says::Endless => {
            let mut written = conn
                .write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
                .await;
            while written.is_ok() {
                tokio::time::sleep(CROSSING).await;
                written = conn.write(&[b'x'; 512]).await;
            }
            return None;
        }
        Says::Refused | Says::Cut | Says::Reset => {
            conn.reset();
            return None;
        }
    };
    written.ok().map(|()| conn)
}

async fn probe(stage: &Arc<Stage>, target: usize, mut conn: Conn) -> Option<Conn> {
    let now = stage.now();
    // The platform's protocol names nobody in a probe: with one forwarder it is that one, else it counts for none.
    let nobody = u32::MAX;
    let forwarder = if stage.scenario.forwarders.count == 1 {
        0
    } else {
        nobody
    };
    let fate = {
        let mut state = stage.lock();
        state.tally.counts.probes += 1;
        if forwarder != nobody {
            let gate = stage.layout.targets[target].gate;
            state
                .oracle
                .check_wait(forwarder, gate, now, &format!("a probe to target {target}"));
        }
        state.receivers.probe(now, target, forwarder)
    };
    match fate.says {
        Says::Served => conn.reply("200 OK", "", "").await.ok().map(|()| conn),
        Says::Crowded => conn
            .reply("503 Service Unavailable", "", "")
            .await
            .ok()
            .map(|()| conn),
        Says::Silent => {
            conn.closed().await;
            None
        }
        _ => {
            conn.reset();
            None
        }
    }
}
