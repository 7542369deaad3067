//! opalpulley's forwarder on sockets: one process, one core, an actor for each peer.

mod clients;
mod clock;
mod journal;
mod link;
mod list;
mod module;
mod neighbours;
mod notices;
mod papers;
mod platform;
mod protocol;
mod reload;
mod shutdown;
mod stream;
mod targets;

use clients::{Clients, Closing, Door};
use clock::Clock;
use journal::Journal;
use list::{Held, List};
use module::{Module, Note, Ways};
use notices::Notices;
use opalpulley::{Event, ListNews};
use papers::Papers;
use platform::Platform;
use slog::{error, info, o, Drain, Logger};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use targets::Links;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch, Semaphore};

const NOTES: usize = 1024; // waiting for the module's actor: those who send them wait when it is full
const HAND_INS: usize = 256; // packets waiting for it: some milliseconds' work; more are refused
const LIST_NOTES: usize = 16; // to the list's actor
const NEIGHBOUR_NOTES: usize = 256; // to the neighbours'
const LOG_LINES: usize = 1024; // waiting to be written: further ones are counted and dropped
const BACKLOG: u32 = 1024; // clients waiting to be accepted: one that finds it full waits a second
const LAST_ANSWERS: Duration = Duration::from_millis(50); // for answers on their way when the process ends

fn logger() -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(io::stderr());
    let lines = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().fuse();
    let (drain, guard) = slog_async::Async::new(lines)
        .chan_size(LOG_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = slog::LevelFilter::new(drain, slog::Level::Info).fuse();
    (Logger::root(drain, o!()), guard)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // connections of an earlier process may still be fading
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn run(mut papers: Papers, log: Logger) -> io::Result<()> {
    let clock = Clock::start();
    // Guards the process from the first moment on: a signal without a handler would end it.
    let term = signal(SignalKind::terminate())?;
    let hang_up = signal(SignalKind::hangup())?;
    let names = papers.waybill.names.clone();
    let terms = papers.waybill.terms.clone();
    let (module_box, notes) = mpsc::channel(NOTES);
    let (client_box, hand_ins) = mpsc::channel(HAND_INS);
    let (list_box, list_notes) = mpsc::channel(LIST_NOTES);
    let (notice_box, owed) = mpsc::unbounded_channel();
    let (neighbour_box, neighbour_notes) = mpsc::channel(NEIGHBOUR_NOTES);
    let (closing, closing_seen) = watch::channel(Closing::No);
    let links = Arc::new(Links {
        terms: papers.waybill.links.clone(),
        names: names.clone(),
        idle: Arc::new(Semaphore::new(papers.idle_sockets)),
        module: module_box.clone(),
        log: log.clone(),
    });
    let listener = listen(papers.listen)?;
    let door = Arc::new(Door::new(names.clone(), &terms, client_box, log.clone()));
    let clients = Clients { door: door.clone(), most: papers.client_sockets, closing: closing_seen };
    tokio::spawn(clients.run(listener));

    let (journal, packets) = Journal::open(&papers.state, papers.disk)?;
    info!(log, "started"; "name" => &papers.name, "packets" => packets.len(), "listen" => %papers.listen,
        "discovery" => %papers.discovery);
    let ways = Ways {
        links,
        list: list_box,
        notices: notice_box,
        neighbours: neighbour_box,
        up: door.ready.clone(),
    };
    let mut module = Module::new(terms.clone(), papers.seed, clock, journal, ways, log.clone());
    let mut held = Held::default();
    let known = papers.known.take().and_then(|text| held.take(text, &names));
    if let Some(ListNews::Whole(known) | ListNews::Changes(known)) = known {
        module.read(Note::Event(Event::List(ListNews::Cached(known))));
    }
    module.take_over(packets);

    let platform = || Platform::new(papers.discovery);
    let (moves, discovery) = watch::channel(papers.discovery);
    tokio::spawn(reload::run(hang_up, papers.fixed(), moves, log.clone()));
    let list = List {
        platform: platform(),
        discovery: discovery.clone(),
        names,
        held,
        must_be_asked: terms.list_must_be_asked,
        module: module_box.clone(),
        log: log.clone(),
    };
    tokio::spawn(list.run(list_notes));
    let notices = Notices { platform: platform(), discovery, module: module_box.clone(), log: log.clone() };
    tokio::spawn(notices.run(owed));
    let neighbours = neighbours::run(papers.neighbours, neighbour_notes, module_box.clone(), log.clone());
    let neighbour_log = log.clone();
    tokio::spawn(async move {
        if let Err(problem) = neighbours.await {
            error!(neighbour_log, "neighbours can't be heard"; "problem" => %problem);
        }
    });
    let leave = shutdown::run(term, &closing, module_box, log.clone());
    module.run(notes, hand_ins, leave).await;
    tokio::time::sleep(LAST_ANSWERS).await;
    info!(log, "ended");
    Ok(())
}

fn main() -> ExitCode {
    let papers = match Papers::from_env() {
        Ok(papers) => papers,
        Err(problem) => {
            eprintln!("opalpulley: {problem}");
            return ExitCode::from(2);
        }
    };
    let (log, _guard) = logger();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.and_then(|runtime| runtime.block_on(run(papers, log.clone())));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!(log, "can't go on"; "problem" => %problem);
            ExitCode::FAILURE
        }
    }
}
