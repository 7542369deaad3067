//! Reads the body of a response. Its bytes are dropped: only whether the body is complete matters.

use crate::body::discard_body;
use crate::protocol::MAX_BODY_BYTES;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::Instant;

/// Upper bound on the time from the end of the response head to the end of the body. Bodies are small.
pub const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Counterpart of [`BODY_TIMEOUT`] for an error, whose body changes nothing: the attempt only ends when the endpoint has
/// written its response or the connection is closed.
pub const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body was received to its last byte.
    Complete,
    /// The body was too long, was not received in time or was cut off.
    Incomplete,
}

/// Reads a body to its end, up to `MAX_BODY_BYTES` and until the deadline.
pub async fn read_body(body: Incoming, deadline: Instant) -> BodyEnd {
    let complete_body = discard_body(body, MAX_BODY_BYTES);
    match tokio::time::timeout_at(deadline, complete_body).await {
        Ok(Ok(())) => BodyEnd::Complete,
        Ok(Err(_)) | Err(_) => BodyEnd::Incomplete,
    }
}
