//! The body of an answer. Its bytes are dropped: only whether it came whole counts.

use crate::protocol::MAX_BODY_BYTES;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::time::Duration;

/// For the rest of an answer after its head. Bodies are small.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// It came to its last byte.
    Complete,
    /// It was too long, too late or cut off.
    Incomplete,
}

/// Reads a body to its end, up to the longest body of the protocol.
pub async fn read_body(body: Incoming) -> BodyEnd {
    let complete_body = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, complete_body).await {
        Ok(Ok(_)) => BodyEnd::Complete,
        Ok(Err(_)) | Err(_) => BodyEnd::Incomplete,
    }
}
