//! A token bucket: the limit of a destination, or of an endpoint with a limit of its own.

use super::ReceiverReply;
use crate::scenario::Destination;
use opalpulley::Micros;

/// A token bucket; a call takes a token.
pub(super) struct RateLimiter {
    /// Tokens a second.
    rate: f64,
    /// Tokens that it holds at most.
    burst: f64,
    tokens: f64,
    refilled_at: Micros,
    limited: bool,
    /// Tokens that refused calls may take below 0.
    max_debt: f64,
    /// Of a refusal; 0 for none.
    retry_after: Micros,
}

impl RateLimiter {
    /// A full bucket.
    pub fn new(group: &Destination) -> RateLimiter {
        let burst = group.burst.unwrap_or(group.rate);
        RateLimiter {
            rate: group.rate,
            burst,
            tokens: burst,
            refilled_at: 0,
            limited: group.limited,
            max_debt: if group.refusals_use_limit { burst } else { 0.0 },
            retry_after: group.retry_after.0,
        }
    }

    /// Whether a call may pass now, while the bucket refills at this share of its rate.
    pub fn admits(&mut self, now: Micros, rate_share: f64) -> bool {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        let refilled = self.tokens + passed * self.rate * rate_share;
        self.tokens = refilled.min(self.burst.max(1.0));
        self.refilled_at = now;
        if !self.limited {
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
    pub fn refusal(&self) -> ReceiverReply {
        let wait = (self.retry_after > 0).then_some(self.retry_after);
        ReceiverReply::TooManyRequests { wait }
    }
}
