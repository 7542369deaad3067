//! A bucket that fills with time: the arithmetic of a rate with room for a little at once. It decides nothing.

use crate::interface::Micros;

#[derive(Default)]
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
