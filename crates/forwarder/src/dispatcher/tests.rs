use super::submissions::{stored_message, submission};
use super::*;
use crate::clock::micros;
use crate::commands::{EndpointCommand, SubmissionAnswer};
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

fn config(window: Micros) -> (Config, opalpulley_config::Names, ConnectionConfig) {
    let text = include_str!("../../../../examples/papers.json");
    let startup: serde_json::Value = serde_json::from_str(text).expect("the example");
    let mut settings = startup["settings"].clone();
    settings["Profiles"][0]["DedupWindowUs"] = window.into();
    for effect in ["free", "single_shot"] {
        let mut class = settings["Profiles"][0].clone();
        class["Effect"] = effect.into();
        settings["Profiles"]
            .as_array_mut()
            .expect("profiles")
            .push(class);
    }
    let start =
        opalpulley_config::read(settings.to_string().as_bytes()).expect("a good configuration");
    (start.config, start.names, start.connections)
}

struct Fixture {
    dispatcher: Dispatcher,
    pending_reports: mpsc::UnboundedReceiver<PendingCompletionReport>,
    commands: mpsc::Receiver<DispatcherCommand>,
    listener: TcpListener,
    _dir: TempDir,
}

/// A dispatcher with one endpoint that accepts connections and answers nothing.
async fn fixture() -> Fixture {
    fixture_with_window(15_000_000).await
}

/// The same with another deduplication window, in µs.
async fn fixture_with_window(window: Micros) -> Fixture {
    let (config, names, connections) = config(window);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let dir = TempDir::new().expect("a folder");
    let (journal, _) = Journal::open(dir.path(), 1_000_000).expect("a journal");
    let log = Logger::root(slog::Discard, slog::o!());
    let (dispatcher, commands) = mpsc::channel(64);
    let (list, _) = mpsc::channel(1);
    let (gossip, _) = mpsc::channel(1);
    let (completion_reports, pending_reports) = mpsc::unbounded_channel();
    let idle = Arc::new(Semaphore::new(4));
    let context = Arc::new(EndpointContext {
        config: connections,
        names,
        idle_permits: idle,
        dispatcher,
        log: log.clone(),
    });
    let handles = DispatcherHandles {
        context,
        list,
        completion_reports,
        gossip,
        ready: Arc::default(),
    };
    let mut dispatcher = Dispatcher::new(config, 1, Clock::start(), journal, handles, log);
    let port = listener.local_addr().expect("its address").port();
    let entry = EndpointEntry {
        endpoint: EndpointId {
            address: [127, 0, 0, 1],
            port,
            incarnation: 0,
        },
        zone: ZoneId(0),
        up_since: 0,
        status: EndpointStatus::Ready,
        rate: 50.0,
        destination: DestinationId(7),
        kind: EndpointKindId(0),
    };
    dispatcher.handle_command(DispatcherCommand::Event(Event::EndpointListUpdated(
        EndpointListUpdate::Cached(vec![entry]),
    )));
    dispatcher.take_over(Vec::new());
    Fixture {
        dispatcher,
        pending_reports,
        commands,
        listener,
        _dir: dir,
    }
}

impl Fixture {
    fn submit(&mut self, id: &str, class: u16) -> oneshot::Receiver<SubmissionAnswer> {
        let (answer_sender, answered) = oneshot::channel();
        let received_at = tokio::time::Instant::now();
        self.dispatcher.submit(SubmissionRequest {
            submitted: submitted(id, class),
            received_at,
            answer_sender,
        });
        answered
    }

    /// Runs the dispatcher and its endpoints for some milliseconds.
    async fn run_for(&mut self, ms: u64) {
        let until = tokio::time::Instant::now() + Duration::from_millis(ms);
        while tokio::time::Instant::now() < until {
            self.dispatcher.fire_timers();
            while let Ok(command) = self.commands.try_recv() {
                self.dispatcher.handle_command(command);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// How many new connections the endpoint has got. Each carries one attempt.
    async fn attempts(&self) -> usize {
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

/// After a panic of the core the new one gets each message in flight, with the attempts that may have taken effect: an
/// at-most-once message is not sent again and fails.
#[tokio::test]
async fn a_replaced_core_gets_the_messages_in_flight() {
    let mut fixture = fixture().await;
    for (id, class) in [("keyed", 0), ("idempotent", 1), ("at-most-once", 2)] {
        assert_eq!(
            fixture.submit(id, class).await,
            Ok(SubmissionAnswer::Accepted)
        );
    }
    fixture.run_for(100).await;
    assert_eq!(fixture.attempts().await, 3);
    fixture.dispatcher.replace_core();
    fixture.run_for(300).await;
    assert_eq!(fixture.attempts().await, 2); // not the at-most-once message
    let pending_report = fixture.pending_reports.try_recv().expect("an end");
    assert_eq!(
        (pending_report.request_id.as_str(), pending_report.ending),
        ("at-most-once", Ending::Failed)
    );
    assert!(fixture.pending_reports.try_recv().is_err());
    assert_eq!(fixture.dispatcher.in_flight.len(), 2);
    fixture
        .dispatcher
        .handle_command(DispatcherCommand::CompletionReportsAcknowledged(vec![
            pending_report.serial,
        ]));
    assert_eq!(fixture.dispatcher.journal.recover_messages().len(), 2);
}

/// A core that panics before an endpoint list is known is replaced, and clients may submit from then on.
#[tokio::test]
async fn a_panic_before_the_first_list_makes_the_process_ready() {
    let mut fixture = fixture().await;
    fixture.dispatcher.ready.store(false, Ordering::Relaxed);
    fixture.dispatcher.recovered_messages = Some(Vec::new());
    fixture.dispatcher.replace_core();
    assert!(fixture.dispatcher.ready.load(Ordering::Relaxed));
}

/// A message is not accepted where its client has left before its turn.
#[tokio::test]
async fn a_client_that_has_left_submits_nothing() {
    let mut fixture = fixture().await;
    drop(fixture.submit("early", 1)); // its answer was sent before it time_left: accepted
    let (answer_sender, answered) = oneshot::channel();
    drop(answered);
    fixture.dispatcher.submit(SubmissionRequest {
        submitted: submitted("late", 1),
        received_at: tokio::time::Instant::now(),
        answer_sender,
    });
    assert_eq!(
        fixture
            .dispatcher
            .in_flight
            .iter()
            .map(|(_, message)| message.submitted.request_id.as_str())
            .collect::<Vec<_>>(),
        ["early"]
    );
    assert_eq!(fixture.dispatcher.journal.recover_messages().len(), 1);
}

/// A delivered message leaves the tables and the journal. A second outcome of its attempt changes nothing.
#[tokio::test]
async fn nothing_is_kept_of_messages_that_are_over() {
    let mut fixture = fixture().await;
    assert_eq!(
        fixture.submit("short", 1).await,
        Ok(SubmissionAnswer::Accepted)
    );
    fixture.run_for(100).await;
    let (id, _) = fixture.dispatcher.in_flight.iter().next().expect("one");
    let endpoint = *fixture
        .dispatcher
        .listed
        .keys()
        .next()
        .expect("an endpoint");
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
    assert!(fixture.dispatcher.in_flight.is_empty());
    assert!(fixture.dispatcher.journal.recover_messages().is_empty());
    fixture
        .dispatcher
        .handle_command(DispatcherCommand::Event(ended(Outcome::Error)));
    assert!(fixture.dispatcher.in_flight.is_empty());
    assert!(fixture.dispatcher.pending_reports.is_empty());
}

/// Messages beyond the configured capacity are rejected. The tenant reaches the core and the journal.
#[tokio::test]
async fn messages_beyond_the_configured_capacity_are_rejected() {
    let mut fixture = fixture().await;
    fixture.dispatcher.config.max_messages = 2;
    for (id, answer) in [
        ("one", SubmissionAnswer::Accepted),
        ("two", SubmissionAnswer::Accepted),
        ("three", SubmissionAnswer::ResourceExhausted),
    ] {
        assert_eq!(fixture.submit(id, 1).await, Ok(answer));
    }
    let tenant = SubmittedMessage {
        tenant: Some(TenantId(1)),
        time_left: 5,
        ..submitted("x", 1)
    };
    let submission = submission(MessageId(9), &tenant, AttemptHistory::default());
    assert_eq!((submission.tenant, submission.time_left), (TenantId(1), 5));
    assert_eq!(stored_message(&tenant, 7).tenant, Some(1));
}

/// The deadline is counted from the last byte of the request, however long it waited in the mailbox.
#[tokio::test]
async fn a_deadline_counts_from_the_last_byte_of_the_request() {
    let mut fixture = fixture().await;
    let waited = Duration::from_millis(150);
    let (answer_sender, _answered) = oneshot::channel();
    let received_at = tokio::time::Instant::now() - waited;
    fixture.dispatcher.submit(SubmissionRequest {
        submitted: submitted("queued", 1),
        received_at,
        answer_sender,
    });
    let left = fixture
        .dispatcher
        .in_flight
        .iter()
        .map(|(_, message)| message.deadline - fixture.dispatcher.clock.now())
        .collect::<Vec<_>>();
    assert!(
        left.len() == 1 && left[0] <= 20_000_000 - micros(waited),
        "{left:?}"
    );
}

impl Fixture {
    /// Restores an idempotency-keyed message as a restart finds it: with one attempt out that started then.
    fn restore_with_attempt_out(&mut self, started_at: Micros) {
        let stored = stored_message(
            &submitted("out", 0),
            self.dispatcher.clock.now() + 20_000_000,
        );
        let serial = self
            .dispatcher
            .journal
            .record_message(stored)
            .expect("room");
        self.dispatcher
            .journal
            .record_attempt_start(serial, 0, started_at, 0)
            .expect("room");
        let messages = self.dispatcher.journal.recover_messages();
        self.dispatcher.restore(messages);
    }
}

/// A repeat that was decided inside the deduplication window is not sent outside it, however long the process blocks
/// before the endpoint's actor runs.
#[tokio::test]
async fn a_repeat_whose_endpoint_actor_runs_late_is_not_sent_outside_the_window() {
    for (blocked_ms, attempts) in [(0, 1), (200, 0)] {
        let mut fixture = fixture_with_window(1_000_000).await;
        fixture.restore_with_attempt_out(fixture.dispatcher.clock.now() - 900_000);
        std::thread::sleep(Duration::from_millis(blocked_ms)); // blocks all actors
        fixture.run_for(200).await;
        assert_eq!(
            fixture.attempts().await,
            attempts,
            "blocked for {blocked_ms} ms"
        );
    }
}

/// A start in the future means that the clock was set back between two runs. How long ago the attempt began is not
/// known then, so nothing proves that a repeat is inside the deduplication window.
#[tokio::test]
async fn an_attempt_that_started_in_the_future_is_not_repeated() {
    let mut fixture = fixture_with_window(1_000_000).await;
    fixture.restore_with_attempt_out(fixture.dispatcher.clock.now() + 5_000_000);
    fixture.run_for(200).await;
    assert_eq!(fixture.attempts().await, 0);
    let pending_report = fixture.pending_reports.try_recv().expect("an end");
    assert_eq!(
        (pending_report.request_id.as_str(), pending_report.ending),
        ("out", Ending::Failed)
    );
}

/// An attempt that finds the mailbox of its endpoint full has not taken effect, although its start is journalled. The
/// message is sent once there is room.
#[tokio::test]
async fn an_attempt_that_finds_the_mailbox_full_has_no_effect_and_is_repeated() {
    let mut fixture = fixture().await;
    assert_eq!(
        fixture.submit("first", 1).await,
        Ok(SubmissionAnswer::Accepted)
    );
    let endpoint = *fixture
        .dispatcher
        .listed
        .keys()
        .next()
        .expect("an endpoint");
    // The actor does not run meanwhile.
    while fixture
        .dispatcher
        .post(endpoint, EndpointCommand::CloseIdleConnections)
    {}
    assert_eq!(
        fixture.submit("at-most-once", 2).await,
        Ok(SubmissionAnswer::Accepted)
    );
    let stored = fixture.dispatcher.journal.recover_messages();
    let message = stored
        .iter()
        .find(|message| message.request_id == "at-most-once")
        .expect("it is stored");
    assert_eq!(
        (message.attempts_started, message.possible_effect),
        (1, None)
    );
    fixture.run_for(500).await;
    assert!(
        fixture.pending_reports.try_recv().is_err(),
        "a report of its end"
    );
    assert_eq!(fixture.attempts().await, 2);
}
