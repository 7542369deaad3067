//! Tests of the choice of the connection that carries a request.

use super::*;

/// A request that is written while the endpoint closes the connection would be reset, and could not be sent again on a new
/// connection.
#[tokio::test]
async fn retires_idle_connections_early_and_skips_closed_ones() {
    let mut fixture = TestFixture::new().await;
    fixture.start_attempt(&Bytes::new(), 1000).await;
    let mut first = fixture.accept().await;
    read_request(&mut first).await;
    first
        .write_all(OK_RESPONSE)
        .await
        .expect("the response is written");
    assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
    let started_at = Instant::now();
    assert!(closes_within_2s(&mut first).await);
    assert!(started_at.elapsed() < Duration::from_micros(IDLE_TIMEOUT));
    // A connection that the endpoint has closed is not used: the request is sent once, on a new one.
    fixture.start_attempt(&Bytes::new(), 1000).await;
    let mut second = fixture.accept().await;
    read_request(&mut second).await;
    second
        .write_all(OK_RESPONSE)
        .await
        .expect("the response is written");
    assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
    tokio::time::sleep(Duration::from_millis(20)).await;
    drop(second);
    tokio::time::sleep(Duration::from_millis(20)).await;
    fixture.start_attempt(&Bytes::new(), 1000).await;
    let mut third = fixture.accept().await;
    read_request(&mut third).await;
    third
        .write_all(OK_RESPONSE)
        .await
        .expect("the response is written");
    assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
    fixture
        .mailbox
        .send(EndpointCommand::CloseIdleConnections)
        .await
        .expect("the actor is running");
    assert!(closes_within_2s(&mut third).await);
}

/// Bytes that follow a response are never taken for the response to the next request, however soon that request is sent.
#[tokio::test]
async fn uses_a_new_connection_if_extra_bytes_follow_a_response() {
    for gap_ms in [0, 1] {
        let mut fixture = TestFixture::new().await;
        fixture.start_attempt(&Bytes::new(), 1000).await;
        let mut first = fixture.accept().await;
        read_request(&mut first).await;
        first
            .write_all(OK_RESPONSE)
            .await
            .expect("the response is written");
        if gap_ms > 0 {
            assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
            fixture.start_attempt(&Bytes::new(), 1000).await;
            tokio::time::sleep(Duration::from_millis(gap_ms)).await;
            first
                .write_all(OK_RESPONSE)
                .await
                .expect("the response is written");
        } else {
            first
                .write_all(OK_RESPONSE)
                .await
                .expect("the response is written");
            assert_eq!(fixture.next_outcome().await, (Outcome::Delivered, true));
            fixture.start_attempt(&Bytes::new(), 1000).await;
        }
        let mut second = fixture.accept().await; // a new connection, not the first one
        read_request(&mut second).await;
        second
            .write_all(b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n")
            .await
            .expect("the response is written");
        assert_eq!(
            fixture.next_outcome().await,
            (Outcome::Rejected { retry_after: None }, false)
        );
        assert!(closes_within_2s(&mut first).await);
    }
}

/// A request does not wait for the settle time of one connection if another has been idle for longer.
///
/// The second connection must have been idle for less than the settle time when the request begins. If the machine took
/// longer, the second connection may carry the request, and the test tries again.
#[tokio::test]
async fn prefers_a_settled_connection() {
    const MAX_TRIES: usize = 100;
    let mut fixture = TestFixture::new().await;
    fixture.start_attempt(&Bytes::new(), 1000).await;
    let mut first = fixture.accept().await;
    fixture.start_attempt(&Bytes::new(), 1000).await;
    let mut second = fixture.accept().await;
    read_request(&mut first).await;
    read_request(&mut second).await;
    fixture.respond_with_ok(&mut first).await;
    for _ in 0..MAX_TRIES {
        tokio::time::sleep(Duration::from_millis(30)).await; // the first connection settles
        let responded_at = Instant::now();
        fixture.respond_with_ok(&mut second).await;
        tokio::time::sleep(Duration::from_millis(1)).await; // the second connection becomes idle
        fixture.start_attempt(&Bytes::new(), 1000).await;
        tokio::select! {
            request = read_request(&mut first) => {
                assert!(!request.is_empty());
                return;
            }
            _ = read_request(&mut second) => {
                let idle_for = responded_at.elapsed();
                assert!(idle_for >= SETTLE_TIME, "expected the settled connection to carry the request");
            }
        }
    }
    panic!("the second connection was never idle for less than the settle time");
}
