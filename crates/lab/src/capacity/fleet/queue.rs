//! A queue of things that happen at a time: in the order of their times, and of those at one time in the order of their
//! coming, so that a run has one order only.

use opalpulley::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Timed<T> {
    at: Micros,
    order: u64,
    what: T,
}

impl<T> Timed<T> {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.order)
    }
}

impl<T> PartialEq for Timed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for Timed<T> {}

impl<T> PartialOrd for Timed<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Timed<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// Things by time; those at one time in the order in which they were added.
pub struct TimedQueue<T> {
    heap: BinaryHeap<Reverse<Timed<T>>>,
    pushed: u64,
}

impl<T> Default for TimedQueue<T> {
    fn default() -> Self {
        TimedQueue {
            heap: BinaryHeap::new(),
            pushed: 0,
        }
    }
}

impl<T> TimedQueue<T> {
    /// Adds a thing that is due at a time.
    pub fn push(&mut self, at: Micros, what: T) {
        self.pushed += 1;
        self.heap.push(Reverse(Timed {
            at,
            order: self.pushed,
            what,
        }));
    }

    /// The next thing that happens before `until`.
    pub fn pop_before(&mut self, until: Micros) -> Option<(Micros, T)> {
        if self
            .heap
            .peek()
            .is_none_or(|Reverse(next)| next.at >= until)
        {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| (next.at, next.what))
    }
}
