//! Tests of the answers to submissions, the order of messages, and their attempts.

use crate::common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[test]
fn delivers_a_message_once_and_rejects_invalid_submissions() {
    let (endpoint, request_log) = endpoint_responding_with("200 OK");
    let setup = start_with_endpoint(endpoint, &startup_config("notice", "guarded", 200, 3.0));
    let forwarder = &setup.forwarder;
    assert_eq!(forwarder.submit("a1", "notice"), 202);
    wait_until("the message is delivered", || {
        count_calls(&request_log, "a1") == 1
    });
    let request = request_log.lock().expect("the request log is not poisoned")[0].clone();
    assert_eq!(
        (request.first_line.as_str(), request.body.as_slice()),
        ("POST /inbox HTTP/1.1", b"body".as_slice())
    );
    assert_eq!(request.headers["idempotency-key"], "k-a1");
    let head = submission_head("b1", "notice", 4);
    let invalid_requests = [
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
    for (head, expected_status) in invalid_requests {
        assert_eq!(
            forwarder.request_status(&head, b"body"),
            expected_status,
            "status of the submission {head:?}"
        );
    }
    // A length in addition to chunks may hide a request in the body. Neither the message nor the hidden request may be
    // forwarded.
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
    assert_eq!(forwarder.request_status(&head, b"bo"), 408); // the rest of the body is never sent
    assert_eq!(
        count_calls(&request_log, "b1") + count_calls(&request_log, "b2"),
        0
    );
    assert_eq!(forwarder.submit("a2", "notice"), 202);
    wait_until("the next message is delivered", || {
        count_calls(&request_log, "a2") == 1
    });
}

/// Two messages with the same id and different content must not be taken for one.
#[test]
fn rejects_the_id_of_an_unfinished_message_with_different_content() {
    let (endpoint, _) = silent_endpoint();
    let setup = start_with_endpoint(endpoint, &startup_config("notice", "free", 200, 3.0));
    let forwarder = &setup.forwarder;
    let head = submission_head("one", "notice", 4);
    let answers = [b"body", b"body", b"ydob"].map(|body| forwarder.request_status(&head, body));
    assert_eq!(answers, [202, 202, 409]);
}

#[test]
fn rejects_submissions_while_the_journal_is_full() {
    let endpoint_accepts = Arc::new(AtomicBool::new(false));
    let accepts = endpoint_accepts.clone();
    let (endpoint, _) = serve(move |_, _| match accepts.load(Ordering::Relaxed) {
        true => empty_response("200 OK"),
        false => empty_response("429 Wait\r\nWait-Ms: 300"),
    });
    let setup = start_with_endpoint(endpoint, &startup_config("notice", "free", 200, 0.4));
    let forwarder = &setup.forwarder;
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
        "expected accepted submissions, then rejected ones, got {answers:?}"
    );
    let files = std::fs::read_dir(&setup.state)
        .expect("the state folder is readable")
        .map(|f| f.expect("the entry is readable").metadata());
    let used_bytes: u64 = files
        .map(|metadata| metadata.expect("the file has a size").len().div_ceil(512) * 512)
        .sum();
    assert!(
        used_bytes <= 400_000,
        "expected at most 400000 bytes on disk, got {used_bytes}"
    );
    endpoint_accepts.store(true, Ordering::Relaxed);
    wait_until("messages are accepted again", || submit(99) == 202);
}

/// The order of a key also holds across a kill with its first message in flight: the second is sent once the first is
/// completed.
#[test]
fn serializes_messages_of_an_order_key_across_a_kill() {
    let endpoint_accepts = Arc::new(AtomicBool::new(false));
    let accepts = endpoint_accepts.clone();
    let (endpoint, request_log) = serve(move |request, _| {
        let hangs = request.headers["request-id"] == "first" && !accepts.load(Ordering::Relaxed);
        (!hangs).then(|| empty_response("200 OK")).flatten()
    });
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let config_text = startup_config("notice", "guarded", 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let mut forwarder = start(&state, &config_text, platform.address);
    let submit = |forwarder: &Forwarder, id: &str, key: &str| {
        let head = submission_head(id, "notice", 4)
            .replace("\r\n\r\n", &format!("\r\nAffinity-Key: {key}\r\n\r\n"));
        assert_eq!(
            forwarder.request_status(&head, b"body"),
            202,
            "status of the submission {id}"
        );
    };
    submit(&forwarder, "first", "000b832b68ec333d");
    wait_until("the first message is sent", || {
        count_calls(&request_log, "first") == 1
    });
    submit(&forwarder, "second", "000b832b68ec333d");
    submit(&forwarder, "other", "00026d498200dd15");
    wait_until("a message with another key is delivered", || {
        count_calls(&request_log, "other") == 1
    });
    assert_eq!(count_calls(&request_log, "second"), 0);
    kill_and_wait(&mut forwarder);
    forwarder = start(&state, &config_text, platform.address);
    wait_until("the first message is sent again", || {
        count_calls(&request_log, "first") >= 2
    });
    submit(&forwarder, "last", "00026d498200dd15");
    wait_until("another message with another key is delivered", || {
        count_calls(&request_log, "last") == 1
    });
    assert_eq!(count_calls(&request_log, "second"), 0);
    endpoint_accepts.store(true, Ordering::Relaxed);
    wait_until("the second message is sent", || {
        count_calls(&request_log, "second") == 1
    });
    let log = request_log.lock().expect("the request log is not poisoned");
    let ids: Vec<&str> = log
        .iter()
        .map(|request| request.headers["request-id"].as_str())
        .collect();
    assert_eq!(
        ids[ids.len() - 2..],
        ["first", "second"],
        "last two of the requests {ids:?}"
    );
}

/// Guards against an attempt that was sent although another endpoint of the destination had requested a retry-after while
/// the connection was being opened. The fault occurred in an operator's complete fleet.
#[test]
fn honours_retry_after_received_while_a_connection_opens() {
    let slow = FullBacklogListener::bind("127.0.0.2");
    let (quick, quick_request_log) = serve(|_, n| {
        empty_response(if n == 0 {
            "429 Wait\r\nWait-Ms: 2500"
        } else {
            "200 OK"
        })
    });
    let platform = start_platform(vec![member(slow.address, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let config_text = startup_config("notice", "guarded", 200, 3.0)
        .replace("TimeoutUs\":1000000", "TimeoutUs\":5000000");
    let forwarder = start(&state, &config_text, platform.address);
    assert_eq!(forwarder.submit("slow", "notice"), 202);
    push_change(
        &platform,
        endpoint_list(2, false, &[member(quick, 7, "Ready")]),
    );
    sleep_ms(400);
    assert_eq!(forwarder.submit("quick", "notice"), 202);
    wait_until("the endpoint `quick` responds with a retry-after", || {
        count_calls(&quick_request_log, "quick") == 1
    });
    let (_, slow_request_log) = slow.accept_and_serve(|_, _| empty_response("200 OK"));
    sleep_ms(2300);
    let requests_seen = || {
        [&slow_request_log, &quick_request_log]
            .map(|log| log.lock().expect("the request log is not poisoned").len())
    };
    assert_eq!(
        requests_seen(),
        [0, 1],
        "expected no further request within the retry-after"
    );
    wait_until("both messages are delivered after the retry-after", || {
        requests_seen().iter().sum::<usize>() == 3
    });
}
