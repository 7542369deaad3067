//! What comes back for a call.

use opalpulley::Micros;

/// What comes back for a call, and when its last byte (or its end) is on the way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallResult {
    /// When it took effect, where it did. A repeat that the receiver knows takes none.
    pub effect_at: Option<Micros>,
    /// When the reply leaves, µs.
    pub reply_at: Micros,
    /// The reply.
    pub reply: ReceiverReply,
}

impl CallResult {
    /// A call that takes no effect.
    pub(super) fn without_effect(reply: ReceiverReply, reply_at: Micros) -> CallResult {
        CallResult {
            effect_at: None,
            reply_at,
            reply,
        }
    }
}

/// What a receiver does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverReply {
    /// 200.
    Served,
    /// 500.
    InternalError,
    /// 429, with the retry-after time where there is one, µs.
    TooManyRequests { retry_after: Option<Micros> },
    /// 503: its queue is full.
    Overloaded,
    /// No connection comes up.
    Refused,
    /// The connection breaks off before the call is in.
    ClosedEarly,
    /// Nothing is answered.
    Silent,
    /// The head of a 429, which may hold a retry-after time; then the connection breaks.
    TooManyRequestsTruncated { retry_after: Option<Micros> },
    /// The connection breaks within the answer.
    Reset,
    /// 200, then the connection breaks.
    ServedThenReset,
    /// An answer that can't be read.
    Garbled,
    /// 200, and a body that never ends.
    Endless,
}

impl ReceiverReply {
    /// Whether whoever gets it knows that something is wrong there.
    pub fn reveals_failure(self) -> bool {
        !matches!(
            self,
            ReceiverReply::Served | ReceiverReply::ServedThenReset | ReceiverReply::Endless
        )
    }
}

/// An endpoint that fell over: it got too many calls as it warmed up.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadFailure {
    /// When, µs.
    pub at: Micros,
    /// Which endpoint.
    pub endpoint: usize,
    /// Its calls in the overload window.
    pub calls: usize,
    /// The calls that it would have stood.
    pub overload_limit: f64,
    /// Two thirds of the calls came from forwarders that had seen it fail: the rule is broken.
    pub caused_by_witnesses: bool,
}
