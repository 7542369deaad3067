//! Checks that the bytes of the completion reports do not change: each recorded batch is sent to the actor, and the
//! bytes that a server receives on a TCP connection are compared with the recorded bytes.

use super::*;
use crate::golden_cases::{text, GoldenCases};
use crate::platform::AgentAddress;
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
        _ => panic!("the case has an unknown ending"),
    };
    let request_id = input["request id"]
        .as_str()
        .expect("the case has a request id")
        .to_owned();
    PendingCompletionReport {
        serial: serial as u64,
        request_id,
        ending,
    }
}

/// Reads one request, up to the last byte of the body that its head announces.
async fn read_request(stream: &mut TcpStream) -> String {
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
                return request;
            }
        }
        let read = tokio::time::timeout(REQUEST_TIMEOUT, stream.read_buf(&mut bytes)).await;
        assert_ne!(
            read.expect("the request arrives within 10 s")
                .expect("the stream is readable"),
            0,
            "the connection ended before the request was complete"
        );
    }
}

/// Sends the reports of a case to the actor and gives it the recorded responses. Returns the bytes of its requests, and
/// the serial numbers that it reports to the dispatcher as acknowledged.
async fn exchange(input: &Value) -> Value {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (_address_sender, agent_address) = watch::channel(AgentAddress::set_now(address));
    let (dispatcher, mut commands) = mpsc::channel(4);
    let (mailbox, pending_reports) = mpsc::unbounded_channel();
    for (serial, report) in input["ends"]
        .as_array()
        .expect("the case has reports")
        .iter()
        .enumerate()
    {
        mailbox
            .send(pending_report(serial, report))
            .expect("the mailbox is open");
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
    for status in input["answers"].as_array().expect("the case has responses") {
        // Each response closes its connection.
        let (mut stream, _) = listener.accept().await.expect("the actor connects");
        let request = read_request(&mut stream).await;
        requests.push(text(
            request
                .replace(&address.to_string(), "127.0.0.1:PORT")
                .as_bytes(),
        ));
        let response = format!(
            "HTTP/1.1 {}\r\nConnection: close\r\n\r\n",
            status.as_str().expect("the response is a status")
        );
        stream
            .write_all(response.as_bytes())
            .await
            .expect("the response is written");
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
