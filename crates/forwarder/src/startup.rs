//! Starts the actors of a forwarder, in order, and runs the dispatcher to its end.

use crate::clients::{ClientListener, SubmissionService};
use crate::clock::Clock;
use crate::commands::{
    DispatcherCommand, EndpointListCommand, GossipDatagram, PendingCompletionReport,
    SubmissionRequest,
};
use crate::completion_reports::CompletionReporter;
use crate::dispatcher::{ActorHandles, Dispatcher};
use crate::endpoint_list::{EndpointListWatch, EndpointTable};
use crate::endpoints::EndpointContext;
use crate::gossip_socket;
use crate::journal::Journal;
use crate::platform::PlatformClient;
use crate::protocol::EndpointListDocument;
use crate::reload::{self, ReadConfig};
use crate::shutdown::{self, ShutdownStage};
use crate::startup_config::{GossipPeers, StartupConfig};
use opalpulley::{Config, EndpointListUpdate, Event, Micros};
use opalpulley_config::Names;
use slog::{error, info, Logger};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch, Semaphore};

/// Commands that wait for the dispatcher. Actors that send more wait.
const DISPATCHER_MAILBOX: usize = 1024;
/// Submissions that wait for the dispatcher, some milliseconds' work. More are rejected.
const SUBMISSION_MAILBOX: usize = 256;
/// Commands that wait for the endpoint list's actor.
const ENDPOINT_LIST_MAILBOX: usize = 16;
/// Datagrams that wait for the gossip socket.
const GOSSIP_MAILBOX: usize = 256;
/// Connections of clients that wait to be accepted. A client that finds the backlog full waits a second.
const ACCEPT_BACKLOG: u32 = 1024;
/// The service rules count the forwarder as informed 6 s after a change, if the platform had the change and could be
/// reached. In µs.
const NOTIFIED_WITHIN: Micros = 6_000_000;
/// For answers on their way when the process ends.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(50);

/// How the program controls a running forwarder.
pub struct ProcessControl {
    /// Resolves when the forwarder is to end. The dispatcher ends 3.3 s later at the latest, and the process 50 ms after it.
    pub terminate: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// One value for each time that the start-up configuration is to be read again.
    pub reload: mpsc::Receiver<()>,
    /// Reads the start-up configuration again.
    pub read_config: ReadConfig,
}

/// The sending ends of the actors' mailboxes.
struct Senders {
    dispatcher: mpsc::Sender<DispatcherCommand>,
    submissions: mpsc::Sender<SubmissionRequest>,
    endpoint_list: mpsc::Sender<EndpointListCommand>,
    completion_reports: mpsc::UnboundedSender<PendingCompletionReport>,
    gossip: mpsc::Sender<GossipDatagram>,
}

/// The receiving ends of the actors' mailboxes.
struct Receivers {
    dispatcher: mpsc::Receiver<DispatcherCommand>,
    submissions: mpsc::Receiver<SubmissionRequest>,
    endpoint_list: mpsc::Receiver<EndpointListCommand>,
    completion_reports: mpsc::UnboundedReceiver<PendingCompletionReport>,
    gossip: mpsc::Receiver<GossipDatagram>,
}

fn mailboxes() -> (Senders, Receivers) {
    let (dispatcher, dispatcher_receiver) = mpsc::channel(DISPATCHER_MAILBOX);
    let (submissions, submissions_receiver) = mpsc::channel(SUBMISSION_MAILBOX);
    let (endpoint_list, endpoint_list_receiver) = mpsc::channel(ENDPOINT_LIST_MAILBOX);
    let (completion_reports, completion_reports_receiver) = mpsc::unbounded_channel();
    let (gossip, gossip_receiver) = mpsc::channel(GOSSIP_MAILBOX);
    let senders = Senders {
        dispatcher,
        submissions,
        endpoint_list,
        completion_reports,
        gossip,
    };
    let receivers = Receivers {
        dispatcher: dispatcher_receiver,
        submissions: submissions_receiver,
        endpoint_list: endpoint_list_receiver,
        completion_reports: completion_reports_receiver,
        gossip: gossip_receiver,
    };
    (senders, receivers)
}

/// Runs one forwarder to its end. Fails where its address or its state directory can't be used.
pub async fn run(
    mut startup: StartupConfig,
    control: ProcessControl,
    log: Logger,
) -> io::Result<()> {
    let clock = Clock::start();
    let cached_list = startup.cached_list.take();
    let gossip_peers = std::mem::take(&mut startup.gossip_peers);
    let (senders, receivers) = mailboxes();
    let (shutdown_stage, shutdown_stages) = watch::channel(ShutdownStage::Running);
    let starter = ActorStarter::new(&startup, &senders.dispatcher, &log);
    let submission_service = starter.start_clients(senders.submissions, shutdown_stages)?;

    let (journal, messages) = Journal::open(&startup.state_dir, startup.journal_bytes)?;
    starter.log_start(messages.len());
    let handles = ActorHandles {
        context: starter.endpoint_context(),
        list_watch: senders.endpoint_list,
        completion_reports: senders.completion_reports,
        gossip: senders.gossip,
        ready: submission_service.ready.clone(),
    };
    let mut dispatcher = starter.create_dispatcher(clock, journal, handles);
    let endpoints = starter.restore_cached_list(cached_list, &mut dispatcher);
    dispatcher.restore_previous_run(messages);

    let discovery = starter.start_reload(control.reload, control.read_config);
    starter.start_list_watch(endpoints, discovery.clone(), receivers.endpoint_list);
    starter.start_completion_reports(discovery, receivers.completion_reports);
    starter.start_gossip(gossip_peers, receivers.gossip);
    let end = starter.run_shutdown(control.terminate, &shutdown_stage);
    dispatcher
        .run(receivers.dispatcher, receivers.submissions, end)
        .await;
    tokio::time::sleep(LAST_ANSWERS_TIME).await;
    info!(log, "ended");
    Ok(())
}

/// Starts the actors around the dispatcher.
struct ActorStarter<'a> {
    startup: &'a StartupConfig,
    config: Config,
    dispatcher: &'a mpsc::Sender<DispatcherCommand>,
    log: &'a Logger,
}

impl<'a> ActorStarter<'a> {
    fn new(
        startup: &'a StartupConfig,
        dispatcher: &'a mpsc::Sender<DispatcherCommand>,
        log: &'a Logger,
    ) -> ActorStarter<'a> {
        let mut config = startup.settings.config.clone();
        config.list_notification_delay = Some(NOTIFIED_WITHIN);
        ActorStarter {
            startup,
            config,
            dispatcher,
            log,
        }
    }

    fn names(&self) -> Names {
        self.startup.settings.names.clone()
    }

    fn platform(&self) -> PlatformClient {
        PlatformClient::new(self.startup.discovery)
    }

    fn endpoint_context(&self) -> Arc<EndpointContext> {
        Arc::new(EndpointContext {
            config: self.startup.settings.connections.clone(),
            names: self.names(),
            idle_permits: Arc::new(Semaphore::new(self.startup.max_idle_connections)),
            dispatcher: self.dispatcher.clone(),
            log: self.log.clone(),
        })
    }

    /// Accepts clients from now on. Until `ready` is set, they are answered that the forwarder is not ready.
    fn start_clients(
        &self,
        submissions: mpsc::Sender<SubmissionRequest>,
        shutdown_stages: watch::Receiver<ShutdownStage>,
    ) -> io::Result<Arc<SubmissionService>> {
        let listener = listen(self.startup.listen)?;
        let submission_service = Arc::new(SubmissionService::new(
            self.names(),
            &self.config,
            submissions,
            self.log.clone(),
        ));
        let clients = ClientListener {
            submission_service: submission_service.clone(),
            max_connections: self.startup.max_client_connections,
            shutdown: shutdown_stages,
        };
        tokio::spawn(clients.run(listener));
        Ok(submission_service)
    }

    fn log_start(&self, recovered_messages: usize) {
        let startup = self.startup;
        info!(self.log, "started"; "name" => &startup.name, "messages" => recovered_messages,
            "listen" => %startup.listen, "discovery" => %startup.discovery);
    }

    fn create_dispatcher(
        &self,
        clock: Clock,
        journal: Journal,
        handles: ActorHandles,
    ) -> Dispatcher {
        let config = self.config.clone();
        let log = self.log.clone();
        Dispatcher::new(config, self.startup.seed, clock, journal, handles, log)
    }

    /// Waits for `terminate`, and then until the dispatcher is to end.
    async fn run_shutdown(
        &self,
        terminate: impl Future<Output = ()>,
        stage: &watch::Sender<ShutdownStage>,
    ) {
        shutdown::run(terminate, stage, self.dispatcher.clone(), self.log.clone()).await;
    }

    /// Gives the dispatcher the list of the start-up configuration, if there is one. Returns the endpoints of that list.
    fn restore_cached_list(
        &self,
        cached_list: Option<EndpointListDocument>,
        dispatcher: &mut Dispatcher,
    ) -> EndpointTable {
        let mut endpoints = EndpointTable::default();
        let update = cached_list.and_then(|list| endpoints.apply(list, &self.names()));
        if let Some(EndpointListUpdate::Complete(entries) | EndpointListUpdate::Changes(entries)) =
            update
        {
            let cached = Event::EndpointListUpdated(EndpointListUpdate::Cached(entries));
            dispatcher.handle_command(DispatcherCommand::Event(cached));
        }
        endpoints
    }

    /// Returns the address of the platform, which a reload may change.
    fn start_reload(
        &self,
        reload_requests: mpsc::Receiver<()>,
        read_config: ReadConfig,
    ) -> watch::Receiver<SocketAddr> {
        let (discovery, discovery_changes) = watch::channel(self.startup.discovery);
        tokio::spawn(reload::run(
            reload_requests,
            read_config,
            self.startup.compared(),
            discovery,
            self.log.clone(),
        ));
        discovery_changes
    }

    fn start_list_watch(
        &self,
        endpoints: EndpointTable,
        discovery: watch::Receiver<SocketAddr>,
        commands: mpsc::Receiver<EndpointListCommand>,
    ) {
        let list = EndpointListWatch {
            platform: self.platform(),
            discovery,
            names: self.names(),
            table: endpoints,
            must_be_polled: self.config.list_poll_interval.is_some(),
            dispatcher: self.dispatcher.clone(),
            log: self.log.clone(),
        };
        tokio::spawn(list.run(commands));
    }

    fn start_completion_reports(
        &self,
        discovery: watch::Receiver<SocketAddr>,
        reports: mpsc::UnboundedReceiver<PendingCompletionReport>,
    ) {
        let completion_reports = CompletionReporter {
            platform: self.platform(),
            agent_address: discovery,
            dispatcher: self.dispatcher.clone(),
            log: self.log.clone(),
        };
        tokio::spawn(completion_reports.run(reports));
    }

    fn start_gossip(&self, peers: GossipPeers, datagrams: mpsc::Receiver<GossipDatagram>) {
        let log = self.log.clone();
        let gossip = gossip_socket::run(peers, datagrams, self.dispatcher.clone(), log.clone());
        tokio::spawn(async move {
            if let Err(problem) = gossip.await {
                error!(log, "gossip socket failed"; "problem" => %problem);
            }
        });
    }
}

/// Opens the listener of the clients.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // Connections of an earlier process may still be in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
