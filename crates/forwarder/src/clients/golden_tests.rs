//! Guards the bytes between clients and the forwarder against unintended changes: each recorded request is written to a
//! real connection, and the submission decoded from it and the bytes of the answer are compared with the recorded ones.

use super::connection::{serve_connection, ConnectionService};
use super::connection_state::ConnectionState;
use super::submission_service::ConnectionMode;
use super::*;
use crate::commands::{SubmissionAnswer, SubmissionRequest};
use crate::golden_cases::{text, GoldenCases};
use crate::startup_config::ClientMemory;
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

const MEMORY: ClientMemory = ClientMemory {
    body_budget_bytes: 1_000_000,
    read_buffer_bytes: 32 * 1024,
};

/// Returns a service with two delivery classes: `record` is idempotent, and `notice` needs an idempotency key.
fn service(submissions: mpsc::Sender<SubmissionRequest>) -> SubmissionService {
    let owned = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let names = Names {
        classes: owned(&["record", "notice"]),
        tenants: owned(&["plain", "campus"]),
        zones: owned(&["a", "b"]),
        endpoint_kinds: owned(&["m1", "m2"]),
        load_metrics: owned(&["x0", "x1"]),
    };
    let record = DeliveryClassConfig {
        semantics: DeliverySemantics::Idempotent,
        time_to_live: 12_000_000,
        ..DeliveryClassConfig::default()
    };
    let keyed_semantics = DeliverySemantics::IdempotencyKeyed {
        scope: opalpulley::DeduplicationScope::AllEndpoints,
        window: 15_000_000,
    };
    let notice = DeliveryClassConfig {
        semantics: keyed_semantics,
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
        MEMORY,
        submissions,
        Logger::root(slog::Discard, slog::o!()),
    )
}

/// Accepts one connection and serves it until it ends.
async fn serve_one_connection(listener: TcpListener, service: SubmissionService) {
    let (stream, _) = listener.accept().await.expect("the client connects");
    let state = Arc::new(ConnectionState::new(Arc::default()));
    serve_connection(
        stream,
        ConnectionService {
            submission_service: Arc::new(service),
            state,
            mode: ConnectionMode::Serve,
        },
    )
    .await;
}

/// Returns the dispatcher's answer that the input prescribes.
fn recorded_answer(input: &Value) -> SubmissionAnswer {
    let retry_after = input["retry_after_us"].as_u64();
    match input["verdict"].as_str().unwrap_or("accepted") {
        "accepted" => SubmissionAnswer::Accepted,
        "rejected" => SubmissionAnswer::Rejected { retry_after },
        "failed" => SubmissionAnswer::Failed,
        "no room" => SubmissionAnswer::ResourceExhausted,
        "other content" => SubmissionAnswer::ConflictingContent,
        "destination not listed" => SubmissionAnswer::UnknownDestination,
        other => panic!("the case has an unknown answer of the dispatcher: {other}"),
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

/// Returns the bytes of an answer as text, with the time in its `date` header replaced.
fn without_date(answer: &[u8]) -> String {
    let answer = std::str::from_utf8(answer).expect("the answer is UTF-8");
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

/// Reads an answer up to the length that its head announces.
async fn read_answer(client: &mut TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&answer).into_owned();
        if let Some(head) = text.find("\r\n\r\n") {
            let length = text[..head]
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length
                .expect("the head announces the length")
                .parse()
                .expect("the announced length is a number");
            if answer.len() >= head + 4 + length {
                return answer;
            }
        }
        let read =
            tokio::time::timeout(Duration::from_secs(10), client.read_buf(&mut answer)).await;
        assert_ne!(
            read.expect("the answer arrives within 10 s")
                .expect("the connection can be read"),
            0,
            "the connection ended before the answer was complete: {text}"
        );
    }
}

/// Returns the submission decoded from the input's request, if there was one, and the bytes of the answer.
async fn exchange(input: &Value) -> Value {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (sender, mut submissions) = mpsc::channel::<SubmissionRequest>(1);
    let service = service(sender);
    service
        .ready
        .store(input["not ready"] != true, Ordering::Relaxed);
    if input["closing"] == true {
        service.close_connections_after_answers();
    }
    tokio::spawn(serve_one_connection(listener, service));
    let recorded_answer = recorded_answer(input);
    let decode_task = tokio::spawn(async move {
        let submission = submissions.recv().await?;
        let rendered = render_submission(&submission.submitted);
        submission
            .answer_sender
            .send(recorded_answer)
            .expect("the service waits for the answer");
        Some(rendered)
    });
    let mut client = TcpStream::connect(address)
        .await
        .expect("the service accepts the connection");
    let request = input["request"].as_str().expect("the input has a request");
    // The server may answer and close the connection before the whole request is written.
    let _ = client.write_all(request.as_bytes()).await;
    if input["client closes its side"] == true {
        client
            .shutdown()
            .await
            .expect("the write half is shut down");
    }
    let answer = read_answer(&mut client).await;
    // Closing the connection ends the service, so that the decoding task no longer waits for a submission.
    drop(client);
    let decoded = decode_task.await.expect("the decoding task ends");
    json!({ "submission": decoded, "answer": without_date(&answer) })
}

#[tokio::test]
async fn decodes_and_answers_submissions_as_recorded() {
    let mut golden = GoldenCases::read("submissions.json");
    for input in golden.inputs() {
        golden.compare_next(exchange(&input).await);
    }
    golden.finish();
}
