//! The results and replies of calls and health checks.

use opalpulley::Micros;

/// The result of a call or a health check: its reply, and whether and when it takes effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallResult {
    /// Time at which the call takes effect, in µs; none if it doesn't. A repeated call that the receiver recognises takes no
    /// effect.
    pub effect_at: Option<Micros>,
    /// Time at which the last byte of the reply, or the end of the connection, leaves the endpoint, in µs.
    pub reply_at: Micros,
    pub reply: ReceiverReply,
}

impl CallResult {
    /// Creates the result of a call that takes no effect.
    pub(super) fn without_effect(reply: ReceiverReply, reply_at: Micros) -> CallResult {
        CallResult {
            effect_at: None,
            reply_at,
            reply,
        }
    }
}

/// What a forwarder observes of a call or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverReply {
    /// A 200 response.
    Served,
    /// A 500 response.
    InternalError,
    /// A 429 response, with its retry-after time in µs if it has one.
    TooManyRequests { retry_after: Option<Micros> },
    /// A 503 response: the queue is full, or a health check reached a shut endpoint.
    Overloaded,
    /// The connection is refused.
    Refused,
    /// The connection is closed before the whole call has been received.
    ClosedEarly,
    /// No response is sent.
    Silent,
    /// The head of a 429 response, which may hold a retry-after time in µs; then the connection is reset.
    TooManyRequestsTruncated { retry_after: Option<Micros> },
    /// The connection is reset in the middle of the response.
    Reset,
    /// A 200 response, after which the connection is reset.
    ServedThenReset,
    /// A response that can't be parsed.
    Garbled,
    /// A 200 response with a body that never ends.
    Endless,
    /// A 500 response with a body that never ends.
    EndlessError,
}

impl ReceiverReply {
    /// Whether a forwarder that gets the reply can tell that the endpoint has a problem.
    pub fn reveals_failure(self) -> bool {
        !matches!(
            self,
            ReceiverReply::Served | ReceiverReply::ServedThenReset | ReceiverReply::Endless
        )
    }
}

/// The failure of an endpoint that received too many calls while it warmed up.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadFailure {
    /// Time of the failure, in µs from the start of the run.
    pub at: Micros,
    /// Index of the endpoint in the layout.
    pub endpoint: usize,
    /// Calls and health checks in the overload window.
    pub calls: usize,
    /// Calls and health checks that the endpoint would have tolerated in the window.
    pub overload_limit: f64,
    /// Whether at least two thirds of the calls came from forwarders that had seen the endpoint fail, which violates the
    /// rule.
    pub caused_by_witnesses: bool,
}
