//! Token buckets: a rate with room for a small burst. Arithmetic only; the callers decide.

use crate::model::Micros;

const MICROS_PER_SECOND: f64 = 1e6;

/// Tokens that come with time, up to a capacity.
#[derive(Clone, Copy, Default)]
pub struct TokenBucket {
    /// Tokens left.
    pub tokens: f64,
    /// When the bucket was refilled last, in µs.
    pub filled_at: Micros,
}

impl TokenBucket {
    /// Refills the bucket up to `now`, at `rate` tokens per second, up to `capacity` tokens or one
    /// token, whichever is more.
    pub fn refill(&mut self, now: Micros, rate: f64, capacity: f64) {
        let elapsed = (now - self.filled_at) as f64;
        self.tokens = (self.tokens + rate * elapsed / MICROS_PER_SECOND).min(capacity.max(1.0));
        self.filled_at = now;
    }
}

/// Calls that this forwarder may still send to an endpoint that warms up after an outage.
///
/// They come from two sources: an even part of the fleet's budget, which grows with time, and an
/// extra for the messages that arrive at this forwarder, at a bounded rate. Each source holds one
/// call at most.
#[derive(Clone, Copy, Default)]
pub struct SlowStartBudget {
    /// Calls left.
    pub calls: f64,
    /// When the budget was refilled last, in µs.
    filled_at: Micros,
    /// Bounds the extra for arrivals.
    arrival_extra: TokenBucket,
}

impl SlowStartBudget {
    /// A budget of `calls` at `now`.
    pub fn new(calls: f64, now: Micros) -> SlowStartBudget {
        SlowStartBudget {
            calls,
            filled_at: now,
            arrival_extra: TokenBucket {
                tokens: 0.0,
                filled_at: now,
            },
        }
    }

    /// Refills the budget up to `now`: at `rate` calls per second, and by `extra` calls for
    /// arrivals. Of the extra, `max_extra_rate` calls per second are granted at most.
    pub fn refill(&mut self, now: Micros, rate: f64, extra: f64, max_extra_rate: f64) {
        let granted = self.take_extra(now, extra, max_extra_rate);
        let mut bucket = TokenBucket {
            tokens: self.calls + granted,
            filled_at: self.filled_at,
        };
        bucket.refill(now, rate, 1.0);
        self.calls = bucket.tokens;
        self.filled_at = bucket.filled_at;
    }

    fn take_extra(&mut self, now: Micros, extra: f64, max_extra_rate: f64) -> f64 {
        self.arrival_extra.refill(now, max_extra_rate, 1.0);
        let granted = extra.min(self.arrival_extra.tokens);
        self.arrival_extra.tokens -= granted;
        granted
    }
}
