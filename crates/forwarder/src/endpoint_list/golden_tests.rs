//! Checks that the exchange with discovery stays the same: the bytes of the requests for the complete list and for a
//! watch, and the events that each recorded response is decoded to.

use super::*;
use crate::commands::{DispatcherCommand, EndpointListCommand};
use crate::golden_cases::{text, GoldenCases};
use crate::platform::AgentAddress;
use crate::platform::PlatformClient;
use opalpulley::{EndpointEntry, EndpointListUpdate, EndpointStatus, Event};
use opalpulley_config::Names;
use serde_json::{json, Value};
use slog::Logger;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

const TIMEOUT: Duration = Duration::from_secs(10);

fn names() -> Names {
    let to_strings = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: to_strings(&["a", "b", "other-zone"]),
        endpoint_kinds: to_strings(&["m1", "m2", "other-kind"]),
        load_metrics: Vec::new(),
    }
}

fn render_entry(entry: &EndpointEntry) -> Value {
    let [a, b, c, d] = entry.endpoint.address;
    let status = match entry.status {
        EndpointStatus::Ready => "ready",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Removed => "gone",
    };
    json!({
        "address": format!("{a}.{b}.{c}.{d}:{}", entry.endpoint.port),
        "holder": entry.endpoint.incarnation,
        "zone": entry.zone.0,
        "up since us": entry.up_since,
        "readiness": status,
        "rate": entry.rate,
        "destination": entry.destination.0,
        "kind": entry.kind.0,
    })
}

fn render_event(command: DispatcherCommand) -> Value {
    let DispatcherCommand::Event(Event::EndpointListUpdated(update)) = command else {
        panic!("expected an update of the endpoint list")
    };
    let render_entries =
        |entries: &[EndpointEntry]| entries.iter().map(render_entry).collect::<Vec<_>>();
    match update {
        EndpointListUpdate::Complete(all) => json!({ "complete list": render_entries(&all) }),
        EndpointListUpdate::Changes(changes) => json!({ "changes": render_entries(&changes) }),
        EndpointListUpdate::Cached(all) => json!({ "cached list": render_entries(&all) }),
        EndpointListUpdate::Failed => json!("failed"),
    }
}

/// Responds to the requests of one actor in turn. Returns the bytes of each request, including the one after the last
/// response, and the events that the responses led to.
async fn exchange(input: &Value) -> Value {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener is bound");
    let address = listener.local_addr().expect("the listener has an address");
    let (_address_sender, agent_address) = watch::channel(AgentAddress::set_now(address));
    let (dispatcher, mut events) = mpsc::channel(64);
    let (commands, command_receiver) = mpsc::channel(4);
    let must_be_polled = input["must be asked"] == true;
    let log = Logger::root(slog::Discard, slog::o!());
    let platform = PlatformClient::new(address);
    let table = EndpointTable::default();
    let list_watch = EndpointListWatch {
        platform,
        agent_address,
        names: names(),
        table,
        must_be_polled,
        dispatcher,
        log,
    };
    tokio::spawn(list_watch.run(command_receiver));
    let mut requests = Vec::new();
    let mut rendered_events = Vec::new();
    let responses = input["answers"]
        .as_array()
        .expect("the input has a list of responses");
    for response in responses.iter().map(Some).chain([None]) {
        let (mut stream, _) = tokio::time::timeout(TIMEOUT, listener.accept())
            .await
            .expect("the exchange continues within 10 s")
            .expect("a connection is accepted");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let read = tokio::time::timeout(TIMEOUT, stream.read_buf(&mut request)).await;
            assert_ne!(
                read.expect("the exchange continues within 10 s")
                    .expect("the connection is readable"),
                0,
                "expected a complete request head"
            );
        }
        let request = String::from_utf8(request).expect("the request head is UTF-8");
        requests.push(text(
            request
                .replace(&address.to_string(), "127.0.0.1:PORT")
                .as_bytes(),
        ));
        // A request arrives only after the previous response has been handled.
        while let Ok(event) = events.try_recv() {
            rendered_events.push(render_event(event));
        }
        let Some(response) = response else { break };
        let status = response["status"].as_str().unwrap_or("200 OK");
        let body = response["body"].as_str().unwrap_or("");
        let length = response["announced length"]
            .as_u64()
            .unwrap_or(body.len() as u64);
        let response = format!(
            "HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        stream
            .write_all(response.as_bytes())
            .await
            .expect("the response is written");
        if must_be_polled {
            let event = tokio::time::timeout(TIMEOUT, events.recv())
                .await
                .expect("the exchange continues within 10 s");
            rendered_events.push(render_event(event.expect("the actor sends an event")));
            commands
                .send(EndpointListCommand::StartWatch)
                .await
                .expect("the actor is running");
        }
    }
    json!({ "calls": requests, "events": rendered_events })
}

#[tokio::test]
async fn sends_golden_requests_and_decodes_golden_responses() {
    let mut golden = GoldenCases::read("endpoint-list.json");
    for input in golden.inputs() {
        golden.compare_next(exchange(&input).await);
    }
    golden.finish();
}
