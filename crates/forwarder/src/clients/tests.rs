//! Orders of events at the listener that are rare by chance. Each is forced: what clients send is in the sockets before the
//! listener runs for the first time.

use super::connection::{serve_connection, ConnectionService};
use super::connection_state::{ConnectionPhase, ConnectionState};
use super::submission_service::ConnectionUse;
use super::*;
use crate::commands::{SubmissionAnswer, SubmissionRequest};
use crate::shutdown::ShutdownStage;
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

struct TestFixture {
    clients: ClientListener,
    listener: TcpListener,
    shutdown: watch::Sender<ShutdownStage>,
    submissions: mpsc::Receiver<SubmissionRequest>,
}

impl TestFixture {
    async fn new(max_connections: usize) -> TestFixture {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
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

    /// Clients whose connections wait to be accepted, each with a request written. Each thread returns the status line that
    /// its client got.
    fn connect_clients(&self, count: usize) -> Vec<JoinHandle<String>> {
        let address: SocketAddr = self.listener.local_addr().expect("its address");
        let connect = |_| {
            let mut stream = std::net::TcpStream::connect(address).expect("waits to be accepted");
            stream.write_all(REQUEST.as_bytes()).expect("written");
            spawn(move || {
                let mut received = Vec::new();
                let _ = stream.read_to_end(&mut received); // a reset ends it too
                String::from_utf8_lossy(&received)
                    .lines()
                    .next()
                    .unwrap_or("nothing")
                    .to_owned()
            })
        };
        (0..count).map(connect).collect()
    }

    /// Runs the listener until all these clients have their answers. Each message is accepted.
    async fn status_lines(self, clients_waiting: Vec<JoinHandle<String>>) -> Vec<String> {
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
        let ends = tokio::task::spawn_blocking(|| {
            clients_waiting
                .into_iter()
                .map(|c| c.join().expect("it ends"))
                .collect()
        });
        ends.await.expect("they end")
    }
}

/// Connections that wait to be accepted as the listener closes would be reset with it. Each is accepted and answered.
#[tokio::test]
async fn a_connection_that_waits_as_the_listener_closes_is_answered() {
    let fixture = TestFixture::new(16).await;
    let clients_waiting = fixture.connect_clients(8);
    fixture.shutdown.send_replace(ShutdownStage::NotAccepting);
    assert_eq!(
        fixture.status_lines(clients_waiting).await,
        vec!["HTTP/1.1 202 Accepted"; 8]
    );
}

/// A request lies in the socket as its connection is to be closed, be it the first there or a later one. The runtime has not
/// read it yet. It is read, and its answer is the last.
#[tokio::test]
async fn a_request_in_the_socket_is_answered_before_its_connection_closes() {
    for before in 0..2 {
        let TestFixture {
            clients,
            listener,
            mut submissions,
            ..
        } = TestFixture::new(16).await;
        let state = Arc::new(ConnectionState::new(Arc::default()));
        let client = TcpStream::connect(listener.local_addr().expect("its address"))
            .await
            .expect("waits to be accepted");
        let mut client = client.into_std().expect("a stream");
        client.set_nonblocking(false).expect("it blocks");
        let (stream, _) = listener.accept().await.expect("a client");
        let service = ConnectionService {
            submission_service: clients.submission_service.clone(),
            state: state.clone(),
            connection_use: ConnectionUse::Serve,
        };
        let served = tokio::spawn(serve_connection(stream, service));
        tokio::spawn(async move {
            while let Some(SubmissionRequest { answer_sender, .. }) = submissions.recv().await {
                let _ = answer_sender.send(SubmissionAnswer::Accepted);
            }
        });
        let reaches = async |phase| {
            while state.phase() != phase {
                tokio::task::yield_now().await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        reaches(ConnectionPhase::NoRequestYet).await;
        if before == 1 {
            client.write_all(REQUEST.as_bytes()).expect("written");
            reaches(ConnectionPhase::Idle).await;
        }
        // In one turn: the runtime reads no socket between these.
        client.write_all(REQUEST.as_bytes()).expect("written");
        state.request_close();
        served.await.expect("it ends");
        let mut answers = String::new();
        let _ = client.read_to_string(&mut answers); // a reset ends it too
        assert_eq!(
            answers.matches("HTTP/1.1 202").count(),
            before + 1,
            "{answers}"
        );
        assert_eq!(answers.matches("connection: close").count(), 1, "{answers}");
    }
}

/// A submission that finds the dispatcher's mailbox full is rejected at once. The others are answered once it is read.
#[tokio::test]
async fn a_submission_that_finds_the_mailbox_full_is_rejected() {
    let fixture = TestFixture::new(128).await;
    let (room, over) = (fixture.submissions.max_capacity(), 3);
    let clients_waiting = fixture.connect_clients(room + over);
    fixture.shutdown.send_replace(ShutdownStage::NotAccepting); // each answer is the last on its connection
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
    // Those beyond its capacity are rejected before the mailbox is read.
    let rejected = tokio::task::spawn_blocking(move || {
        let (mut done, mut waiting) = (0, clients_waiting);
        while done < over {
            let (ended, open): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|c| c.is_finished());
            done += ended.len();
            for client in ended {
                let status_line = client.join().expect("it ends");
                assert_eq!(status_line, "HTTP/1.1 503 Service Unavailable");
            }
            waiting = open;
        }
        (done, waiting)
    });
    let (rejected, waiting) = rejected.await.expect("they end");
    assert_eq!((rejected, waiting.len()), (over, room));
    tokio::spawn(async move {
        while let Some(SubmissionRequest { answer_sender, .. }) = submissions.recv().await {
            let _ = answer_sender.send(SubmissionAnswer::Accepted);
        }
    });
    let ends = tokio::task::spawn_blocking(|| {
        waiting
            .into_iter()
            .map(|c| c.join().expect("it ends"))
            .collect::<Vec<_>>()
    });
    assert_eq!(
        ends.await.expect("they end"),
        vec!["HTTP/1.1 202 Accepted"; room]
    );
}

/// Requests come in pieces where writes are slow or small. Each is read whole and answered, also the second on a connection.
#[tokio::test]
async fn a_request_that_comes_byte_by_byte_is_answered() {
    let TestFixture {
        clients,
        listener,
        mut submissions,
        ..
    } = TestFixture::new(16).await;
    let address = listener.local_addr().expect("its address");
    tokio::spawn(clients.run(listener));
    let client = tokio::task::spawn_blocking(move || {
        let mut stream = std::net::TcpStream::connect(address).expect("taken");
        stream.set_nodelay(true).expect("set");
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .expect("set");
        for _ in 0..2 {
            for byte in REQUEST.bytes() {
                stream.write_all(&[byte]).expect("written");
                std::thread::sleep(Duration::from_millis(1));
            }
            let mut status_line = [0; 12];
            stream.read_exact(&mut status_line).expect("answered");
            assert_eq!(&status_line, b"HTTP/1.1 202");
            let mut rest = Vec::new();
            while !rest.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("the rest of its head");
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
            let whole = submitted.body == Bytes::from_static(b"body");
            let _ = answer_sender.send(if whole {
                SubmissionAnswer::Accepted
            } else {
                SubmissionAnswer::ConflictingContent
            });
        }
    });
    client.await.expect("both are answered");
}
