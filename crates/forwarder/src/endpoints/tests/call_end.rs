//! Tests of when an attempt ends: not before its response is written whole or its connection is closed. Until then the call
//! is out, and a further attempt at its message would be a second copy.

use super::*;
use std::io::{ErrorKind, Read};

/// Upper bound on the time from a complete response to the report of its outcome.
const REPORTED_WITHIN: Duration = Duration::from_millis(50);
/// Upper bound on the time for which the body of an error is awaited.
const ERROR_REPORTED_WITHIN: Duration = Duration::from_millis(200);
/// Upper bound on the time for which any other body is awaited.
const GIVEN_UP_WITHIN: Duration = Duration::from_millis(700);
/// Interval between two parts of a body that keeps coming.
const PART_INTERVAL: Duration = Duration::from_millis(10);

/// Returns whether the peer has closed the connection. Reads the socket directly, because the runtime may not have noticed
/// it yet.
fn is_closed(stream: &TcpStream) -> bool {
    let mut buffer = [0; 64];
    match (&*SockRef::from(stream)).read(&mut buffer) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Writes a head, and then parts of a body until an outcome is reported. Returns the outcome and the time that it took.
async fn outcome_with_endless_body(
    fixture: &mut TestFixture,
    stream: &mut TcpStream,
    head: &str,
    part: &str,
) -> (Outcome, Duration) {
    let written_at = Instant::now();
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is written");
    let outcome = tokio::select! {
        outcome = fixture.next_outcome() => outcome.0,
        () = write_parts(stream, part) => unreachable!("the body does not end"),
    };
    (outcome, written_at.elapsed())
}

/// Writes parts of a body for ever, also once the peer has closed the connection.
async fn write_parts(stream: &mut TcpStream, part: &str) {
    loop {
        let _ = stream.write_all(part.as_bytes()).await;
        tokio::time::sleep(PART_INTERVAL).await;
    }
}

/// Guards against a second copy of a message while the call before it is still being answered: its connection is closed
/// when its outcome is reported, whatever the status and the kind of the body.
#[tokio::test]
async fn connection_is_closed_when_the_outcome_of_an_endless_response_is_reported() {
    let statuses = [
        ("500 Error", Outcome::Error, ERROR_REPORTED_WITHIN),
        ("400 What", Outcome::Error, ERROR_REPORTED_WITHIN),
        ("302 Found", Outcome::Error, ERROR_REPORTED_WITHIN),
        ("202 Accepted", Outcome::Error, ERROR_REPORTED_WITHIN),
        ("429 Wait", Outcome::ConnectionReset, GIVEN_UP_WITHIN),
        ("503 Full", Outcome::ConnectionReset, GIVEN_UP_WITHIN),
        ("504 Used", Outcome::ConnectionReset, GIVEN_UP_WITHIN),
        ("410 Over", Outcome::ConnectionReset, GIVEN_UP_WITHIN),
    ];
    let bodies = [
        ("a long body", "Content-Length: 3000000000\r\n", "xxxx"),
        ("chunks", "Transfer-Encoding: chunked\r\n", "4\r\nxxxx\r\n"),
        ("a body without a length", "", "xxxx"),
        ("a body that stops", "Content-Length: 10\r\n", ""),
    ];
    for (status, expected_outcome, reported_within) in statuses {
        for (body, header, part) in bodies {
            let mut fixture = TestFixture::new().await;
            fixture.start_attempt(&Bytes::new(), 20_000).await;
            let mut stream = fixture.accept().await;
            read_request(&mut stream).await;
            let head = format!("HTTP/1.1 {status}\r\n{header}\r\n");
            let (outcome, elapsed) =
                outcome_with_endless_body(&mut fixture, &mut stream, &head, part).await;
            assert!(
                is_closed(&stream),
                "expected a closed connection at the report of {status} with {body}"
            );
            assert_eq!(outcome, expected_outcome, "{status} with {body}");
            assert!(
                elapsed < reported_within,
                "expected a report of {status} with {body} within {reported_within:?}, took {elapsed:?}"
            );
        }
    }
}

/// A response that is written whole ends the call: its outcome is not delayed, whether its connection could be used again or
/// not.
#[tokio::test]
async fn outcome_of_a_whole_response_is_reported_at_once() {
    for response in [
        "500 Error\r\nContent-Length: 0\r\n\r\n",
        "500 Error\r\nContent-Length: 4\r\n\r\nbody",
        "500 Error\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "503 Full\r\nContent-Length: 4\r\n\r\nbody",
    ] {
        let mut fixture = TestFixture::new().await;
        fixture.start_attempt(&Bytes::new(), 20_000).await;
        let mut stream = fixture.accept().await;
        read_request(&mut stream).await;
        let written_at = Instant::now();
        stream
            .write_all(format!("HTTP/1.1 {response}").as_bytes())
            .await
            .expect("the response is written");
        fixture.next_outcome().await;
        let elapsed = written_at.elapsed();
        assert!(
            elapsed < REPORTED_WITHIN,
            "expected a report of {response:?} within {REPORTED_WITHIN:?}, took {elapsed:?}"
        );
        assert!(
            is_closed(&stream),
            "expected a closed connection at the report of {response:?}"
        );
    }
}

/// Guards against a second copy of a message whose call was given up: the connection is closed when the outcome of a call
/// without a response, or with an invalid one, is reported.
#[tokio::test]
async fn connection_is_closed_when_a_call_is_given_up() {
    for (response_start, expected_outcome) in [
        ("", Outcome::Timeout),
        ("HTTP/1.1 50", Outcome::ConnectionReset),
        ("HTTP/1.1 500 Error\r\nX: half", Outcome::ConnectionReset),
        ("noise\r\n\r\n", Outcome::ConnectionReset),
        ("HTTP/1.1 103 Early\r\n\r\n", Outcome::Timeout),
    ] {
        let mut fixture = TestFixture::new().await;
        fixture.start_attempt(&Bytes::new(), 500).await;
        let mut stream = fixture.accept().await;
        read_request(&mut stream).await;
        stream
            .write_all(response_start.as_bytes())
            .await
            .expect("the start of the response is written");
        let (outcome, _) = fixture.next_outcome().await;
        assert!(
            is_closed(&stream),
            "expected a closed connection at the report after {response_start:?}"
        );
        assert_eq!(outcome, expected_outcome, "after {response_start:?}");
    }
    let mut fixture = TestFixture::new().await;
    fixture.start_attempt(&Bytes::new(), 20_000).await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    let cancel = EndpointCommand::CancelAttempt {
        id: MessageId(1),
        attempt_index: 0,
    };
    fixture.send_command(cancel).await;
    assert_eq!(fixture.next_outcome().await.0, Outcome::Cancelled);
    assert!(is_closed(&stream), "expected a closed connection");
}

/// Guards against a final answer after the deadline of its message: the wait for a response body ends at the deadline.
#[tokio::test]
async fn awaits_no_response_body_beyond_the_deadline_of_the_message() {
    const DEADLINE_MS: u64 = 80;
    for status in ["500 Error", "429 Wait", "503 Full", "410 Over"] {
        let mut fixture = TestFixture::new().await;
        let started_at = Instant::now();
        fixture.start_attempt_with_deadline(DEADLINE_MS).await;
        let mut stream = fixture.accept().await;
        read_request(&mut stream).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: 10\r\n\r\n");
        outcome_with_endless_body(&mut fixture, &mut stream, &head, "").await;
        let elapsed = started_at.elapsed();
        let reported_within = Duration::from_millis(DEADLINE_MS) + REPORTED_WITHIN;
        assert!(
            elapsed < reported_within,
            "expected a report of {status} within {reported_within:?}, took {elapsed:?}"
        );
    }
}
