//! The timers that the core has set.

use opalpulley::{Micros, TimerToken};
use std::collections::BTreeSet;

/// A timer that has not fired. Timers of the same moment fire in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    /// When it fires, in µs.
    at: Micros,
    /// Counts the timers of this process.
    number: u64,
    token: TimerToken,
}

/// The timers that have not fired, the earliest first.
#[derive(Default)]
pub struct Timers {
    pending: BTreeSet<Timer>,
    last_number: u64,
}

impl Timers {
    /// Sets a timer that fires at `at`, in µs.
    pub fn set(&mut self, at: Micros, token: TimerToken) {
        self.last_number += 1;
        self.pending.insert(Timer {
            at,
            number: self.last_number,
            token,
        });
    }

    /// When the earliest timer fires, in µs.
    pub fn next(&self) -> Option<Micros> {
        self.pending.first().map(|timer| timer.at)
    }

    /// Removes the earliest timer, if it is due at `now`.
    pub fn pop_due(&mut self, now: Micros) -> Option<TimerToken> {
        let timer = self.pending.first().copied()?;
        if timer.at > now {
            return None;
        }
        self.pending.remove(&timer);
        Some(timer.token)
    }

    /// Removes all timers.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
