//! A queue of events that are due at simulated times. Events with equal times keep the order in which they were pushed, so
//! the order of a run is deterministic.

use opalpulley::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event in the queue with its time and position.
struct TimedEvent<T> {
    /// Simulated time at which the event is due, in µs.
    at: Micros,
    /// Position among all pushed events; it orders events with equal times.
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

/// Holds events in the order of their times, and events with equal times in the order in which they were pushed.
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<TimedEvent<T>>>,
    /// Number of events pushed so far.
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
    /// Adds an event that is due at `at`, in µs of simulated time.
    pub fn push(&mut self, at: Micros, event: T) {
        self.pushed += 1;
        self.heap.push(Reverse(TimedEvent {
            at,
            sequence: self.pushed,
            event,
        }));
    }

    /// Removes the next event and returns it with its time, or `None` if no event is due before `until`.
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
