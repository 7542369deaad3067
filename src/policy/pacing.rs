//! Pacing: the interval between two calls under one rate limit, and the pause after a retry-after.
//!
//! Each rejection lengthens the interval, up to a multiple of the interval at an even share of the
//! capacity. The interval recovers while it delays messages. Gossip about a rejection of another
//! forwarder's call lengthens the interval to that of an even share. A retry-after pauses all calls
//! under the limit until its end.
//!
//! Intervals and times are in µs, capacities in calls per second for the whole fleet. "Even shares"
//! as a unit of an interval means multiples of the interval at an even share of the capacity.
//! The handling of Retry-After follows "Implementing Webhooks and Observing Failure Modes"; see
//! `docs/design.md` for the interval.

use crate::model::{Config, ListedRateAccuracy, Micros, MICROS_PER_SECOND};
use rand::Rng;

/// Lower bound on the interval after a rejection, as a multiple of the time per call at the
/// capacity.
const FIRST_INTERVAL_CALLS: f64 = 1.0;
/// Lower bound on the interval after a rejection, in even shares; it is the larger bound in a large
/// fleet. A second rejection lengthens such an interval to a whole even share.
const FIRST_INTERVAL_SHARES: f64 = 0.5;
/// Interval at the start and after the rejection of a peer's call, in even shares. It is below 1
/// because the forwarders' actual shares are not quite even.
const EVEN_INTERVAL_SHARES: f64 = 0.8;
/// Upper bound on the interval, in even shares. Another forwarder may have caused the rejections.
const MAX_INTERVAL_SHARES: f64 = 2.0;
/// Upper bound on the interval, as a share of the longest time to live.
const MAX_INTERVAL_TIME_TO_LIVE_SHARE: f64 = 0.25;
/// Factor on the rate after a rejection at an even share. The reduction is mild because one
/// rejection is weak evidence.
const REJECTION_RATE_FACTOR: f64 = 0.85;
/// Upper bound on the growth of the interval after a rejection, as a factor.
const REJECTION_INTERVAL_FACTOR: f64 = 2.0;
/// Lower bound on the time in which the interval recovers to 1/e, in seconds. The recovery ramp of
/// an endpoint is defined in [`super::slow_start`].
const INTERVAL_RECOVERY_SECONDS: f64 = 4.0;
/// Lower bound on the time in which the interval recovers to 1/e, in intervals. It is the larger
/// bound where calls are rare, so that a lengthened interval applies to a number of calls.
const INTERVAL_RECOVERY_INTERVALS: f64 = 24.0;
/// An interval below this multiple of the time per call at the capacity is reset to 0.
const MIN_INTERVAL_CALLS: f64 = FIRST_INTERVAL_CALLS / 2.0;
/// Time whose unused calls may be caught up in a burst, in seconds. The larger of this bound and
/// [`CATCH_UP_INTERVALS`] applies.
const CATCH_UP_SECONDS: f64 = 0.05;
/// Time whose unused calls may be caught up in a burst, in intervals.
const CATCH_UP_INTERVALS: f64 = 0.5;

/// The capacity of an endpoint or a destination according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedCapacity {
    /// Calls per second for the whole fleet.
    pub calls_per_second: f64,
    /// Whether the list states the capacity. Otherwise the capacity is derived from the concurrency
    /// limit, which is used for pacing only if the interval is shorter than the shortest latency
    /// objective.
    pub is_known: bool,
}

impl ListedCapacity {
    /// Returns the capacity for a rate of the endpoint list, in calls per second. A rate that is
    /// not positive and finite counts as unknown.
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

/// Returns the upper bound on the interval between two calls, in µs, which follows from the longest
/// time to live.
pub fn max_interval(config: &Config) -> f64 {
    MAX_INTERVAL_TIME_TO_LIVE_SHARE * config.longest_time_to_live() as f64
}

/// Paces the calls under one rate limit: the limit of a destination, or of an endpoint that has its
/// own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    /// Calls per second that the limit allows the whole fleet, from the latest endpoint list.
    pub capacity: f64,
    /// Mean interval between two calls, in µs. 0: calls are not paced.
    pub interval: f64,
    /// Whether the interval has delayed a message since the last recovery step.
    pub has_delayed_message: bool,
    /// Time of the last recovery step, in µs. 0 before the first entry of the endpoint list.
    pub recovered_at: Micros,
    /// Time at which the interval was last lengthened, in µs.
    pub lengthened_at: Micros,
    /// Time from which the next call may be sent, in µs.
    pub next_call_at: Micros,
    /// Time until which a retry-after pauses all calls, in µs.
    pub paused_until: Micros,
}

impl Pacer {
    /// Applies an entry of the endpoint list. The first entry sets the interval to that of an even
    /// share, so that the first messages of many forwarders don't overload a small destination
    /// together.
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

    /// Returns the interval between two calls of this forwarder if the fleet shares the capacity
    /// evenly, in µs.
    fn even_share_interval(&self, config: &Config) -> f64 {
        f64::from(config.fleet_size.max(1)) * MICROS_PER_SECOND / self.capacity
    }

    /// Shortens the interval according to the time elapsed since the last recovery step, if the
    /// interval has delayed a message in that time and no retry-after pauses the calls.
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

    /// Returns whether a call may be sent now.
    pub fn is_open(&self, now: Micros) -> bool {
        now >= self.paused_until.max(self.next_call_at)
    }

    /// Returns whether a second call could be sent right after the next one.
    pub fn has_spare_call(&self, now: Micros) -> bool {
        now >= self.next_call_at + self.interval as Micros
    }

    /// Records the start of a call, and delays the next one.
    pub fn start_call(&mut self, now: Micros, rng: &mut impl Rng) {
        self.delay_next_call(now, rng);
    }

    /// Delays the next call by a random time between half and one and a half intervals, so that the
    /// calls of different forwarders don't synchronise.
    fn delay_next_call(&mut self, now: Micros, rng: &mut impl Rng) {
        let interval = self.interval * (0.5 + rng.random::<f64>());
        let earliest = now.saturating_sub(self.catch_up_time() as Micros);
        self.next_call_at = self.next_call_at.max(earliest) + interval as Micros;
    }

    /// Returns the time whose unused calls may be caught up in a burst, in µs.
    fn catch_up_time(&self) -> f64 {
        (CATCH_UP_SECONDS * MICROS_PER_SECOND).max(CATCH_UP_INTERVALS * self.interval)
    }

    /// Handles the rejection of another forwarder's call: lengthens the interval to that of an even
    /// share, so that this forwarder does not spend a call to detect the lowered limit.
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

    /// Handles the rejection of a call that was sent at `sent_at`, and delays the next call.
    ///
    /// Lengthens the interval, unless the call was sent before the interval was last lengthened,
    /// which already accounts for such a call.
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

    /// Returns the lengthened interval after a rejection, in µs.
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

    /// Pauses all calls until `until`. An earlier retry-after that ends later stays in force.
    pub fn pause_until(&mut self, until: Micros) {
        self.paused_until = self.paused_until.max(until);
        self.next_call_at = self.next_call_at.max(self.paused_until);
    }

    /// Returns the time from which the calls so far no longer affect when the next call may be
    /// sent. 0 if there has been no call.
    pub fn settled_at(&self) -> Micros {
        if self.next_call_at == 0 {
            return 0; // no call has been sent yet
        }
        let settling_time = (self.interval + self.catch_up_time()) as Micros;
        self.next_call_at.saturating_add(settling_time)
    }
}

#[cfg(test)]
mod tests;
