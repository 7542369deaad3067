//! Tests of the bytes that an attempt writes, and of its outcome if it ends without a response.

use super::*;

#[tokio::test]
async fn sends_the_message_unchanged_and_computes_the_exact_request_length() {
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
                "expected the line {line} in {text}"
            );
        }
        assert!(bytes.ends_with(&body));
        let port = fixture
            .listener
            .local_addr()
            .expect("the socket has a local address")
            .port();
        let endpoint = EndpointId {
            address: [127, 0, 0, 1],
            port,
            incarnation: 0,
        };
        let timeout = Duration::from_millis(1500);
        let request = protocol::encode_attempt(
            endpoint,
            "9b1f03aa5c7e2d41",
            Some("5c0f6e1a"),
            timeout,
            &body,
        )
        .expect("the request is encoded");
        assert_eq!(request.wire_bytes, bytes.len() as u64);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
            .await
            .expect("the response is written");
        assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
    }
}

/// An attempt may have taken effect only if the last byte of its request was written.
#[tokio::test]
async fn reports_connection_reset_only_after_the_last_request_byte() {
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
    // The request is so large that an endpoint which reads nothing does not receive all of it.
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
        attempts_started,
    } = fixture;
    let address = listener
        .local_addr()
        .expect("the socket has a local address");
    drop(listener);
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    assert_ne!(
        listener
            .local_addr()
            .expect("the socket has a local address"),
        address
    );
    let mut fixture = TestFixture {
        listener,
        mailbox,
        events,
        attempts_started,
    };
    fixture.start_attempt(&Bytes::new(), 1000).await;
    assert_eq!(fixture.next_outcome().await, (Outcome::NoConnection, false));
}

#[tokio::test]
async fn closes_the_connection_on_timeout_or_cancellation() {
    let mut fixture = TestFixture::new().await;
    fixture.start_attempt(&Bytes::new(), 100).await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    assert_eq!(fixture.next_outcome().await, (Outcome::Timeout, false));
    assert!(closes_within_2s(&mut stream).await);
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
        .expect("the actor is running");
    assert_eq!(fixture.next_outcome().await, (Outcome::Cancelled, false));
    assert!(closes_within_2s(&mut stream).await);
}

/// No byte is written after the send deadline, neither on a connection that opens late nor if the deadline has passed at the
/// start of the attempt.
#[tokio::test]
async fn writes_no_byte_after_the_send_deadline() {
    let mut fixture = TestFixture::new().await;
    let queued = fixture.fill_backlog().await;
    fixture
        .start_attempt_with_send_limit(&Bytes::from_static(b"late"), 1500, 100)
        .await;
    assert_eq!(
        fixture.next_outcome().await,
        (Outcome::NotAttempted { no_permit: false }, false)
    );
    for _ in 0..queued.len() {
        fixture.accept().await;
    }

    fixture
        .start_attempt(&Bytes::from_static(b"in time"), 1500)
        .await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    stream
        .write_all(OK_RESPONSE)
        .await
        .expect("the response is written");
    assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
    fixture
        .start_attempt_with_send_limit(&Bytes::from_static(b"late"), 1500, 0)
        .await;
    assert_eq!(
        fixture.next_outcome().await,
        (Outcome::NotAttempted { no_permit: false }, false)
    );
    let accepted =
        tokio::time::timeout(Duration::from_millis(100), fixture.listener.accept()).await;
    if let Ok(Ok((mut late_stream, _))) = accepted {
        let request = read_request(&mut late_stream).await;
        assert!(
            request.is_empty(),
            "expected no byte after the send deadline"
        );
    }
}

/// Guards against a request that was sent although a retry-after was received while its connection was being opened.
#[tokio::test]
async fn withdraws_a_request_until_its_last_byte_is_written() {
    let mut fixture = TestFixture::new().await;
    let queued = fixture.fill_backlog().await;
    fixture
        .start_attempt(&Bytes::from_static(b"chosen before"), 1500)
        .await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    fixture.withdraw_unsent().await;
    fixture
        .send_command(EndpointCommand::StartHealthCheck)
        .await;
    fixture.withdraw_unsent().await;
    for _ in queued {
        fixture.accept().await;
    }
    // The endpoint reads nothing, so that the request is only partially written.
    fixture
        .start_attempt(&Bytes::from(vec![7; 32 << 20]), 5000)
        .await;
    let mut half_written_stream = fixture.accept().await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    fixture.withdraw_unsent().await;
    let mut received = 0;
    while let Ok(1..) = half_written_stream
        .read(&mut vec![0; 1 << 20])
        .await
        .inspect(|n| received += n)
    {}
    assert!(
        received < 32 << 20,
        "expected the endpoint to receive only a part of the request"
    );
    // A fully written request continues. It can still be cancelled.
    fixture
        .start_attempt(&Bytes::from_static(b"gone"), 1500)
        .await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    fixture.send_command(EndpointCommand::WithdrawUnsent).await;
    stream
        .write_all(OK_RESPONSE)
        .await
        .expect("the response is written");
    assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
    fixture
        .start_attempt(&Bytes::from_static(b"gone"), 1500)
        .await;
    let mut stream = fixture.accept().await;
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
    assert!(closes_within_2s(&mut stream).await);
}

/// If the task of an attempt panics, the attempt may have taken effect, and the actor continues to run.
#[tokio::test]
async fn reports_connection_reset_if_the_attempt_task_panics() {
    let mut fixture = TestFixture::with_endpoint(|endpoint| {
        let task = endpoint.tasks.spawn(async { panic!("simulated fault") });
        let (stop_sender, _) = watch::channel(StopRequest::Continue);
        let purpose = RequestPurpose::Attempt {
            id: MessageId(1),
            attempt_index: 0,
        };
        endpoint.in_flight.insert(
            task.id(),
            InFlightRequest {
                purpose,
                started_at: Instant::now(),
                stop_sender,
            },
        );
    })
    .await;
    fixture.attempts_started = 1;
    assert_eq!(
        fixture.next_outcome().await,
        (Outcome::ConnectionReset, false)
    );
    fixture
        .start_attempt(&Bytes::from_static(b"next"), 1_000)
        .await;
    let mut stream = fixture.accept().await;
    read_request(&mut stream).await;
    stream
        .write_all(OK_RESPONSE)
        .await
        .expect("the response is written");
    assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
}
