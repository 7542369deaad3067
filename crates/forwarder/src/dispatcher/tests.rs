//! Tests of the dispatcher with a real journal and endpoint actors, against a listener that never responds.

use super::submissions::{core_submission, stored_message};
use super::*;
use crate::clock::micros;
use crate::commands::{EndpointCommand, SubmissionAnswer};
use crate::journal::StoredNames;
use crate::protocol::{Ending, SubmittedMessage};
use opalpulley::{
    AttemptHistory, DeliveryClassId, EndpointEntry, EndpointKindId, EndpointListUpdate,
    EndpointStatus, Outcome, TenantId, ZoneId,
};
use opalpulley_config::ConnectionConfig;
use std::sync::atomic::Ordering;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Semaphore};

fn dispatcher_config(dedup_window: Micros) -> (Config, opalpulley_config::Names, ConnectionConfig) {
    let text = include_str!("../../../../examples/papers.json");
    let startup: serde_json::Value = serde_json::from_str(text).expect("the example is JSON");
    let mut settings = startup["settings"].clone();
    settings["Profiles"][0]["DedupWindowUs"] = dedup_window.into();
    for effect in ["free", "single_shot"] {
        let mut class = settings["Profiles"][0].clone();
        class["Effect"] = effect.into();
        settings["Profiles"]
            .as_array_mut()
            .expect("the example has profiles")
            .push(class);
    }
    let startup = opalpulley_config::parse_settings(settings.to_string().as_bytes())
        .expect("the configuration is valid");
    (startup.config, startup.names, startup.connections)
}

/// A dispatcher, the receivers of its reports and commands, and the listener that acts as its endpoint.
struct Fixture {
    dispatcher: Dispatcher,
    pending_reports: mpsc::UnboundedReceiver<PendingCompletionReport>,
    commands: mpsc::Receiver<DispatcherCommand>,
    listener: TcpListener,
    _dir: TempDir,
}

/// Creates a dispatcher with one endpoint that accepts connections and sends no response.
async fn fixture() -> Fixture {
    fixture_with_dedup_window(15_000_000).await
}

/// Creates the same fixture with the given deduplication window, in µs.
async fn fixture_with_dedup_window(dedup_window: Micros) -> Fixture {
    let mut fixture = fixture_without_list(dedup_window).await;
    let list = EndpointListUpdate::Cached(vec![fixture.entry()]);
    fixture
        .dispatcher
        .handle_command(DispatcherCommand::Event(Event::EndpointListUpdated(list)));
    fixture.dispatcher.restore_previous_run(Vec::new());
    fixture
}

/// Creates a dispatcher that has neither a list nor the messages of a previous run.
async fn fixture_without_list(dedup_window: Micros) -> Fixture {
    let (config, names, connections) = dispatcher_config(dedup_window);
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let dir = TempDir::new().expect("a temporary directory is created");
    let stored_names = StoredNames::new(&names, &config);
    let (journal, _) =
        Journal::open(dir.path(), 1_000_000, stored_names).expect("the journal opens");
    let log = Logger::root(slog::Discard, slog::o!());
    let (dispatcher, commands) = mpsc::channel(64);
    let (list_watch, _) = mpsc::channel(1);
    let (gossip, _) = mpsc::channel(1);
    let (completion_reports, pending_reports) = mpsc::unbounded_channel();
    let context = Arc::new(EndpointContext {
        config: connections,
        names,
        body_permits: Arc::new(Semaphore::new(4)),
        dispatcher,
        log: log.clone(),
    });
    let handles = ActorHandles {
        context,
        list_watch,
        completion_reports,
        gossip,
        ready: Arc::default(),
    };
    Fixture {
        dispatcher: Dispatcher::new(config, 1, Clock::start(), journal, handles, log),
        pending_reports,
        commands,
        listener,
        _dir: dir,
    }
}

impl Fixture {
    /// Returns the entry of the listener in the endpoint list.
    fn entry(&self) -> EndpointEntry {
        let address = self.listener.local_addr();
        EndpointEntry {
            endpoint: EndpointId {
                address: [127, 0, 0, 1],
                port: address.expect("the listener has an address").port(),
                incarnation: 0,
            },
            zone: ZoneId(0),
            up_since: 0,
            status: EndpointStatus::Ready,
            rate: 50.0,
            destination: DestinationId(7),
            kind: EndpointKindId(0),
        }
    }

    fn submit(&mut self, id: &str, class: u16) -> oneshot::Receiver<SubmissionAnswer> {
        let (answer_sender, answered) = oneshot::channel();
        let received_at = tokio::time::Instant::now();
        self.dispatcher.handle_submission(SubmissionRequest {
            submitted: submitted(id, class),
            received_at,
            answer_sender,
        });
        answered
    }

    /// Runs the dispatcher and its endpoint actors for a duration in ms.
    async fn run_for(&mut self, duration_ms: u64) {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(duration_ms);
        while tokio::time::Instant::now() < deadline {
            self.dispatcher.fire_timers();
            while let Ok(command) = self.commands.try_recv() {
                self.dispatcher.handle_command(command);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Accepts the endpoint's new connections and returns their number. Each carries one attempt.
    async fn count_attempts(&self) -> usize {
        let mut attempts = 0;
        while tokio::time::timeout(Duration::from_millis(20), self.listener.accept())
            .await
            .is_ok()
        {
            attempts += 1;
        }
        attempts
    }
}

fn submitted(id: &str, class: u16) -> SubmittedMessage {
    SubmittedMessage {
        request_id: id.into(),
        class: DeliveryClassId(class),
        tenant: None,
        destination: DestinationId(7),
        time_left: 20_000_000,
        idempotency_key: Some(id.into()),
        order_key: None,
        resubmitted: false,
        from_failed_forwarder: false,
        body: bytes::Bytes::from_static(b"ride"),
    }
}

/// After a panic of the core, the new core gets each unfinished message with the attempts that may have taken effect,
/// so that an at-most-once message is not sent again and fails.
#[tokio::test]
async fn replacement_core_retries_unfinished_messages_except_at_most_once() {
    let mut fixture = fixture().await;
    for (id, class) in [("keyed", 0), ("idempotent", 1), ("at-most-once", 2)] {
        assert_eq!(
            fixture.submit(id, class).await,
            Ok(SubmissionAnswer::Accepted)
        );
    }
    fixture.run_for(100).await;
    assert_eq!(fixture.count_attempts().await, 3);
    fixture.dispatcher.replace_core();
    fixture.run_for(300).await;
    // The at-most-once message is not sent again.
    assert_eq!(fixture.count_attempts().await, 2);
    let pending_report = fixture
        .pending_reports
        .try_recv()
        .expect("a completion report is pending");
    assert_eq!(
        (pending_report.request_id.as_str(), pending_report.ending),
        ("at-most-once", Ending::Failed)
    );
    assert!(fixture.pending_reports.try_recv().is_err());
    assert_eq!(fixture.dispatcher.unfinished_messages.len(), 2);
    fixture
        .dispatcher
        .handle_command(DispatcherCommand::CompletionReportsAcknowledged(vec![
            pending_report.serial,
        ]));
    assert_eq!(fixture.dispatcher.journal.recover_messages().len(), 2);
}

/// A core that panics before an endpoint list is known is replaced, and clients may submit messages from then on.
#[tokio::test]
async fn sets_ready_when_core_panics_before_first_endpoint_list() {
    let mut fixture = fixture().await;
    fixture.dispatcher.ready.store(false, Ordering::Relaxed);
    fixture.dispatcher.recovered_messages = Some(Vec::new());
    fixture.dispatcher.replace_core();
    assert!(
        fixture.dispatcher.ready.load(Ordering::Relaxed),
        "expected the forwarder to be ready for submissions"
    );
}

/// Guards against calls by a cached list that discovery has not confirmed, also after failed polls and by a core that
/// replaces another. Messages are accepted meanwhile, and sent as soon as discovery has sent a list.
#[tokio::test]
async fn sends_nothing_by_an_unconfirmed_list_until_discovery_sends_one() {
    let mut fixture = fixture_without_list(15_000_000).await;
    let listed = vec![fixture.entry()];
    fixture.dispatcher.withhold_cached_list(&listed);
    fixture.dispatcher.restore_previous_run(Vec::new());
    assert_eq!(
        fixture.submit("early", 1).await,
        Ok(SubmissionAnswer::Accepted)
    );
    fixture.run_for(100).await;
    fixture.dispatcher.replace_core();
    fixture.run_for(100).await;
    let failed_poll = EndpointListUpdate::Failed;
    fixture.dispatcher.update_endpoint_list(failed_poll);
    fixture.run_for(100).await;
    assert_eq!(fixture.count_attempts().await, 0);
    let confirmed_list = EndpointListUpdate::Complete(listed);
    fixture.dispatcher.update_endpoint_list(confirmed_list);
    fixture.run_for(100).await;
    assert_eq!(fixture.count_attempts().await, 1);
}

/// A message is not accepted if its client disconnects while the submission waits in the mailbox.
#[tokio::test]
async fn ignores_submission_whose_client_has_disconnected() {
    let mut fixture = fixture().await;
    // This client disconnects after its answer was sent, so its message is accepted.
    drop(fixture.submit("early", 1));
    let (answer_sender, answered) = oneshot::channel();
    drop(answered);
    fixture.dispatcher.handle_submission(SubmissionRequest {
        submitted: submitted("late", 1),
        received_at: tokio::time::Instant::now(),
        answer_sender,
    });
    assert_eq!(
        fixture
            .dispatcher
            .unfinished_messages
            .iter()
            .map(|(_, message)| message.submitted.request_id.as_str())
            .collect::<Vec<_>>(),
        ["early"]
    );
    assert_eq!(fixture.dispatcher.journal.recover_messages().len(), 1);
}

/// A delivered message is removed from the tables and the journal. A second outcome of its attempt has no effect.
#[tokio::test]
async fn removes_delivered_message_and_ignores_second_outcome() {
    let mut fixture = fixture().await;
    assert_eq!(
        fixture.submit("short", 1).await,
        Ok(SubmissionAnswer::Accepted)
    );
    fixture.run_for(100).await;
    let (id, _) = fixture
        .dispatcher
        .unfinished_messages
        .iter()
        .next()
        .expect("a message is unfinished");
    let endpoint = *fixture
        .dispatcher
        .listed_endpoints
        .keys()
        .next()
        .expect("an endpoint is listed");
    let ended = |outcome| Event::AttemptEnded {
        id,
        attempt_index: 0,
        endpoint,
        outcome,
        elapsed: 1_000,
        message_completed: outcome == Outcome::Delivered,
        load_metrics: Vec::new(),
    };
    fixture
        .dispatcher
        .handle_command(DispatcherCommand::Event(ended(Outcome::Delivered)));
    assert!(fixture.dispatcher.unfinished_messages.is_empty());
    assert!(fixture.dispatcher.journal.recover_messages().is_empty());
    fixture
        .dispatcher
        .handle_command(DispatcherCommand::Event(ended(Outcome::Error)));
    assert!(fixture.dispatcher.unfinished_messages.is_empty());
    assert!(fixture.dispatcher.pending_reports.is_empty());
}

/// Messages beyond the configured capacity are rejected. The tenant is passed to the core and to the journal.
#[tokio::test]
async fn rejects_submission_over_capacity_and_passes_tenant_to_core_and_journal() {
    let mut fixture = fixture().await;
    fixture.dispatcher.config.max_messages = 2;
    for (id, answer) in [
        ("one", SubmissionAnswer::Accepted),
        ("two", SubmissionAnswer::Accepted),
        ("three", SubmissionAnswer::ResourceExhausted),
    ] {
        assert_eq!(fixture.submit(id, 1).await, Ok(answer));
    }
    let with_tenant = SubmittedMessage {
        tenant: Some(TenantId(1)),
        time_left: 5,
        ..submitted("x", 1)
    };
    let submission = core_submission(MessageId(9), &with_tenant, AttemptHistory::default());
    assert_eq!((submission.tenant, submission.time_left), (TenantId(1), 5));
    assert_eq!(stored_message(&with_tenant, 7).tenant, Some(1));
}

/// The deadline is counted from the last byte of the request, however long the submission waits in the mailbox.
#[tokio::test]
async fn counts_deadline_from_receipt_of_request() {
    let mut fixture = fixture().await;
    let waiting_time = Duration::from_millis(150);
    let (answer_sender, _answered) = oneshot::channel();
    let received_at = tokio::time::Instant::now() - waiting_time;
    fixture.dispatcher.handle_submission(SubmissionRequest {
        submitted: submitted("queued", 1),
        received_at,
        answer_sender,
    });
    let times_left = fixture
        .dispatcher
        .unfinished_messages
        .iter()
        .map(|(_, message)| message.deadline - fixture.dispatcher.clock.now())
        .collect::<Vec<_>>();
    assert!(
        times_left.len() == 1 && times_left[0] <= 20_000_000 - micros(waiting_time),
        "expected one message with the waiting time deducted, got times left in µs {times_left:?}"
    );
}

impl Fixture {
    /// Restores an idempotency-keyed message as after a restart, with one outstanding attempt that started at
    /// `started_at`, in µs.
    fn restore_with_outstanding_attempt(&mut self, started_at: Micros) {
        let stored = stored_message(
            &submitted("out", 0),
            self.dispatcher.clock.now() + 20_000_000,
        );
        let serial = self
            .dispatcher
            .journal
            .record_message(stored)
            .expect("the journal has space");
        self.dispatcher
            .journal
            .record_attempt_start(serial, 0, started_at, 0)
            .expect("the journal has space");
        let messages = self.dispatcher.journal.recover_messages();
        self.dispatcher.restore_messages(messages);
    }
}

/// A retry that was decided inside the deduplication window is not sent outside it, however long the process blocks
/// before the endpoint's actor runs.
#[tokio::test]
async fn does_not_retry_outside_deduplication_window_when_actor_runs_late() {
    for (blocking_ms, expected_attempts) in [(0, 1), (200, 0)] {
        let mut fixture = fixture_with_dedup_window(1_000_000).await;
        fixture.restore_with_outstanding_attempt(fixture.dispatcher.clock.now() - 900_000);
        // Blocks all actors, because the runtime of the test has one thread.
        std::thread::sleep(Duration::from_millis(blocking_ms));
        fixture.run_for(200).await;
        assert_eq!(
            fixture.count_attempts().await,
            expected_attempts,
            "number of attempts after {blocking_ms} ms in which no actor ran"
        );
    }
}

/// A start in the future means that the clock was set back between two runs. The age of the attempt is not known then, so
/// nothing proves that a retry is inside the deduplication window.
#[tokio::test]
async fn does_not_retry_attempt_that_started_in_future() {
    let mut fixture = fixture_with_dedup_window(1_000_000).await;
    fixture.restore_with_outstanding_attempt(fixture.dispatcher.clock.now() + 5_000_000);
    fixture.run_for(200).await;
    assert_eq!(fixture.count_attempts().await, 0);
    let pending_report = fixture
        .pending_reports
        .try_recv()
        .expect("a completion report is pending");
    assert_eq!(
        (pending_report.request_id.as_str(), pending_report.ending),
        ("out", Ending::Failed)
    );
}

/// Returns a command that has no effect.
fn cancel_unknown_attempt() -> EndpointCommand {
    EndpointCommand::CancelAttempt {
        id: MessageId(u32::MAX),
        attempt_index: 0,
    }
}

/// An attempt that is dropped because the mailbox of the endpoint's actor is full has not taken effect, although the start
/// of an attempt at a repeatable message is journalled by then. The start of an attempt at an at-most-once message is not:
/// no connection was open. Both messages are sent once the mailbox has space.
#[tokio::test]
async fn retries_attempt_after_full_mailbox() {
    let mut fixture = fixture().await;
    assert_eq!(
        fixture.submit("first", 1).await,
        Ok(SubmissionAnswer::Accepted)
    );
    let endpoint = *fixture
        .dispatcher
        .listed_endpoints
        .keys()
        .next()
        .expect("an endpoint is listed");
    // The actor does not run during this loop, which does not yield.
    while fixture
        .dispatcher
        .send_endpoint_command(endpoint, cancel_unknown_attempt())
    {}
    for (id, class, attempts_started) in [("repeatable", 1, 1), ("at-most-once", 2, 0)] {
        assert_eq!(
            fixture.submit(id, class).await,
            Ok(SubmissionAnswer::Accepted)
        );
        let stored = fixture.dispatcher.journal.recover_messages();
        let message = stored
            .iter()
            .find(|message| message.request_id == id)
            .expect("the message is in the journal");
        assert_eq!(
            (message.attempts_started, message.possible_effect),
            (attempts_started, None),
            "attempts of the {id} message in the journal"
        );
    }
    fixture.run_for(500).await;
    assert!(
        fixture.pending_reports.try_recv().is_err(),
        "expected no completion report, because no message has ended"
    );
    assert_eq!(fixture.count_attempts().await, 3);
}

/// Guards against an at-most-once message that is sent without a trace in the journal, and against one that counts as sent
/// while its connection is being opened: the start of the attempt is journalled when the connection is open, and the first
/// byte is permitted after that.
#[tokio::test]
async fn journals_attempt_at_at_most_once_message_once_connected() {
    let mut fixture = fixture().await;
    let stored_attempts = |fixture: &mut Fixture| {
        let stored = fixture.dispatcher.journal.recover_messages();
        (stored[0].attempts_started, stored[0].possible_effect)
    };
    assert_eq!(
        fixture.submit("at-most-once", 2).await,
        Ok(SubmissionAnswer::Accepted)
    );
    let (id, _) = fixture
        .dispatcher
        .unfinished_messages
        .iter()
        .next()
        .expect("the message is unfinished");
    assert_eq!(stored_attempts(&mut fixture), (0, None));
    let (permit, permitted) = oneshot::channel();
    fixture.dispatcher.journal_connected_attempt(id, 0, permit);
    let (attempts_started, possible_effect) = stored_attempts(&mut fixture);
    assert_eq!(attempts_started, 1);
    assert!(
        possible_effect.is_some(),
        "a kill from now on leaves a message that may have taken effect"
    );
    assert_eq!(permitted.await, Ok(()));

    let (permit, permitted) = oneshot::channel();
    fixture.dispatcher.journal_connected_attempt(id, 1, permit);
    assert!(
        permitted.await.is_err(),
        "an attempt that is not outstanding gets no permit"
    );
}
