//! Token buckets: a rate with room for a small burst. Arithmetic only; the callers decide.

use crate::model::{Micros, MICROS_PER_SECOND};

/// Tokens that come with time, up to a capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    /// Tokens left.
    pub tokens: f64,
    /// When the bucket was refilled last, in µs.
    pub refilled_at: Micros,
}

impl TokenBucket {
    /// Refills the bucket up to `now`, at `rate` tokens per second, up to `capacity` tokens or one token, whichever is
    /// more.
    pub fn refill(&mut self, now: Micros, rate: f64, capacity: f64) {
        let elapsed = (now - self.refilled_at) as f64;
        self.tokens = (self.tokens + rate * elapsed / MICROS_PER_SECOND).min(capacity.max(1.0));
        self.refilled_at = now;
    }
}
