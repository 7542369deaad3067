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
    met_by: BTreeMap<u32, Micros>,
    /// The first two of them in time.
    first: Option<(u32, Micros)>,
    second: Option<(u32, Micros)>,
}

impl Outage {
    /// A forwarder has met the outage.
    pub fn learn(&mut self, forwarder: u32, at: Micros) {
        if self.met_by.contains_key(&forwarder) {
            return;
        }
        self.met_by.insert(forwarder, at);
        match (self.first, self.second) {
            (None, _) => self.first = Some((forwarder, at)),
            (_, None) => self.second = Some((forwarder, at)),
            _ => {}
        }
    }

    /// Whether a forwarder other than this one had met it by then.
    pub fn known_to_another(&self, forwarder: u32, at: Micros) -> bool {
        [self.first, self.second]
            .into_iter()
            .flatten()
            .any(|(who, since)| who != forwarder && since <= at)
    }

    /// Whether this forwarder had met it by then.
    pub fn known_to(&self, forwarder: u32, at: Micros) -> bool {
        self.met_by
            .get(&forwarder)
            .is_some_and(|since| *since <= at)
    }
}

/// Part of the calls to a returning destination from which on the forwarders that had met the outage are to blame.
const BLAME: (usize, usize) = (2, 3);

/// What came to a destination since it came back, while it is cold.
pub struct Return {
    since: Micros,
    /// Forwarders that met the outage, with the time at which each learned of it; one entry a forwarder at most.
    met_by: BTreeMap<u32, Micros>,
    /// Calls and probes within the last overload window: when, and whether the sender had met the outage by then.
    recent: VecDeque<(Micros, bool)>,
    over_budget: bool,
    over_allowed: bool,
}

/// A call or probe as the onlooker sees it arrive.
#[derive(Clone, Copy)]
pub struct Arrived {
    pub now: Micros,
    pub destination: u32,
    pub forwarder: u32,
    pub sent: Micros,
}

impl Return {
    /// The destination of this outage is back.
    pub fn after(outage: Outage, since: Micros) -> Return {
        let Outage { met_by, .. } = outage;
        Return {
            since,
            met_by,
            recent: VecDeque::new(),
            over_budget: false,
            over_allowed: false,
        }
    }

    /// A call or probe that was sent at `tried` has failed: it met the outage if that was before the return.
    pub fn learn(&mut self, forwarder: u32, tried: Micros, at: Micros) {
        if tried < self.since {
            self.met_by.entry(forwarder).or_insert(at);
        }
    }

    /// Takes one call or probe in; `capacity` is what the destination takes at this moment, calls a second.
    pub fn take(&mut self, arrived: Arrived, capacity: f64) -> Overshoot {
        let Arrived {
            now,
            destination,
            forwarder,
            sent,
        } = arrived;
        let rules = rules();
        let witness = self
            .met_by
            .get(&forwarder)
            .is_some_and(|since| *since <= sent);
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
        Overshoot {
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
    pub fn note_return(&mut self, back: &mut Return, seen: Overshoot) {
        let over_budget = seen.calls as f64 > seen.budget;
        let over_allowed = seen.excess() > 0.0;
        self.returns_over_budget += u64::from(over_budget && !back.over_budget);
        let falls = over_allowed && !back.over_allowed;
        self.returns_over_allowed += u64::from(falls);
        self.returns_pushed_over += u64::from(falls && seen.is_from_witnesses());
        back.over_budget |= over_budget;
        back.over_allowed |= over_allowed;
        if self
            .worst
            .is_none_or(|worst| worst.excess() < seen.excess())
        {
            self.worst = Some(seen);
        }
    }
}

/// What the onlooker counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ReceiverCounts {
    pub calls: u64,
    pub probes: u64,
    pub refused_full: u64,
    /// Calls to an address that the destination has left.
    pub calls_to_old_address: u64,
    pub calls_while_down: u64,
    pub probes_while_down: u64,
    /// Of these calls, those sent when another forwarder had met the outage.
    pub calls_another_knew: u64,
    /// Of those, the ones whose sender had not: what telling could save.
    pub calls_only_others_knew: u64,
    pub probes_another_knew: u64,
    pub probes_only_others_knew: u64,
    /// Destinations that came back cold.
    pub returns: u64,
    /// Of these, where the calls and probes within an overload window passed the budget N of that moment.
    pub returns_over_budget: u64,
    /// Where they passed N + 2 x root of N + 2.
    pub returns_over_allowed: u64,
    /// Of these, where two thirds of that came from forwarders that had met the outage as they sent it: the rule is broken.
    pub returns_pushed_over: u64,
    /// The largest excess over N + 2 x root of N + 2; negative where none passed it.
    pub worst: Option<Overshoot>,
}

/// The calls that came to a returning destination within one overload window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Overshoot {
    pub destination: u32,
    pub calls: usize,
    /// Of these, from forwarders that had met the outage as they sent them.
    pub from_witnesses: usize,
    pub budget: f64,
    pub allowed: f64,
}

impl Overshoot {
    fn excess(&self) -> f64 {
        self.calls as f64 - self.allowed
    }

    fn is_from_witnesses(&self) -> bool {
        self.from_witnesses * BLAME.1 >= self.calls * BLAME.0
    }
}
