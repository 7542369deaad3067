//! Proves that the bytes between clients and the forwarder stay the same: each recorded request is written to a real
//! connection, the submission decoded from it and the bytes of the answer are compared with the recorded ones.

use super::connection::{serve_connection, ConnectionService};
use super::connection_state::ConnectionState;
use super::submission_service::ConnectionUse;
use super::*;
use crate::commands::{SubmissionAnswer, SubmissionRequest};
use crate::golden_cases::{text, GoldenCases};
use opalpulley::{Config, DeliveryClassConfig, DeliverySemantics};
use opalpulley_config::Names;
use serde_json::{json, Value};
use slog::Logger;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Two delivery classes: `record` may be repeated, `notice` needs an idempotency key.
fn service(submissions: mpsc::Sender<SubmissionRequest>) -> SubmissionService {
    let texts = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let names = Names {
        classes: texts(&["record", "notice"]),
        tenants: texts(&["plain", "campus"]),
        zones: texts(&["a", "b"]),
        endpoint_kinds: texts(&["m1", "m2"]),
        load_metrics: texts(&["x0", "x1"]),
    };
    let record = DeliveryClassConfig {
        semantics: DeliverySemantics::Idempotent,
        time_to_live: 12_000_000,
        ..DeliveryClassConfig::default()
    };
    let keyed = DeliverySemantics::IdempotencyKeyed {
        scope: opalpulley::DeduplicationScope::AllEndpoints,
        window: 15_000_000,
    };
    let notice = DeliveryClassConfig {
        semantics: keyed,
        time_to_live: 28_000_000,
        ..DeliveryClassConfig::default()
    };
    let config = Config {
        classes: vec![record, notice],
        ..Config::default()
    };
    SubmissionService::new(
        names,
        &config,
        submissions,
        Logger::root(slog::Discard, slog::o!()),
    )
}

/// Serves the one connection that comes to this listener.
async fn serve_one(listener: TcpListener, service: SubmissionService) {
    let (stream, _) = listener.accept().await.expect("a client");
    let state = Arc::new(ConnectionState::new(Arc::default()));
    serve_connection(
        stream,
        ConnectionService {
            submission_service: Arc::new(service),
            state,
            connection_use: ConnectionUse::Serve,
        },
    )
    .await;
}

fn verdict(input: &Value) -> SubmissionAnswer {
    let retry_after = input["retry_after_us"].as_u64();
    match input["verdict"].as_str().unwrap_or("accepted") {
        "accepted" => SubmissionAnswer::Accepted,
        "rejected" => SubmissionAnswer::Rejected { retry_after },
        "failed" => SubmissionAnswer::Failed,
        "no room" => SubmissionAnswer::ResourceExhausted,
        "other content" => SubmissionAnswer::ConflictingContent,
        "destination not listed" => SubmissionAnswer::UnknownDestination,
        other => panic!("{other} is no verdict"),
    }
}

fn render_submission(submitted: &crate::protocol::SubmittedMessage) -> Value {
    json!({
        "request id": submitted.request_id,
        "class": submitted.class.0,
        "tenant": submitted.tenant.map(|tenant| tenant.0),
        "destination": submitted.destination.0,
        "time left us": submitted.time_left,
        "idempotency key": submitted.idempotency_key,
        "order key": submitted.order_key.map(|key| format!("{key:016x}")),
        "repeated by client": submitted.resubmitted,
        "from a forwarder that died": submitted.from_failed_forwarder,
        "body": text(&submitted.body),
    })
}

/// The bytes of an answer as text, with the time of day in its `date` header left out.
fn without_date(answer: &[u8]) -> String {
    let answer = std::str::from_utf8(answer).expect("an answer is text");
    let lines = answer.split_inclusive("\r\n");
    lines
        .map(|line| {
            if line.starts_with("date: ") {
                "date: DATE\r\n"
            } else {
                line
            }
        })
        .collect()
}

/// The bytes of the answer that comes, to the last one that its head announces.
async fn read_answer(client: &mut TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&answer).into_owned();
        if let Some(head) = text.find("\r\n\r\n") {
            let length = text[..head]
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length
                .expect("an announced length")
                .parse()
                .expect("a length");
            if answer.len() >= head + 4 + length {
                return answer;
            }
        }
        let read =
            tokio::time::timeout(Duration::from_secs(10), client.read_buf(&mut answer)).await;
        assert_ne!(
            read.expect("in time").expect("readable"),
            0,
            "the answer is cut off: {text}"
        );
    }
}

/// The submission decoded from a request, if one was, and the bytes of the answer.
async fn exchange(input: &Value) -> Value {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (sender, mut submissions) = mpsc::channel::<SubmissionRequest>(1);
    let service = service(sender);
    service
        .ready
        .store(input["not ready"] != true, Ordering::Relaxed);
    if input["closing"] == true {
        service.close_connections_after_answers();
    }
    tokio::spawn(serve_one(listener, service));
    let verdict = verdict(input);
    let decode = tokio::spawn(async move {
        let submission = submissions.recv().await?;
        let rendered = render_submission(&submission.submitted);
        submission
            .answer_sender
            .send(verdict)
            .expect("it is awaited");
        Some(rendered)
    });
    let mut client = TcpStream::connect(address).await.expect("a connection");
    let request = input["request"].as_str().expect("a request");
    // A server that has seen enough may close while the rest is written.
    let _ = client.write_all(request.as_bytes()).await;
    if input["client closes its side"] == true {
        client.shutdown().await.expect("the end is written");
    }
    let answer = read_answer(&mut client).await;
    // The end of the connection ends the service, and with it the wait for a submission.
    drop(client);
    let decoded = decode.await.expect("it ends");
    json!({ "submission": decoded, "answer": without_date(&answer) })
}

#[tokio::test]
async fn each_submission_is_decoded_and_answered_as_recorded() {
    let mut golden = GoldenCases::read("submissions.json");
    for input in golden.inputs() {
        golden.compare_next(exchange(&input).await);
    }
    golden.finish();
}
