//! The interval between two calls to a limit, and the pause that a destination asks for.
//!
//! Each rejection lengthens the interval, up to a multiple of an even share of the fleet; it
//! recovers while calls wait for it. What another forwarder tells of a rejection lengthens it to
//! an even share. A retry-after pauses everything behind the limit until it is over.
//! Intervals and times are µs, capacities calls per second for the whole fleet.
//! Source: Retry-After as the paper has it; the interval is ours (`docs/design.md`).

use crate::model::{Config, ListedRateAccuracy, Micros, MICROS_PER_SECOND};
use rand::Rng;

/// First interval after a rejection, in calls at the known capacity.
const FIRST_INTERVAL_CALLS: f64 = 1.0;
/// The same where the fleet is large, in even shares; a second rejection makes it a whole one.
const FIRST_INTERVAL_SHARES: f64 = 0.5;
/// Interval at the start and after a peer's rejection, in even shares, which are not quite even.
const EVEN_INTERVAL_SHARES: f64 = 0.8;
/// Longest interval, in even shares: a rejection may be another forwarder's doing.
const MAX_INTERVAL_SHARES: f64 = 2.0;
/// Longest interval, as a part of the longest time to live.
const MAX_INTERVAL_TIME_TO_LIVE_SHARE: f64 = 0.25;
/// Rate that is left after a rejection at an even share: mild, for one rejection says little.
const REJECTION_RATE_FACTOR: f64 = 0.85;
/// Growth of the interval after a rejection at most.
const REJECTION_INTERVAL_FACTOR: f64 = 2.0;
/// Seconds in which the interval between calls recovers to 1/e. The recovery ramp of an endpoint
/// is in [`super::slow_start`].
const INTERVAL_RECOVERY_SECONDS: f64 = 4.0;
/// The same in intervals, where calls are rare: what was learned serves for some calls.
const INTERVAL_RECOVERY_INTERVALS: f64 = 24.0;
/// An interval under this part of a call's time at the known capacity is none.
const MIN_INTERVAL_CALLS: f64 = FIRST_INTERVAL_CALLS / 2.0;
/// Seconds of missed sending that may be made up at once.
const CATCH_UP_SECONDS: f64 = 0.05;
/// The same in intervals.
const CATCH_UP_INTERVALS: f64 = 0.5;

/// Calls per second that an endpoint or destination takes, by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedCapacity {
    /// For the whole fleet.
    pub calls_per_second: f64,
    /// Whether the list knows it; else it is a guess from the concurrency limit, which paces only
    /// where the wait is shorter than the shortest latency objective.
    pub is_known: bool,
}

impl ListedCapacity {
    /// Reads a rate of the endpoint list.
    pub fn from_rate(rate: f64, config: &Config) -> ListedCapacity {
        let is_known = config.listed_rate_accuracy != ListedRateAccuracy::Unlisted
            && rate.is_finite()
            && rate > 0.0;
        let fallback_rate = config.concurrency_limit.max(1).into();
        ListedCapacity {
            calls_per_second: if is_known { rate } else { fallback_rate },
            is_known,
        }
    }
}

/// The longest interval between two calls that a deployment can bear.
pub fn max_interval(config: &Config) -> f64 {
    MAX_INTERVAL_TIME_TO_LIVE_SHARE * config.longest_time_to_live() as f64
}

/// Paces the calls to one limit: a destination, or an endpoint that has a limit of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    /// Calls per second that the limit takes from the whole fleet, as listed last.
    pub capacity: f64,
    /// µs between two calls; 0: no pacing.
    pub interval: f64,
    /// Whether a message waited for the interval since the last recovery step.
    pub has_delayed_message: bool,
    /// When the interval recovered last; 0 before the first entry of the list.
    pub recovered_at: Micros,
    /// When the interval was lengthened last.
    pub lengthened_at: Micros,
    /// When the next call may go.
    pub next_call_at: Micros,
    /// Until when a retry-after binds.
    pub paused_until: Micros,
}

impl Pacer {
    /// Applies an entry of the endpoint list. The first one sets the interval: an even share, so
    /// that the first messages of many forwarders do not meet at a small destination.
    pub fn apply_listed_rate(&mut self, now: Micros, rate: f64, config: &Config) {
        let listed = ListedCapacity::from_rate(rate, config);
        self.capacity = listed.calls_per_second;
        let is_first_entry = self.recovered_at == 0;
        self.recovered_at = now;
        if !is_first_entry {
            return;
        }
        let interval = EVEN_INTERVAL_SHARES * self.even_share_interval(config);
        let shortest_objective = config.shortest_latency_objective() as f64;
        self.interval = if listed.is_known || interval < shortest_objective {
            interval.min(shortest_objective)
        } else {
            0.0
        };
    }

    /// µs between two calls of this forwarder when the fleet shares the capacity evenly.
    fn even_share_interval(&self, config: &Config) -> f64 {
        f64::from(config.fleet_size.max(1)) * MICROS_PER_SECOND / self.capacity
    }

    /// Shortens the interval by the time since the last recovery step, where any call waited for it
    /// in between.
    pub fn recover(&mut self, now: Micros) {
        let elapsed_seconds = now.saturating_sub(self.recovered_at) as f64 / MICROS_PER_SECOND;
        self.recovered_at = now;
        let has_delayed_message = std::mem::take(&mut self.has_delayed_message);
        if has_delayed_message && now >= self.paused_until {
            let recovery_seconds = INTERVAL_RECOVERY_SECONDS
                .max(INTERVAL_RECOVERY_INTERVALS * self.interval / MICROS_PER_SECOND);
            self.interval *= (-elapsed_seconds / recovery_seconds).exp();
        }
        if self.interval < MIN_INTERVAL_CALLS * MICROS_PER_SECOND / self.capacity {
            self.interval = 0.0;
        }
    }

    /// Whether a call may go now.
    pub fn is_open(&self, now: Micros) -> bool {
        now >= self.paused_until.max(self.next_call_at)
    }

    /// Whether a second call could go right behind the next one.
    pub fn has_spare_call(&self, now: Micros) -> bool {
        now >= self.next_call_at + self.interval as Micros
    }

    /// Takes a call on.
    pub fn start_call(&mut self, now: Micros, rng: &mut impl Rng) {
        self.delay_next_call(now, rng);
    }

    /// The next call may go after the interval, half of it more or less at random, so that
    /// forwarders don't call in step.
    fn delay_next_call(&mut self, now: Micros, rng: &mut impl Rng) {
        let interval = self.interval * (0.5 + rng.random::<f64>());
        let earliest = now.saturating_sub(self.catch_up_time() as Micros);
        self.next_call_at = self.next_call_at.max(earliest) + interval as Micros;
    }

    /// µs of missed sending that may be made up at once.
    fn catch_up_time(&self) -> f64 {
        (CATCH_UP_SECONDS * MICROS_PER_SECOND).max(CATCH_UP_INTERVALS * self.interval)
    }

    /// Another forwarder was rejected here: this one goes no faster than an even share, before it
    /// has used up a call to learn the same.
    pub fn handle_peer_rejection(&mut self, now: Micros, config: &Config, rng: &mut impl Rng) {
        let even_share = EVEN_INTERVAL_SHARES * self.even_share_interval(config);
        let interval = even_share.min(max_interval(config));
        if self.interval < interval {
            self.interval = interval;
            self.lengthened_at = now;
            let delay = (interval * rng.random::<f64>()) as Micros;
            self.next_call_at = self.next_call_at.max(now + delay);
        }
    }

    /// A call that was sent at `sent_at` was rejected. Lengthens the interval, unless the call was
    /// sent before the interval was lengthened last: that rejection is accounted for.
    pub fn handle_rejection(
        &mut self,
        now: Micros,
        sent_at: Micros,
        config: &Config,
        rng: &mut impl Rng,
    ) {
        if sent_at >= self.lengthened_at {
            self.interval = self.interval_after_rejection(config);
            self.lengthened_at = now;
        }
        self.delay_next_call(now, rng);
    }

    fn interval_after_rejection(&self, config: &Config) -> f64 {
        let even_share = self.even_share_interval(config);
        let first_interval = (FIRST_INTERVAL_CALLS * MICROS_PER_SECOND / self.capacity)
            .max(FIRST_INTERVAL_SHARES * even_share);
        let longest_interval = (MAX_INTERVAL_SHARES * even_share)
            .min(max_interval(config))
            .max(first_interval);
        let mild_interval =
            self.interval.max(EVEN_INTERVAL_SHARES * even_share) / REJECTION_RATE_FACTOR;
        (REJECTION_INTERVAL_FACTOR * self.interval)
            .min(mild_interval)
            .clamp(first_interval, longest_interval)
    }

    /// Pauses all calls until `until`, or longer where an earlier retry-after binds longer.
    pub fn pause_until(&mut self, until: Micros) {
        self.paused_until = self.paused_until.max(until);
        self.next_call_at = self.next_call_at.max(self.paused_until);
    }

    /// From when on the calls so far have no effect on the next one.
    pub fn settled_at(&self) -> Micros {
        if self.next_call_at == 0 {
            return 0; // no call has gone yet
        }
        let settling_time = (self.interval + self.catch_up_time()) as Micros;
        self.next_call_at.saturating_add(settling_time)
    }
}

#[cfg(test)]
mod tests;
