//! What becomes of a submission: its answer, its order, its attempts.

use crate::common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[test]
fn a_message_is_delivered_once_and_each_invalid_request_gets_its_status() {
    let (endpoint, seen) = endpoint_with("200 OK");
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "guarded", 200, 3.0),
        platform.address,
    );
    assert_eq!(forwarder.submit("a1", "notice"), 202);
    wait_until("it is delivered", || count_calls(&seen, "a1") == 1);
    let request = seen.lock().expect("the log")[0].clone();
    assert_eq!(
        (request.first_line.as_str(), request.body.as_slice()),
        ("POST /inbox HTTP/1.1", b"body".as_slice())
    );
    assert_eq!(request.headers["idempotency-key"], "k-a1");
    let head = submission_head("b1", "notice", 4);
    let bad = [
        (head.replace("Envelope: dest=7\r\n", ""), 400),
        (head.replace("dest=7", "dest=x"), 400),
        (head.replace("Request-Id: b1\r\n", ""), 400),
        (head.replace("20000", "soon"), 400),
        (head.replace("20000", "28001"), 400),
        (head.replace("dest=7", "dest=8"), 503),
        (head.replace("Idempotency-Key: k-b1\r\n", ""), 400),
        (
            head.replace("Request-Class: notice", "Request-Class: other"),
            400,
        ),
        (head.replace("POST /notice", "PUT /notice"), 405),
        (head.replace("POST /notice", "POST /elsewhere"), 404),
        (
            head.replace("Content-Length: 4", "Content-Length: 65537"),
            413,
        ),
        (
            head.replace("Content-Length: 4", "Content-Length: four"),
            400,
        ),
        (
            head.replace("Host: x", &format!("Host: {}", "x".repeat(100_000))),
            431,
        ),
        ("POST /up HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), 405),
    ];
    for (head, wanted) in bad {
        assert_eq!(forwarder.request_status(&head, b"body"), wanted, "{head}");
    }
    // A length beside chunks may hide a request in the body. Neither that nor this one is forwarded.
    let chunked = head.replace(
        "Content-Length: 4",
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
    );
    let hidden = [
        b"0\r\n\r\n",
        submission_head("b2", "notice", 4).as_bytes(),
        b"body",
    ]
    .concat();
    assert_eq!(forwarder.request_status(&chunked, &hidden), 411);
    let chunked = head.replace("Content-Length: 4", "Transfer-Encoding: chunked");
    let body = [
        b"20000\r\n".as_slice(),
        &vec![b'x'; 0x20000],
        b"\r\n0\r\n\r\n",
    ]
    .concat();
    assert_eq!(forwarder.request_status(&chunked, &body), 411);
    assert_eq!(forwarder.request_status(&head, b"bo"), 408); // the rest never comes
    assert_eq!(count_calls(&seen, "b1") + count_calls(&seen, "b2"), 0);
    assert_eq!(forwarder.submit("a2", "notice"), 202);
    wait_until("it serves on", || count_calls(&seen, "a2") == 1);
}

/// Rule 1: two messages under one id are not taken for one.
#[test]
fn an_id_in_flight_with_other_content_is_a_conflict() {
    let (endpoint, _) = silent_endpoint();
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "free", 200, 3.0),
        platform.address,
    );
    let head = submission_head("one", "notice", 4);
    let answers = [b"body", b"body", b"ydob"].map(|body| forwarder.request_status(&head, body));
    assert_eq!(answers, [202, 202, 409]);
}

#[test]
fn a_full_journal_rejects_until_messages_are_over() {
    let open = Arc::new(AtomicBool::new(false));
    let gate = open.clone();
    let (endpoint, _) = serve(move |_, _| match gate.load(Ordering::Relaxed) {
        true => empty_response("200 OK"),
        false => empty_response("429 Wait\r\nWait-Ms: 300"),
    });
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "free", 200, 0.4),
        platform.address,
    );
    let body = vec![b'x'; 40_000];
    let submit = |n: usize| {
        forwarder.request_status(
            &submission_head(&format!("p{n}"), "notice", body.len()),
            &body,
        )
    };
    let answers: Vec<u16> = (0..8).map(submit).collect();
    assert!(
        answers.starts_with(&[202]) && answers.ends_with(&[503]),
        "{answers:?}"
    );
    let files = std::fs::read_dir(&state)
        .expect("the folder")
        .map(|f| f.expect("a file").metadata());
    let used: u64 = files
        .map(|m| m.expect("its size").len().div_ceil(512) * 512)
        .sum();
    assert!(used <= 400_000, "{used}");
    open.store(true, Ordering::Relaxed);
    wait_until("it accepts messages again", || submit(99) == 202);
}

/// The order of a key holds also over a kill with its first message in flight: the second goes once the first is over.
#[test]
fn messages_of_one_key_go_one_at_a_time_also_over_a_kill() {
    let open = Arc::new(AtomicBool::new(false));
    let gate = open.clone();
    let (endpoint, seen) = serve(move |m, _| {
        let hangs = m.headers["request-id"] == "first" && !gate.load(Ordering::Relaxed);
        (!hangs).then(|| empty_response("200 OK")).flatten()
    });
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let text = startup_config("notice", "guarded", 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let mut forwarder = start(&state, &text, platform.address);
    let submit = |forwarder: &Forwarder, id: &str, key: &str| {
        let head = submission_head(id, "notice", 4)
            .replace("\r\n\r\n", &format!("\r\nAffinity-Key: {key}\r\n\r\n"));
        assert_eq!(forwarder.request_status(&head, b"body"), 202, "{id}");
    };
    submit(&forwarder, "first", "000b832b68ec333d");
    wait_until("the first is out", || count_calls(&seen, "first") == 1);
    submit(&forwarder, "second", "000b832b68ec333d");
    submit(&forwarder, "other", "00026d498200dd15");
    wait_until("one of another key passes it", || {
        count_calls(&seen, "other") == 1
    });
    assert_eq!(count_calls(&seen, "second"), 0);
    kill(&mut forwarder);
    forwarder = start(&state, &text, platform.address);
    wait_until("the first is out again", || {
        count_calls(&seen, "first") >= 2
    });
    submit(&forwarder, "last", "00026d498200dd15");
    wait_until("one of another key passes it again", || {
        count_calls(&seen, "last") == 1
    });
    assert_eq!(count_calls(&seen, "second"), 0);
    open.store(true, Ordering::Relaxed);
    wait_until("the second follows", || count_calls(&seen, "second") == 1);
    let log = seen.lock().expect("the log");
    let ids: Vec<&str> = log
        .iter()
        .map(|m| m.headers["request-id"].as_str())
        .collect();
    assert_eq!(ids[ids.len() - 2..], ["first", "second"], "{ids:?}");
}

/// In the operators' full fleet one endpoint of a destination asked for a retry-after while the connection to another opened,
/// and the attempt was sent there all the same.
#[test]
fn an_attempt_whose_connection_opens_late_honours_a_retry_after_received_meanwhile() {
    let slow = FullBacklogListener::bind("127.0.0.2");
    let (quick, quick_seen) = serve(|_, n| {
        empty_response(if n == 0 {
            "429 Wait\r\nWait-Ms: 2500"
        } else {
            "200 OK"
        })
    });
    let platform = start_platform(vec![member(slow.address, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let text = startup_config("notice", "guarded", 200, 3.0)
        .replace("TimeoutUs\":1000000", "TimeoutUs\":5000000");
    let forwarder = start(&state, &text, platform.address);
    assert_eq!(forwarder.submit("slow", "notice"), 202);
    push_change(
        &platform,
        endpoint_list(2, false, &[member(quick, 7, "Ready")]),
    );
    pause(400);
    assert_eq!(forwarder.submit("quick", "notice"), 202);
    wait_until("a retry-after is sent", || {
        count_calls(&quick_seen, "quick") == 1
    });
    let (_, slow_seen) = slow.accept_and_serve(|_, _| empty_response("200 OK"));
    pause(2300);
    let requests_seen = || [&slow_seen, &quick_seen].map(|log| log.lock().expect("the log").len());
    assert_eq!(requests_seen(), [0, 1], "inside the retry-after");
    wait_until("both are delivered after it", || {
        requests_seen().iter().sum::<usize>() == 3
    });
}
