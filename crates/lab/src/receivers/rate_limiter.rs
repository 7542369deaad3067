//! The rate limit of a destination, or of an endpoint with an independent limit.

use super::ReceiverReply;
use crate::scenario::Destination;
use opalpulley::Micros;

/// A token bucket from which each admitted call takes a token.
pub(super) struct RateLimiter {
    /// Tokens added per second.
    rate: f64,
    /// Capacity of the bucket, in tokens; a capacity below 1 counts as 1.
    max_tokens: f64,
    /// Tokens at the last refill; below 0 if rejected calls have consumed tokens too.
    tokens: f64,
    /// Time of the last refill, in µs.
    refilled_at: Micros,
    /// Whether calls without a token are rejected.
    enforced: bool,
    /// How far rejected calls may take `tokens` below 0.
    max_debt: f64,
    /// Retry-after time of a rejection, in µs; 0 sends none.
    retry_after: Micros,
}

impl RateLimiter {
    /// Creates a full bucket with the limit of a group of destinations.
    pub fn new(group: &Destination) -> RateLimiter {
        let max_tokens = group.burst.unwrap_or(group.rate);
        RateLimiter {
            rate: group.rate,
            max_tokens,
            tokens: max_tokens,
            refilled_at: 0,
            enforced: group.limited,
            max_debt: if group.rejections_consume_tokens {
                max_tokens
            } else {
                0.0
            },
            retry_after: group.retry_after.0,
        }
    }

    /// Refills the bucket at `rate_share` of its rate and returns whether a call is admitted, which takes a token. A limit that
    /// isn't enforced admits every call and takes no token.
    pub fn try_admit(&mut self, now: Micros, rate_share: f64) -> bool {
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        let refilled = self.tokens + elapsed_seconds * self.rate * rate_share;
        self.tokens = refilled.min(self.max_tokens.max(1.0));
        self.refilled_at = now;
        if !self.enforced {
            return true;
        }
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        } else if self.max_debt > 0.0 {
            self.tokens = (self.tokens - 1.0).max(-self.max_debt);
        }
        admitted
    }

    /// Returns the reply to a rejected call.
    pub fn rejection(&self) -> ReceiverReply {
        let retry_after = (self.retry_after > 0).then_some(self.retry_after);
        ReceiverReply::TooManyRequests { retry_after }
    }
}
