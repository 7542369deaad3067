//! An observer with global knowledge of the fleet. It tracks which forwarders have noticed an outage and since when, and
//! compares the load that all forwarders together put on a recovering destination with its budget. No forwarder sees what
//! the observer knows.

use super::plan::{rules, SECOND};
use opalpulley::Micros;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// An outage of one destination, from its beginning until the destination recovers.
#[derive(Default)]
pub struct Outage {
    /// Time at which each forwarder noticed the outage, in µs, by the forwarder's number. It has no entry for a forwarder
    /// that has not noticed.
    learned_at: BTreeMap<u32, Micros>,
    /// The first forwarder that noticed, with the time.
    first_learned: Option<(u32, Micros)>,
    /// The second forwarder that noticed, with the time. Two are enough to decide whether a forwarder other than a given one
    /// has noticed.
    second_learned: Option<(u32, Micros)>,
}

impl Outage {
    /// Records that a forwarder has noticed the outage; only its first time counts.
    pub fn record_failure(&mut self, forwarder: u32, at: Micros) {
        if self.learned_at.contains_key(&forwarder) {
            return;
        }
        self.learned_at.insert(forwarder, at);
        match (self.first_learned, self.second_learned) {
            (None, _) => self.first_learned = Some((forwarder, at)),
            (_, None) => self.second_learned = Some((forwarder, at)),
            _ => {}
        }
    }

    /// Returns whether a forwarder other than this one had noticed the outage by `at`.
    pub fn known_to_another(&self, forwarder: u32, at: Micros) -> bool {
        [self.first_learned, self.second_learned]
            .into_iter()
            .flatten()
            .any(|(other, since)| other != forwarder && since <= at)
    }

    /// Returns whether this forwarder had noticed the outage by `at`.
    pub fn known_to(&self, forwarder: u32, at: Micros) -> bool {
        self.learned_at
            .get(&forwarder)
            .is_some_and(|since| *since <= at)
    }
}

/// Smallest fraction, as numerator and denominator, of the calls to a recovering destination for which its overload is
/// attributed to the witnesses: the forwarders that had noticed the outage.
const WITNESS_SHARE: (usize, usize) = (2, 3);

/// Tracks the load on a destination since it recovered, until its warm-up ends.
pub struct Recovery {
    /// Simulated time of the recovery, in µs.
    recovered_at: Micros,
    /// Time at which each forwarder noticed the outage, in µs, by the forwarder's number. It has no entry for a forwarder
    /// that has not noticed.
    learned_at: BTreeMap<u32, Micros>,
    /// Calls and health checks within the last overload window: the time of arrival, and whether the sender was a witness
    /// when it sent.
    recent: VecDeque<(Micros, bool)>,
    /// Whether the load has exceeded the budget since the recovery.
    over_budget: bool,
    /// Whether the load has exceeded [`WindowLoad::allowed`] since the recovery.
    over_limit: bool,
}

/// A call or health check that reaches its destination.
#[derive(Clone, Copy)]
pub struct Arrival {
    /// Simulated time of the arrival, in µs.
    pub now: Micros,
    pub destination: u32,
    /// Number of the sender.
    pub forwarder: u32,
    /// Simulated time at which the forwarder sent it, in µs.
    pub sent_at: Micros,
}

impl Recovery {
    /// Starts tracking a destination whose outage has ended.
    pub fn after(outage: Outage, recovered_at: Micros) -> Recovery {
        let Outage { learned_at, .. } = outage;
        Recovery {
            recovered_at,
            learned_at,
            recent: VecDeque::new(),
            over_budget: false,
            over_limit: false,
        }
    }

    /// Records that a forwarder saw the failure of a call or health check sent at `attempt_sent_at`. The failure
    /// counts as noticing the outage only if the attempt was sent before the recovery.
    pub fn record_failure(&mut self, forwarder: u32, attempt_sent_at: Micros, at: Micros) {
        if attempt_sent_at < self.recovered_at {
            self.learned_at.entry(forwarder).or_insert(at);
        }
    }

    /// Records the arrival of a call or health check. `capacity` is the rate that the destination accepts now, in calls per
    /// second. Returns the load of the overload window that ends now.
    pub fn record_arrival(&mut self, arrival: Arrival, capacity: f64) -> WindowLoad {
        let Arrival {
            now,
            destination,
            forwarder,
            sent_at,
        } = arrival;
        let rules = rules();
        let witness = self
            .learned_at
            .get(&forwarder)
            .is_some_and(|since| *since <= sent_at);
        self.recent.push_back((now, witness));
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| at + rules.overload_window < now)
        {
            self.recent.pop_front();
        }
        let budget =
            rules.overload_multiple * capacity * rules.overload_window as f64 / SECOND as f64;
        let allowed = budget + 2.0 * budget.sqrt() + 2.0;
        let from_witnesses = self.recent.iter().filter(|(_, witness)| *witness).count();
        WindowLoad {
            destination,
            calls: self.recent.len(),
            from_witnesses,
            budget,
            allowed,
        }
    }
}

impl ReceiverCounts {
    /// Updates the counts of recoveries with the load after one more arrival. Each recovery is counted at
    /// most once in each of them.
    pub fn record_recovery_load(&mut self, recovery: &mut Recovery, load: WindowLoad) {
        let over_budget = load.calls as f64 > load.budget;
        let over_limit = load.excess() > 0.0;
        self.recoveries_over_budget += u64::from(over_budget && !recovery.over_budget);
        let newly_over = over_limit && !recovery.over_limit;
        self.recoveries_over_limit += u64::from(newly_over);
        self.recoveries_overloaded_by_witnesses +=
            u64::from(newly_over && load.is_from_witnesses());
        recovery.over_budget |= over_budget;
        recovery.over_limit |= over_limit;
        if self
            .worst
            .is_none_or(|worst| worst.excess() < load.excess())
        {
            self.worst = Some(load);
        }
    }
}

/// Counts over all destinations and the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ReceiverCounts {
    /// Calls that arrived, including those to destinations that were down.
    pub calls: u64,
    /// Health checks that arrived, including those to destinations that were down.
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// Calls refused with a retry-after because the destination's rate was exceeded.
    #[serde(rename = "refused_full")]
    pub calls_rate_limited: u64,
    /// Calls to an address from which the destination has moved.
    pub calls_to_old_address: u64,
    pub calls_while_down: u64,
    #[serde(rename = "probes_while_down")]
    pub health_checks_while_down: u64,
    /// Of `calls_while_down`, those sent when a forwarder other than the sender had noticed the outage.
    pub calls_another_knew: u64,
    /// Of `calls_another_knew`, those whose sender had not noticed the outage: the calls that sharing the knowledge could
    /// save.
    pub calls_only_others_knew: u64,
    /// As `calls_another_knew`, for health checks.
    #[serde(rename = "probes_another_knew")]
    pub health_checks_another_knew: u64,
    /// As `calls_only_others_knew`, for health checks.
    #[serde(rename = "probes_only_others_knew")]
    pub health_checks_only_others_knew: u64,
    /// Recoveries of destinations. Each begins a warm-up.
    #[serde(rename = "returns")]
    pub recoveries: u64,
    /// Recoveries in which the calls and health checks of an overload window exceeded the budget N of that time.
    #[serde(rename = "returns_over_budget")]
    pub recoveries_over_budget: u64,
    /// Recoveries in which the load of an overload window exceeded N + 2·√N + 2.
    #[serde(rename = "returns_over_allowed")]
    pub recoveries_over_limit: u64,
    /// Of `recoveries_over_limit`, those in which at least two thirds of the load came from witnesses: forwarders that had
    /// noticed the outage when they sent. These recoveries violate the overload rule.
    #[serde(rename = "returns_pushed_over")]
    pub recoveries_overloaded_by_witnesses: u64,
    /// The load with the largest excess over N + 2·√N + 2. The excess is negative if no load exceeded it; `None` if no
    /// recovering destination received a call or health check.
    pub worst: Option<WindowLoad>,
}

/// The load on a recovering destination within one overload window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowLoad {
    pub destination: u32,
    /// Calls and health checks in the window.
    pub calls: usize,
    /// Of `calls`, those from forwarders that had noticed the outage when they sent.
    pub from_witnesses: usize,
    /// Budget N: the overload multiple of what the destination accepts in a window, in calls.
    pub budget: f64,
    /// Limit N + 2·√N + 2, in calls: the budget with room for the random variation of the arrivals.
    pub allowed: f64,
}

impl WindowLoad {
    /// Returns the calls beyond `allowed`; negative if there are fewer.
    fn excess(&self) -> f64 {
        self.calls as f64 - self.allowed
    }

    /// Returns whether the witnesses sent at least [`WITNESS_SHARE`] of the load.
    fn is_from_witnesses(&self) -> bool {
        self.from_witnesses * WITNESS_SHARE.1 >= self.calls * WITNESS_SHARE.0
    }
}
