//! A simulated discovery service.

use super::*;

/// Discovery that answers one poll after the other. It also works off the polls that nobody waits
/// for any more.
pub struct Discovery {
    /// µs to work off one poll.
    pub poll_cost: Micros,
    /// A poll that would wait for longer is rejected at once, in µs.
    pub max_wait: Micros,
    /// When the polls accepted so far are worked off.
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

    /// When a poll that is sent now is answered; none if it is rejected.
    pub fn accept(&mut self, now: Micros) -> Option<Micros> {
        let answered_at = self.busy_until.max(now) + self.poll_cost;
        if answered_at - now > self.max_wait {
            return None;
        }
        self.busy_until = answered_at;
        Some(answered_at)
    }
}
