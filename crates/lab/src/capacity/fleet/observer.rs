//! What only an onlooker can know of a fleet: which forwarders have met an outage and since when, and what all of them
//! together send to a destination that has just come back, against its budget.

use super::plan::{rules, SECOND};
use opalpulley::Micros;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// An outage, from its beginning until the destination is back.
#[derive(Default)]
pub struct Outage {
    /// Forwarders that have met it, with the time at which each learned of it; one entry a forwarder at most.
    learned_at: BTreeMap<u32, Micros>,
    /// The first two of them in time.
    first_learned: Option<(u32, Micros)>,
    second_learned: Option<(u32, Micros)>,
}

impl Outage {
    /// A forwarder has met the outage.
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

    /// Whether a forwarder other than this one had met it by then.
    pub fn known_to_another(&self, forwarder: u32, at: Micros) -> bool {
        [self.first_learned, self.second_learned]
            .into_iter()
            .flatten()
            .any(|(other, since)| other != forwarder && since <= at)
    }

    /// Whether this forwarder had met it by then.
    pub fn known_to(&self, forwarder: u32, at: Micros) -> bool {
        self.learned_at
            .get(&forwarder)
            .is_some_and(|since| *since <= at)
    }
}

/// Part of the calls to a returning destination from which on the forwarders that had met the outage are to blame.
const WITNESS_SHARE: (usize, usize) = (2, 3);

/// What came to a destination since it came back, while it is cold.
pub struct Recovery {
    recovered_at: Micros,
    /// Forwarders that met the outage, with the time at which each learned of it; one entry a forwarder at most.
    learned_at: BTreeMap<u32, Micros>,
    /// Calls and probes within the last overload window: when, and whether the sender had met the outage by then.
    recent: VecDeque<(Micros, bool)>,
    over_budget: bool,
    over_limit: bool,
}

/// A call or probe as the onlooker sees it arrive.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub now: Micros,
    pub destination: u32,
    pub forwarder: u32,
    pub sent_at: Micros,
}

impl Recovery {
    /// The destination of this outage is back.
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

    /// A call or probe that was sent at `tried` has failed: it met the outage if that was before the return.
    pub fn record_failure(&mut self, forwarder: u32, attempt_sent_at: Micros, at: Micros) {
        if attempt_sent_at < self.recovered_at {
            self.learned_at.entry(forwarder).or_insert(at);
        }
    }

    /// Takes one call or probe in; `capacity` is what the destination takes at this moment, calls a second.
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
    /// Books what one call more has made of a return.
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

/// What the onlooker counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ReceiverCounts {
    pub calls: u64,
    #[serde(rename = "probes")]
    pub health_checks: u64,
    #[serde(rename = "refused_full")]
    pub calls_rate_limited: u64,
    /// Calls to an address that the destination has left.
    pub calls_to_old_address: u64,
    pub calls_while_down: u64,
    #[serde(rename = "probes_while_down")]
    pub health_checks_while_down: u64,
    /// Of these calls, those sent when another forwarder had met the outage.
    pub calls_another_knew: u64,
    /// Of those, the ones whose sender had not: what telling could save.
    pub calls_only_others_knew: u64,
    #[serde(rename = "probes_another_knew")]
    pub health_checks_another_knew: u64,
    #[serde(rename = "probes_only_others_knew")]
    pub health_checks_only_others_knew: u64,
    /// Destinations that came back cold.
    #[serde(rename = "returns")]
    pub recoveries: u64,
    /// Of these, where the calls and probes within an overload window passed the budget N of that moment.
    #[serde(rename = "returns_over_budget")]
    pub recoveries_over_budget: u64,
    /// Where they passed N + 2 x root of N + 2.
    #[serde(rename = "returns_over_allowed")]
    pub recoveries_over_limit: u64,
    /// Of these, where two thirds of that came from forwarders that had met the outage as they sent it: the rule is broken.
    #[serde(rename = "returns_pushed_over")]
    pub recoveries_overloaded_by_witnesses: u64,
    /// The largest excess over N + 2 x root of N + 2; negative where none passed it.
    pub worst: Option<WindowLoad>,
}

/// The calls that came to a returning destination within one overload window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowLoad {
    pub destination: u32,
    pub calls: usize,
    /// Of these, from forwarders that had met the outage as they sent them.
    pub from_witnesses: usize,
    pub budget: f64,
    pub allowed: f64,
}

impl WindowLoad {
    fn excess(&self) -> f64 {
        self.calls as f64 - self.allowed
    }

    fn is_from_witnesses(&self) -> bool {
        self.from_witnesses * WITNESS_SHARE.1 >= self.calls * WITNESS_SHARE.0
    }
}
