//! Tests of an endpoint's actor against an endpoint on a loopback socket.

mod attempts;
mod call_end;
mod connections;
mod response_filter;
mod responses;

use super::attempt::{InFlightRequest, RequestPurpose, StopRequest};
use super::*;
use crate::commands::{AttemptJournalling, AttemptRequest, AttemptTimes, EndpointCommand};
use crate::protocol;
use bytes::Bytes;
use opalpulley::{EndpointId, MessageId, Micros, Outcome};
use socket2::SockRef;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const IDLE_TIMEOUT: Micros = 400_000;
/// Time until the deadline of a message, unless a test sets another one.
const MESSAGE_TIME_LEFT: Duration = Duration::from_secs(60);

struct TestFixture {
    listener: TcpListener,
    mailbox: mpsc::Sender<EndpointCommand>,
    events: mpsc::Receiver<DispatcherCommand>,
    attempts_started: u8,
}

impl TestFixture {
    async fn new() -> TestFixture {
        TestFixture::with_endpoint(|_| {}).await
    }

    /// Creates a fixture, and calls `prepare` on the actor before it runs.
    async fn with_endpoint(prepare: impl FnOnce(&mut Endpoint)) -> TestFixture {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let port = listener
            .local_addr()
            .expect("the socket has a local address")
            .port();
        let (dispatcher, events) = mpsc::channel(16);
        let (mailbox, commands) = mpsc::channel(16);
        let context = EndpointContext {
            config: ConnectionConfig {
                connection_idle_timeout: IDLE_TIMEOUT,
                connect_timeout: 300_000,
            },
            names: Names {
                classes: Vec::new(),
                tenants: Vec::new(),
                zones: Vec::new(),
                endpoint_kinds: Vec::new(),
                load_metrics: vec!["x0".into()],
            },
            body_permits: Arc::new(Semaphore::new(4)),
            dispatcher,
            log: Logger::root(slog::Discard, slog::o!()),
        };
        let id = EndpointId {
            address: [127, 0, 0, 1],
            port,
            incarnation: 0,
        };
        let mut endpoint = Endpoint::new(id, Arc::new(context));
        prepare(&mut endpoint);
        tokio::spawn(endpoint.run(commands));
        TestFixture {
            listener,
            mailbox,
            events,
            attempts_started: 0,
        }
    }

    async fn start_attempt(&mut self, body: &Bytes, timeout_ms: u64) {
        self.start_attempt_with_send_limit(body, timeout_ms, timeout_ms)
            .await;
    }

    /// Starts an attempt at a message whose deadline is `deadline_ms` from now.
    async fn start_attempt_with_deadline(&mut self, deadline_ms: u64) {
        let deadline = Duration::from_millis(deadline_ms);
        let times = AttemptTimes {
            timeout: deadline,
            send_by: Instant::now() + deadline,
            deadline: Instant::now() + deadline,
        };
        self.start_attempt_with_times(&Bytes::new(), times).await;
    }

    async fn start_attempt_with_send_limit(
        &mut self,
        body: &Bytes,
        timeout_ms: u64,
        send_within_ms: u64,
    ) {
        let times = AttemptTimes {
            timeout: Duration::from_millis(timeout_ms),
            send_by: Instant::now() + Duration::from_millis(send_within_ms),
            deadline: Instant::now() + MESSAGE_TIME_LEFT,
        };
        self.start_attempt_with_times(body, times).await;
    }

    async fn start_attempt_with_times(&mut self, body: &Bytes, times: AttemptTimes) {
        let attempt = AttemptRequest {
            id: MessageId(1),
            attempt_index: self.attempts_started,
            request_id: "9b1f03aa5c7e2d41".into(),
            idempotency_key: Some("5c0f6e1a".into()),
            body: body.clone(),
            journalled: AttemptJournalling::BeforeStart,
            times,
        };
        self.attempts_started += 1;
        self.mailbox
            .send(EndpointCommand::StartAttempt(Box::new(attempt)))
            .await
            .expect("the actor is running");
    }

    /// Responds to the request on this connection with status 200, and waits until the attempt is reported as delivered.
    async fn respond_with_ok(&mut self, stream: &mut TcpStream) {
        stream
            .write_all(OK_RESPONSE)
            .await
            .expect("the response is written");
        let Some(DispatcherCommand::Event(Event::AttemptEnded { outcome, .. })) =
            self.events.recv().await
        else {
            panic!("expected the end of an attempt")
        };
        assert_eq!(outcome, Outcome::Delivered);
    }

    /// Returns the next outcome, and whether it completes the message.
    async fn next_outcome(&mut self) -> (Outcome, bool) {
        let wait = tokio::time::timeout(Duration::from_secs(5), self.events.recv());
        match wait
            .await
            .expect("an event arrives within 5 s")
            .expect("the actor sends an event")
        {
            DispatcherCommand::Event(Event::AttemptEnded {
                outcome,
                message_completed,
                attempt_index,
                ..
            }) => {
                assert_eq!(attempt_index + 1, self.attempts_started);
                (outcome, message_completed)
            }
            DispatcherCommand::Event(Event::HealthCheckEnded { outcome, .. }) => (outcome, false),
            _ => panic!("unexpected command for the dispatcher"),
        }
    }

    async fn send_command(&self, command: EndpointCommand) {
        self.mailbox
            .send(command)
            .await
            .expect("the actor is running");
    }

    async fn withdraw_unsent(&mut self) {
        self.send_command(EndpointCommand::WithdrawUnsent).await;
        assert_eq!(
            self.next_outcome().await,
            (Outcome::WithdrawnBeforeSend, false)
        );
    }

    /// Fills the backlog of the listener. Further connections are not opened until the returned ones are accepted, as if the
    /// endpoint were unreachable.
    async fn fill_backlog(&self) -> Vec<TcpStream> {
        SockRef::from(&self.listener)
            .listen(0)
            .expect("the backlog is shortened");
        let address = self
            .listener
            .local_addr()
            .expect("the socket has a local address");
        let mut queued = Vec::new();
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(address)).await
        {
            queued.push(stream.expect("the connection is established"));
        }
        queued
    }

    async fn accept(&self) -> TcpStream {
        self.listener
            .accept()
            .await
            .expect("the connection is established")
            .0
    }
}

/// Reads one request with the body whose length its head states, and returns all its bytes.
async fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some(head) = text.find("\r\n\r\n") {
            let length = text
                .lines()
                .find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
            if bytes.len() == head + 4 + length.unwrap_or(0) {
                return bytes;
            }
        }
        if stream
            .read_buf(&mut bytes)
            .await
            .expect("the stream is readable")
            == 0
        {
            return bytes;
        }
    }
}

async fn closes_within_2s(stream: &mut TcpStream) -> bool {
    let mut rest = [0; 64];
    let end = stream.read(&mut rest);
    matches!(
        tokio::time::timeout(Duration::from_secs(2), end).await,
        Ok(Ok(0) | Err(_))
    )
}
