//! The dispatcher: the actor that owns the decision core, the journal and the unfinished messages.
//!
//! The dispatcher passes the events from the other actors to the core, and executes the core's actions in order. State
//! that must survive the process is written to the journal before it takes effect: a message before its client
//! is answered, an attempt before its bytes are sent. The dispatcher itself rejects submissions for which there is no
//! capacity or whose destination is unknown, and does not count a delivery after the deadline as the completion of its
//! message. All other decisions are made by the core and its policies.

mod actions;
mod attempts;
mod completion;
mod endpoint_list;
mod endpoints;
mod log_events;
mod message_log;
mod recovery;
mod submissions;
mod timers;
mod unfinished_messages;

use crate::clock::{sleep_until, Clock};
use crate::commands::{
    DispatcherCommand, EndpointListCommand, GossipDatagram, PendingCompletionReport,
    SubmissionRequest,
};
use crate::endpoints::EndpointContext;
use crate::journal::{Journal, JournalError, StoredMessage};
use endpoint_list::ListedEndpoint;
use endpoints::EndpointActors;
use opalpulley::{Action, Config, DestinationId, EndpointId, Event, Forwarder, MessageId, Micros};
use slog::{error, Logger};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use timers::Timers;
use tokio::sync::mpsc;
use tokio::time::Instant;
use unfinished_messages::UnfinishedMessages;

/// Time after the start for which the messages of a previous run wait for an endpoint list if none is known. Afterwards
/// clients may submit messages even without a list.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// The actor that owns the decision core. It runs as one task, and the other actors reach it through its mailboxes.
pub struct Dispatcher {
    clock: Clock,
    config: Config,
    seed: u64,
    forwarder: Forwarder,
    core_state: CoreState,
    /// Number of times that the core was replaced since the start of the process. A panic during a replacement is not
    /// counted.
    core_replacements: u64,
    journal: Journal,
    list_watch: mpsc::Sender<EndpointListCommand>,
    completion_reports: mpsc::UnboundedSender<PendingCompletionReport>,
    gossip: mpsc::Sender<GossipDatagram>,
    log: Logger,
    /// Whether clients may submit messages. See [`ActorHandles::ready`].
    ready: Arc<AtomicBool>,
    unfinished_messages: UnfinishedMessages,
    /// The destinations of all endpoint lists since the start. None is removed: the size is bounded by the number of
    /// destinations.
    known_destinations: BTreeSet<DestinationId>,
    /// The endpoints of the latest list, and removed endpoints that still have an outstanding attempt.
    listed_endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    endpoint_actors: EndpointActors,
    timers: Timers,
    /// Events caused by the execution of actions, in the order in which the core gets them. Empty between two commands.
    queued_events: VecDeque<Event>,
    /// The messages of a previous run, until an endpoint list is known or [`FIRST_LIST_TIMEOUT`] has passed.
    recovered_messages: Option<Vec<StoredMessage>>,
    /// The completion reports that the platform has not acknowledged, by the serial number of the message. The value is
    /// the id of the message if it has an order key: the core then waits for the acknowledgement.
    pending_reports: BTreeMap<u64, Option<MessageId>>,
}

/// What happens when the core panics.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CoreState {
    /// The core is replaced by a new one.
    Running,
    /// A new core is getting the messages of the journal. A message on which it panics fails, and the core stays.
    Replacing,
}

/// The core's actions on one event.
struct Decision {
    /// Time at which the core handled the event, in µs.
    now: Micros,
    actions: Vec<Action>,
}

/// The mailboxes and shared state through which the dispatcher reaches the other actors.
pub struct ActorHandles {
    /// The state that all endpoint actors share.
    pub context: Arc<EndpointContext>,
    /// The mailbox of the endpoint-list watch.
    pub list_watch: mpsc::Sender<EndpointListCommand>,
    /// The mailbox of the actor that sends completion reports.
    pub completion_reports: mpsc::UnboundedSender<PendingCompletionReport>,
    /// The mailbox of the gossip socket.
    pub gossip: mpsc::Sender<GossipDatagram>,
    /// Whether clients may submit messages. Set once the messages of a previous run have been submitted to the core: as
    /// soon as an endpoint list is known, even a cached one, 1 s after the start at the latest, or when the core is
    /// replaced after a panic.
    /// Never cleared, not even at shutdown.
    pub ready: Arc<AtomicBool>,
}

impl Dispatcher {
    /// Creates a dispatcher without messages. `seed` initializes the core's random number generator.
    pub fn new(
        config: Config,
        seed: u64,
        clock: Clock,
        journal: Journal,
        handles: ActorHandles,
        log: Logger,
    ) -> Dispatcher {
        Dispatcher {
            clock,
            forwarder: Forwarder::new(config.clone(), seed),
            endpoint_actors: EndpointActors::new(handles.context, config.concurrency_limit),
            config,
            seed,
            core_state: CoreState::Running,
            core_replacements: 0,
            journal,
            list_watch: handles.list_watch,
            completion_reports: handles.completion_reports,
            gossip: handles.gossip,
            log,
            ready: handles.ready,
            unfinished_messages: UnfinishedMessages::default(),
            known_destinations: BTreeSet::new(),
            listed_endpoints: BTreeMap::new(),
            timers: Timers::default(),
            queued_events: VecDeque::new(),
            recovered_messages: None,
            pending_reports: BTreeMap::new(),
        }
    }

    /// Runs until `exit` is ready, or until the shutdown has begun and neither an attempt nor a completion report is in
    /// flight.
    pub async fn run(
        mut self,
        mut commands: mpsc::Receiver<DispatcherCommand>,
        mut submissions: mpsc::Receiver<SubmissionRequest>,
        exit: impl Future<Output = ()>,
    ) {
        tokio::pin!(exit);
        let mut shutting_down = false;
        let first_list_deadline = Instant::now() + FIRST_LIST_TIMEOUT;
        loop {
            if shutting_down && self.has_nothing_in_flight() {
                return;
            }
            let next_timer_at = self.timers.next_at().map(|at| self.clock.at(at));
            let next_idle_check_at = self.endpoint_actors.next_idle_check_at();
            let next_idle_check_at = next_idle_check_at.map(|at| self.clock.at(at));
            tokio::select! {
                biased;
                () = &mut exit => return,
                Some(command) = commands.recv() => {
                    shutting_down |= matches!(command, DispatcherCommand::Event(Event::ShuttingDown));
                    self.handle_command(command);
                }
                () = sleep_until(next_timer_at) => self.fire_timers(),
                () = sleep_until(next_idle_check_at) => {
                    self.endpoint_actors.stop_idle(self.clock.now());
                }
                () = tokio::time::sleep_until(first_list_deadline), if self.recovered_messages.is_some() => {
                    self.submit_recovered_messages();
                }
                Some(submission) = submissions.recv() => self.handle_submission(submission),
            }
        }
    }

    /// Whether neither an attempt nor a completion report is in flight.
    fn has_nothing_in_flight(&self) -> bool {
        !self.unfinished_messages.has_outstanding_attempts() && self.pending_reports.is_empty()
    }

    /// Handles one command from another actor.
    pub fn handle_command(&mut self, command: DispatcherCommand) {
        match command {
            DispatcherCommand::Event(Event::EndpointListUpdated(update)) => {
                self.update_endpoint_list(update);
            }
            DispatcherCommand::SuspendEndpointList => self.suspend_endpoint_list(),
            DispatcherCommand::AttemptConnected {
                id,
                attempt_index,
                permit,
            } => self.journal_connected_attempt(id, attempt_index, permit),
            DispatcherCommand::Event(mut event) => {
                self.record_attempt_end(&mut event);
                self.handle_event(event);
            }
            DispatcherCommand::CompletionReportsAcknowledged(serials) => {
                for serial in serials {
                    self.handle_report_acknowledgement(serial);
                }
            }
        }
    }

    /// Passes the timers that are due to the core, the earliest first.
    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(token) = self.timers.pop_due(now) {
            self.handle_event(Event::TimerFired { token });
        }
    }

    /// Passes an event to the core and executes its actions, then does the same for each event that the actions queued.
    fn handle_event(&mut self, event: Event) {
        self.process_event(event);
        self.handle_queued_events();
    }

    fn handle_queued_events(&mut self) {
        while let Some(event) = self.queued_events.pop_front() {
            self.process_event(event);
        }
    }

    /// Passes one event to the core and executes its actions. Events that the actions queue stay in the queue.
    fn process_event(&mut self, event: Event) {
        let Decision { now, actions } = self.call_core(event);
        for action in actions {
            self.execute_action(now, action);
        }
    }

    /// Passes one event to the core and returns its actions. A panic of the core is handled here; no action is returned
    /// then.
    fn call_core(&mut self, event: Event) -> Decision {
        let now = self.clock.now();
        let submitted_id = match &event {
            Event::MessageSubmitted(submission) => Some(submission.id),
            _ => None,
        };
        let mut actions = Vec::new();
        let forwarder = &mut self.forwarder;
        let result = catch_unwind(AssertUnwindSafe(|| {
            forwarder.handle(now, event, &mut actions);
        }));
        if result.is_err() {
            actions = Vec::new();
            self.handle_core_panic(submitted_id);
        }
        Decision { now, actions }
    }

    /// Logs a failed write to the journal. The dispatcher continues, because stopping would lose the messages that are
    /// already accepted.
    fn log_journal_error(&self, result: Result<(), JournalError>) {
        if let Err(error) = result {
            error!(self.log, "journal write failed; a restart may not recover this change of a message"; "problem" => %error);
        }
    }
}

#[cfg(test)]
mod tests;
