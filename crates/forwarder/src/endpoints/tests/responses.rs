//! Tests of the outcome of an attempt for complete, incomplete and invalid responses.

use super::*;

#[tokio::test]
async fn maps_each_response_status_to_its_outcome() {
    let mut fixture = TestFixture::new().await;
    let retry_after = |ms: u64| Outcome::Rejected {
        retry_after: Some(ms * 1000),
    };
    let responses = [
        ("200 OK", Outcome::Delivered, true),
        ("500 Oops", Outcome::Error, false),
        ("429 Wait\r\nWait-Ms: 250", retry_after(250), false),
        ("429 Wait", Outcome::Rejected { retry_after: None }, false),
        ("503 Full", Outcome::Rejected { retry_after: None }, false),
        (
            "503 Slots\r\nSlots-Taken: 1",
            Outcome::NotAttempted { no_permit: true },
            false,
        ),
        (
            "504 Used",
            Outcome::NotAttempted { no_permit: false },
            false,
        ),
        ("410 Over", Outcome::NotAttempted { no_permit: false }, true),
        ("400 What", Outcome::Error, false),
    ];
    for (line, outcome, completed) in &responses {
        fixture.start_attempt(&Bytes::new(), 1000).await;
        let mut stream = fixture.accept().await;
        read_request(&mut stream).await;
        stream
            .write_all(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").as_bytes())
            .await
            .expect("the response is written");
        assert_eq!(
            fixture.next_outcome().await,
            (*outcome, *completed),
            "outcome of the status {line}"
        );
        assert!(
            closes_within_2s(&mut stream).await,
            "expected the connection to be closed after the status {line}"
        );
    }
}

#[tokio::test]
async fn delivers_on_status_200_with_an_incomplete_body() {
    let mut fixture = TestFixture::new().await;
    fixture.start_attempt(&Bytes::new(), 5000).await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
        .await
        .expect("the response is written");
    assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
    assert!(closes_within_2s(&mut stream).await);
}

/// A status line with status 200 confirms the delivery by itself. Any other status must come with a complete response,
/// because an incomplete one does not prove that the message had no effect. 1xx heads before the response, including 101,
/// change nothing.
#[tokio::test]
async fn reports_connection_reset_for_an_invalid_response_without_status_200() {
    let rejected = Outcome::Rejected { retry_after: None };
    let interim_heads =
        "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n";
    let cases = [
        (
            "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n".to_owned(),
            Outcome::Delivered,
        ),
        (
            "HTTP/1.1 200 OK\r\nX: without an end".to_owned(),
            Outcome::Delivered,
        ),
        (
            format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(100_000)),
            Outcome::Delivered,
        ),
        (
            "HTTP/1.1 503 Full\r\nContent-Length: 5\r\n\r\nab".to_owned(),
            Outcome::ConnectionReset,
        ),
        (
            "HTTP/1.1 503 Full\r\nX: without an end".to_owned(),
            Outcome::ConnectionReset,
        ),
        (
            format!(
                "HTTP/1.1 429 W\r\nContent-Length: 3000000000\r\n\r\n{}",
                "x".repeat(100_000)
            ),
            Outcome::ConnectionReset,
        ),
        (
            "HTTP/1.1 410 Over\r\nContent-Length: -1\r\n\r\n".to_owned(),
            Outcome::ConnectionReset,
        ),
        (
            "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Outcome::ConnectionReset,
        ),
        ("\0\u{1}noise\r\n\r\n".to_owned(), Outcome::ConnectionReset),
        ("HTT".to_owned(), Outcome::ConnectionReset),
        ("HTTP/1.1 200 O".to_owned(), Outcome::ConnectionReset),
        (
            format!("HTTP/1.1 200 {}\r\n\r\n", "x".repeat(100_000)),
            Outcome::ConnectionReset,
        ),
        (
            format!("{interim_heads}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            Outcome::Delivered,
        ),
        (
            format!("{interim_heads}HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno"),
            rejected,
        ),
    ];
    for (text, outcome) in cases {
        let mut fixture = TestFixture::new().await;
        fixture.start_attempt(&Bytes::new(), 20_000).await;
        let mut stream = fixture.accept().await;
        read_request(&mut stream).await;
        let started_at = Instant::now();
        // The actor closes the connection as soon as the response is known to be invalid, so that the write may fail.
        let _ = stream.write_all(text.as_bytes()).await;
        let response_start: String = text.chars().take(60).collect();
        assert_eq!(
            fixture.next_outcome().await,
            (outcome, outcome == Outcome::Delivered),
            "outcome of the response {response_start:?}"
        );
        assert!(
            started_at.elapsed() < Duration::from_secs(1),
            "expected an outcome within 1 s of the response {response_start:?}"
        );
        assert!(
            closes_within_2s(&mut stream).await,
            "expected the connection to be closed after the response {response_start:?}"
        );
    }
}

#[tokio::test]
async fn reports_the_outcome_of_a_health_check() {
    let mut fixture = TestFixture::new().await;
    for (line, outcome) in [
        ("200 OK", Outcome::Delivered),
        ("503 No", Outcome::Rejected { retry_after: None }),
    ] {
        fixture
            .mailbox
            .send(EndpointCommand::StartHealthCheck)
            .await
            .expect("the actor is running");
        let mut stream = fixture.accept().await;
        assert!(read_request(&mut stream)
            .await
            .starts_with(b"GET /alive HTTP/1.1\r\n"));
        let response = format!("HTTP/1.1 {line}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
        stream
            .write_all(response.as_bytes())
            .await
            .expect("the response is written");
        assert_eq!(fixture.next_outcome().await.0, outcome);
    }
}

/// A retry-after takes effect with the head of its response, even if the body is late, invalid or truncated, and with any
/// status but 200.
#[tokio::test]
async fn reports_retry_after_before_the_response_body_ends() {
    let cases = [
        (
            "429 W",
            "4\r\n\r\n",
            "late",
            Outcome::Rejected {
                retry_after: Some(700_000),
            },
        ),
        ("429 W", "4\r\n\r\n", "", Outcome::ConnectionReset),
        (
            "429 W",
            "3000000000\r\n\r\nxx",
            "",
            Outcome::ConnectionReset,
        ),
        (
            "503 F",
            "4\r\n\r\n",
            "late",
            Outcome::Rejected { retry_after: None },
        ),
        ("500 E", "0\r\n\r\n", "", Outcome::Error),
    ];
    for (status, rest, late_body, outcome) in cases {
        let mut fixture = TestFixture::new().await;
        fixture.start_attempt(&Bytes::new(), 20_000).await;
        let mut stream = fixture.accept().await;
        read_request(&mut stream).await;
        let head = format!("HTTP/1.1 {status}\r\nWait-Ms: 700\r\nContent-Length: {rest}");
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the response is written");
        // A retry-after must be reported within 100 ms, which is well before the timeout of the body.
        let reported =
            tokio::time::timeout(Duration::from_millis(100), fixture.events.recv()).await;
        assert!(
            matches!(
                reported,
                Ok(Some(DispatcherCommand::Event(Event::RetryAfterReceived {
                    retry_after: 700_000,
                    ..
                })))
            ),
            "expected a report of the retry-after within 100 ms of the head {head:?}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream
            .write_all(late_body.as_bytes())
            .await
            .expect("the response is written");
        stream
            .shutdown()
            .await
            .expect("the connection is shut down");
        assert_eq!(
            fixture.next_outcome().await,
            (outcome, false),
            "outcome of {head:?}"
        );
    }
}

/// Guards against a cancellation that closes a connection whose socket holds an unread retry-after.
#[tokio::test]
async fn prefers_a_response_in_the_socket_over_a_cancellation() {
    let mut fixture = TestFixture::new().await;
    fixture.start_attempt(&Bytes::new(), 20_000).await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    stream
        .try_write(b"HTTP/1.1 429 W\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n")
        .expect("the response is written");
    fixture
        .mailbox
        .try_send(EndpointCommand::CancelAttempt {
            id: MessageId(1),
            attempt_index: 0,
        })
        .expect("the mailbox has space");
    assert_eq!(
        fixture.next_outcome().await,
        (
            Outcome::Rejected {
                retry_after: Some(700_000)
            },
            false
        )
    );
}

/// A partial status line that is in the socket at a cancellation does not count as a response, whatever its first bytes
/// are.
#[tokio::test]
async fn ignores_a_partial_status_line_in_the_socket_at_cancellation() {
    let mut fixture = TestFixture::new().await;
    fixture.start_attempt(&Bytes::new(), 20_000).await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    stream
        .try_write(b"HTTP/1.1 200 OK\r")
        .expect("the response is written");
    fixture
        .mailbox
        .try_send(EndpointCommand::CancelAttempt {
            id: MessageId(1),
            attempt_index: 0,
        })
        .expect("the mailbox has space");
    assert_eq!(fixture.next_outcome().await, (Outcome::Cancelled, false));
}
