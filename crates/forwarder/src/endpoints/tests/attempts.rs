//! What an attempt writes, and how it ends without an answer.

use super::*;

#[tokio::test]
async fn a_request_carries_the_message_unchanged_and_its_length_is_exact() {
    let mut fixture = TestFixture::new().await;
    for body in [Bytes::new(), Bytes::from_static(b"any \0 bytes\r\n\r\n")] {
        fixture.start_attempt(&body, 1500).await;
        let mut stream = fixture.accept().await;
        let bytes = read_request(&mut stream).await;
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        assert!(text.starts_with("post /inbox http/1.1\r\n"));
        for line in [
            "request-id: 9b1f03aa5c7e2d41",
            "idempotency-key: 5c0f6e1a",
            "request-timeout-ms: 1500",
        ] {
            assert!(
                text.contains(&format!("\r\n{line}\r\n")),
                "{line} in {text}"
            );
        }
        assert!(bytes.ends_with(&body));
        let port = fixture.listener.local_addr().expect("its address").port();
        let endpoint = EndpointId {
            address: [127, 0, 0, 1],
            port,
            incarnation: 0,
        };
        let limit = Duration::from_millis(1500);
        let request =
            protocol::encode_attempt(endpoint, "9b1f03aa5c7e2d41", Some("5c0f6e1a"), limit, &body)
                .expect("a request");
        assert_eq!(request.wire_bytes, bytes.len() as u64);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
            .await
            .expect("sent");
        assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
    }
}

/// Rule 2: whether an attempt may have taken effect follows from the bytes that were written.
#[tokio::test]
async fn a_lost_connection_is_a_reset_only_after_the_last_byte() {
    let mut fixture = TestFixture::new().await;
    fixture
        .start_attempt(&Bytes::from_static(b"body"), 1000)
        .await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    drop(stream);
    assert_eq!(
        fixture.next_outcome().await,
        (Outcome::ConnectionReset, false)
    );
    // So large that it is not written whole to an endpoint that reads nothing.
    fixture
        .start_attempt(&Bytes::from(vec![7; 32 << 20]), 5000)
        .await;
    let stream = fixture.accept().await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(stream);
    assert_eq!(fixture.next_outcome().await, (Outcome::NoConnection, false));
    let TestFixture {
        listener,
        mailbox,
        events,
        attempts,
    } = fixture;
    let address = listener.local_addr().expect("its address");
    drop(listener);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    assert_ne!(listener.local_addr().expect("its address"), address);
    let mut fixture = TestFixture {
        listener,
        mailbox,
        events,
        attempts,
    };
    fixture.start_attempt(&Bytes::new(), 1000).await;
    assert_eq!(fixture.next_outcome().await, (Outcome::NoConnection, false));
}

#[tokio::test]
async fn a_timeout_or_cancellation_closes_the_connection() {
    let mut fixture = TestFixture::new().await;
    fixture.start_attempt(&Bytes::new(), 100).await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    assert_eq!(fixture.next_outcome().await, (Outcome::Timeout, false));
    assert!(is_closed(&mut stream).await);
    fixture.start_attempt(&Bytes::new(), 60_000).await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    fixture
        .mailbox
        .send(EndpointCommand::CancelAttempt {
            id: MessageId(1),
            attempt_index: 1,
        })
        .await
        .expect("the actor runs");
    assert_eq!(fixture.next_outcome().await, (Outcome::Cancelled, false));
    assert!(is_closed(&mut stream).await);
}

/// After the send deadline no byte goes out: neither on a connection that opens late nor on one that is open already.
#[tokio::test]
async fn an_attempt_past_its_send_deadline_writes_no_byte() {
    let mut fixture = TestFixture::new().await;
    let before = fixture.fill_the_backlog().await;
    fixture
        .start_attempt_within(&Bytes::from_static(b"late"), 1500, 100)
        .await;
    assert_eq!(
        fixture.next_outcome().await,
        (Outcome::NotAttempted { no_permit: false }, false)
    );
    for _ in 0..before.len() {
        fixture.accept().await;
    }

    fixture
        .start_attempt(&Bytes::from_static(b"in time"), 1500)
        .await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    stream.write_all(OK).await.expect("sent");
    assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
    fixture
        .start_attempt_within(&Bytes::from_static(b"late"), 1500, 0)
        .await;
    assert_eq!(
        fixture.next_outcome().await,
        (Outcome::NotAttempted { no_permit: false }, false)
    );
    let mut byte = [0];
    let none = tokio::time::timeout(Duration::from_millis(100), stream.read(&mut byte)).await;
    assert!(
        !matches!(none, Ok(Ok(1))),
        "a byte of a request past its send deadline"
    );
}

/// A retry-after once came while a connection opened, and the request was sent on it all the same.
#[tokio::test]
async fn an_attempt_or_health_check_is_withdrawn_until_its_last_byte_is_written() {
    let mut fixture = TestFixture::new().await;
    let before = fixture.fill_the_backlog().await;
    fixture
        .start_attempt(&Bytes::from_static(b"chosen before"), 1500)
        .await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    fixture.withdraw_unsent().await;
    fixture
        .send_command(EndpointCommand::StartHealthCheck)
        .await;
    fixture.withdraw_unsent().await;
    for _ in before {
        fixture.accept().await;
    }
    // Half written, to an endpoint that reads nothing.
    fixture
        .start_attempt(&Bytes::from(vec![7; 32 << 20]), 5000)
        .await;
    let mut half = fixture.accept().await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    fixture.withdraw_unsent().await;
    let mut received = 0;
    while let Ok(1..) = half
        .read(&mut vec![0; 1 << 20])
        .await
        .inspect(|n| received += n)
    {}
    assert!(received < 32 << 20, "it came whole");
    // A request that was written whole goes on, also on a connection that has carried others. It can still be cancelled.
    fixture
        .start_attempt(&Bytes::from_static(b"gone"), 1500)
        .await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    fixture.send_command(EndpointCommand::WithdrawUnsent).await;
    stream.write_all(OK).await.expect("sent");
    assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
    tokio::time::sleep(Duration::from_millis(20)).await;
    fixture
        .start_attempt(&Bytes::from_static(b"gone"), 1500)
        .await;
    read_request(&mut stream).await;
    for command in [
        EndpointCommand::WithdrawUnsent,
        EndpointCommand::CancelAttempt {
            id: MessageId(1),
            attempt_index: 3,
        },
        EndpointCommand::WithdrawUnsent,
    ] {
        fixture.send_command(command).await;
    }
    assert_eq!(fixture.next_outcome().await, (Outcome::Cancelled, false));
    assert!(is_closed(&mut stream).await);
}

/// A fault in this program that ends the task of an attempt: it may have taken effect, and the actor goes on.
#[tokio::test]
async fn an_attempt_whose_task_panics_is_a_reset() {
    let mut fixture = TestFixture::with_endpoint(|endpoint| {
        let task = endpoint.tasks.spawn(async { panic!("as a fault would") });
        let (stop, _) = watch::channel(StopRequest::Continue);
        let purpose = RequestPurpose::Attempt {
            id: MessageId(1),
            attempt_index: 0,
        };
        endpoint.in_flight.insert(
            task.id(),
            RunningRequest {
                purpose,
                started: Instant::now(),
                stop,
            },
        );
    })
    .await;
    fixture.attempts = 1;
    assert_eq!(
        fixture.next_outcome().await,
        (Outcome::ConnectionReset, false)
    );
    fixture
        .start_attempt(&Bytes::from_static(b"next"), 1_000)
        .await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    stream.write_all(OK).await.expect("written");
    assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
}
