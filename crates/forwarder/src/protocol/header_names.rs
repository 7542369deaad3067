//! Names of the headers that both submissions and attempts carry.

/// The client's id of the message.
pub const REQUEST_ID: &str = "request-id";

/// The key by which endpoints recognize a repeat.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// In a submission: the time to the message's deadline, ms. In an attempt: the attempt timeout, ms.
pub const REQUEST_TIMEOUT_MS: &str = "request-timeout-ms";
