//! Buckets that fill with time: the arithmetic of a rate with room for a little at once. They decide nothing.

use crate::model::Micros;

#[derive(Clone, Copy, Default)]
pub struct Bucket {
    pub left: f64,
    pub filled: Micros,
}

impl Bucket {
    /// Fills it up to `now` at `rate` a second, to `most` or one, whichever is more.
    pub fn fill(&mut self, now: Micros, rate: f64, most: f64) {
        self.left = (self.left + rate * (now - self.filled) as f64 / 1e6).min(most.max(1.0));
        self.filled = now;
    }
}

/// Calls that a destination which may be cold still gets from this forwarder: an even part that comes with time, and what
/// this forwarder's own arrivals add to it, at a bounded rate. Each bucket holds one call at most.
#[derive(Clone, Copy, Default)]
pub struct ColdBudget {
    pub left: f64,
    filled: Micros,
    own: Bucket,
}

impl ColdBudget {
    pub fn new(left: f64, now: Micros) -> ColdBudget {
        ColdBudget {
            left,
            filled: now,
            own: Bucket {
                left: 0.0,
                filled: now,
            },
        }
    }

    /// Fills it up to `now` at `rate` calls a second and by `own`, of which `most_own` a second count at most.
    pub fn fill(&mut self, now: Micros, rate: f64, own: f64, most_own: f64) {
        self.own.fill(now, most_own, 1.0);
        let own = own.min(self.own.left);
        self.own.left -= own;
        let mut calls = Bucket {
            left: self.left + own,
            filled: self.filled,
        };
        calls.fill(now, rate, 1.0);
        (self.left, self.filled) = (calls.left, calls.filled);
    }
}
