//! The limits that forwarders were notified of: endpoints that are draining or removed, and retry-after times.

use opalpulley::Micros;
use std::collections::HashMap;

/// A retry-after time that a forwarder was notified of. It binds from `binds_from` until `until`, both µs.
#[derive(Clone, Copy, Debug)]
struct RetryAfter {
    binds_from: Micros,
    until: Micros,
}

/// The drains and retry-after times that each forwarder was notified of. Owned by the oracle.
pub(super) struct NotifiedLimits {
    drain_grace: Micros,
    observation_slack: Micros,
    /// When a forwarder was first notified that an endpoint takes no new calls, µs; by forwarder, endpoint and incarnation.
    draining_since: HashMap<(u32, usize, u32), Micros>,
    /// Retry-after times by forwarder and limiter.
    retry_after: HashMap<(u32, usize), RetryAfter>,
}

impl NotifiedLimits {
    /// Creates the state of a run in which no forwarder has been notified of a limit. `drain_grace` is the time after a
    /// notification for which calls to a draining endpoint are allowed, µs.
    pub fn new(drain_grace: Micros, observation_slack: Micros) -> NotifiedLimits {
        NotifiedLimits {
            drain_grace,
            observation_slack,
            draining_since: HashMap::new(),
            retry_after: HashMap::new(),
        }
    }

    /// Returns the number of retry-after times that are kept.
    pub fn retry_after_count(&self) -> usize {
        self.retry_after.len()
    }

    /// Records whether an endpoint takes new calls, as a forwarder was notified at `now`. A repeated notification of a drain
    /// doesn't restart its grace time.
    pub fn set_ready(
        &mut self,
        forwarder: u32,
        endpoint: usize,
        incarnation: u32,
        ready: bool,
        now: Micros,
    ) {
        let key = (forwarder, endpoint, incarnation);
        if ready {
            self.draining_since.remove(&key);
        } else {
            self.draining_since.entry(key).or_insert(now);
        }
    }

    /// Records a retry-after time. It binds once the forwarder has had time to read the response, and an earlier end doesn't
    /// shorten a retry-after time that is known already.
    pub fn set_retry_after(&mut self, forwarder: u32, limiter: usize, now: Micros, until: Micros) {
        let binds_from = now + self.observation_slack;
        let known = self
            .retry_after
            .entry((forwarder, limiter))
            .or_insert(RetryAfter { binds_from, until });
        known.until = until.max(known.until);
    }

    /// Removes the retry-after times of a forwarder whose process has ended: it keeps none of them.
    pub fn forget_retry_after(&mut self, forwarder: u32) {
        self.retry_after
            .retain(|(notified_forwarder, _), _| *notified_forwarder != forwarder);
    }

    /// Returns whether a call at `now` comes after the grace time of a drain.
    pub fn violates_drain(
        &self,
        forwarder: u32,
        endpoint: usize,
        incarnation: u32,
        now: Micros,
    ) -> bool {
        let since = self.draining_since.get(&(forwarder, endpoint, incarnation));
        since.is_some_and(|since| now > since + self.drain_grace + self.observation_slack)
    }

    /// Returns whether a call at `now` comes before the retry-after time has elapsed. An elapsed retry-after time is removed.
    pub fn violates_retry_after(&mut self, forwarder: u32, limiter: usize, now: Micros) -> bool {
        let key = (forwarder, limiter);
        let Some(retry_after) = self.retry_after.get(&key).copied() else {
            return false;
        };
        if now >= retry_after.until {
            self.retry_after.remove(&key);
            return false;
        }
        now >= retry_after.binds_from
    }
}
