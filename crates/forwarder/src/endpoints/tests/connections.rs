//! Tests that each request has a connection of its own, and that no response is taken for the response to another request.

use super::*;

const REJECTED_RESPONSE: &[u8] = b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";

/// Writes to a peer that may have closed the connection.
async fn write_ignoring_errors(stream: &mut TcpStream, bytes: &[u8]) {
    let _ = stream.write_all(bytes).await;
}

/// Guards against a response that is taken for the response to a later request on the same connection: there is none.
#[tokio::test]
async fn closes_each_connection_after_its_response() {
    let mut fixture = TestFixture::new().await;
    for health_check in [false, true, false] {
        if health_check {
            fixture
                .send_command(EndpointCommand::StartHealthCheck)
                .await;
        } else {
            fixture.start_attempt(&Bytes::new(), 1000).await;
        }
        let mut stream = fixture.accept().await;
        read_request(&mut stream).await;
        stream
            .write_all(OK_RESPONSE)
            .await
            .expect("the response is written");
        assert_eq!(fixture.next_outcome().await.0, Outcome::Delivered);
        assert!(closes_within_2s(&mut stream).await);
    }
}

/// Bytes that follow a response are never taken for the response to the next request, however soon that request is sent.
#[tokio::test]
async fn ignores_a_response_that_follows_the_response_to_an_earlier_request() {
    for gap_ms in [0, 1, 5, 50] {
        let mut fixture = TestFixture::new().await;
        fixture.start_attempt(&Bytes::new(), 1000).await;
        let mut first = fixture.accept().await;
        read_request(&mut first).await;
        first
            .write_all(OK_RESPONSE)
            .await
            .expect("the response is written");
        if gap_ms == 0 {
            write_ignoring_errors(&mut first, OK_RESPONSE).await;
        }
        assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
        fixture.start_attempt(&Bytes::new(), 1000).await;
        if gap_ms > 0 {
            tokio::time::sleep(Duration::from_millis(gap_ms)).await;
            write_ignoring_errors(&mut first, OK_RESPONSE).await;
        }
        let mut second = fixture.accept().await; // a new connection, not the first one
        read_request(&mut second).await;
        second
            .write_all(REJECTED_RESPONSE)
            .await
            .expect("the response is written");
        assert_eq!(
            fixture.next_outcome().await,
            (Outcome::Rejected { retry_after: None }, false)
        );
        assert!(closes_within_2s(&mut first).await);
    }
}

/// Guards against a response that is taken for the response to an attempt although it was written before the attempt's last
/// byte could be read. The request is so large that the endpoint does not receive all of it.
#[tokio::test]
async fn ignores_a_response_before_the_request_is_written_whole() {
    for response in [
        OK_RESPONSE,
        b"HTTP/1.1 410 Over\r\ncontent-length: 0\r\n\r\n",
    ] {
        let mut fixture = TestFixture::new().await;
        fixture
            .start_attempt(&Bytes::from(vec![7; 32 << 20]), 5000)
            .await;
        let mut stream = fixture.accept().await;
        write_ignoring_errors(&mut stream, response).await;
        assert_eq!(fixture.next_outcome().await, (Outcome::NoConnection, false));
    }
}

/// Guards against a response that is written before the endpoint has received anything.
#[tokio::test]
async fn ignores_a_response_before_the_request() {
    let mut fixture = TestFixture::new().await;
    let queued = fixture.fill_backlog().await;
    fixture.start_attempt(&Bytes::new(), 5000).await;
    let mut accepted = Vec::new();
    for _ in 0..=queued.len() {
        let stream = fixture.accept().await;
        stream
            .try_write(OK_RESPONSE)
            .expect("the response is written");
        accepted.push(stream);
    }
    let (outcome, completed) = fixture.next_outcome().await;
    assert!(!completed, "expected no delivery, got {outcome:?}");
}

/// Attempts that are in flight at once each have a connection, so that a slow response delays no other attempt.
#[tokio::test]
async fn opens_a_connection_for_each_attempt_in_flight() {
    let mut fixture = TestFixture::new().await;
    fixture.start_attempt(&Bytes::new(), 1000).await;
    let mut first = fixture.accept().await;
    read_request(&mut first).await;
    fixture.start_attempt(&Bytes::new(), 1000).await;
    let mut second = fixture.accept().await;
    read_request(&mut second).await;
    fixture.respond_with_ok(&mut second).await;
    fixture.respond_with_ok(&mut first).await;
}
