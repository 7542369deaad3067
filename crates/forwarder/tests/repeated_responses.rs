//! Tests of a peer that writes the response to an earlier request once more. The copy must never be taken for the response to
//! a later request: it says nothing about that request. `docs/incidents/repeated-responses.md` has the incident.

mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const DELIVERED: &str = "200 OK";
const REJECTED: &str = "503 Full";
const OVER: &str = "410 Over";

/// Time after which a connection with a complete response counts as idle, in ms. The forwarder may reuse it from then on.
const IDLE_MS: u64 = 50;

/// Time that the endpoint takes for the response to a request before which it has written a copy, in ms.
const SERVICE_MS: u64 = 80;

/// Time to live of a message that can't be delivered, in ms.
const SHORT_TIME_TO_LIVE_MS: &str = "900";

/// The calls that an endpoint has received, by the id of their message.
type CallCounts = Arc<Mutex<BTreeMap<String, usize>>>;

/// An endpoint that precedes the response to each request by a copy of the previous response on the connection.
#[derive(Clone)]
struct RepeatingEndpoint {
    calls: CallCounts,
    /// Time from the last byte of a request to the copy, in ms.
    copy_delay_ms: u64,
    /// Returns the status of the response to a call, by the id of the message and the number of earlier calls with it.
    status: fn(&str, usize) -> &'static str,
}

impl RepeatingEndpoint {
    fn start(copy_delay_ms: u64, status: fn(&str, usize) -> &'static str) -> (SocketAddr, Self) {
        let endpoint = RepeatingEndpoint {
            calls: CallCounts::default(),
            copy_delay_ms,
            status,
        };
        let server = endpoint.clone();
        let address = serve_connections(move |stream| server.handle_connection(stream));
        (address, endpoint)
    }

    fn handle_connection(&self, mut stream: TcpStream) {
        let mut previous_response: Option<String> = None;
        while let Some(request) = read_http_message(&mut stream) {
            if let Some(copy) = &previous_response {
                sleep_ms(self.copy_delay_ms);
                write_ignoring_errors(&mut stream, copy);
                sleep_ms(SERVICE_MS);
            }
            let earlier_calls = self.count_call(&request.headers["request-id"]);
            let status = (self.status)(&request.headers["request-id"], earlier_calls);
            let response = empty_response(status).expect("the response is not empty");
            write_ignoring_errors(&mut stream, &response);
            previous_response = Some(response);
        }
    }

    /// Counts a call and returns the number of earlier ones with this message.
    fn count_call(&self, id: &str) -> usize {
        let mut calls = self.calls.lock().expect("the counts are not poisoned");
        let count = calls.entry(id.to_owned()).or_default();
        *count += 1;
        *count - 1
    }

    fn call_count(&self, id: &str) -> usize {
        let calls = self.calls.lock().expect("the counts are not poisoned");
        calls.get(id).copied().unwrap_or(0)
    }
}

/// Writes to a peer that may have closed the connection.
fn write_ignoring_errors(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

fn submit_with_time_to_live(forwarder: &Forwarder, id: &str, time_to_live_ms: &str) {
    let head = submission_head(id, "notice", 4).replace("20000", time_to_live_ms);
    assert_eq!(
        forwarder.request_status(&head, b"body"),
        202,
        "status of the submission {id}"
    );
}

fn undeliverable(id: &str) -> String {
    format!("{{\"id\":\"{id}\",\"status\":\"undeliverable\"}}")
}

/// Guards against a message that was lost because a copy of the 200 response to an earlier message was read as its response.
#[test]
fn copied_200_does_not_deliver_the_next_message() {
    for effect in ["free", "guarded", "single_shot"] {
        for copy_delay_ms in [0, 1, 5, 30] {
            assert_copy_does_not_end_the_next_message(effect, copy_delay_ms, |id, _| match id {
                "first" => DELIVERED,
                _ => REJECTED,
            });
        }
    }
}

/// Submits a message that the endpoint completes, and then one that it rejects. The second must be reported, although a copy of
/// the first response precedes its own where they share a connection.
fn assert_copy_does_not_end_the_next_message(
    effect: &str,
    copy_delay_ms: u64,
    status: fn(&str, usize) -> &'static str,
) {
    let (address, endpoint) = RepeatingEndpoint::start(copy_delay_ms, status);
    let setup = start_with_endpoint(address, &startup_config("notice", effect, 200, 3.0));
    assert_eq!(setup.forwarder.submit("first", "notice"), 202);
    wait_until("the first message is called", || {
        endpoint.call_count("first") == 1
    });
    sleep_ms(IDLE_MS);
    submit_with_time_to_live(&setup.forwarder, "second", SHORT_TIME_TO_LIVE_MS);
    wait_until("the second message is reported", || {
        report_lines(&setup.platform) == [undeliverable("second")]
    });
}

/// Guards against a message that was lost because of a copy that comes while the connection carries no request.
#[test]
fn copied_200_between_requests_does_not_deliver_the_next_message() {
    let address = serve_connections(|mut stream| {
        while let Some(request) = read_http_message(&mut stream) {
            let is_first = request.headers["request-id"] == "first";
            let status = if is_first { DELIVERED } else { REJECTED };
            let response = empty_response(status).expect("the response is not empty");
            write_ignoring_errors(&mut stream, &response);
            if is_first {
                sleep_ms(IDLE_MS);
                write_ignoring_errors(&mut stream, &response);
            }
        }
    });
    let setup = start_with_endpoint(address, &startup_config("notice", "guarded", 200, 3.0));
    assert_eq!(setup.forwarder.submit("first", "notice"), 202);
    sleep_ms(2 * IDLE_MS);
    submit_with_time_to_live(&setup.forwarder, "second", SHORT_TIME_TO_LIVE_MS);
    wait_until("the second message is reported", || {
        report_lines(&setup.platform) == [undeliverable("second")]
    });
}

/// Guards against a message that was lost because each response on a connection was read as the response to the next request,
/// after a copy had come at an earlier one.
#[test]
fn copied_200_does_not_shift_the_responses_of_later_messages() {
    let third_called = Arc::new(AtomicUsize::new(0));
    let third_called_by_server = third_called.clone();
    let address = serve_connections(move |mut stream| {
        let ok = empty_response(DELIVERED).expect("the response is not empty");
        let full = empty_response(REJECTED).expect("the response is not empty");
        let mut responses_on_connection = 0;
        while let Some(request) = read_http_message(&mut stream) {
            match request.headers["request-id"].as_str() {
                "second" if responses_on_connection > 0 => {
                    write_ignoring_errors(&mut stream, &ok); // a copy of the first response
                    let third = read_http_message(&mut stream);
                    third_called_by_server.fetch_add(third.iter().count(), Ordering::Relaxed);
                    write_ignoring_errors(&mut stream, &ok); // the response to the second request
                    sleep_ms(SERVICE_MS);
                    write_ignoring_errors(&mut stream, &full);
                }
                "third" => {
                    third_called_by_server.fetch_add(1, Ordering::Relaxed);
                    write_ignoring_errors(&mut stream, &full);
                }
                _ => write_ignoring_errors(&mut stream, &ok),
            }
            responses_on_connection += 1;
        }
    });
    let setup = start_with_endpoint(address, &startup_config("notice", "guarded", 200, 3.0));
    for id in ["first", "second"] {
        assert_eq!(setup.forwarder.submit(id, "notice"), 202);
        sleep_ms(IDLE_MS);
    }
    submit_with_time_to_live(&setup.forwarder, "third", SHORT_TIME_TO_LIVE_MS);
    wait_until("the third message is called", || {
        third_called.load(Ordering::Relaxed) > 0
    });
    wait_until("the third message is reported", || {
        report_lines(&setup.platform) == [undeliverable("third")]
    });
}

/// Guards against a message that ran twice because a copy of an earlier 503 response was taken as proof that it had not run.
#[test]
fn copied_503_does_not_prove_that_the_next_message_has_not_run() {
    let (address, endpoint) =
        RepeatingEndpoint::start(0, |id, earlier_calls| match (id, earlier_calls) {
            ("first", 0) => REJECTED,
            _ => DELIVERED,
        });
    let setup = start_with_endpoint(address, &startup_config("notice", "single_shot", 200, 3.0));
    submit_with_time_to_live(&setup.forwarder, "first", "60");
    wait_until("the first message is called", || {
        endpoint.call_count("first") == 1
    });
    sleep_ms(IDLE_MS);
    assert_eq!(setup.forwarder.submit("second", "notice"), 202);
    wait_until("the second message is called", || {
        endpoint.call_count("second") > 0
    });
    sleep_ms(2_000); // longer than the backoff before a retry
    assert_eq!(endpoint.call_count("second"), 1);
}

/// Guards against a message that was lost because a copy of an earlier 410 response said that nothing was owed any more.
#[test]
fn copied_410_does_not_end_the_next_message() {
    assert_copy_does_not_end_the_next_message("guarded", 0, |id, _| match id {
        "first" => OVER,
        _ => REJECTED,
    });
}

/// Guards against a completion report that was lost because a copy of an earlier acknowledgement was read as its response.
#[test]
fn copied_acknowledgement_does_not_acknowledge_the_next_report() {
    let (endpoint, _) = endpoint_responding_with(REJECTED);
    let acknowledged: Arc<Mutex<String>> = Arc::default();
    let acknowledged_by_server = acknowledged.clone();
    let rejections_left = Arc::new(AtomicUsize::new(1));
    let platform = serve_connections(move |mut stream| {
        let acknowledgement = empty_response("204 No Content").expect("the response is not empty");
        let failure = empty_response("500 Oops").expect("the response is not empty");
        let mut acknowledged_on_connection = false;
        while let Some(request) = read_http_message(&mut stream) {
            if !request.first_line.starts_with("POST /v1/outcomes") {
                respond_with_list(&mut stream, &request, &[member(endpoint, 7, "Ready")]);
                continue;
            }
            if acknowledged_on_connection {
                write_ignoring_errors(&mut stream, &acknowledgement);
                sleep_ms(SERVICE_MS);
            }
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let is_second = body.contains("second");
            if is_second && rejections_left.swap(0, Ordering::Relaxed) > 0 {
                write_ignoring_errors(&mut stream, &failure);
                continue;
            }
            acknowledged_by_server
                .lock()
                .expect("the reports are not poisoned")
                .push_str(&body);
            write_ignoring_errors(&mut stream, &acknowledgement);
            acknowledged_on_connection = true;
        }
    });
    let (_folder, state) = state_folder();
    let config = startup_config("notice", "guarded", 200, 3.0);
    let forwarder = start(&state, &config, platform);
    for id in ["first", "second"] {
        submit_with_time_to_live(&forwarder, id, "300");
        sleep_ms(500);
    }
    wait_until("the second report is acknowledged", || {
        let reports = acknowledged.lock().expect("the reports are not poisoned");
        reports.contains(&undeliverable("second"))
    });
}

/// Guards against a message for an endpoint that had left the list, after a copy of an earlier list was read as the response to
/// a later watch.
#[test]
fn copied_list_does_not_bring_back_a_removed_endpoint() {
    let (removed, removed_log) = endpoint_responding_with(DELIVERED);
    let (listed, _) = endpoint_responding_with(DELIVERED);
    let first_list = endpoint_list(1, true, &[member(removed, 7, "Ready")]);
    let change = endpoint_list(
        2,
        false,
        &[member(removed, 7, "Gone"), member(listed, 7, "Ready")],
    );
    let watches_after_change = Arc::new(AtomicUsize::new(0));
    let watches_counted = watches_after_change.clone();
    let platform = serve_connections(move |mut stream| {
        let mut list_sent_on_connection = false;
        while let Some(request) = read_http_message(&mut stream) {
            let response = if request.first_line.contains("index=1&") {
                ok_response(&change)
            } else if request.first_line.contains("index=2&") {
                watches_counted.fetch_add(1, Ordering::Relaxed);
                if list_sent_on_connection {
                    let copy = ok_response(&first_list).expect("the response is not empty");
                    write_ignoring_errors(&mut stream, &copy);
                }
                sleep_ms(300);
                ok_response(&endpoint_list(2, false, &[]))
            } else {
                list_sent_on_connection = true;
                ok_response(&first_list)
            };
            write_ignoring_errors(&mut stream, &response.expect("the response is not empty"));
        }
    });
    let (_folder, state) = state_folder();
    let config = startup_config("notice", "guarded", 200, 3.0);
    let forwarder = start(&state, &config, platform);
    wait_until("the change is in force", || {
        watches_after_change.load(Ordering::Relaxed) > 0
    });
    sleep_ms(IDLE_MS);
    for index in 0..20 {
        assert_eq!(forwarder.submit(&format!("message-{index}"), "notice"), 202);
    }
    thread::sleep(Duration::from_millis(600));
    assert_eq!(
        removed_log.lock().expect("the log is not poisoned").len(),
        0
    );
}

/// Responds to a request for the endpoint list. A watch is answered without changes after 300 ms.
fn respond_with_list(stream: &mut TcpStream, request: &HttpMessage, members: &[String]) {
    let is_watch = request.first_line.contains("index=");
    let list = if is_watch {
        sleep_ms(300);
        endpoint_list(1, false, &[])
    } else {
        endpoint_list(1, true, members)
    };
    let response = ok_response(&list).expect("the response is not empty");
    write_ignoring_errors(stream, &response);
}
