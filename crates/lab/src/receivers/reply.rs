//! What comes back for a call.

use opalpulley::Micros;

/// What comes back for a call, and when its last byte (or its end) is on the way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fate {
    /// When it took effect, where it did. A repeat that the receiver knows takes none.
    pub ran: Option<Micros>,
    /// When the reply leaves, µs.
    pub at: Micros,
    /// The reply.
    pub says: ReceiverReply,
}

impl Fate {
    /// A call that takes no effect.
    pub(super) fn not_run(says: ReceiverReply, at: Micros) -> Fate {
        Fate {
            ran: None,
            at,
            says,
        }
    }
}

/// What a receiver does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverReply {
    /// 200.
    Served,
    /// 500.
    Erred,
    /// 429, with the retry-after time where there is one, µs.
    TooManyRequests { wait: Option<Micros> },
    /// 503: its queue is full.
    Overloaded,
    /// No connection comes up.
    Refused,
    /// The connection breaks off before the call is in.
    ClosedEarly,
    /// Nothing is answered.
    Silent,
    /// The head of a 429, which may hold a retry-after time; then the connection breaks.
    TooManyRequestsTruncated { wait: Option<Micros> },
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
    pub fn is_bad_news(self) -> bool {
        !matches!(
            self,
            ReceiverReply::Served | ReceiverReply::ServedThenReset | ReceiverReply::Endless
        )
    }
}

/// An endpoint that fell over: it got too many calls as it warmed up.
#[derive(Clone, Debug, PartialEq)]
pub struct Fall {
    /// When, µs.
    pub at: Micros,
    /// Which endpoint.
    pub endpoint: usize,
    /// Its calls in the overload window.
    pub calls: usize,
    /// The calls that it would have stood.
    pub budget: f64,
    /// Two thirds of the calls came from forwarders that had seen it fail: the rule is broken.
    pub blamed: bool,
}
