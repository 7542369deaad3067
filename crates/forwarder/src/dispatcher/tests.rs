use super::*;
use crate::protocol::SubmittedMessage;
use opalpulley_config::ConnectionConfig;
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

struct Rig {
    dispatcher: Dispatcher,
    pending_report: mpsc::UnboundedReceiver<PendingReport>,
    notes: mpsc::Receiver<DispatcherCommand>,
    listener: TcpListener,
    _dir: TempDir,
}

/// The dispatcher with one endpoint that takes calls and answers none.
async fn rig() -> Rig {
    rig_within(15_000_000).await
}

/// The same with another window for repeats, in µs.
async fn rig_within(window: Micros) -> Rig {
    let (config, names, connections) = config(window);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let dir = TempDir::new().expect("a folder");
    let (journal, _) = Journal::open(dir.path(), 1_000_000).expect("a journal");
    let log = Logger::root(slog::Discard, slog::o!());
    let (dispatcher, notes) = mpsc::channel(64);
    let (list, _) = mpsc::channel(1);
    let (gossip, _) = mpsc::channel(1);
    let (completion_reports, pending_report) = mpsc::unbounded_channel();
    let idle = Arc::new(Semaphore::new(4));
    let context = Arc::new(EndpointContext {
        config: connections,
        names,
        idle,
        dispatcher,
        log: log.clone(),
    });
    let handles = DispatcherHandles {
        context,
        list,
        completion_reports,
        gossip,
        up: Arc::default(),
    };
    let mut dispatcher = Dispatcher::new(config, 1, Clock::start(), journal, handles, log);
    let port = listener.local_addr().expect("its address").port();
    let listing = EndpointEntry {
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
        kind: opalpulley::EndpointKindId(0),
    };
    dispatcher.handle_message(DispatcherCommand::Event(Event::EndpointList(
        EndpointListUpdate::Cached(vec![listing]),
    )));
    dispatcher.take_over(Vec::new());
    Rig {
        dispatcher,
        pending_report,
        notes,
        listener,
        _dir: dir,
    }
}

impl Rig {
    fn submit(&mut self, id: &str, class: u16) -> oneshot::Receiver<SubmissionAnswer> {
        let (answer, answered) = oneshot::channel();
        let received_at = tokio::time::Instant::now();
        self.dispatcher.submit(SubmissionRequest {
            submitted: submitted(id, class),
            received_at,
            answer,
        });
        answered
    }

    /// Lets time pass for the dispatcher and its endpoints.
    async fn pass(&mut self, ms: u64) {
        let until = tokio::time::Instant::now() + Duration::from_millis(ms);
        while tokio::time::Instant::now() < until {
            self.dispatcher.ring();
            while let Ok(note) = self.notes.try_recv() {
                self.dispatcher.handle_message(note);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn calls(&self) -> usize {
        let mut calls = 0;
        while tokio::time::timeout(Duration::from_millis(20), self.listener.accept())
            .await
            .is_ok()
        {
            calls += 1;
        }
        calls
    }
}

fn submitted(id: &str, class: u16) -> SubmittedMessage {
    SubmittedMessage {
        request_id: id.into(),
        class: DeliveryClassId(class),
        tenant: None,
        destination: DestinationId(7),
        left: 20_000_000,
        idempotency_key: Some(id.into()),
        key: None,
        again: false,
        orphan: false,
        body: bytes::Bytes::from_static(b"ride"),
    }
}

/// Guards rules 1 and 2 where the core panics: the new one gets each open message with what its attempts may have done.
#[tokio::test]
async fn a_new_core_takes_over_what_is_open() {
    let mut rig = rig().await;
    for (id, class) in [("marked", 0), ("free", 1), ("binding", 2)] {
        assert_eq!(rig.submit(id, class).await, Ok(SubmissionAnswer::Accepted));
    }
    rig.pass(100).await;
    assert_eq!(rig.calls().await, 3);
    rig.dispatcher.begin_anew();
    rig.pass(300).await;
    assert_eq!(rig.calls().await, 2); // not the binding one
    let pending_report = rig.pending_report.try_recv().expect("an end");
    assert_eq!(
        (pending_report.request_id.as_str(), pending_report.ending),
        ("binding", Ending::Failed)
    );
    assert!(rig.pending_report.try_recv().is_err());
    assert_eq!(rig.dispatcher.open.len(), 2);
    rig.dispatcher
        .handle_message(DispatcherCommand::ReportsAcknowledged(vec![
            pending_report.serial,
        ]));
    assert_eq!(rig.dispatcher.journal.after_restart().len(), 2);
}

/// Guards the start where the core panics before a list is in: the process is up with the messages of the journal, not never.
#[tokio::test]
async fn a_panic_before_the_list_is_in_leaves_the_process_up() {
    let mut rig = rig().await;
    rig.dispatcher.up.store(false, Ordering::Relaxed);
    rig.dispatcher.earlier = Some(Vec::new());
    rig.dispatcher.begin_anew();
    assert!(rig.dispatcher.up.load(Ordering::Relaxed));
}

/// Guards against work for nobody: a client that leaves before its answer withdraws the message.
#[tokio::test]
async fn a_client_that_leaves_withdraws_its_message() {
    let mut rig = rig().await;
    drop(rig.submit("early", 1)); // the answer was in before it left: taken on
    let (answer, answered) = oneshot::channel();
    drop(answered);
    rig.dispatcher.submit(SubmissionRequest {
        submitted: submitted("late", 1),
        received_at: tokio::time::Instant::now(),
        answer,
    });
    assert_eq!(
        rig.dispatcher
            .open
            .values()
            .map(|o| o.submitted.request_id.as_str())
            .collect::<Vec<_>>(),
        ["early"]
    );
    assert_eq!(rig.dispatcher.journal.after_restart().len(), 1);
}

/// Guards memory and rule 1: tables follow what is open, and an end owed stays until it is heard.
#[tokio::test]
async fn nothing_is_kept_of_messages_that_are_over() {
    let mut rig = rig().await;
    assert_eq!(rig.submit("short", 1).await, Ok(SubmissionAnswer::Accepted));
    rig.pass(100).await;
    let id = *rig.dispatcher.open.keys().next().expect("it is open");
    let endpoint = *rig.dispatcher.listed.keys().next().expect("a target");
    let ended = |outcome| Event::AttemptEnded {
        id,
        attempt: 0,
        endpoint,
        outcome,
        took: 1_000,
        completed: outcome == Outcome::Delivered,
        report: Vec::new(),
    };
    rig.dispatcher
        .handle_message(DispatcherCommand::Event(ended(Outcome::Delivered)));
    assert!(rig.dispatcher.open.is_empty() && rig.dispatcher.ids.is_empty());
    assert!(rig.dispatcher.journal.after_restart().is_empty());
    // A second outcome of the same attempt changes nothing.
    rig.dispatcher
        .handle_message(DispatcherCommand::Event(ended(Outcome::Error)));
    assert!(rig.dispatcher.open.is_empty() && rig.dispatcher.pending_reports.is_empty());
}

/// Guards the room that the configuration gives: what comes beyond it is refused at the door, and the tenant goes along.
#[tokio::test]
async fn the_room_of_the_configuration_is_kept() {
    let mut rig = rig().await;
    rig.dispatcher.config.message_capacity = 2;
    for (id, answer) in [
        ("one", SubmissionAnswer::Accepted),
        ("two", SubmissionAnswer::Accepted),
        ("three", SubmissionAnswer::NoCapacity),
    ] {
        assert_eq!(rig.submit(id, 1).await, Ok(answer));
    }
    let tenant = SubmittedMessage {
        tenant: Some(TenantId(1)),
        left: 5,
        ..submitted("x", 1)
    };
    let arrival = arrival(MessageId(9), &tenant, AttemptHistory::default());
    assert_eq!((arrival.tenant, arrival.time_left), (TenantId(1), 5));
    assert_eq!(super::kept(&tenant, 7).tenant, Some(1));
}

/// Guards rule 1 where the inbox is long: a message's time runs from its last byte, and an answer after it delivers nothing.
#[tokio::test]
async fn a_messages_time_runs_from_its_last_byte() {
    let mut rig = rig().await;
    let waited = Duration::from_millis(150);
    let (answer, _answered) = oneshot::channel();
    let received_at = tokio::time::Instant::now() - waited;
    rig.dispatcher.submit(SubmissionRequest {
        submitted: submitted("queued", 1),
        received_at,
        answer,
    });
    let left = rig
        .dispatcher
        .open
        .values()
        .map(|o| o.expires - rig.dispatcher.clock.now())
        .collect::<Vec<_>>();
    assert!(
        left.len() == 1 && left[0] <= 20_000_000 - micros(waited),
        "{left:?}"
    );
}

impl Rig {
    /// Takes over a message of the profile with a window, as a restart finds it: with one call out that began then.
    fn take_over_with_call_out(&mut self, began: Micros) {
        let kept = super::kept(
            &submitted("out", 0),
            self.dispatcher.clock.now() + 20_000_000,
        );
        let serial = self.dispatcher.journal.accept(kept).expect("it is kept");
        self.dispatcher
            .journal
            .attempt_started(serial, 0, began, 0)
            .expect("it is kept");
        let messages = self.dispatcher.journal.after_restart();
        self.dispatcher.restore(messages);
    }
}

/// Guards rule 2 over a restart with a short window: a repeat that was decided inside it is not begun outside, however long
/// the process takes with the rest of what it found before the endpoint's actor has its turn.
#[tokio::test]
async fn a_repeat_whose_endpoint_reads_late_is_not_begun_outside_the_window() {
    for (held_up, calls) in [(0, 1), (200, 0)] {
        let mut rig = rig_within(1_000_000).await;
        rig.take_over_with_call_out(rig.dispatcher.clock.now() - 900_000);
        std::thread::sleep(Duration::from_millis(held_up)); // nobody else runs meanwhile
        rig.pass(200).await;
        assert_eq!(rig.calls().await, calls, "held up for {held_up} ms");
    }
}

/// Guards rule 2 against a clock that was set back between two processes: when the call out began is not known then, and
/// nothing proves that a repeat is inside the window.
#[tokio::test]
async fn a_call_that_began_in_the_future_is_not_repeated() {
    let mut rig = rig_within(1_000_000).await;
    rig.take_over_with_call_out(rig.dispatcher.clock.now() + 5_000_000);
    rig.pass(200).await;
    assert_eq!(rig.calls().await, 0);
    let pending_report = rig.pending_report.try_recv().expect("an end");
    assert_eq!(
        (pending_report.request_id.as_str(), pending_report.ending),
        ("out", Ending::Failed)
    );
}

/// Guards rule 2 and a message's tries where an endpoint's mailbox is full: what could not be handed over has not run, whatever
/// the journal was told before, and it goes once there is room.
#[tokio::test]
async fn a_message_that_finds_its_endpoints_mailbox_full_has_not_run_and_goes_later() {
    let mut rig = rig().await;
    assert_eq!(rig.submit("first", 1).await, Ok(SubmissionAnswer::Accepted));
    let endpoint = *rig.dispatcher.listed.keys().next().expect("a target");
    // Nobody reads it meanwhile.
    while rig.dispatcher.post(endpoint, EndpointCommand::CloseIdle) {}
    assert_eq!(
        rig.submit("binding", 2).await,
        Ok(SubmissionAnswer::Accepted)
    );
    let kept = rig.dispatcher.journal.after_restart();
    let binding = kept
        .iter()
        .find(|k| k.request_id == "binding")
        .expect("it is kept");
    assert_eq!((binding.attempts, binding.exposed), (1, None));
    rig.pass(500).await;
    assert!(rig.pending_report.try_recv().is_err(), "its end is told");
    assert_eq!(rig.calls().await, 2);
}
