//! Proves that completion reports go to the platform with the same bytes: each recorded batch of ends is given to the actor,
//! and the bytes that come over a real connection are compared with the recorded ones.

use super::*;
use crate::golden_cases::{text, GoldenCases};
use crate::protocol::Ending;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

fn pending_report(serial: usize, input: &Value) -> PendingCompletionReport {
    let ending = match input["ending"].as_str() {
        Some("failed") => Ending::Failed,
        Some("rejected") => Ending::Rejected {
            retry_after: input["retry-after us"].as_u64(),
        },
        _ => panic!("no ending"),
    };
    let request_id = input["request id"].as_str().expect("an id").to_owned();
    PendingCompletionReport {
        serial: serial as u64,
        request_id,
        ending,
    }
}

/// The request that comes, to the last byte of the body that its head announces.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let request = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(head) = request.find("\r\n\r\n") {
            let length = request[..head]
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
            if bytes.len() >= head + 4 + length {
                return request;
            }
        }
        let read = tokio::time::timeout(REQUEST_TIMEOUT, stream.read_buf(&mut bytes)).await;
        assert_ne!(
            read.expect("in time").expect("readable"),
            0,
            "the request is cut off"
        );
    }
}

/// The bytes of the completion report, and the serial numbers that count as acknowledged after the platform's answer.
async fn exchange(input: &Value) -> Value {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (_address_sender, agent_address) = watch::channel(address);
    let (dispatcher, mut commands) = mpsc::channel(4);
    let (mailbox, pending_reports) = mpsc::unbounded_channel();
    for (serial, report) in input["ends"].as_array().expect("ends").iter().enumerate() {
        mailbox
            .send(pending_report(serial, report))
            .expect("it is open");
    }
    let platform = PlatformClient::new(address);
    let log = Logger::root(slog::Discard, slog::o!());
    tokio::spawn(
        CompletionReporter {
            platform,
            agent_address,
            dispatcher,
            log,
        }
        .run(pending_reports),
    );
    let mut requests = Vec::new();
    for answer in input["answers"].as_array().expect("answers") {
        // Each answer ends its connection.
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let request = read_request(&mut stream).await;
        requests.push(text(
            request
                .replace(&address.to_string(), "127.0.0.1:PORT")
                .as_bytes(),
        ));
        let answer = format!(
            "HTTP/1.1 {}\r\nConnection: close\r\n\r\n",
            answer.as_str().expect("a status")
        );
        stream.write_all(answer.as_bytes()).await.expect("answered");
    }
    let mut serials = Vec::new();
    while let Ok(Some(DispatcherCommand::CompletionReportsAcknowledged(acknowledged_serials))) =
        tokio::time::timeout(Duration::from_millis(100), commands.recv()).await
    {
        serials.extend(acknowledged_serials);
    }
    json!({ "requests": requests, "acknowledged": serials })
}

#[tokio::test]
async fn sends_completion_reports_as_recorded() {
    let mut golden = GoldenCases::read("completion-reports.json");
    for input in golden.inputs() {
        golden.compare_next(exchange(&input).await);
    }
    golden.finish();
}
