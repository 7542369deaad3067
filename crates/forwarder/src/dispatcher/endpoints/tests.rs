//! Actors run while their endpoints are in use, and no command is lost between two actors of one endpoint.

use super::*;
use crate::commands::{AttemptRequest, DispatcherCommand};
use opalpulley::{Event, MessageId, Outcome};
use opalpulley_config::{ConnectionConfig, Names};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

const IDLE_CLOSED_AFTER: Micros = 5_000_000;
const CONNECT_WITHIN: Micros = 1_000_000;
const IDLE_TIMEOUT: Micros = IDLE_CLOSED_AFTER + HEALTH_CHECK_CONNECT_TIMEOUTS * CONNECT_WITHIN;
const CONCURRENCY_LIMIT: u32 = 8;

fn actors() -> (EndpointActors, mpsc::Receiver<DispatcherCommand>) {
    let (dispatcher, commands) = mpsc::channel(64);
    let (classes, tenants, zones, kinds, reports) = Default::default();
    let context = EndpointContext {
        config: ConnectionConfig {
            connection_idle_timeout: IDLE_CLOSED_AFTER,
            connect_timeout: CONNECT_WITHIN,
        },
        names: Names {
            classes,
            tenants,
            zones,
            endpoint_kinds: kinds,
            reports,
        },
        idle_permits: Arc::new(Semaphore::new(64)),
        dispatcher,
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    (
        EndpointActors::new(Arc::new(context), CONCURRENCY_LIMIT),
        commands,
    )
}

fn endpoint(number: u32) -> EndpointId {
    EndpointId {
        address: [127, 0, 0, 1],
        port: 9,
        incarnation: number,
    }
}

fn start_attempt(attempt_index: u8) -> EndpointCommand {
    EndpointCommand::StartAttempt(Box::new(AttemptRequest {
        id: MessageId(1),
        attempt_index,
        request_id: format!("r-{attempt_index}"),
        idempotency_key: None,
        body: bytes::Bytes::from_static(b"body"),
        timeout: Duration::from_secs(5),
        send_by: tokio::time::Instant::now() + Duration::from_secs(5),
    }))
}

fn running_tasks() -> usize {
    tokio::runtime::Handle::current()
        .metrics()
        .num_alive_tasks()
}

/// Lets the actors run until so many tasks are left.
async fn run_until_tasks(wanted: usize) {
    for _ in 0..1_000 {
        if running_tasks() == wanted {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("{} tasks instead of {wanted}", running_tasks());
}

/// Of 91,000 endpoints, each used once in 455 s, no more actors run than endpoints were used in one idle timeout.
#[tokio::test]
async fn actors_follow_the_endpoints_in_use_and_not_those_ever_used() {
    const USES: u32 = 91_000;
    const USE_INTERVAL: Micros = 5_000; // µs
    let (mut actors, _commands) = actors();
    let most = (IDLE_TIMEOUT / USE_INTERVAL) as usize;
    for used in 0..USES {
        let now = Micros::from(used) * USE_INTERVAL;
        actors.stop_idle(now);
        assert!(actors.post(now, endpoint(used), EndpointCommand::CloseIdleConnections));
        assert!(actors.running.len() <= most && actors.idle_checks.len() == actors.running.len());
        if used % 1_000 == 0 {
            run_until_tasks(actors.running.len()).await;
        }
    }
    assert_eq!(actors.running.len(), most);
    actors.stop_idle(Micros::from(USES) * USE_INTERVAL + IDLE_TIMEOUT);
    assert!(actors.running.is_empty() && actors.idle_checks.is_empty());
    run_until_tasks(0).await;
}

/// An actor with an attempt out runs on, however long that takes. Its idle timeout counts from the end of the attempt.
#[tokio::test]
async fn an_actor_with_an_attempt_out_runs_on() {
    let (mut actors, _commands) = actors();
    assert!(actors.post(0, endpoint(1), EndpointCommand::CloseIdleConnections));
    actors.attempt_started(endpoint(1));
    actors.stop_idle(10 * IDLE_TIMEOUT);
    assert!(actors.is_running(endpoint(1)));
    let ended = 10 * IDLE_TIMEOUT + 1;
    actors.attempt_ended(ended, endpoint(1));
    actors.stop_idle(ended + IDLE_TIMEOUT - 1);
    assert!(actors.is_running(endpoint(1)));
    actors.stop_idle(actors.next_idle_check().expect("one is due"));
    assert!(!actors.is_running(endpoint(1)));
    assert_eq!(actors.next_idle_check(), None);
    // Nothing is left of an actor whose endpoint was removed.
    assert!(actors.post(0, endpoint(2), EndpointCommand::CloseIdleConnections));
    actors.stop(endpoint(2));
    assert!(actors.running.is_empty() && actors.idle_checks.is_empty());
}

/// An attempt that is posted as the actor stops is sent exactly once, whichever comes first.
#[tokio::test]
async fn an_attempt_posted_as_the_actor_stops_is_sent_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let port = listener.local_addr().expect("its address").port();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(async move {
                let mut bytes = [0; 4096];
                while stream.read(&mut bytes).await.is_ok_and(|n| n > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(answer).await.expect("answered");
                }
            });
        }
    });
    let (mut actors, mut commands) = actors();
    let there = EndpointId {
        port,
        ..endpoint(1)
    };
    // The first is in the mailbox as that is dropped; the second comes after.
    assert!(actors.post(0, there, start_attempt(0)));
    actors.stop_idle(IDLE_TIMEOUT);
    assert!(!actors.is_running(there));
    assert!(actors.post(IDLE_TIMEOUT, there, start_attempt(1)));
    // The third finds a mailbox whose actor has ended.
    let (closed, _) = mpsc::channel(1);
    actors.running.get_mut(&there).expect("it runs").mailbox = closed;
    assert!(actors.post(IDLE_TIMEOUT, there, start_attempt(2)));
    let mut delivered = Vec::new();
    while delivered.len() < 3 {
        let command = tokio::time::timeout(Duration::from_secs(5), commands.recv())
            .await
            .expect("in time");
        let Some(DispatcherCommand::Event(Event::AttemptEnded {
            attempt_index,
            outcome: Outcome::Delivered,
            ..
        })) = command
        else {
            panic!("not delivered")
        };
        delivered.push(attempt_index);
    }
    delivered.sort_unstable();
    assert_eq!(delivered, [0, 1, 2]);
    assert!(
        tokio::time::timeout(Duration::from_millis(200), commands.recv())
            .await
            .is_err(),
        "an attempt was sent twice"
    );
}

/// A mailbox allocates its commands in blocks of 32, so that a large command would make each used endpoint costly.
#[test]
fn a_command_takes_few_bytes_in_a_mailbox() {
    assert!(
        std::mem::size_of::<EndpointCommand>() <= 16,
        "{} bytes",
        std::mem::size_of::<EndpointCommand>()
    );
}
