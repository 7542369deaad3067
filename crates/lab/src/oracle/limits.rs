//! What forwarders were told about endpoints: which drain or are gone, and when they may send there again.

use opalpulley::Micros;
use std::collections::HashMap;

/// A retry-after time that a forwarder was told.
#[derive(Clone, Copy, Debug)]
struct RetryAfter {
    binds_from: Micros,
    until: Micros,
}

/// What each forwarder was told about endpoints and their limiters.
pub(super) struct NotifiedLimits {
    drain_grace: Micros,
    observation_slack: Micros,
    /// Since when a forwarder knows that an endpoint (a holder of its address) takes nothing new.
    draining_since: HashMap<(u32, usize, u32), Micros>,
    /// By forwarder and limiter.
    retry_after: HashMap<(u32, usize), RetryAfter>,
}

impl NotifiedLimits {
    /// Nothing told yet.
    pub fn new(drain_grace: Micros, observation_slack: Micros) -> NotifiedLimits {
        NotifiedLimits {
            drain_grace,
            observation_slack,
            draining_since: HashMap::new(),
            retry_after: HashMap::new(),
        }
    }

    /// Retry-after times that are known.
    pub fn retry_after_count(&self) -> usize {
        self.retry_after.len()
    }

    /// A forwarder knows now whether an endpoint takes new calls.
    pub fn set_ready(
        &mut self,
        forwarder: u32,
        endpoint: usize,
        holder: u32,
        ready: bool,
        now: Micros,
    ) {
        let key = (forwarder, endpoint, holder);
        if ready {
            self.draining_since.remove(&key);
        } else {
            self.draining_since.entry(key).or_insert(now);
        }
    }

    /// A forwarder was told a retry-after time, which binds once it can have been read.
    pub fn set_retry_after(&mut self, forwarder: u32, limiter: usize, now: Micros, until: Micros) {
        let binds_from = now + self.observation_slack;
        let known = self
            .retry_after
            .entry((forwarder, limiter))
            .or_insert(RetryAfter { binds_from, until });
        known.until = until.max(known.until);
    }

    /// A process ended: it has forgotten the retry-after times.
    pub fn forget_retry_after(&mut self, forwarder: u32) {
        self.retry_after.retain(|(of, _), _| *of != forwarder);
    }

    /// Whether a call comes later than drains allow.
    pub fn violates_drain(
        &self,
        forwarder: u32,
        endpoint: usize,
        holder: u32,
        now: Micros,
    ) -> bool {
        let since = self.draining_since.get(&(forwarder, endpoint, holder));
        since.is_some_and(|since| now > since + self.drain_grace + self.observation_slack)
    }

    /// Whether a call comes before its retry-after time is over; one that is over is forgotten.
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
