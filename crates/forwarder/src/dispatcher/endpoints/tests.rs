//! Tests that actors run while their endpoints are in use, and that no command is lost when an actor is replaced.

use super::*;
use crate::commands::{AttemptJournalling, AttemptRequest, AttemptTimes, DispatcherCommand};
use opalpulley::{Event, MessageId, Outcome};
use opalpulley_config::{ConnectionConfig, Names};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

const CONNECTION_IDLE_TIMEOUT: Micros = 5_000_000;
const CONNECT_TIMEOUT: Micros = 1_000_000;
const IDLE_TIMEOUT: Micros =
    CONNECTION_IDLE_TIMEOUT + HEALTH_CHECK_CONNECT_TIMEOUTS * CONNECT_TIMEOUT;
const CONCURRENCY_LIMIT: u32 = 8;

fn actors() -> (EndpointActors, mpsc::Receiver<DispatcherCommand>) {
    let (dispatcher, commands) = mpsc::channel(64);
    let (classes, tenants, zones, kinds, load_metrics) = Default::default();
    let context = EndpointContext {
        config: ConnectionConfig {
            connection_idle_timeout: CONNECTION_IDLE_TIMEOUT,
            connect_timeout: CONNECT_TIMEOUT,
        },
        names: Names {
            classes,
            tenants,
            zones,
            endpoint_kinds: kinds,
            load_metrics,
        },
        body_permits: Arc::new(Semaphore::new(64)),
        dispatcher,
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    (
        EndpointActors::new(Arc::new(context), CONCURRENCY_LIMIT),
        commands,
    )
}

fn endpoint(incarnation: u32) -> EndpointId {
    EndpointId {
        address: [127, 0, 0, 1],
        port: 9,
        incarnation,
    }
}

fn start_attempt(attempt_index: u8) -> EndpointCommand {
    EndpointCommand::StartAttempt(Box::new(AttemptRequest {
        id: MessageId(1),
        attempt_index,
        request_id: format!("r-{attempt_index}"),
        idempotency_key: None,
        body: bytes::Bytes::from_static(b"body"),
        journalled: AttemptJournalling::BeforeStart,
        times: AttemptTimes {
            timeout: Duration::from_secs(5),
            send_by: tokio::time::Instant::now() + Duration::from_secs(5),
            deadline: tokio::time::Instant::now() + Duration::from_secs(5),
        },
    }))
}

fn running_task_count() -> usize {
    tokio::runtime::Handle::current()
        .metrics()
        .num_alive_tasks()
}

/// Lets the actors run until the expected number of tasks is left.
async fn run_until_task_count(expected: usize) {
    for _ in 0..1_000 {
        if running_task_count() == expected {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("expected {expected} tasks, got {}", running_task_count());
}

/// If each of 91,000 endpoints is used once within 455 s, no more actors run than endpoints were used within one idle
/// timeout.
#[tokio::test]
async fn stops_actors_of_endpoints_unused_for_idle_timeout() {
    const USES: u32 = 91_000;
    /// Time between two uses, in µs.
    const USE_INTERVAL: Micros = 5_000;
    let (mut actors, _commands) = actors();
    let max_running = (IDLE_TIMEOUT / USE_INTERVAL) as usize;
    for use_index in 0..USES {
        let now = Micros::from(use_index) * USE_INTERVAL;
        actors.stop_idle(now);
        assert!(actors.send_command(now, endpoint(use_index), EndpointCommand::WithdrawUnsent));
        assert!(
            actors.running.len() <= max_running && actors.idle_checks.len() == actors.running.len()
        );
        if use_index % 1_000 == 0 {
            run_until_task_count(actors.running.len()).await;
        }
    }
    assert_eq!(actors.running.len(), max_running);
    actors.stop_idle(Micros::from(USES) * USE_INTERVAL + IDLE_TIMEOUT);
    assert!(actors.running.is_empty() && actors.idle_checks.is_empty());
    run_until_task_count(0).await;
}

/// An actor with an outstanding attempt is not stopped, however long the attempt takes. The actor's idle timeout starts
/// with the end of the attempt.
#[tokio::test]
async fn keeps_actor_with_outstanding_attempt_running() {
    let (mut actors, _commands) = actors();
    assert!(actors.send_command(0, endpoint(1), EndpointCommand::WithdrawUnsent));
    actors.attempt_started(endpoint(1));
    actors.stop_idle(10 * IDLE_TIMEOUT);
    assert!(actors.is_running(endpoint(1)));
    let ended_at = 10 * IDLE_TIMEOUT + 1;
    actors.attempt_ended(ended_at, endpoint(1));
    actors.stop_idle(ended_at + IDLE_TIMEOUT - 1);
    assert!(actors.is_running(endpoint(1)));
    actors.stop_idle(actors.next_idle_check_at().expect("an idle check is due"));
    assert!(!actors.is_running(endpoint(1)));
    assert_eq!(actors.next_idle_check_at(), None);
    // No entry is left of an actor whose endpoint was removed.
    assert!(actors.send_command(0, endpoint(2), EndpointCommand::WithdrawUnsent));
    actors.stop(endpoint(2));
    assert!(actors.running.is_empty() && actors.idle_checks.is_empty());
}

/// An attempt is sent exactly once, whether it gets into the mailbox before its actor is stopped or after it.
#[tokio::test]
async fn sends_attempt_once_when_actor_stops() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let port = listener
        .local_addr()
        .expect("the listener has an address")
        .port();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("an actor connects");
            tokio::spawn(async move {
                let mut bytes = [0; 4096];
                while stream.read(&mut bytes).await.is_ok_and(|n| n > 0) {
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream
                        .write_all(response)
                        .await
                        .expect("the response is written");
                }
            });
        }
    });
    let (mut actors, mut commands) = actors();
    let listening = EndpointId {
        port,
        ..endpoint(1)
    };
    // The first attempt is in the mailbox when the mailbox is dropped; the second attempt is sent afterwards.
    assert!(actors.send_command(0, listening, start_attempt(0)));
    actors.stop_idle(IDLE_TIMEOUT);
    assert!(!actors.is_running(listening));
    assert!(actors.send_command(IDLE_TIMEOUT, listening, start_attempt(1)));
    // The third attempt is sent to a mailbox whose actor has ended.
    let (closed_mailbox, _) = mpsc::channel(1);
    actors
        .running
        .get_mut(&listening)
        .expect("the actor is running")
        .mailbox = closed_mailbox;
    assert!(actors.send_command(IDLE_TIMEOUT, listening, start_attempt(2)));
    let mut delivered = Vec::new();
    while delivered.len() < 3 {
        let command = tokio::time::timeout(Duration::from_secs(5), commands.recv())
            .await
            .expect("an outcome arrives within 5 s");
        let Some(DispatcherCommand::Event(Event::AttemptEnded {
            attempt_index,
            outcome: Outcome::Delivered,
            ..
        })) = command
        else {
            panic!("expected a delivered attempt")
        };
        delivered.push(attempt_index);
    }
    delivered.sort_unstable();
    assert_eq!(delivered, [0, 1, 2]);
    assert!(
        tokio::time::timeout(Duration::from_millis(200), commands.recv())
            .await
            .is_err(),
        "expected each attempt to be sent once"
    );
}

/// A mailbox allocates its commands in blocks of 32, so that a large command would cost memory for each endpoint in use.
#[test]
fn endpoint_command_fits_in_16_bytes() {
    assert!(
        std::mem::size_of::<EndpointCommand>() <= 16,
        "expected a command of at most 16 bytes, got {}",
        std::mem::size_of::<EndpointCommand>()
    );
}
