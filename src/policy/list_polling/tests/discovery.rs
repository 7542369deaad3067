//! A simulated discovery service.

use super::*;

/// A discovery service that processes one poll after another, including polls whose senders no
/// longer wait for the answer.
pub struct Discovery {
    /// Time to process one poll, in µs.
    pub poll_cost: Micros,
    /// Upper bound on the time until a poll is answered, in µs. A poll that would take longer is
    /// rejected at once.
    pub max_wait: Micros,
    /// Time at which all accepted polls will have been processed, in µs.
    busy_until: Micros,
}

impl Discovery {
    pub fn new(poll_cost: Micros, max_wait: Micros) -> Discovery {
        Discovery {
            poll_cost,
            max_wait,
            busy_until: 0,
        }
    }

    /// Returns the time at which a poll that is sent now is answered, or `None` if it is rejected.
    pub fn accept(&mut self, now: Micros) -> Option<Micros> {
        let answered_at = self.busy_until.max(now) + self.poll_cost;
        if answered_at - now > self.max_wait {
            return None;
        }
        self.busy_until = answered_at;
        Some(answered_at)
    }
}
