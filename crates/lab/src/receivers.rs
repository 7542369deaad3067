//! The receivers: places, queues, limits, warmth and troubles, without I/O. Both clocks ask the same model what becomes
//! of a call at the moment when it reaches its target, and carry the answer out at the time it names. A queue is first come
//! first served, so a call's end is known as it comes. Owns the receivers' state; the memory of repeats is emptied after the
//! longest window, the record of a cold target's calls after the overload window.

use crate::chance::{service, stream};
use crate::scenario::{Destination, RuleFigures, Scenario, What, When};
use crate::world::Layout;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// Calls over a cold budget that chance alone may bring, beside twice the root of the budget.
const CHANCE: f64 = 4.0;
/// Part of the calls from forwarders that knew better, from which they are to blame for a target's fall.
const BLAME: f64 = 2.0 / 3.0;

/// What comes back for a call, and when its last byte (or its end) is on the way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fate {
    /// When it took effect, where it did. A repeat that the receiver knows takes none.
    pub ran: Option<Micros>,
    pub at: Micros,
    pub says: Says,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    Served,
    Erred,
    /// 429, with the wait asked for.
    Full {
        wait: Option<Micros>,
    },
    /// 503: its queue is full.
    Crowded,
    /// No connection comes up.
    Refused,
    /// The connection breaks off before the call is in.
    Cut,
    Silent,
    /// The head of a refusal, which may tell a wait; then the connection breaks.
    FullCut {
        wait: Option<Micros>,
    },
    Reset,
    /// 200, then the connection breaks.
    ServedThenReset,
    Garbled,
    /// 200, and a body that never ends.
    Endless,
}

impl Says {
    /// Whether whoever sees it knows that something is wrong there.
    pub fn bad_news(self) -> bool {
        !matches!(self, Says::Served | Says::ServedThenReset | Says::Endless)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Warmth {
    Warm,
    Down,
    Cold {
        since: Micros,
    },
    /// It was pushed over, and stays down.
    Fallen,
}

struct Gate {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Micros,
    limited: bool,
    /// Calls that may be owed: refused ones use the limit up, as far as this.
    owes: f64,
    wait: Micros,
}

impl Gate {
    fn take(&mut self, now: Micros, part: f64) -> bool {
        let passed = now.saturating_sub(self.filled) as f64 / 1e6;
        self.tokens = (self.tokens + passed * self.rate * part).min(self.burst.max(1.0));
        self.filled = now;
        let room = !self.limited || self.tokens >= 1.0;
        if room && self.limited {
            self.tokens -= 1.0;
        } else if !room && self.owes > 0.0 {
            self.tokens = (self.tokens - 1.0).max(-self.owes);
        }
        room
    }
}

struct Target {
    gate: usize,
    group: usize,
    /// Calls a second, its part of what the gate takes.
    capacity: f64,
    /// When each place comes free.
    places: BinaryHeap<Reverse<Micros>>,
    /// When the calls that wait will be begun.
    starts: VecDeque<Micros>,
    warmth: Warmth,
    troubles: Vec<usize>,
    jammed: f64,
    /// Calls and probes within the overload window while it is not warm: when, from whom.
    recent: VecDeque<(Micros, u32)>,
    /// Forwarders that saw a call or probe fail or be refused since it went down.
    witnesses: BTreeSet<u32>,
    rng: Pcg64Mcg,
}

/// A target that got too much as it came back.
#[derive(Clone, Debug, PartialEq)]
pub struct Fall {
    pub at: Micros,
    pub target: usize,
    pub calls: usize,
    pub budget: f64,
    /// Two thirds of that came from forwarders that had seen it fail: the rule is broken.
    pub blamed: bool,
}

/// A trouble as it is in force.
struct Active {
    what: What,
    from: Micros,
    until: Micros,
}

pub struct Receivers {
    groups: Vec<Destination>,
    rules: RuleFigures,
    gates: Vec<Gate>,
    targets: Vec<Target>,
    active: BTreeMap<usize, Active>,
    ran: BTreeMap<u64, Micros>,
    remembered: VecDeque<(Micros, u64)>,
    window: Micros,
    pub falls: Vec<Fall>,
}

impl Receivers {
    pub fn new(scenario: &Scenario, layout: &Layout, seed: u64) -> Receivers {
        let target = |(n, spot): (usize, &crate::world::Spot)| {
            let d = &scenario.destinations[spot.group];
            let share = if d.routes_apart {
                1.0
            } else {
                f64::from(d.targets)
            };
            Target {
                gate: spot.gate,
                group: spot.group,
                capacity: d.rate / share,
                places: (0..d.places).map(|_| Reverse(0)).collect(),
                starts: VecDeque::new(),
                warmth: Warmth::Warm,
                troubles: Vec::new(),
                jammed: 1.0,
                recent: VecDeque::new(),
                witnesses: BTreeSet::new(),
                rng: stream(seed, "receiver", n as u64),
            }
        };
        let mut groups = vec![usize::MAX; layout.gates];
        layout.targets.iter().for_each(|t| groups[t.gate] = t.group);
        Receivers {
            gates: (0..layout.gates)
                .map(|g| {
                    let d = &scenario.destinations[groups[g]];
                    let burst = d.burst.unwrap_or(d.rate);
                    Gate {
                        rate: d.rate,
                        burst,
                        tokens: burst,
                        filled: 0,
                        limited: d.limited,
                        owes: if d.refused_count { burst } else { 0.0 },
                        wait: d.wait.0,
                    }
                })
                .collect(),
            targets: layout.targets.iter().enumerate().map(target).collect(),
            groups: scenario.destinations.clone(),
            rules: scenario.rules.clone(),
            active: BTreeMap::new(),
            ran: BTreeMap::new(),
            remembered: VecDeque::new(),
            window: scenario
                .profiles
                .iter()
                .map(|p| p.window.0.max(p.expiry.0))
                .max()
                .unwrap_or(0)
                * 2,
            falls: Vec::new(),
        }
    }

    /// A trouble begins, or ends, at these targets.
    pub fn strike(
        &mut self,
        now: Micros,
        trouble: usize,
        what: &What,
        until: Micros,
        targets: &[usize],
        on: bool,
    ) {
        if on {
            self.active.insert(
                trouble,
                Active {
                    what: what.clone(),
                    from: now,
                    until,
                },
            );
        }
        for target in targets {
            let t = &mut self.targets[*target];
            t.troubles.retain(|n| *n != trouble);
            if on {
                t.troubles.push(trouble);
                match what {
                    What::Jam { times } => t.jammed = *times,
                    what if outage(what) && t.warmth != Warmth::Fallen => {
                        t.warmth = Warmth::Down;
                        t.witnesses.clear();
                    }
                    _ => {}
                }
            } else if outage(what) && t.warmth == Warmth::Down {
                let active = &self.active;
                if !t
                    .troubles
                    .iter()
                    .filter_map(|n| active.get(n))
                    .any(|a| outage(&a.what))
                {
                    t.warmth = Warmth::Cold { since: now };
                    t.recent.clear();
                }
            }
        }
        if !on {
            self.active.remove(&trouble);
        }
    }

    /// Another holder stands at the address: nothing of the old one is left.
    pub fn replace(&mut self, now: Micros, target: usize) {
        let places = self.groups[self.targets[target].group].places;
        let t = &mut self.targets[target];
        t.places = (0..places).map(|_| Reverse(now)).collect();
        t.starts.clear();
        t.warmth = Warmth::Warm;
        t.jammed = 1.0;
        t.recent.clear();
        t.witnesses.clear();
    }

    /// Whether connections to it are refused now.
    pub fn refuses(&self, now: Micros, target: usize) -> bool {
        let t = &self.targets[target];
        t.warmth == Warmth::Fallen
            || t.troubles
                .iter()
                .filter_map(|n| self.active.get(n))
                .any(|a| a.refuses(now))
    }

    /// Part of its capacity that it has now.
    fn part(&self, now: Micros, target: usize) -> f64 {
        let t = &self.targets[target];
        let warmth = match t.warmth {
            Warmth::Cold { since } => {
                let warm = (now - since) as f64 / self.rules.warm_after.0.max(1) as f64;
                self.rules.cold_from + (1.0 - self.rules.cold_from) * warm.min(1.0)
            }
            _ => 1.0,
        };
        let left = |n: &usize| match self.active.get(n).map(|a| &a.what) {
            Some(What::Brownout { left }) => *left,
            _ => 1.0,
        };
        t.troubles.iter().map(left).fold(warmth, f64::min).max(0.01)
    }

    /// Counts what reaches a target that is not warm; it may be one too many.
    fn weigh(&mut self, now: Micros, target: usize, forwarder: u32) {
        let part = self.part(now, target);
        let (rules, groups) = (&self.rules, &self.groups);
        let t = &mut self.targets[target];
        let Warmth::Cold { since } = t.warmth else {
            return;
        };
        if now >= since + rules.warm_after.0 {
            t.warmth = Warmth::Warm;
            t.recent.clear();
            return;
        }
        t.recent.push_back((now, forwarder));
        while t
            .recent
            .front()
            .is_some_and(|(at, _)| at + rules.overload_for.0 < now)
        {
            t.recent.pop_front();
        }
        let budget = rules.fall_multiple * part * t.capacity * rules.overload_for.seconds();
        let most = budget + 2.0 * budget.sqrt() + CHANCE;
        if groups[t.group].falls_over && t.recent.len() as f64 > most {
            let knew = t
                .recent
                .iter()
                .filter(|(_, f)| t.witnesses.contains(f))
                .count();
            let blamed = knew as f64 >= BLAME * t.recent.len() as f64;
            t.warmth = Warmth::Fallen;
            self.falls.push(Fall {
                at: now,
                target,
                calls: t.recent.len(),
                budget: most,
                blamed,
            });
        }
    }

    /// What becomes of a probe that reaches a target.
    pub fn probe(&mut self, now: Micros, target: usize, forwarder: u32) -> Fate {
        let fate = |says, at| Fate {
            ran: None,
            at,
            says,
        };
        if self.refuses(now, target) {
            self.witness(target, forwarder);
            return fate(Says::Refused, now);
        }
        self.weigh(now, target, forwarder);
        let whats: Vec<What> = self.targets[target]
            .troubles
            .iter()
            .filter_map(|n| Some(self.active.get(n)?.what.clone()))
            .collect();
        let says = match () {
            () if whats
                .iter()
                .any(|w| matches!(w, What::Silent | What::ProbesFail)) =>
            {
                Says::Silent
            }
            () if whats.contains(&What::Shut) => Says::Crowded,
            () => Says::Served,
        };
        if says.bad_news() {
            self.witness(target, forwarder);
        }
        fate(says, now + 1_000)
    }

    fn witness(&mut self, target: usize, forwarder: u32) {
        let t = &mut self.targets[target];
        if matches!(t.warmth, Warmth::Down) {
            t.witnesses.insert(forwarder);
        }
    }

    /// What becomes of a call whose last byte reaches its target now. `mark` is what repeats are known by.
    pub fn call(&mut self, now: Micros, target: usize, forwarder: u32, mark: Option<u64>) -> Fate {
        let mut fate = self.judge(now, target, mark);
        if let (Says::Full { wait }, true) = (fate.says, self.cuts_refusal(target)) {
            fate.says = Says::FullCut { wait };
        }
        if fate.says != Says::Refused {
            self.weigh(now, target, forwarder);
        }
        if fate.says.bad_news() {
            self.witness(target, forwarder);
        }
        fate
    }

    fn cuts_refusal(&mut self, target: usize) -> bool {
        let (t, active) = (&mut self.targets[target], &self.active);
        let rate = |n: &usize| match active.get(n).map(|a| &a.what) {
            Some(What::RefusalsCut { rate }) => Some(*rate),
            _ => None,
        };
        t.troubles
            .iter()
            .find_map(rate)
            .is_some_and(|rate| t.rng.random_bool(rate))
    }

    fn judge(&mut self, now: Micros, target: usize, mark: Option<u64>) -> Fate {
        let not_run = |says, at| Fate {
            ran: None,
            at,
            says,
        };
        if self.refuses(now, target) {
            return not_run(Says::Refused, now);
        }
        let part = self.part(now, target);
        let active = &self.active;
        let t = &mut self.targets[target];
        let troubles: Vec<&Active> = t.troubles.iter().filter_map(|n| active.get(n)).collect();
        if let Some(shut) = troubles.iter().find(|a| a.what == What::Shut) {
            return not_run(
                Says::Full {
                    wait: Some(shut.until.saturating_sub(now)),
                },
                now,
            );
        }
        if troubles.iter().any(|a| a.what == What::Silent) {
            return not_run(Says::Silent, now);
        }
        let cut = |a: &&&Active| {
            matches!(
                a.what,
                What::Reset {
                    when: When::Before,
                    ..
                }
            )
        };
        if let Some(What::Reset { rate, .. }) = troubles.iter().find(cut).map(|a| &a.what) {
            if t.rng.random_bool(*rate) {
                return not_run(Says::Cut, now);
            }
        }
        let gate = &mut self.gates[t.gate];
        if !gate.take(now, if part < 1.0 { part.max(0.05) } else { 1.0 }) {
            let wait = (gate.wait > 0).then_some(gate.wait);
            return not_run(Says::Full { wait }, now);
        }
        let group = &self.groups[t.group];
        while t.starts.front().is_some_and(|s| *s <= now) {
            t.starts.pop_front();
        }
        let mut slower = 1.0 / part;
        for a in &troubles {
            if let What::Slow { times } = a.what {
                slower *= times;
            }
        }
        if t.jammed > 1.0 {
            let goes_on = troubles.iter().any(|a| matches!(a.what, What::Jam { .. }));
            if !goes_on && t.starts.is_empty() {
                t.jammed = 1.0;
            }
            slower *= t.jammed;
        }
        if t.starts.len() >= group.queue as usize && t.places.peek().is_some_and(|p| p.0 > now) {
            return not_run(Says::Crowded, now);
        }
        let free = t.places.pop().map_or(now, |p| p.0);
        let begins = free.max(now);
        let ends = begins
            + (service(&group.service, &mut t.rng) as f64 * slower)
                .round()
                .max(1.0) as Micros;
        t.places.push(Reverse(ends));
        if begins > now {
            t.starts.push_back(begins);
        }
        // What spoils its end.
        let mut says = if group.errors > 0.0 && t.rng.random_bool(group.errors) {
            Says::Erred
        } else {
            Says::Served
        };
        for a in &troubles {
            let spoilt = match a.what {
                What::Erring { rate } => Some((rate, Says::Erred)),
                What::Reset {
                    rate,
                    when: When::Within,
                } => Some((rate, Says::Reset)),
                What::Reset {
                    rate,
                    when: When::After,
                } => Some((rate, Says::ServedThenReset)),
                What::AnswerLost { rate } => Some((rate, Says::Silent)),
                What::Garbled { rate } => Some((rate, Says::Garbled)),
                What::Endless { rate } => Some((rate, Says::Endless)),
                _ => None,
            };
            if let Some((rate, how)) = spoilt {
                if t.rng.random_bool(rate) && says == Says::Served {
                    says = how;
                }
            }
        }
        let ran = (says != Says::Erred)
            .then_some(ends)
            .filter(|_| self.remember(now, mark, ends));
        Fate {
            ran,
            at: ends,
            says,
        }
    }

    /// Whether it is new to the receivers; from now on it is not.
    fn remember(&mut self, now: Micros, mark: Option<u64>, ends: Micros) -> bool {
        let Some(mark) = mark else { return true };
        while self
            .remembered
            .front()
            .is_some_and(|(at, _)| at + self.window < now)
        {
            if let Some((_, old)) = self.remembered.pop_front() {
                self.ran.remove(&old);
            }
        }
        let new = !self.ran.contains_key(&mark);
        if new {
            self.ran.insert(mark, ends);
            self.remembered.push_back((now, mark));
        }
        new
    }

    /// Calls that wait at a target now.
    pub fn waiting(&self, now: Micros, target: usize) -> usize {
        self.targets[target]
            .starts
            .iter()
            .filter(|s| **s > now)
            .count()
    }

    /// Tables as they are now: marks remembered, calls of cold targets.
    pub fn held(&self) -> usize {
        self.ran.len() + self.targets.iter().map(|t| t.recent.len()).sum::<usize>()
    }
}

impl Active {
    fn refuses(&self, now: Micros) -> bool {
        match self.what {
            What::Refusing => true,
            What::Flapping { down, up } => (now - self.from) % (down.0 + up.0) < down.0,
            _ => false,
        }
    }
}

/// Whether a target that had this comes back cold.
fn outage(what: &What) -> bool {
    match what {
        What::Refusing | What::Silent | What::Shut => true,
        What::Erring { rate } => *rate >= 0.5,
        _ => false,
    }
}

#[cfg(test)]
mod tests;
