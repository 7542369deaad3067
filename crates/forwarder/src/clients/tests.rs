//! Tests of the client listener under orders of events that are rare in practice. Most tests force the order: the bytes
//! that the clients send are in the sockets before the listener runs for the first time.

use super::connection::{serve_connection, ConnectionService};
use super::connection_state::{ConnectionPhase, ConnectionState};
use super::submission_service::ConnectionMode;
use super::*;
use crate::commands::{SubmissionAnswer, SubmissionRequest};
use crate::shutdown::ShutdownStage;
use crate::startup_config::ClientMemory;
use bytes::Bytes;
use opalpulley::{Config, DeliveryClassConfig, DeliverySemantics};
use opalpulley_config::Names;
use slog::Logger;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{spawn, JoinHandle};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

const REQUEST: &str =
    "POST /notice HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nRequest-Timeout-Ms: 480\r\nEnvelope: dest=7\r\n\
                       Content-Length: 4\r\n\r\nbody";

/// Memory for one body of the maximum length and half of another.
const MEMORY: ClientMemory = ClientMemory {
    body_budget_bytes: 96 * 1024,
    read_buffer_bytes: 32 * 1024,
};

struct TestFixture {
    clients: ClientListener,
    listener: TcpListener,
    shutdown: watch::Sender<ShutdownStage>,
    submissions: mpsc::Receiver<SubmissionRequest>,
}

impl TestFixture {
    async fn new(max_connections: usize) -> TestFixture {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let (dispatcher, submissions) = mpsc::channel(64);
        let names = Names {
            classes: vec!["notice".into()],
            tenants: Vec::new(),
            zones: Vec::new(),
            endpoint_kinds: Vec::new(),
            load_metrics: Vec::new(),
        };
        let class = DeliveryClassConfig {
            semantics: DeliverySemantics::Idempotent,
            time_to_live: 1_000_000,
            ..DeliveryClassConfig::default()
        };
        let config = Config {
            classes: vec![class],
            ..Config::default()
        };
        let submission_service = Arc::new(SubmissionService::new(
            names,
            &config,
            MEMORY,
            dispatcher,
            Logger::root(slog::Discard, slog::o!()),
        ));
        submission_service.ready.store(true, Ordering::Relaxed);
        let (shutdown, stages) = watch::channel(ShutdownStage::Running);
        TestFixture {
            clients: ClientListener {
                submission_service,
                max_connections,
                shutdown: stages,
            },
            listener,
            shutdown,
            submissions,
        }
    }

    /// Connects clients that wait in the accept backlog, each with a written request. Each thread returns the status
    /// line that its client received.
    fn connect_clients(&self, count: usize) -> Vec<JoinHandle<String>> {
        let address: SocketAddr = self
            .listener
            .local_addr()
            .expect("the listener has an address");
        let connect = |_| {
            let mut stream =
                std::net::TcpStream::connect(address).expect("the connection enters the backlog");
            stream
                .write_all(REQUEST.as_bytes())
                .expect("the bytes are written");
            spawn(move || {
                let mut received = Vec::new();
                let _ = stream.read_to_end(&mut received); // a reset also ends the read
                String::from_utf8_lossy(&received)
                    .lines()
                    .next()
                    .unwrap_or("nothing")
                    .to_owned()
            })
        };
        (0..count).map(connect).collect()
    }

    /// Runs the listener until all clients are answered, and returns their status lines. Each message is accepted.
    async fn status_lines(self, client_threads: Vec<JoinHandle<String>>) -> Vec<String> {
        let TestFixture {
            clients,
            listener,
            mut submissions,
            ..
        } = self;
        tokio::spawn(clients.run(listener));
        tokio::spawn(async move {
            while let Some(SubmissionRequest { answer_sender, .. }) = submissions.recv().await {
                let _ = answer_sender.send(SubmissionAnswer::Accepted);
            }
        });
        let status_lines = tokio::task::spawn_blocking(|| {
            client_threads
                .into_iter()
                .map(|c| c.join().expect("the client thread ends"))
                .collect()
        });
        status_lines.await.expect("the client threads end")
    }
}

/// Connections in the accept backlog would be reset when the listener closes. Each is accepted and answered instead.
#[tokio::test]
async fn answers_connections_in_backlog_when_listener_closes() {
    let fixture = TestFixture::new(16).await;
    let client_threads = fixture.connect_clients(8);
    fixture.shutdown.send_replace(ShutdownStage::NotAccepting);
    assert_eq!(
        fixture.status_lines(client_threads).await,
        vec!["HTTP/1.1 202 Accepted"; 8]
    );
}

/// The close of a connection is requested while a request is unread in its socket, be it the first request on the
/// connection or a later one. The runtime has not read the request yet. It must be read, and its answer must be the
/// last one.
#[tokio::test]
async fn answers_unread_request_before_closing_connection() {
    for earlier_requests in 0..2 {
        let TestFixture {
            clients,
            listener,
            mut submissions,
            ..
        } = TestFixture::new(16).await;
        let state = Arc::new(ConnectionState::new(Arc::default()));
        let client =
            TcpStream::connect(listener.local_addr().expect("the listener has an address"))
                .await
                .expect("the connection enters the backlog");
        let mut client = client
            .into_std()
            .expect("the stream is detached from the runtime");
        client
            .set_nonblocking(false)
            .expect("the stream becomes blocking");
        let (stream, _) = listener.accept().await.expect("the connection is accepted");
        let service = ConnectionService {
            submission_service: clients.submission_service.clone(),
            state: state.clone(),
            mode: ConnectionMode::Serve,
        };
        let served = tokio::spawn(serve_connection(stream, service));
        tokio::spawn(async move {
            while let Some(SubmissionRequest { answer_sender, .. }) = submissions.recv().await {
                let _ = answer_sender.send(SubmissionAnswer::Accepted);
            }
        });
        let wait_for_phase = async |phase| {
            while state.phase() != phase {
                tokio::task::yield_now().await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        wait_for_phase(ConnectionPhase::AwaitingFirstRequest).await;
        if earlier_requests == 1 {
            client
                .write_all(REQUEST.as_bytes())
                .expect("the bytes are written");
            wait_for_phase(ConnectionPhase::Idle).await;
        }
        // There is no await between the write and the close request, so the runtime does not read the socket in between.
        client
            .write_all(REQUEST.as_bytes())
            .expect("the bytes are written");
        state.request_close();
        served.await.expect("the connection task ends");
        let mut answers = String::new();
        let _ = client.read_to_string(&mut answers); // a reset also ends the read
        assert_eq!(
            answers.matches("HTTP/1.1 202").count(),
            earlier_requests + 1,
            "expected an answer to each request, got {answers}"
        );
        assert_eq!(
            answers.matches("connection: close").count(),
            1,
            "expected only the last answer to close the connection, got {answers}"
        );
    }
}

/// A submission that finds the dispatcher's mailbox full is rejected at once. The others are answered once the mailbox
/// is read.
#[tokio::test]
async fn rejects_submission_when_mailbox_is_full() {
    let fixture = TestFixture::new(128).await;
    let (capacity, excess) = (fixture.submissions.max_capacity(), 3);
    let client_threads = fixture.connect_clients(capacity + excess);
    fixture.shutdown.send_replace(ShutdownStage::NotAccepting); // each answer is the last one on its connection
    let TestFixture {
        clients,
        listener,
        mut submissions,
        ..
    } = fixture;
    let submission_service = clients.submission_service.clone();
    tokio::spawn(clients.run(listener));
    while submission_service.dispatcher.capacity() > 0 {
        tokio::task::yield_now().await;
    }
    // The submissions beyond the capacity are rejected before the mailbox is read.
    let rejection_task = tokio::task::spawn_blocking(move || {
        let (mut rejected_count, mut waiting) = (0, client_threads);
        while rejected_count < excess {
            let (ended, still_waiting): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|c| c.is_finished());
            rejected_count += ended.len();
            for client in ended {
                let status_line = client.join().expect("the client thread ends");
                assert_eq!(status_line, "HTTP/1.1 503 Service Unavailable");
            }
            waiting = still_waiting;
        }
        (rejected_count, waiting)
    });
    let (rejected_count, waiting) = rejection_task.await.expect("the client threads end");
    assert_eq!((rejected_count, waiting.len()), (excess, capacity));
    tokio::spawn(async move {
        while let Some(SubmissionRequest { answer_sender, .. }) = submissions.recv().await {
            let _ = answer_sender.send(SubmissionAnswer::Accepted);
        }
    });
    let status_lines = tokio::task::spawn_blocking(|| {
        waiting
            .into_iter()
            .map(|c| c.join().expect("the client thread ends"))
            .collect::<Vec<_>>()
    });
    assert_eq!(
        status_lines.await.expect("the client threads end"),
        vec!["HTTP/1.1 202 Accepted"; capacity]
    );
}

/// A client with slow or small writes sends its requests in pieces. Each request is read whole and answered, including the
/// second one on a connection.
#[tokio::test]
async fn answers_requests_received_byte_by_byte() {
    let TestFixture {
        clients,
        listener,
        mut submissions,
        ..
    } = TestFixture::new(16).await;
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(clients.run(listener));
    let client = tokio::task::spawn_blocking(move || {
        let mut stream =
            std::net::TcpStream::connect(address).expect("the listener accepts the connection");
        stream.set_nodelay(true).expect("the socket option is set");
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .expect("the socket option is set");
        for _ in 0..2 {
            for byte in REQUEST.bytes() {
                stream.write_all(&[byte]).expect("the bytes are written");
                std::thread::sleep(Duration::from_millis(1));
            }
            let mut status_line = [0; 12];
            stream
                .read_exact(&mut status_line)
                .expect("the request is answered");
            assert_eq!(&status_line, b"HTTP/1.1 202");
            let mut rest = Vec::new();
            while !rest.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream
                    .read_exact(&mut byte)
                    .expect("the rest of the head arrives");
                rest.push(byte[0]);
            }
        }
    });
    tokio::spawn(async move {
        while let Some(SubmissionRequest {
            submitted,
            answer_sender,
            ..
        }) = submissions.recv().await
        {
            let is_complete = submitted.body == Bytes::from_static(b"body");
            let _ = answer_sender.send(if is_complete {
                SubmissionAnswer::Accepted
            } else {
                SubmissionAnswer::ConflictingContent
            });
        }
    });
    client.await.expect("both requests are answered");
}

/// Guards against bodies that together are longer than the memory for them: a long body that finds too little left is
/// rejected with 503, a short one is accepted, and so is a long one once the first has ended.
#[tokio::test]
async fn rejects_long_body_while_the_memory_for_bodies_is_taken() {
    const LONG: usize = 64 * 1024;
    let TestFixture {
        clients,
        listener,
        mut submissions,
        ..
    } = TestFixture::new(16).await;
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(clients.run(listener));
    tokio::spawn(async move {
        while let Some(SubmissionRequest { answer_sender, .. }) = submissions.recv().await {
            let _ = answer_sender.send(SubmissionAnswer::Accepted);
        }
    });
    let statuses = tokio::task::spawn_blocking(move || {
        let connect = |length: usize, sent: usize| {
            let mut stream =
                std::net::TcpStream::connect(address).expect("the listener accepts the connection");
            let head = REQUEST.replace("Content-Length: 4\r\n\r\nbody", "");
            let request = format!("{head}Content-Length: {length}\r\n\r\n{}", "b".repeat(sent));
            stream
                .write_all(request.as_bytes())
                .expect("the bytes are written");
            stream
        };
        let status_line = |mut stream: std::net::TcpStream| {
            let mut status_line = [0; 12];
            stream
                .read_exact(&mut status_line)
                .expect("the request is answered");
            String::from_utf8_lossy(&status_line).into_owned()
        };
        let mut unfinished = connect(LONG, LONG - 1);
        std::thread::sleep(Duration::from_millis(50));
        let displaced = status_line(connect(LONG, LONG));
        let short = status_line(connect(4, 4));
        unfinished.write_all(b"b").expect("the bytes are written");
        let first = status_line(unfinished);
        [displaced, short, first, status_line(connect(LONG, LONG))]
    });
    assert_eq!(
        statuses.await.expect("the clients end"),
        [
            "HTTP/1.1 503",
            "HTTP/1.1 202",
            "HTTP/1.1 202",
            "HTTP/1.1 202"
        ]
    );
}
