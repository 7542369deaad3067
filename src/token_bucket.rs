//! Token buckets: a rate limit with room for a small burst. They are arithmetic only; callers make
//! the decisions.

use crate::model::{Micros, MICROS_PER_SECOND};

/// A number of tokens that grows with time up to a capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    /// Number of tokens left. Negative while the bucket is overdrawn.
    pub tokens: f64,
    /// The instant of the last refill, in µs.
    pub refilled_at: Micros,
}

impl TokenBucket {
    /// Adds the tokens since the last refill at `rate` tokens per second, up to `capacity` tokens
    /// but at least one token. `now` must not be before the last refill.
    pub fn refill(&mut self, now: Micros, rate: f64, capacity: f64) {
        let elapsed = (now - self.refilled_at) as f64;
        self.tokens = (self.tokens + rate * elapsed / MICROS_PER_SECOND).min(capacity.max(1.0));
        self.refilled_at = now;
    }
}
