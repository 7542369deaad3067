//! The dispatcher: the one actor that owns the decision core, the journal and the messages in flight.
//!
//! It turns the reports of the other actors into the core's events and carries out the core's actions in order.
//! What must survive the process is journalled before it takes effect: a message before its client is answered, an
//! attempt before its bytes are sent. It refuses submissions that it can't
//! hold or route, and a delivery after the deadline does not complete a message; all other decisions are the core's.

mod actions;
mod attempts;
mod completion;
mod endpoint_list;
mod endpoints;
mod in_flight;
mod log_events;
mod recovery;
mod submissions;
mod timers;

use crate::clock::Clock;
use crate::commands::{
    DispatcherCommand, EndpointListCommand, GossipDatagram, PendingCompletionReport,
    SubmissionRequest,
};
use crate::endpoints::EndpointContext;
use crate::journal::{Journal, JournalError, StoredMessage};
use endpoint_list::ListedEndpoint;
use endpoints::EndpointActors;
use in_flight::InFlightMessages;
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

/// How long after the start the messages of a previous run wait for an endpoint list, where none is known.
const RECOVERY_LIST_TIMEOUT: Duration = Duration::from_millis(1000);

/// The actor around the decision core.
pub struct Dispatcher {
    clock: Clock,
    config: Config,
    seed: u64,
    forwarder: Forwarder,
    core_state: CoreState,
    /// How often the core was replaced in this process. Panics while it is being replaced don't count.
    core_replacements: u64,
    journal: Journal,
    list_watch: mpsc::Sender<EndpointListCommand>,
    completion_reports: mpsc::UnboundedSender<PendingCompletionReport>,
    gossip: mpsc::Sender<GossipDatagram>,
    log: Logger,
    /// Whether clients may submit. See [`ActorHandles::ready`].
    ready: Arc<AtomicBool>,
    in_flight: InFlightMessages,
    /// The destinations that any endpoint list has named. Its size is bounded by the number of destinations.
    known_destinations: BTreeSet<DestinationId>,
    /// The endpoints of the latest list, and removed ones that still have an attempt out.
    listed_endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    endpoint_actors: EndpointActors,
    timers: Timers,
    /// Events that arose while actions were carried out. Empty between two commands.
    queued_events: VecDeque<Event>,
    /// The messages of a previous run, until an endpoint list is known or [`RECOVERY_LIST_TIMEOUT`] is over.
    recovered_messages: Option<Vec<StoredMessage>>,
    /// The completion reports that the platform has not acknowledged, by serial number. The value is the id of the
    /// message where its key is ordered: the core then waits for the acknowledgement.
    pending_reports: BTreeMap<u64, Option<MessageId>>,
}

/// Whether a panic of the core may replace it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CoreState {
    /// A panic replaces the core by a new one.
    Running,
    /// A new core is being given the messages of the journal. A message that makes it panic fails instead.
    Replacing,
}

/// What the core decided on one event.
struct Decision {
    /// When the event was handled, in µs.
    now: Micros,
    actions: Vec<Action>,
}

/// The other actors that the dispatcher sends to.
pub struct ActorHandles {
    /// What all endpoint actors share.
    pub context: Arc<EndpointContext>,
    /// The mailbox of the endpoint-list watch.
    pub list_watch: mpsc::Sender<EndpointListCommand>,
    /// The mailbox of the completion reports.
    pub completion_reports: mpsc::UnboundedSender<PendingCompletionReport>,
    /// The mailbox of the gossip socket.
    pub gossip: mpsc::Sender<GossipDatagram>,
    /// Whether clients may submit. Set once the messages of a previous run are submitted again (an endpoint list is known,
    /// or 1 s after the start, or at once where a panic replaces the core). Never cleared, also not at shutdown.
    pub ready: Arc<AtomicBool>,
}

impl Dispatcher {
    /// A dispatcher without messages. `seed` is that of the core's random numbers.
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
            in_flight: InFlightMessages::default(),
            known_destinations: BTreeSet::new(),
            listed_endpoints: BTreeMap::new(),
            timers: Timers::default(),
            queued_events: VecDeque::new(),
            recovered_messages: None,
            pending_reports: BTreeMap::new(),
        }
    }

    /// Runs until the shutdown has begun and neither attempts nor completion reports are in flight, or until `exit` is
    /// ready.
    pub async fn run(
        mut self,
        mut commands: mpsc::Receiver<DispatcherCommand>,
        mut submissions: mpsc::Receiver<SubmissionRequest>,
        exit: impl Future<Output = ()>,
    ) {
        tokio::pin!(exit);
        let mut shutting_down = false;
        let recovery_list_deadline = Instant::now() + RECOVERY_LIST_TIMEOUT;
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
                () = tokio::time::sleep_until(recovery_list_deadline), if self.recovered_messages.is_some() => {
                    self.submit_recovered_messages();
                }
                Some(submission) = submissions.recv() => self.handle_submission(submission),
            }
        }
    }

    /// Whether neither an attempt nor a completion report is in flight.
    fn has_nothing_in_flight(&self) -> bool {
        !self.in_flight.has_outstanding_attempts() && self.pending_reports.is_empty()
    }

    /// Handles one message of another actor.
    pub fn handle_command(&mut self, command: DispatcherCommand) {
        match command {
            DispatcherCommand::Event(Event::EndpointListUpdated(update)) => {
                self.update_endpoint_list(update);
            }
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

    /// Handles the timers that are due, the earliest first.
    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(token) = self.timers.pop_due(now) {
            self.handle_event(Event::TimerFired { token });
        }
    }

    /// Gives the core an event, and then those that carrying out its actions has queued.
    fn handle_event(&mut self, event: Event) {
        self.process_event(event);
        self.handle_queued_events();
    }

    fn handle_queued_events(&mut self) {
        while let Some(event) = self.queued_events.pop_front() {
            self.process_event(event);
        }
    }

    /// Gives the core one event and carries out its actions.
    fn process_event(&mut self, event: Event) {
        let Decision { now, actions } = self.call_core(event);
        for action in actions {
            self.execute_action(now, action);
        }
    }

    /// Gives the core one event. There are no actions where the core panicked.
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

    /// The dispatcher goes on after a failed write. Stopping would lose the messages that are already accepted.
    fn log_journal_error(&self, result: Result<(), JournalError>) {
        if let Err(error) = result {
            error!(self.log, "journal write failed"; "problem" => %error);
        }
    }
}

/// Sleeps until a deadline; for ever where there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
