//! Endpoints whose responses keep coming. A message must not be sent again before the call before it has ended: it is out
//! until its response is written or its connection is closed.

use crate::common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after which an endpoint notices at the latest that its connection is closed.
const DETECTION_DELAY: Duration = Duration::from_millis(50);
/// Upper bound on the time from a call with an endless error to the next attempt: the wait for the body, the backoff and the
/// overhead of a busy machine.
const NEXT_ATTEMPT_WITHIN: Duration = Duration::from_millis(600);
/// Number of submitted messages.
const MESSAGES: usize = 4;

/// One call as its endpoint has seen it.
#[derive(Clone, Copy)]
struct Call {
    arrived_at: Instant,
    /// `None` while the endpoint writes its response and the connection is open.
    ended_at: Option<Instant>,
}

/// The calls by the id of their message, in the order of their arrival.
type Calls = Arc<Mutex<BTreeMap<String, Vec<Call>>>>;

/// Guards against two calls of one message that are out at once: the response to each first call is an error whose body
/// keeps coming on an open connection.
#[test]
fn sends_no_message_again_while_its_call_is_being_answered() {
    for body_header in ["Content-Length: 3000000000", "Transfer-Encoding: chunked"] {
        let calls = Calls::default();
        let endpoint_calls = calls.clone();
        let endpoint =
            serve_connections(move |stream| answer_call(stream, &endpoint_calls, body_header));
        let config_text = startup_config("notice", "free", 200, 3.0).replace(
            "\"Cancelling\":true",
            "\"Cancelling\":true,\"SecondCopies\":false",
        );
        let setup = start_with_endpoint(endpoint, &config_text);
        // One message after the other: many errors at once would eject the endpoint.
        for number in 0..MESSAGES {
            let id = format!("m{number}");
            assert_eq!(setup.forwarder.submit(&id, "notice"), 202);
            wait_until("the message is sent twice", || {
                let calls = calls.lock().expect("the calls are not poisoned");
                calls
                    .get(&id)
                    .is_some_and(|of_message| of_message.len() == 2)
            });
        }
        // The endpoint may notice the end of a call after it has received the next one.
        std::thread::sleep(2 * DETECTION_DELAY);
        let calls = calls.lock().expect("the calls are not poisoned");
        for (id, of_message) in calls.iter() {
            assert_calls_do_not_overlap(id, of_message[0], of_message[1]);
        }
    }
}

fn assert_calls_do_not_overlap(id: &str, first: Call, second: Call) {
    let first_ended_at = first.ended_at.expect("the first call has ended");
    let overlap = first_ended_at.saturating_duration_since(second.arrived_at);
    assert!(
        overlap < DETECTION_DELAY,
        "expected the second call of {id} after the first one has ended, came {overlap:?} before"
    );
    let delay = second.arrived_at - first.arrived_at;
    assert!(
        delay < NEXT_ATTEMPT_WITHIN,
        "expected the next attempt at {id} within {NEXT_ATTEMPT_WITHIN:?}, took {delay:?}"
    );
}

/// Answers the first call of a message with an endless error, and later ones with status 200.
fn answer_call(mut stream: TcpStream, calls: &Calls, body_header: &str) {
    let Some(request) = read_http_message(&mut stream) else {
        return;
    };
    let Some(id) = request.headers.get("request-id").cloned() else {
        return answer_with_ok(&mut stream); // a health check
    };
    let call_index = record_arrival(calls, &id);
    if call_index == 0 {
        let head = format!("HTTP/1.1 500 Error\r\n{body_header}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        while stream.write_all(b"4\r\nxxxx\r\n").is_ok() {
            sleep_ms(5);
        }
    } else {
        answer_with_ok(&mut stream);
    }
    let mut calls = calls.lock().expect("the calls are not poisoned");
    let of_message = calls.get_mut(&id).expect("the call is recorded");
    of_message[call_index].ended_at = Some(Instant::now());
}

fn answer_with_ok(stream: &mut TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

/// Records a call of a message, and returns its index among the calls of the message.
fn record_arrival(calls: &Calls, id: &str) -> usize {
    let mut calls = calls.lock().expect("the calls are not poisoned");
    let of_message = calls.entry(id.to_owned()).or_default();
    of_message.push(Call {
        arrived_at: Instant::now(),
        ended_at: None,
    });
    of_message.len() - 1
}
