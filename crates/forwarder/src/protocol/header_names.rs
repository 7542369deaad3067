//! Names of the headers that both submissions and attempts have.

/// The client's id of the message.
pub const REQUEST_ID: &str = "request-id";

/// The key by which endpoints recognize repeats of a message.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// In a submission, the time to the message's deadline, in ms. In an attempt, the attempt timeout, in ms.
pub const REQUEST_TIMEOUT_MS: &str = "request-timeout-ms";
