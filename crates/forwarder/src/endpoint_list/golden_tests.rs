//! Proves that the exchange with discovery stays the same: the bytes of the calls for the complete list and for a watch, and
//! what each recorded answer is decoded to.

use super::*;
use crate::commands::{DispatcherCommand, EndpointListCommand};
use crate::golden_cases::{text, GoldenCases};
use crate::platform::PlatformClient;
use opalpulley::{EndpointEntry, EndpointListUpdate, EndpointStatus, Event};
use opalpulley_config::Names;
use serde_json::{json, Value};
use slog::Logger;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

const WITHIN: Duration = Duration::from_secs(10);

fn names() -> Names {
    let texts = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: texts(&["a", "b", "other-zone"]),
        endpoint_kinds: texts(&["m1", "m2", "other-kind"]),
        reports: Vec::new(),
    }
}

fn render_entry(entry: &EndpointEntry) -> Value {
    let [a, b, c, d] = entry.endpoint.address;
    let readiness = match entry.status {
        EndpointStatus::Ready => "ready",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Removed => "gone",
    };
    json!({
        "address": format!("{a}.{b}.{c}.{d}:{}", entry.endpoint.port),
        "holder": entry.endpoint.incarnation,
        "zone": entry.zone.0,
        "up since us": entry.up_since,
        "readiness": readiness,
        "rate": entry.rate,
        "destination": entry.destination.0,
        "kind": entry.kind.0,
    })
}

fn render_event(note: DispatcherCommand) -> Value {
    let DispatcherCommand::Event(Event::EndpointListUpdated(news)) = note else {
        panic!("another event")
    };
    let entries = |entries: &[EndpointEntry]| entries.iter().map(render_entry).collect::<Vec<_>>();
    match news {
        EndpointListUpdate::Complete(all) => json!({ "complete list": entries(&all) }),
        EndpointListUpdate::Changes(changes) => json!({ "changes": entries(&changes) }),
        EndpointListUpdate::Cached(all) => json!({ "cached list": entries(&all) }),
        EndpointListUpdate::Failed => json!("failed"),
    }
}

/// Answers the calls of one list's actor in turn. Gives the bytes of each call, the one after the last answer included,
/// and the events that they led to.
async fn exchange(input: &Value) -> Value {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (_moves, discovery) = watch::channel(address);
    let (dispatcher, mut events) = mpsc::channel(64);
    let (commands, mailbox) = mpsc::channel(4);
    let must_be_polled = input["must be asked"] == true;
    let log = Logger::root(slog::Discard, slog::o!());
    let platform = PlatformClient::new(address);
    let table = EndpointTable::default();
    let list = EndpointListWatch {
        platform,
        discovery,
        names: names(),
        table,
        must_be_polled,
        dispatcher,
        log,
    };
    tokio::spawn(list.run(mailbox));
    let mut calls = Vec::new();
    let mut rendered = Vec::new();
    let answers = input["answers"].as_array().expect("answers");
    for answer in answers.iter().map(Some).chain([None]) {
        let (mut stream, _) = tokio::time::timeout(WITHIN, listener.accept())
            .await
            .expect("in time")
            .expect("a connection");
        let mut call = Vec::new();
        while !call.ends_with(b"\r\n\r\n") {
            let read = tokio::time::timeout(WITHIN, stream.read_buf(&mut call)).await;
            assert_ne!(
                read.expect("in time").expect("readable"),
                0,
                "the call is cut off"
            );
        }
        let call = String::from_utf8(call).expect("a call is text");
        calls.push(text(
            call.replace(&address.to_string(), "127.0.0.1:PORT")
                .as_bytes(),
        ));
        // A call comes once the answer before it is dealt with.
        while let Ok(event) = events.try_recv() {
            rendered.push(render_event(event));
        }
        let Some(answer) = answer else { break };
        let status = answer["status"].as_str().unwrap_or("200 OK");
        let body = answer["body"].as_str().unwrap_or("");
        let length = answer["announced length"]
            .as_u64()
            .unwrap_or(body.len() as u64);
        let answer = format!(
            "HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(answer.as_bytes()).await.expect("answered");
        if must_be_polled {
            let event = tokio::time::timeout(WITHIN, events.recv())
                .await
                .expect("in time");
            rendered.push(render_event(event.expect("an event")));
            commands
                .send(EndpointListCommand::StartWatch)
                .await
                .expect("the actor runs");
        }
    }
    json!({ "calls": calls, "events": rendered })
}

#[tokio::test]
async fn the_list_is_asked_for_and_decoded_as_recorded() {
    let mut golden = GoldenCases::read("endpoint-list.json");
    for input in golden.inputs() {
        golden.compare_next(exchange(&input).await);
    }
    golden.finish();
}
