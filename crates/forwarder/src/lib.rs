//! opalpulley's forwarder on sockets: one process, one core, an actor for each peer. A library with a thin program on top, so
//! that other programs can start one in process.

mod clients;
mod clock;
mod commands;
mod completion_reports;
mod dispatcher;
mod endpoint_list;
mod endpoints;
mod gossip_socket;
mod http_connection;
mod journal;
mod platform;
mod protocol;
mod reload;
mod shutdown;
mod startup_config;

pub use startup_config::{ConfigError, StartupConfig};

use clients::{Clients, Closing, SubmissionService};
use clock::Clock;
use commands::DispatcherCommand;
use completion_reports::CompletionReports;
use dispatcher::{Dispatcher, DispatcherHandles};
use endpoint_list::{EndpointListWatch, EndpointTable};
use endpoints::EndpointContext;
use journal::Journal;
use opalpulley::{EndpointListUpdate, Event, Micros};
use platform::Platform;
use reload::Reread;
use slog::{error, info, Logger};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch, Semaphore};

const NOTES: usize = 1024; // waiting for the dispatcher: those who send them wait when it is full
const SUBMISSIONS: usize = 256; // messages waiting for it: some milliseconds' work; more are refused
const LIST_NOTES: usize = 16; // to the list's actor
const GOSSIP_MESSAGES: usize = 256; // to the gossip socket
const BACKLOG: u32 = 1024; // clients waiting to be accepted: one that finds it full waits a second
const TOLD_WITHIN: Micros = 6_000_000; // µs: news count as told so long after discovery had them and could be reached
const LAST_ANSWERS: Duration = Duration::from_millis(50); // for answers on their way when the process ends

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
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
    let names = startup.settings.names.clone();
    let mut config = startup.settings.config.clone();
    config.notified_within = Some(TOLD_WITHIN);
    let (dispatcher_box, notes) = mpsc::channel(NOTES);
    let (client_box, submissions) = mpsc::channel(SUBMISSIONS);
    let (list_box, list_notes) = mpsc::channel(LIST_NOTES);
    let (report_box, pending_report) = mpsc::unbounded_channel();
    let (gossip_box, gossip_messages) = mpsc::channel(GOSSIP_MESSAGES);
    let (closing, closing_seen) = watch::channel(Closing::No);
    let context = Arc::new(EndpointContext {
        config: startup.settings.connections.clone(),
        names: names.clone(),
        idle: Arc::new(Semaphore::new(startup.idle_sockets)),
        dispatcher: dispatcher_box.clone(),
        log: log.clone(),
    });
    let listener = listen(startup.listen)?;
    let submission_service = Arc::new(SubmissionService::new(
        names.clone(),
        &config,
        client_box,
        log.clone(),
    ));
    let clients = Clients {
        submission_service: submission_service.clone(),
        most: startup.client_sockets,
        closing: closing_seen,
    };
    tokio::spawn(clients.run(listener));

    let (journal, messages) = Journal::open(&startup.state, startup.disk)?;
    info!(log, "started"; "name" => &startup.name, "packets" => messages.len(), "listen" => %startup.listen,
        "discovery" => %startup.discovery);
    let handles = DispatcherHandles {
        context,
        list: list_box,
        completion_reports: report_box,
        gossip: gossip_box,
        up: submission_service.ready.clone(),
    };
    let mut dispatcher = Dispatcher::new(
        config.clone(),
        startup.seed,
        clock,
        journal,
        handles,
        log.clone(),
    );
    let mut held = EndpointTable::default();
    let known = startup
        .known
        .take()
        .and_then(|text| held.take(text, &names));
    if let Some(EndpointListUpdate::Complete(known) | EndpointListUpdate::Changes(known)) = known {
        dispatcher.handle_message(DispatcherCommand::Event(Event::EndpointList(
            EndpointListUpdate::Cached(known),
        )));
    }
    dispatcher.take_over(messages);

    let platform = || Platform::new(startup.discovery);
    let (moves, discovery) = watch::channel(startup.discovery);
    tokio::spawn(reload::run(
        orders.reload,
        orders.reread,
        startup.fixed(),
        moves,
        log.clone(),
    ));
    let list = EndpointListWatch {
        platform: platform(),
        discovery: discovery.clone(),
        names,
        held,
        must_be_asked: config.poll_interval.is_some(),
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
    let gossip = gossip_socket::run(
        startup.gossip_peers,
        gossip_messages,
        dispatcher_box.clone(),
        log.clone(),
    );
    let gossip_log = log.clone();
    tokio::spawn(async move {
        if let Err(problem) = gossip.await {
            error!(gossip_log, "the gossip socket can't be used"; "problem" => %problem);
        }
    });
    let leave = shutdown::run(orders.end, &closing, dispatcher_box, log.clone());
    dispatcher.run(notes, submissions, leave).await;
    tokio::time::sleep(LAST_ANSWERS).await;
    info!(log, "ended");
    Ok(())
}
