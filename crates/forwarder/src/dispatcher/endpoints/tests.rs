//! Actors begin and end with the use of their endpoints, and nothing is lost between two of one endpoint.

use super::*;
use crate::commands::{AttemptRequest, DispatcherCommand};
use opalpulley::{Event, MessageId, Outcome};
use opalpulley_config::{ConnectionConfig, Names};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

const IDLE: Micros = 5_000_000;
const CONNECT: Micros = 1_000_000;
const REST: Micros = IDLE + HEALTH_CHECK_TIMES * CONNECT;
const SLOTS: u32 = 8;

fn actors() -> (EndpointActors, mpsc::Receiver<DispatcherCommand>) {
    let (dispatcher, notes) = mpsc::channel(64);
    let (classes, tenants, zones, kinds, reports) = Default::default();
    let context = EndpointContext {
        config: ConnectionConfig {
            idle_closed_after: IDLE,
            connect_within: CONNECT,
        },
        names: Names {
            classes,
            tenants,
            zones,
            endpoint_kinds: kinds,
            reports,
        },
        idle: Arc::new(Semaphore::new(64)),
        dispatcher,
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    (EndpointActors::new(Arc::new(context), SLOTS), notes)
}

fn endpoint(number: u32) -> EndpointId {
    EndpointId {
        address: [127, 0, 0, 1],
        port: 9,
        incarnation: number,
    }
}

fn call(attempt: u8) -> EndpointCommand {
    EndpointCommand::StartAttempt(Box::new(AttemptRequest {
        id: MessageId(1),
        attempt,
        request_id: format!("r-{attempt}"),
        idempotency_key: None,
        body: bytes::Bytes::from_static(b"body"),
        timeout: Duration::from_secs(5),
        send_by: tokio::time::Instant::now() + Duration::from_secs(5),
    }))
}

fn tasks() -> usize {
    tokio::runtime::Handle::current()
        .metrics()
        .num_alive_tasks()
}

/// Lets the actors run until so many tasks are left.
async fn settle(wanted: usize) {
    for _ in 0..1_000 {
        if tasks() == wanted {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("{} tasks instead of {wanted}", tasks());
}

/// Guards memory: 91,000 endpoints, each visited once in 455 s, leave no more actors than the visits of one rest.
#[tokio::test]
async fn actors_follow_the_endpoints_in_use_and_not_those_ever_used() {
    const VISITS: u32 = 91_000;
    const APART: Micros = 5_000; // µs between two visits
    let (mut actors, _notes) = actors();
    let most = (REST / APART) as usize;
    for visit in 0..VISITS {
        let now = Micros::from(visit) * APART;
        actors.look(now);
        assert!(actors.post(now, endpoint(visit), EndpointCommand::CloseIdle));
        assert!(actors.running.len() <= most && actors.looks.len() == actors.running.len());
        if visit % 1_000 == 0 {
            settle(actors.running.len()).await;
        }
    }
    assert_eq!(actors.running.len(), most);
    actors.look(Micros::from(VISITS) * APART + REST);
    assert!(actors.running.is_empty() && actors.looks.is_empty());
    settle(0).await;
}

/// Guards calls and their call-offs: an actor with one out stays however long that takes, then rests from its end on.
#[tokio::test]
async fn an_actor_with_a_call_out_stays() {
    let (mut actors, _notes) = actors();
    assert!(actors.post(0, endpoint(1), EndpointCommand::CloseIdle));
    actors.call_begun(endpoint(1));
    actors.look(10 * REST);
    assert!(actors.is_running(endpoint(1)));
    let ended = 10 * REST + 1;
    actors.call_ended(ended, endpoint(1));
    actors.look(ended + REST - 1);
    assert!(actors.is_running(endpoint(1)));
    actors.look(actors.next_look().expect("one is due"));
    assert!(!actors.is_running(endpoint(1)));
    assert_eq!(actors.next_look(), None);
    // One that its list has sent off leaves nothing to be looked at.
    assert!(actors.post(0, endpoint(2), EndpointCommand::CloseIdle));
    actors.end(endpoint(2));
    assert!(actors.running.is_empty() && actors.looks.is_empty());
}

/// Guards rule 1 where a call comes just as the actor ends: in each order the calls go out, each once.
#[tokio::test]
async fn a_call_that_meets_the_end_of_an_actor_is_carried() {
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
    let (mut actors, mut notes) = actors();
    let there = EndpointId {
        port,
        ..endpoint(1)
    };
    // One lies in the mailbox as that is dropped, one comes behind it.
    assert!(actors.post(0, there, call(0)));
    actors.look(REST);
    assert!(!actors.is_running(there));
    assert!(actors.post(REST, there, call(1)));
    // One finds the mailbox closed by the actor's side.
    let (closed, _) = mpsc::channel(1);
    actors.running.get_mut(&there).expect("it runs").mailbox = closed;
    assert!(actors.post(REST, there, call(2)));
    let mut delivered = Vec::new();
    while delivered.len() < 3 {
        let note = tokio::time::timeout(Duration::from_secs(5), notes.recv())
            .await
            .expect("in time");
        let Some(DispatcherCommand::Event(Event::AttemptEnded {
            attempt,
            outcome: Outcome::Delivered,
            ..
        })) = note
        else {
            panic!("not delivered")
        };
        delivered.push(attempt);
    }
    delivered.sort_unstable();
    assert_eq!(delivered, [0, 1, 2]);
    assert!(
        tokio::time::timeout(Duration::from_millis(200), notes.recv())
            .await
            .is_err(),
        "once is enough"
    );
}

/// Guards memory: what one visited endpoint costs beside its connection. A mailbox holds its notes in blocks of 32.
#[test]
fn a_note_is_small_for_mailboxes_keep_room_for_dozens() {
    assert!(
        std::mem::size_of::<EndpointCommand>() <= 16,
        "{} bytes",
        std::mem::size_of::<EndpointCommand>()
    );
}
