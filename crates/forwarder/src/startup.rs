//! Starts the actors of a forwarder in order, and runs the dispatcher until it ends.

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
use crate::journal::{Journal, StoredNames};
use crate::platform::{AgentAddress, PlatformClient};
use crate::protocol::EndpointListDocument;
use crate::reload::{self, ReadConfig};
use crate::shutdown::{self, ShutdownStage};
use crate::startup_config::{GossipPeers, StartupConfig};
use opalpulley::{Config, Micros};
use opalpulley_config::Names;
use slog::{error, info, warn, Logger};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::Instant;

/// Capacity of the dispatcher's mailbox, in commands. Actors that find it full wait.
const DISPATCHER_MAILBOX_CAPACITY: usize = 1024;
/// Capacity of the dispatcher's mailbox for submissions, which corresponds to some milliseconds of work. Submissions
/// that find it full are rejected.
const SUBMISSION_MAILBOX_CAPACITY: usize = 256;
/// Capacity of the mailbox of the endpoint-list watch, in commands.
const ENDPOINT_LIST_MAILBOX_CAPACITY: usize = 16;
/// Capacity of the mailbox of the gossip socket, in datagrams.
const GOSSIP_MAILBOX_CAPACITY: usize = 256;
/// Upper bound on the number of client connections that wait to be accepted. A client that finds the backlog full waits
/// for one second.
const ACCEPT_BACKLOG: u32 = 1024;
/// Time in µs after which the service rules count the forwarder as notified of a change of the endpoint list: 6 s, if
/// the platform knew of the change and could be reached.
const LIST_NOTIFICATION_DELAY: Micros = 6_000_000;
/// Time between the end of the dispatcher and the end of the process, in which the last answers are written.
const FINAL_ANSWERS_PERIOD: Duration = Duration::from_millis(50);

/// Controls a running forwarder. Created by the program that starts it.
pub struct ProcessControl {
    /// Resolves when the forwarder must shut down. The dispatcher ends at most 3.3 s later, and the process 50 ms after
    /// the dispatcher.
    pub terminate: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// Yields one value for each time that the startup configuration must be read again: the time of the request.
    pub reload: mpsc::Receiver<Instant>,
    /// Reads the startup configuration again.
    pub read_config: ReadConfig,
}

/// The sending halves of the actors' mailboxes.
struct Senders {
    dispatcher: mpsc::Sender<DispatcherCommand>,
    submissions: mpsc::Sender<SubmissionRequest>,
    endpoint_list: mpsc::Sender<EndpointListCommand>,
    completion_reports: mpsc::UnboundedSender<PendingCompletionReport>,
    gossip: mpsc::Sender<GossipDatagram>,
}

/// The receiving halves of the actors' mailboxes.
struct Receivers {
    dispatcher: mpsc::Receiver<DispatcherCommand>,
    submissions: mpsc::Receiver<SubmissionRequest>,
    endpoint_list: mpsc::Receiver<EndpointListCommand>,
    completion_reports: mpsc::UnboundedReceiver<PendingCompletionReport>,
    gossip: mpsc::Receiver<GossipDatagram>,
}

fn create_mailboxes() -> (Senders, Receivers) {
    let (dispatcher, dispatcher_receiver) = mpsc::channel(DISPATCHER_MAILBOX_CAPACITY);
    let (submissions, submissions_receiver) = mpsc::channel(SUBMISSION_MAILBOX_CAPACITY);
    let (endpoint_list, endpoint_list_receiver) = mpsc::channel(ENDPOINT_LIST_MAILBOX_CAPACITY);
    let (completion_reports, completion_reports_receiver) = mpsc::unbounded_channel();
    let (gossip, gossip_receiver) = mpsc::channel(GOSSIP_MAILBOX_CAPACITY);
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

/// Runs one forwarder until it has shut down. Fails if its address or its state directory cannot be used.
pub async fn run(
    mut startup: StartupConfig,
    control: ProcessControl,
    log: Logger,
) -> io::Result<()> {
    let clock = Clock::start();
    let cached_list = startup.cached_list.take();
    let gossip_peers = std::mem::take(&mut startup.gossip_peers);
    let (senders, receivers) = create_mailboxes();
    let (stage_sender, stage_receiver) = watch::channel(ShutdownStage::Running);
    let starter = ActorStarter::new(&startup, &senders.dispatcher, &log);
    let submission_service = starter.start_clients(senders.submissions, stage_receiver)?;

    let names = StoredNames::new(&startup.settings.names, &startup.settings.config);
    let (journal, recovered_messages) =
        Journal::open(&startup.state_dir, startup.journal_bytes, names)?;
    starter.log_start(recovered_messages.len(), journal.failed_count());
    let handles = ActorHandles {
        context: starter.endpoint_context(),
        list_watch: senders.endpoint_list,
        completion_reports: senders.completion_reports,
        gossip: senders.gossip,
        ready: submission_service.ready.clone(),
    };
    let mut dispatcher = starter.create_dispatcher(clock, journal, handles);
    let endpoint_table = starter.restore_cached_list(cached_list, &mut dispatcher);
    dispatcher.restore_previous_run(recovered_messages);

    let discovery = starter.start_reload(control.reload, control.read_config);
    starter.start_list_watch(endpoint_table, discovery.clone(), receivers.endpoint_list);
    starter.start_completion_reports(discovery, receivers.completion_reports);
    starter.start_gossip(gossip_peers, receivers.gossip);
    let shutdown_sequence = starter.run_shutdown(control.terminate, &stage_sender);
    dispatcher
        .run(
            receivers.dispatcher,
            receivers.submissions,
            shutdown_sequence,
        )
        .await;
    tokio::time::sleep(FINAL_ANSWERS_PERIOD).await;
    info!(log, "forwarder stopped");
    Ok(())
}

/// Starts the actors around the dispatcher.
struct ActorStarter<'a> {
    startup: &'a StartupConfig,
    /// Configuration of the decision core, with [`LIST_NOTIFICATION_DELAY`] set.
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
        config.list_notification_delay = Some(LIST_NOTIFICATION_DELAY);
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
            body_permits: Arc::new(Semaphore::new(self.startup.max_body_connections)),
            dispatcher: self.dispatcher.clone(),
            log: self.log.clone(),
        })
    }

    /// Starts to accept clients. Until `ready` is set, each client is answered that the forwarder is not ready. Fails
    /// if the address cannot be used.
    fn start_clients(
        &self,
        submissions: mpsc::Sender<SubmissionRequest>,
        stage_receiver: watch::Receiver<ShutdownStage>,
    ) -> io::Result<Arc<SubmissionService>> {
        let listener = listen(self.startup.listen)?;
        let submission_service = Arc::new(SubmissionService::new(
            self.names(),
            &self.config,
            self.startup.client_memory,
            submissions,
            self.log.clone(),
        ));
        let clients = ClientListener {
            submission_service: submission_service.clone(),
            max_connections: self.startup.max_client_connections,
            shutdown: stage_receiver,
        };
        tokio::spawn(clients.run(listener));
        Ok(submission_service)
    }

    fn log_start(&self, recovered_messages: usize, failed_messages: usize) {
        let startup = self.startup;
        if failed_messages > 0 {
            warn!(self.log, "messages of a previous run failed: their delivery class has changed in the settings";
                "messages" => failed_messages);
        }
        info!(self.log, "forwarder started"; "name" => &startup.name, "messages" => recovered_messages,
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

    /// Waits for `terminate`, and then until the dispatcher must end.
    async fn run_shutdown(
        &self,
        terminate: impl Future<Output = ()>,
        stage: &watch::Sender<ShutdownStage>,
    ) {
        shutdown::run(terminate, stage, self.dispatcher.clone(), self.log.clone()).await;
    }

    /// Passes the endpoint list of the startup configuration to the dispatcher, if there is one, which withholds it until
    /// discovery has responded. Returns the table of its endpoints.
    fn restore_cached_list(
        &self,
        cached_list: Option<EndpointListDocument>,
        dispatcher: &mut Dispatcher,
    ) -> EndpointTable {
        let mut endpoint_table = EndpointTable::default();
        if let Some(list) = cached_list {
            let entries = endpoint_table.restore(list, &self.names());
            dispatcher.withhold_cached_list(&entries);
        }
        endpoint_table
    }

    /// Starts the actor that reloads the configuration. Returns the address of the platform's agent, which a reload may
    /// change.
    fn start_reload(
        &self,
        reload_requests: mpsc::Receiver<Instant>,
        read_config: ReadConfig,
    ) -> watch::Receiver<AgentAddress> {
        let (discovery, discovery_changes) =
            watch::channel(AgentAddress::set_now(self.startup.discovery));
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
        endpoint_table: EndpointTable,
        agent_address: watch::Receiver<AgentAddress>,
        commands: mpsc::Receiver<EndpointListCommand>,
    ) {
        let list_watch = EndpointListWatch {
            platform: self.platform(),
            agent_address,
            names: self.names(),
            table: endpoint_table,
            must_be_polled: self.config.list_poll_interval.is_some(),
            dispatcher: self.dispatcher.clone(),
            log: self.log.clone(),
        };
        tokio::spawn(list_watch.run(commands));
    }

    fn start_completion_reports(
        &self,
        discovery: watch::Receiver<AgentAddress>,
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
        let socket_task =
            gossip_socket::run(peers, datagrams, self.dispatcher.clone(), log.clone());
        tokio::spawn(async move {
            if let Err(error) = socket_task.await {
                error!(log, "gossip not started: its socket could not be opened"; "problem" => %error);
            }
        });
    }
}

/// Opens the listener of the clients. Fails if the address cannot be used.
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
