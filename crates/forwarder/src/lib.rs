//! opalpulley's forwarder on sockets: one process, one core, an actor for each peer. A library with a thin program on top, so
//! that other programs can start one in process.

mod clients;
mod clock;
mod completion_reports;
mod dispatcher;
#[cfg(test)]
mod golden_cases;
mod gossip_socket;
mod journal;
mod link;
mod list;
mod notes;
mod platform;
mod protocol;
mod reload;
mod shutdown;
mod startup_config;
mod stream;
mod targets;

pub use startup_config::{ConfigError, StartupConfig};

use clients::{Clients, Closing, Door};
use clock::Clock;
use completion_reports::CompletionReports;
use dispatcher::{Dispatcher, Ways};
use journal::Journal;
use list::{Held, List};
use notes::Note;
use opalpulley::{Event, ListNews, Micros};
use platform::Platform;
use reload::Reread;
use slog::{error, info, Logger};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use targets::TargetContext;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch, Semaphore};

const NOTES: usize = 1024; // waiting for the dispatcher: those who send them wait when it is full
const HAND_INS: usize = 256; // packets waiting for it: some milliseconds' work; more are refused
const LIST_NOTES: usize = 16; // to the list's actor
const GOSSIP_MESSAGES: usize = 256; // to the gossip socket
const BACKLOG: u32 = 1024; // clients waiting to be accepted: one that finds it full waits a second
const TOLD_WITHIN: Micros = 6_000_000; // µs: news count as told so long after discovery had them and could be reached
const LAST_ANSWERS: Duration = Duration::from_millis(50); // for answers on their way when the process ends

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // connections of an earlier process may still be fading
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// What a running forwarder is told by whoever started it.
pub struct Orders {
    /// Falls when it is to end: in order, within 3.3 s.
    pub end: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// One for each time that the start-up configuration is to be read again.
    pub reload: mpsc::Receiver<()>,
    /// Where they are read.
    pub reread: Reread,
}

/// Runs one forwarder to its end. Fails where its address or its folder can't be used.
pub async fn run(mut startup: StartupConfig, orders: Orders, log: Logger) -> io::Result<()> {
    let clock = Clock::start();
    let names = startup.waybill.names.clone();
    let mut config = startup.waybill.config.clone();
    config.told_within = Some(TOLD_WITHIN);
    let (dispatcher_box, notes) = mpsc::channel(NOTES);
    let (client_box, hand_ins) = mpsc::channel(HAND_INS);
    let (list_box, list_notes) = mpsc::channel(LIST_NOTES);
    let (report_box, pending_report) = mpsc::unbounded_channel();
    let (gossip_box, gossip_messages) = mpsc::channel(GOSSIP_MESSAGES);
    let (closing, closing_seen) = watch::channel(Closing::No);
    let context = Arc::new(TargetContext {
        config: startup.waybill.connections.clone(),
        names: names.clone(),
        idle: Arc::new(Semaphore::new(startup.idle_sockets)),
        dispatcher: dispatcher_box.clone(),
        log: log.clone(),
    });
    let listener = listen(startup.listen)?;
    let door = Arc::new(Door::new(names.clone(), &config, client_box, log.clone()));
    let clients = Clients { door: door.clone(), most: startup.client_sockets, closing: closing_seen };
    tokio::spawn(clients.run(listener));

    let (journal, packets) = Journal::open(&startup.state, startup.disk)?;
    info!(log, "started"; "name" => &startup.name, "packets" => packets.len(), "listen" => %startup.listen,
        "discovery" => %startup.discovery);
    let ways = Ways {
        context,
        list: list_box,
        completion_reports: report_box,
        gossip: gossip_box,
        up: door.ready.clone(),
    };
    let mut dispatcher = Dispatcher::new(config.clone(), startup.seed, clock, journal, ways, log.clone());
    let mut held = Held::default();
    let known = startup.known.take().and_then(|text| held.take(text, &names));
    if let Some(ListNews::Whole(known) | ListNews::Changes(known)) = known {
        dispatcher.handle_message(Note::Event(Event::List(ListNews::Cached(known))));
    }
    dispatcher.take_over(packets);

    let platform = || Platform::new(startup.discovery);
    let (moves, discovery) = watch::channel(startup.discovery);
    tokio::spawn(reload::run(orders.reload, orders.reread, startup.fixed(), moves, log.clone()));
    let list = List {
        platform: platform(),
        discovery: discovery.clone(),
        names,
        held,
        must_be_asked: config.ask_within.is_some(),
        dispatcher: dispatcher_box.clone(),
        log: log.clone(),
    };
    tokio::spawn(list.run(list_notes));
    let completion_reports = CompletionReports {
        platform: platform(),
        discovery,
        dispatcher: dispatcher_box.clone(),
        log: log.clone(),
    };
    tokio::spawn(completion_reports.run(pending_report));
    let gossip =
        gossip_socket::run(startup.gossip_peers, gossip_messages, dispatcher_box.clone(), log.clone());
    let gossip_log = log.clone();
    tokio::spawn(async move {
        if let Err(problem) = gossip.await {
            error!(gossip_log, "the gossip socket can't be used"; "problem" => %problem);
        }
    });
    let leave = shutdown::run(orders.end, &closing, dispatcher_box, log.clone());
    dispatcher.run(notes, hand_ins, leave).await;
    tokio::time::sleep(LAST_ANSWERS).await;
    info!(log, "ended");
    Ok(())
}
