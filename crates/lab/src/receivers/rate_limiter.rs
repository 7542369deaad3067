//! A token bucket: the limit of a destination, or of an endpoint with a limit of its own.

use super::ReceiverReply;
use crate::scenario::Destination;
use opalpulley::Micros;

/// A token bucket; a call takes a token.
pub(super) struct RateLimiter {
    /// Tokens a second.
    rate: f64,
    /// Tokens that it holds at most.
    max_tokens: f64,
    tokens: f64,
    refilled_at: Micros,
    enforced: bool,
    /// Tokens that refused calls may take below 0.
    max_debt: f64,
    /// Of a rejection; 0 for none.
    retry_after: Micros,
}

impl RateLimiter {
    /// A full bucket.
    pub fn new(group: &Destination) -> RateLimiter {
        let max_tokens = group.burst.unwrap_or(group.rate);
        RateLimiter {
            rate: group.rate,
            max_tokens,
            tokens: max_tokens,
            refilled_at: 0,
            enforced: group.limited,
            max_debt: if group.refusals_use_limit {
                max_tokens
            } else {
                0.0
            },
            retry_after: group.retry_after.0,
        }
    }

    /// Whether a call may pass now, while the bucket refills at this share of its rate.
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

    /// What a refused call gets.
    pub fn rejection(&self) -> ReceiverReply {
        let retry_after = (self.retry_after > 0).then_some(self.retry_after);
        ReceiverReply::TooManyRequests { retry_after }
    }
}
