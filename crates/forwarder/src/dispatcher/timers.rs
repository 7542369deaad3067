//! The timers that the core has set and that have not fired.

use opalpulley::{Micros, TimerToken};
use std::collections::BTreeSet;

/// A timer that has not fired. Timers that fire at the same time do so in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    /// Time at which the timer fires, in µs.
    fires_at: Micros,
    /// Number of the timer among those set in this process, from 1.
    sequence_number: u64,
    token: TimerToken,
}

/// The timers that have not fired, the earliest first. Owned by the dispatcher.
#[derive(Default)]
pub struct Timers {
    pending: BTreeSet<Timer>,
    last_sequence_number: u64,
}

impl Timers {
    /// Sets a timer that fires at `fires_at`, in µs.
    pub fn set(&mut self, fires_at: Micros, token: TimerToken) {
        self.last_sequence_number += 1;
        self.pending.insert(Timer {
            fires_at,
            sequence_number: self.last_sequence_number,
            token,
        });
    }

    /// Returns the time at which the earliest timer fires, in µs.
    pub fn next_at(&self) -> Option<Micros> {
        self.pending.first().map(|timer| timer.fires_at)
    }

    /// Removes the earliest timer if it is due at `now`, in µs, and returns its token.
    pub fn pop_due(&mut self, now: Micros) -> Option<TimerToken> {
        let timer = self.pending.first().copied()?;
        if timer.fires_at > now {
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
