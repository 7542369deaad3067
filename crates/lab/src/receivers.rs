//! The receivers: places, queues, limits, warmth and faults, without I/O. Both clocks ask the same model what becomes
//! of a call at the moment when it reaches its endpoint, and carry the answer out at the time it names. A queue is first come
//! first served, so a call's end is known as it comes. Owns the receivers' state; the memory of repeats is emptied after the
//! longest window, the record of a cold endpoint's calls after the overload window.

use crate::chance::{service, stream};
use crate::scenario::{Destination, FaultKind, ResetMoment, RuleSettings, Scenario};
use crate::world::Layout;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// Calls over a cold budget that chance alone may bring, beside twice the root of the budget.
const CHANCE: f64 = 4.0;
/// Part of the calls from forwarders that knew better, from which they are to blame for an endpoint's fall.
const BLAME: f64 = 2.0 / 3.0;

/// What comes back for a call, and when its last byte (or its end) is on the way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fate {
    /// When it took effect, where it did. A repeat that the receiver knows takes none.
    pub ran: Option<Micros>,
    pub at: Micros,
    pub says: ReceiverReply,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverReply {
    Served,
    Erred,
    /// 429, with the wait asked for.
    TooManyRequests {
        wait: Option<Micros>,
    },
    /// 503: its queue is full.
    Overloaded,
    /// No connection comes up.
    Refused,
    /// The connection breaks off before the call is in.
    ClosedEarly,
    Silent,
    /// The head of a refusal, which may tell a wait; then the connection breaks.
    TooManyRequestsTruncated {
        wait: Option<Micros>,
    },
    Reset,
    /// 200, then the connection breaks.
    ServedThenReset,
    Garbled,
    /// 200, and a body that never ends.
    Endless,
}

impl ReceiverReply {
    /// Whether whoever sees it knows that something is wrong there.
    pub fn bad_news(self) -> bool {
        !matches!(
            self,
            ReceiverReply::Served | ReceiverReply::ServedThenReset | ReceiverReply::Endless
        )
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

struct RateLimiter {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Micros,
    limited: bool,
    /// Calls that may be owed: refused ones use the limit up, as far as this.
    owes: f64,
    wait: Micros,
}

impl RateLimiter {
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

struct Endpoint {
    limiter: usize,
    group: usize,
    /// Calls a second, its part of what the limiter takes.
    capacity: f64,
    /// When each place comes free.
    places: BinaryHeap<Reverse<Micros>>,
    /// When the calls that wait will be begun.
    starts: VecDeque<Micros>,
    warmth: Warmth,
    faults: Vec<usize>,
    jammed: f64,
    /// Calls and health checks within the overload window while it is not warm: when, from whom.
    recent: VecDeque<(Micros, u32)>,
    /// Forwarders that saw a call or health check fail or be refused since it went down.
    witnesses: BTreeSet<u32>,
    rng: Pcg64Mcg,
}

/// An endpoint that got too much as it came back.
#[derive(Clone, Debug, PartialEq)]
pub struct Fall {
    pub at: Micros,
    pub endpoint: usize,
    pub calls: usize,
    pub budget: f64,
    /// Two thirds of that came from forwarders that had seen it fail: the rule is broken.
    pub blamed: bool,
}

/// A fault as it is in force.
struct ActiveFault {
    kind: FaultKind,
    from: Micros,
    until: Micros,
}

pub struct Receivers {
    groups: Vec<Destination>,
    rules: RuleSettings,
    limiters: Vec<RateLimiter>,
    endpoints: Vec<Endpoint>,
    active: BTreeMap<usize, ActiveFault>,
    ran: BTreeMap<u64, Micros>,
    remembered: VecDeque<(Micros, u64)>,
    window: Micros,
    pub falls: Vec<Fall>,
}

impl Receivers {
    pub fn new(scenario: &Scenario, layout: &Layout, seed: u64) -> Receivers {
        let endpoint = |(n, spot): (usize, &crate::world::EndpointPlace)| {
            let d = &scenario.destinations[spot.group];
            let share = if d.independent_limits {
                1.0
            } else {
                f64::from(d.endpoints)
            };
            Endpoint {
                limiter: spot.limiter,
                group: spot.group,
                capacity: d.rate / share,
                places: (0..d.concurrency).map(|_| Reverse(0)).collect(),
                starts: VecDeque::new(),
                warmth: Warmth::Warm,
                faults: Vec::new(),
                jammed: 1.0,
                recent: VecDeque::new(),
                witnesses: BTreeSet::new(),
                rng: stream(seed, "receiver", n as u64),
            }
        };
        let mut groups = vec![usize::MAX; layout.limiters];
        layout
            .endpoints
            .iter()
            .for_each(|t| groups[t.limiter] = t.group);
        Receivers {
            limiters: (0..layout.limiters)
                .map(|g| {
                    let d = &scenario.destinations[groups[g]];
                    let burst = d.burst.unwrap_or(d.rate);
                    RateLimiter {
                        rate: d.rate,
                        burst,
                        tokens: burst,
                        filled: 0,
                        limited: d.limited,
                        owes: if d.refusals_use_limit { burst } else { 0.0 },
                        wait: d.retry_after.0,
                    }
                })
                .collect(),
            endpoints: layout.endpoints.iter().enumerate().map(endpoint).collect(),
            groups: scenario.destinations.clone(),
            rules: scenario.rules.clone(),
            active: BTreeMap::new(),
            ran: BTreeMap::new(),
            remembered: VecDeque::new(),
            window: scenario
                .classes
                .iter()
                .map(|p| p.window.0.max(p.time_to_live.0))
                .max()
                .unwrap_or(0)
                * 2,
            falls: Vec::new(),
        }
    }

    /// A fault begins, or ends, at these endpoints.
    pub fn set_fault(
        &mut self,
        now: Micros,
        fault: usize,
        what: &FaultKind,
        until: Micros,
        endpoints: &[usize],
        on: bool,
    ) {
        if on {
            self.active.insert(
                fault,
                ActiveFault {
                    kind: what.clone(),
                    from: now,
                    until,
                },
            );
        }
        for endpoint in endpoints {
            let t = &mut self.endpoints[*endpoint];
            t.faults.retain(|n| *n != fault);
            if on {
                t.faults.push(fault);
                match what {
                    FaultKind::Jam { times } => t.jammed = *times,
                    what if outage(what) && t.warmth != Warmth::Fallen => {
                        t.warmth = Warmth::Down;
                        t.witnesses.clear();
                    }
                    _ => {}
                }
            } else if outage(what) && t.warmth == Warmth::Down {
                let active = &self.active;
                if !t
                    .faults
                    .iter()
                    .filter_map(|n| active.get(n))
                    .any(|a| outage(&a.kind))
                {
                    t.warmth = Warmth::Cold { since: now };
                    t.recent.clear();
                }
            }
        }
        if !on {
            self.active.remove(&fault);
        }
    }

    /// Another holder stands at the address: nothing of the old one is left.
    pub fn replace(&mut self, now: Micros, endpoint: usize) {
        let places = self.groups[self.endpoints[endpoint].group].concurrency;
        let t = &mut self.endpoints[endpoint];
        t.places = (0..places).map(|_| Reverse(now)).collect();
        t.starts.clear();
        t.warmth = Warmth::Warm;
        t.jammed = 1.0;
        t.recent.clear();
        t.witnesses.clear();
    }

    /// Whether connections to it are refused now.
    pub fn refuses(&self, now: Micros, endpoint: usize) -> bool {
        let t = &self.endpoints[endpoint];
        t.warmth == Warmth::Fallen
            || t.faults
                .iter()
                .filter_map(|n| self.active.get(n))
                .any(|a| a.refuses(now))
    }

    /// Part of its capacity that it has now.
    fn part(&self, now: Micros, endpoint: usize) -> f64 {
        let t = &self.endpoints[endpoint];
        let warmth = match t.warmth {
            Warmth::Cold { since } => {
                let warm = (now - since) as f64 / self.rules.warm_up_time.0.max(1) as f64;
                self.rules.cold_capacity_share
                    + (1.0 - self.rules.cold_capacity_share) * warm.min(1.0)
            }
            _ => 1.0,
        };
        let left = |n: &usize| match self.active.get(n).map(|a| &a.kind) {
            Some(FaultKind::Brownout { capacity_left }) => *capacity_left,
            _ => 1.0,
        };
        t.faults.iter().map(left).fold(warmth, f64::min).max(0.01)
    }

    /// Counts what reaches an endpoint that is not warm; it may be one too many.
    fn count_arrival(&mut self, now: Micros, endpoint: usize, forwarder: u32) {
        let part = self.part(now, endpoint);
        let (rules, groups) = (&self.rules, &self.groups);
        let t = &mut self.endpoints[endpoint];
        let Warmth::Cold { since } = t.warmth else {
            return;
        };
        if now >= since + rules.warm_up_time.0 {
            t.warmth = Warmth::Warm;
            t.recent.clear();
            return;
        }
        t.recent.push_back((now, forwarder));
        while t
            .recent
            .front()
            .is_some_and(|(at, _)| at + rules.overload_window.0 < now)
        {
            t.recent.pop_front();
        }
        let budget = rules.overload_multiple * part * t.capacity * rules.overload_window.seconds();
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
                endpoint,
                calls: t.recent.len(),
                budget: most,
                blamed,
            });
        }
    }

    /// What becomes of a health check that reaches an endpoint.
    pub fn health_check(&mut self, now: Micros, endpoint: usize, forwarder: u32) -> Fate {
        let fate = |says, at| Fate {
            ran: None,
            at,
            says,
        };
        if self.refuses(now, endpoint) {
            self.witness(endpoint, forwarder);
            return fate(ReceiverReply::Refused, now);
        }
        self.count_arrival(now, endpoint, forwarder);
        let whats: Vec<FaultKind> = self.endpoints[endpoint]
            .faults
            .iter()
            .filter_map(|n| Some(self.active.get(n)?.kind.clone()))
            .collect();
        let says = match () {
            () if whats
                .iter()
                .any(|w| matches!(w, FaultKind::Silent | FaultKind::HealthChecksFail)) =>
            {
                ReceiverReply::Silent
            }
            () if whats.contains(&FaultKind::Shut) => ReceiverReply::Overloaded,
            () => ReceiverReply::Served,
        };
        if says.bad_news() {
            self.witness(endpoint, forwarder);
        }
        fate(says, now + 1_000)
    }

    fn witness(&mut self, endpoint: usize, forwarder: u32) {
        let t = &mut self.endpoints[endpoint];
        if matches!(t.warmth, Warmth::Down) {
            t.witnesses.insert(forwarder);
        }
    }

    /// What becomes of a call whose last byte reaches its endpoint now. `idempotency_key` is what repeats are known by.
    pub fn call(
        &mut self,
        now: Micros,
        endpoint: usize,
        forwarder: u32,
        idempotency_key: Option<u64>,
    ) -> Fate {
        let mut fate = self.fate_of_call(now, endpoint, idempotency_key);
        if let (ReceiverReply::TooManyRequests { wait }, true) =
            (fate.says, self.cuts_refusal(endpoint))
        {
            fate.says = ReceiverReply::TooManyRequestsTruncated { wait };
        }
        if fate.says != ReceiverReply::Refused {
            self.count_arrival(now, endpoint, forwarder);
        }
        if fate.says.bad_news() {
            self.witness(endpoint, forwarder);
        }
        fate
    }

    fn cuts_refusal(&mut self, endpoint: usize) -> bool {
        let (t, active) = (&mut self.endpoints[endpoint], &self.active);
        let rate = |n: &usize| match active.get(n).map(|a| &a.kind) {
            Some(FaultKind::RefusalsTruncated { rate }) => Some(*rate),
            _ => None,
        };
        t.faults
            .iter()
            .find_map(rate)
            .is_some_and(|rate| t.rng.random_bool(rate))
    }

    fn fate_of_call(&mut self, now: Micros, endpoint: usize, idempotency_key: Option<u64>) -> Fate {
        let not_run = |says, at| Fate {
            ran: None,
            at,
            says,
        };
        if self.refuses(now, endpoint) {
            return not_run(ReceiverReply::Refused, now);
        }
        let part = self.part(now, endpoint);
        let active = &self.active;
        let t = &mut self.endpoints[endpoint];
        let faults: Vec<&ActiveFault> = t.faults.iter().filter_map(|n| active.get(n)).collect();
        if let Some(shut) = faults.iter().find(|a| a.kind == FaultKind::Shut) {
            return not_run(
                ReceiverReply::TooManyRequests {
                    wait: Some(shut.until.saturating_sub(now)),
                },
                now,
            );
        }
        if faults.iter().any(|a| a.kind == FaultKind::Silent) {
            return not_run(ReceiverReply::Silent, now);
        }
        let cut = |a: &&&ActiveFault| {
            matches!(
                a.kind,
                FaultKind::Reset {
                    moment: ResetMoment::Before,
                    ..
                }
            )
        };
        if let Some(FaultKind::Reset { rate, .. }) = faults.iter().find(cut).map(|a| &a.kind) {
            if t.rng.random_bool(*rate) {
                return not_run(ReceiverReply::ClosedEarly, now);
            }
        }
        let limiter = &mut self.limiters[t.limiter];
        if !limiter.take(now, if part < 1.0 { part.max(0.05) } else { 1.0 }) {
            let wait = (limiter.wait > 0).then_some(limiter.wait);
            return not_run(ReceiverReply::TooManyRequests { wait }, now);
        }
        let group = &self.groups[t.group];
        while t.starts.front().is_some_and(|s| *s <= now) {
            t.starts.pop_front();
        }
        let mut slower = 1.0 / part;
        for a in &faults {
            if let FaultKind::Slow { times } = a.kind {
                slower *= times;
            }
        }
        if t.jammed > 1.0 {
            let goes_on = faults
                .iter()
                .any(|a| matches!(a.kind, FaultKind::Jam { .. }));
            if !goes_on && t.starts.is_empty() {
                t.jammed = 1.0;
            }
            slower *= t.jammed;
        }
        if t.starts.len() >= group.queue_limit as usize
            && t.places.peek().is_some_and(|p| p.0 > now)
        {
            return not_run(ReceiverReply::Overloaded, now);
        }
        let free = t.places.pop().map_or(now, |p| p.0);
        let begins = free.max(now);
        let ends = begins
            + (service(&group.service_time, &mut t.rng) as f64 * slower)
                .round()
                .max(1.0) as Micros;
        t.places.push(Reverse(ends));
        if begins > now {
            t.starts.push_back(begins);
        }
        // What spoils its end.
        let mut says = if group.error_rate > 0.0 && t.rng.random_bool(group.error_rate) {
            ReceiverReply::Erred
        } else {
            ReceiverReply::Served
        };
        for a in &faults {
            let spoilt = match a.kind {
                FaultKind::Erring { rate } => Some((rate, ReceiverReply::Erred)),
                FaultKind::Reset {
                    rate,
                    moment: ResetMoment::Within,
                } => Some((rate, ReceiverReply::Reset)),
                FaultKind::Reset {
                    rate,
                    moment: ResetMoment::After,
                } => Some((rate, ReceiverReply::ServedThenReset)),
                FaultKind::AnswerLost { rate } => Some((rate, ReceiverReply::Silent)),
                FaultKind::Garbled { rate } => Some((rate, ReceiverReply::Garbled)),
                FaultKind::Endless { rate } => Some((rate, ReceiverReply::Endless)),
                _ => None,
            };
            if let Some((rate, how)) = spoilt {
                if t.rng.random_bool(rate) && says == ReceiverReply::Served {
                    says = how;
                }
            }
        }
        let ran = (says != ReceiverReply::Erred)
            .then_some(ends)
            .filter(|_| self.remember(now, idempotency_key, ends));
        Fate {
            ran,
            at: ends,
            says,
        }
    }

    /// Whether it is new to the receivers; from now on it is not.
    fn remember(&mut self, now: Micros, idempotency_key: Option<u64>, ends: Micros) -> bool {
        let Some(idempotency_key) = idempotency_key else {
            return true;
        };
        while self
            .remembered
            .front()
            .is_some_and(|(at, _)| at + self.window < now)
        {
            if let Some((_, old)) = self.remembered.pop_front() {
                self.ran.remove(&old);
            }
        }
        let new = !self.ran.contains_key(&idempotency_key);
        if new {
            self.ran.insert(idempotency_key, ends);
            self.remembered.push_back((now, idempotency_key));
        }
        new
    }

    /// Calls that wait at an endpoint now.
    pub fn waiting(&self, now: Micros, endpoint: usize) -> usize {
        self.endpoints[endpoint]
            .starts
            .iter()
            .filter(|s| **s > now)
            .count()
    }

    /// Tables as they are now: marks remembered, calls of cold endpoints.
    pub fn held(&self) -> usize {
        self.ran.len() + self.endpoints.iter().map(|t| t.recent.len()).sum::<usize>()
    }
}

impl ActiveFault {
    fn refuses(&self, now: Micros) -> bool {
        match self.kind {
            FaultKind::Refusing => true,
            FaultKind::Flapping { down, up } => (now - self.from) % (down.0 + up.0) < down.0,
            _ => false,
        }
    }
}

/// Whether an endpoint that had this comes back cold.
fn outage(what: &FaultKind) -> bool {
    match what {
        FaultKind::Refusing | FaultKind::Silent | FaultKind::Shut => true,
        FaultKind::Erring { rate } => *rate >= 0.5,
        _ => false,
    }
}

#[cfg(test)]
mod tests;
