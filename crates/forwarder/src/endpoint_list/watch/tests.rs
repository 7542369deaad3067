//! Tests of the endpoint list actor with agents that stop responding, or that send long or unreadable lists.

use super::*;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

fn names() -> Names {
    Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: vec!["a".into()],
        endpoint_kinds: vec!["m".into()],
        load_metrics: Vec::new(),
    }
}

fn known_list_text() -> String {
    let text = r#"{"revision":7,"complete":true,"members":[
        {"id":"x","host_port":"10.0.0.1:1","locality":"a","flavor":"m","cell":3,"phase":"Ready","size":1.0}]}"#;
    text.to_owned()
}

fn known_list() -> EndpointListDocument {
    serde_json::from_str(&known_list_text()).expect("the list is valid")
}

/// A running actor that polls an agent on a loopback socket.
struct TestFixture {
    commands: mpsc::Sender<EndpointListCommand>,
    events: mpsc::Receiver<DispatcherCommand>,
    /// The address of the agent. The actor needs it until it ends.
    _agent_address: watch::Sender<AgentAddress>,
}

impl TestFixture {
    fn start(
        agent: SocketAddr,
        table: EndpointTable,
        must_be_polled: bool,
        log: Logger,
    ) -> TestFixture {
        let (address_sender, agent_address) = watch::channel(AgentAddress::set_now(agent));
        let (commands, command_receiver) = mpsc::channel(4);
        let (dispatcher, events) = mpsc::channel(8);
        let list_watch = EndpointListWatch {
            platform: PlatformClient::new(agent),
            agent_address,
            names: names(),
            table,
            must_be_polled,
            dispatcher,
            log,
        };
        tokio::spawn(list_watch.run(command_receiver));
        TestFixture {
            commands,
            events,
            _agent_address: address_sender,
        }
    }

    async fn send(&self, command: EndpointListCommand) {
        self.commands
            .send(command)
            .await
            .expect("the actor is running");
    }

    /// Waits for the next event of the core.
    async fn next_event(&mut self) -> Event {
        match self.events.recv().await {
            Some(DispatcherCommand::Event(event)) => event,
            _ => panic!("expected an event of the core"),
        }
    }
}

fn discard_log() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Opens the listener of an agent, and returns it with its address.
async fn bind_agent() -> (TcpListener, SocketAddr) {
    let agent = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener is bound");
    let address = agent.local_addr().expect("the listener has an address");
    (agent, address)
}

/// Writes a response with this body.
async fn respond(stream: &mut TcpStream, body: &str) {
    write_response(stream, body)
        .await
        .expect("the response is written");
}

/// Writes a response with this body, unless the actor has closed the connection.
async fn respond_if_open(stream: &mut TcpStream, body: &str) {
    let _ = write_response(stream, body).await;
}

async fn write_response(stream: &mut TcpStream, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(response.as_bytes()).await
}

/// Starts an actor that polls an agent and has a cached list, and lets it poll. Returns the agent, the actor and the
/// connection of the first poll, whose request has been read.
async fn start_polling_with_cached_list() -> (TcpListener, TestFixture, TcpStream, String) {
    let (agent, address) = bind_agent().await;
    let mut table = EndpointTable::default();
    table.restore(known_list(), &names());
    let fixture = TestFixture::start(address, table, true, discard_log());
    fixture.send(EndpointListCommand::StartWatch).await;
    let (stream, request) = next_poll(&agent).await;
    (agent, fixture, stream, request)
}

/// Accepts the next poll and reads its request.
async fn next_poll(agent: &TcpListener) -> (TcpStream, String) {
    let accepted = tokio::time::timeout(Duration::from_secs(5), agent.accept()).await;
    let (mut stream, _) = accepted
        .expect("the actor polls in time")
        .expect("the connection is accepted");
    let request = read_request_head(&mut stream).await;
    (stream, request)
}

/// If discovery must be polled and a list is known, the first poll is a watch from the revision of this list. It is sent as
/// soon as the core requests it. Repeating the command does not repeat the poll.
#[tokio::test]
async fn watches_known_list_from_its_revision_with_one_poll() {
    let (agent, address) = bind_agent().await;
    let mut table = EndpointTable::default();
    table.restore(known_list(), &names());
    let fixture = TestFixture::start(address, table, true, discard_log());
    let early_poll = tokio::time::timeout(Duration::from_millis(100), agent.accept()).await;
    assert!(early_poll.is_err(), "expected no poll before the command");
    fixture.send(EndpointListCommand::StartWatch).await;
    let (mut stream, _) = agent.accept().await.expect("the actor polls");
    let request = read_request_head(&mut stream).await;
    assert!(request.starts_with("GET /discovery/hosts?index=7&"));
    // The same command is sent again while the poll is in flight: the poll continues.
    fixture.send(EndpointListCommand::StartWatch).await;
    assert!(
        tokio::time::timeout(Duration::from_millis(100), agent.accept())
            .await
            .is_err(),
        "expected no second poll"
    );
    let further_read =
        tokio::time::timeout(Duration::from_millis(50), read_request_head(&mut stream)).await;
    assert!(
        further_read.is_err(),
        "expected the poll to stay in flight unchanged"
    );
}

/// Guards against deliveries that wait for a change after each restart where discovery must be polled: the first watch is
/// answered at once, and confirms the cached list without changes. Later watches wait for changes.
#[tokio::test]
async fn unchanged_polled_list_is_confirmed_by_the_first_watch() {
    let (agent, mut fixture, mut stream, first_request) = start_polling_with_cached_list().await;
    assert!(first_request.contains("index=7&wait=0 "), "{first_request}");
    let unchanged = r#"{"revision":7,"complete":false,"members":[]}"#;
    respond(&mut stream, unchanged).await;
    let entries = EndpointTable::default().restore(known_list(), &names());
    let confirmed = Event::EndpointListUpdated(EndpointListUpdate::Complete(entries));
    assert_eq!(fixture.next_event().await, confirmed);
    let (_stream, second_request) = next_poll(&agent).await;
    assert!(
        second_request.contains("index=7&wait=2000 "),
        "{second_request}"
    );
}

/// Guards against deliveries that wait for a change after a failed poll: the next watch of an unconfirmed list is answered at
/// once as well.
#[tokio::test]
async fn watch_after_a_failed_poll_confirms_an_unchanged_polled_list() {
    let (agent, mut fixture, stream, _) = start_polling_with_cached_list().await;
    drop(stream);
    let failed = Event::EndpointListUpdated(EndpointListUpdate::Failed);
    assert_eq!(fixture.next_event().await, failed);
    fixture.send(EndpointListCommand::StartWatch).await;
    let (_stream, request) = next_poll(&agent).await;
    assert!(request.contains("index=7&wait=0 "), "{request}");
}

/// Guards against deliveries that wait for ever where discovery must be polled and counts its revisions anew: its answers
/// have a lower revision than the cached list, so that they confirm nothing, and the complete list is fetched.
#[tokio::test]
async fn fetches_the_polled_list_if_discovery_counts_its_revisions_anew() {
    let (agent, mut fixture, mut stream, _) = start_polling_with_cached_list().await;
    let lower_revision = r#"{"revision":3,"complete":false,"members":[]}"#;
    respond(&mut stream, lower_revision).await;
    let next_poll = tokio::time::timeout(Duration::from_secs(1), next_poll(&agent)).await;
    let (mut stream, request) = next_poll.expect("the next poll follows at once");
    assert!(request.starts_with("GET /discovery/hosts "), "{request}");
    let complete_list = known_list_text().replace("\"revision\":7", "\"revision\":3");
    respond(&mut stream, &complete_list).await;
    let update = fixture.next_event().await;
    assert!(matches!(
        update,
        Event::EndpointListUpdated(EndpointListUpdate::Complete(entries)) if entries.len() == 1
    ));
}

/// Guards against deliveries that wait for seconds after an outage of discovery: the agent never answers the requests that it
/// received while it was silent, and the list must be requested again soon.
#[tokio::test]
async fn repeats_the_first_fetch_while_the_agent_is_silent() {
    const SILENCE: Duration = Duration::from_millis(700);
    const LIST_WITHIN: Duration = Duration::from_millis(800);
    let (agent, address) = bind_agent().await;
    let mut fixture = TestFixture::start(address, EndpointTable::default(), false, discard_log());
    let started_at = Instant::now();
    let answered_at = tokio::spawn(async move {
        let mut silent_streams = Vec::new(); // keeps the connections open
        loop {
            let (mut stream, _) = agent.accept().await.expect("the actor polls");
            read_request_head(&mut stream).await;
            if started_at.elapsed() > SILENCE {
                respond(&mut stream, &known_list_text()).await;
                return Instant::now();
            }
            silent_streams.push(stream);
        }
    });
    let update = tokio::time::timeout(Duration::from_secs(5), fixture.events.recv()).await;
    assert!(update.is_ok_and(|update| update.is_some()));
    let answered_after = answered_at.await.expect("the agent answers") - started_at;
    assert!(
        answered_after < SILENCE + LIST_WITHIN,
        "expected a request within {LIST_WITHIN:?} of the silence of {SILENCE:?}, took {answered_after:?}"
    );
}

/// Guards against an agent whose list is never received because it takes longer to respond than the time after which the
/// request is repeated.
#[tokio::test]
async fn accepts_the_response_to_a_first_fetch_that_was_repeated() {
    assert_slow_first_response_is_accepted(EndpointTable::default()).await;
}

/// Guards against the same fault after a restart of discovery, whose revisions are below that of the cached list.
#[tokio::test]
async fn accepts_a_late_first_list_with_a_lower_revision_than_the_cached_one() {
    let cached_list = EndpointListDocument {
        revision: 90,
        ..known_list()
    };
    let mut table = EndpointTable::default();
    table.restore(cached_list, &names());
    assert_slow_first_response_is_accepted(table).await;
}

async fn assert_slow_first_response_is_accepted(table: EndpointTable) {
    const RESPONSE_DELAY: Duration = Duration::from_millis(1400);
    let (agent, address) = bind_agent().await;
    let mut fixture = TestFixture::start(address, table, false, discard_log());
    let (request_sender, mut requests) = mpsc::channel(16);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = agent.accept().await.expect("the actor polls");
            let request = read_request_head(&mut stream).await;
            if request_sender.send(request).await.is_err() {
                return;
            }
            tokio::spawn(async move {
                tokio::time::sleep(RESPONSE_DELAY).await;
                respond_if_open(&mut stream, &known_list_text()).await;
                tokio::time::sleep(RESPONSE_DELAY).await;
            });
        }
    });
    let update = tokio::time::timeout(Duration::from_secs(2), fixture.events.recv()).await;
    let Ok(Some(DispatcherCommand::Event(Event::EndpointListUpdated(update)))) = update else {
        panic!("expected the list with the first response")
    };
    assert!(matches!(update, EndpointListUpdate::Complete(entries) if entries.len() == 1));
    loop {
        let next_request = tokio::time::timeout(Duration::from_secs(2), requests.recv()).await;
        let next_request = next_request.ok().flatten();
        let next_request = next_request.expect("a watch follows the list");
        if next_request.contains("index=7&") {
            return;
        }
    }
}

/// Reads what the actor has sent, which is one request without a body.
async fn read_request_head(stream: &mut TcpStream) -> String {
    let mut head = vec![0; 4096];
    let read = stream
        .read(&mut head)
        .await
        .expect("the request is readable");
    String::from_utf8_lossy(&head[..read]).into_owned()
}

/// The agent may stop sending right after a watch was opened, or within the response to it. Two seconds after the requested
/// wait, the forwarder counts as notified of a change even if the watch did not deliver it. The next watch must be open by
/// then.
#[tokio::test(start_paused = true)]
async fn reopens_silent_watch_before_notification_deadline() {
    for partial_response in [
        "",
        "HTTP/1.1 200 OK\r\nContent-",
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"revision\":2,",
    ] {
        assert_silent_watch_is_reopened(partial_response).await;
    }
}

async fn assert_silent_watch_is_reopened(partial_response: &'static str) {
    let (listener, address) = bind_agent().await;
    let (watch_sender, mut watches) = mpsc::channel(8);
    tokio::spawn(async move {
        let mut open_streams = Vec::new(); // keeps the connections open
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
            let request = read_request_head(&mut stream).await;
            if !request.contains("index=") {
                let list = r#"{"revision":1,"complete":true,"members":[]}"#;
                respond(&mut stream, list).await;
                continue;
            }
            let max_wait = request
                .split("wait=")
                .nth(1)
                .and_then(|text| text.split(' ').next()?.parse().ok());
            watch_sender
                .send((Instant::now(), max_wait.expect("the request states a wait")))
                .await
                .expect("the test receives the watches");
            stream
                .write_all(partial_response.as_bytes())
                .await
                .expect("the partial response is written");
            open_streams.push(stream);
        }
    });
    let _fixture = TestFixture::start(address, EndpointTable::default(), false, discard_log());
    let (opened_at, max_wait) = watches.recv().await.expect("the actor opens a watch");
    let (reopened_at, _) = watches
        .recv()
        .await
        .expect("the actor opens a second watch");
    let notified_after = Duration::from_millis(max_wait) + Duration::from_secs(2);
    assert!(
        reopened_at - opened_at < notified_after + Duration::from_millis(50),
        "expected the watch to be reopened within {notified_after:?} + 50 ms, took {:?} with the partial response \
         {partial_response:?}",
        reopened_at - opened_at
    );
}

/// Counts the lines of a log.
struct LineCounter(std::sync::Arc<std::sync::atomic::AtomicUsize>);

impl slog::Drain for LineCounter {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, _: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        self.0.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Ok(())
    }
}

/// Starts an agent that gives one response on each connection, whole or cut off after the given number of bytes, and then
/// closes the connection. After the last response it accepts connections but does not respond.
async fn start_agent(responses: Vec<(String, Option<usize>)>) -> SocketAddr {
    let (listener, address) = bind_agent().await;
    tokio::spawn(async move {
        let mut open_streams = Vec::new(); // keeps the connections open
        for (body, cut_at) in responses {
            let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
            let mut head = vec![0; 1024];
            assert!(
                stream
                    .read(&mut head)
                    .await
                    .expect("the request is readable")
                    > 0
            );
            let response_head = format!(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream
                .write_all(response_head.as_bytes())
                .await
                .expect("the response is written");
            stream
                .write_all(&body.as_bytes()[..cut_at.unwrap_or(body.len())])
                .await
                .expect("the response is written");
        }
        loop {
            open_streams.push(listener.accept().await.expect("a connection is accepted"));
        }
    });
    address
}

/// Lists with 100,000 members are applied. Truncated lists and lists with an unreadable member change nothing, and
/// consecutive failures are logged in a single line.
#[tokio::test]
async fn applies_long_lists_and_logs_unreadable_lists_once() {
    const MEMBER_COUNT: u32 = 100_000;
    let member = |n: u32| {
        let [a, b, c, d] = (0x0a00_0000 + n).to_be_bytes();
        format!(
            r#"{{"id":"member-{n:06}","host_port":"{a}.{b}.{c}.{d}:80","locality":"a","flavor":"m","cell":{n},"phase":"Ready"}}"#
        )
    };
    let list = |members: Vec<String>| {
        format!(
            r#"{{"revision":1,"complete":true,"members":[{}]}}"#,
            members.join(",")
        )
    };
    let complete_list = list((0..MEMBER_COUNT).map(member).collect());
    let half_list = list((0..MEMBER_COUNT).step_by(2).map(member).collect());
    let unreadable =
        |from: &str, to: &str| list(vec![member(1), member(2).replace(from, to), member(3)]);
    let mut responses = vec![(complete_list.clone(), None), (half_list.clone(), None)];
    responses.push((complete_list[..complete_list.len() / 2].to_owned(), None));
    responses.push((complete_list.clone(), Some(complete_list.len() / 2)));
    responses.extend(
        [
            ("Ready", "Sideways"),
            (":80", ""),
            (":2,", ":-2,"),
            (":2,", ":4294967296,"),
            ("\"id\"", "\"name\""),
        ]
        .map(|(from, to)| (unreadable(from, to), None)),
    );
    responses.extend([(half_list, None), (complete_list, None)]);
    let address = start_agent(responses).await;
    let line_count = std::sync::Arc::default();
    let log = Logger::root(LineCounter(std::sync::Arc::clone(&line_count)), slog::o!());
    let mut fixture = TestFixture::start(address, EndpointTable::default(), false, log);
    let expected_lengths = [
        MEMBER_COUNT,
        MEMBER_COUNT / 2,
        MEMBER_COUNT / 2,
        MEMBER_COUNT,
    ];
    for expected in expected_lengths {
        let update = tokio::time::timeout(Duration::from_secs(20), fixture.events.recv())
            .await
            .expect("an update arrives within 20 s");
        let Some(DispatcherCommand::Event(Event::EndpointListUpdated(
            EndpointListUpdate::Complete(entries),
        ))) = update
        else {
            panic!("expected a complete list")
        };
        assert_eq!(entries.len(), expected as usize);
    }
    // One line for the failures, one for the recovery, and one for each update.
    let expected_lines = 2 + expected_lengths.len();
    assert_eq!(
        line_count.load(std::sync::atomic::Ordering::Relaxed),
        expected_lines
    );
}
