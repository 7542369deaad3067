//! Checks that the bytes exchanged with endpoints stay the same: attempts and health checks as written to a real connection,
//! and the events that each recorded response is decoded to.

use super::*;
use crate::commands::{AttemptJournalling, AttemptRequest, AttemptTimes, EndpointCommand};
use crate::golden_cases::{text, GoldenCases};
use bytes::Bytes;
use opalpulley::{EndpointId, MessageId, Outcome};
use serde_json::{json, Value};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The actor of an endpoint, with the listener that acts as the endpoint and the events that the actor sends.
struct Fixture {
    listener: TcpListener,
    mailbox: mpsc::Sender<EndpointCommand>,
    events: mpsc::Receiver<DispatcherCommand>,
}

async fn fixture() -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let port = listener
        .local_addr()
        .expect("the socket has a local address")
        .port();
    let (dispatcher, events) = mpsc::channel(16);
    let (mailbox, commands) = mpsc::channel(16);
    let names = Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: Vec::new(),
        endpoint_kinds: Vec::new(),
        load_metrics: vec!["x0".into(), "x1".into()],
    };
    let context = EndpointContext {
        config: ConnectionConfig {
            connection_idle_timeout: 5_000_000,
            connect_timeout: 5_000_000,
        },
        names,
        body_permits: Arc::new(Semaphore::new(4)),
        dispatcher,
        log: Logger::root(slog::Discard, slog::o!()),
    };
    let id = EndpointId {
        address: [127, 0, 0, 1],
        port,
        incarnation: 0,
    };
    tokio::spawn(Endpoint::new(id, Arc::new(context)).run(commands));
    Fixture {
        listener,
        mailbox,
        events,
    }
}

/// Returns the command for an attempt or, if the input has no request id, for a health check.
fn command(input: &Value) -> EndpointCommand {
    let Some(request_id) = input["request id"].as_str() else {
        return EndpointCommand::StartHealthCheck;
    };
    let attempt = AttemptRequest {
        id: MessageId(1),
        attempt_index: 0,
        request_id: request_id.to_owned(),
        idempotency_key: input["idempotency key"].as_str().map(str::to_owned),
        body: Bytes::from(
            input["body"]
                .as_str()
                .expect("the input has a body")
                .to_owned(),
        ),
        journalled: AttemptJournalling::BeforeStart,
        times: AttemptTimes {
            timeout: Duration::from_micros(
                input["attempt timeout us"]
                    .as_u64()
                    .expect("the input has an attempt timeout"),
            ),
            send_by: Instant::now() + TEST_TIMEOUT,
            deadline: Instant::now() + TEST_TIMEOUT,
        },
    };
    EndpointCommand::StartAttempt(Box::new(attempt))
}

fn render_outcome(outcome: Outcome) -> Value {
    match outcome {
        Outcome::Delivered => json!("delivered"),
        Outcome::Error => json!("error"),
        Outcome::Rejected { retry_after } => json!({ "rejected, retry-after us": retry_after }),
        Outcome::Timeout => json!("timeout"),
        Outcome::NoConnection => json!("no connection"),
        Outcome::ConnectionReset => json!("reset"),
        Outcome::Cancelled => json!("cancelled"),
        Outcome::WithdrawnBeforeSend => json!("withdrawn before send"),
        Outcome::NotAttempted { no_permit } => {
            json!({ "not attempted, no permit": no_permit })
        }
    }
}

fn render_event(command: DispatcherCommand) -> (Value, bool) {
    match command {
        DispatcherCommand::Event(Event::AttemptEnded {
            outcome,
            message_completed: completed,
            load_metrics,
            ..
        }) => (
            json!({ "attempt ended": render_outcome(outcome), "message over": completed, "report": load_metrics }),
            true,
        ),
        DispatcherCommand::Event(Event::HealthCheckEnded {
            outcome,
            load_metrics,
            ..
        }) => (
            json!({ "health check ended": render_outcome(outcome), "report": load_metrics }),
            true,
        ),
        DispatcherCommand::Event(Event::RetryAfterReceived { retry_after, .. }) => {
            (json!({ "retry-after us": retry_after }), false)
        }
        _ => panic!("unexpected command for the dispatcher"),
    }
}

/// Reads one request: its head, and the body whose length the head states.
async fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    loop {
        let request = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(head) = request.find("\r\n\r\n") {
            let length = request[..head]
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| {
                length.parse().expect("the content length is a number")
            });
            if bytes.len() >= head + 4 + length {
                return bytes;
            }
        }
        let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_buf(&mut bytes)).await;
        assert_ne!(
            read.expect("the request arrives within 10 s")
                .expect("the stream is readable"),
            0,
            "expected a complete request"
        );
    }
}

/// Returns the bytes of the request that the actor writes. The port, which differs in each run, is replaced.
async fn sent_request(input: &Value) -> Value {
    let Fixture {
        listener, mailbox, ..
    } = fixture().await;
    mailbox
        .send(command(input))
        .await
        .expect("the actor is running");
    let (mut stream, address) = listener
        .accept()
        .await
        .expect("the connection is established");
    assert!(address.ip().is_loopback());
    let port = listener
        .local_addr()
        .expect("the socket has a local address")
        .port();
    let request = String::from_utf8(read_request(&mut stream).await)
        .expect("the recorded requests are UTF-8");
    text(
        request
            .replace(&format!("127.0.0.1:{port}"), "127.0.0.1:PORT")
            .as_bytes(),
    )
}

/// Returns the events for one response, up to the event with the outcome.
async fn events_for_response(input: &Value) -> Value {
    let Fixture {
        listener,
        mailbox,
        mut events,
    } = fixture().await;
    let attempt = json!({ "request id": "a", "body": "", "attempt timeout us": 10_000_000 });
    let command = command(if input["to"] == "health check" {
        &Value::Null
    } else {
        &attempt
    });
    mailbox.send(command).await.expect("the actor is running");
    let (mut stream, _) = listener
        .accept()
        .await
        .expect("the connection is established");
    read_request(&mut stream).await;
    stream
        .write_all(
            input["answer"]
                .as_str()
                .expect("the input has a response")
                .as_bytes(),
        )
        .await
        .expect("the response is written");
    if input["then closes"] == true {
        drop(stream);
    }
    let mut rendered = Vec::new();
    loop {
        let event = tokio::time::timeout(TEST_TIMEOUT, events.recv())
            .await
            .expect("an event arrives within 10 s")
            .expect("the actor sends an event");
        let (event, last) = render_event(event);
        rendered.push(event);
        if last {
            return Value::from(rendered);
        }
    }
}

#[tokio::test]
async fn encodes_attempts_and_health_checks_as_recorded() {
    let mut golden = GoldenCases::read("endpoint-requests.json");
    for input in golden.inputs() {
        golden.compare_next(sent_request(&input).await);
    }
    golden.finish();
}

#[tokio::test]
async fn decodes_responses_as_recorded() {
    let mut golden = GoldenCases::read("endpoint-answers.json");
    for input in golden.inputs() {
        golden.compare_next(events_for_response(&input).await);
    }
    golden.finish();
}
