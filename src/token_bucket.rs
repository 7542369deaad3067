//! TokenBuckets that fill with time: the arithmetic of a rate with room for a little at once. They decide nothing.

use crate::model::Micros;

#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    pub tokens: f64,
    pub filled_at: Micros,
}

impl TokenBucket {
    /// Fills it up to `now` at `rate` a second, to `most` or one, whichever is more.
    pub fn fill(&mut self, now: Micros, rate: f64, most: f64) {
        self.tokens = (self.tokens + rate * (now - self.filled_at) as f64 / 1e6).min(most.max(1.0));
        self.filled_at = now;
    }
}
