//! A queue of things that happen at a time: in the order of their times, and of those at one time in the order of their
//! coming, so that a run has one order only.

use opalpulley::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct TimedEvent<T> {
    at: Micros,
    sequence: u64,
    event: T,
}

impl<T> TimedEvent<T> {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.sequence)
    }
}

impl<T> PartialEq for TimedEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for TimedEvent<T> {}

impl<T> PartialOrd for TimedEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for TimedEvent<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// Things by time; those at one time in the order in which they were added.
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<TimedEvent<T>>>,
    pushed: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            pushed: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds a thing that is due at a time.
    pub fn push(&mut self, at: Micros, event: T) {
        self.pushed += 1;
        self.heap.push(Reverse(TimedEvent {
            at,
            sequence: self.pushed,
            event,
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
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
