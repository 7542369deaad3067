//! One endpoint: its concurrency, its queue, its warm-up, and what faults do to its answers.

use super::faults::{is_outage, ActiveFault};
use super::{Fall, ReceiverReply};
use crate::chance::{service, stream};
use crate::scenario::{Destination, FaultKind, ResetMoment, RuleSettings, ServiceTime};
use crate::world::EndpointPlace;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

/// Calls over the overload limit that chance alone may bring, beside twice the root of the limit.
const CHANCE_CALLS: f64 = 4.0;
/// From this part of the calls on, forwarders that had seen an endpoint fail are to blame for its fall.
const BLAMED_SHARE: f64 = 2.0 / 3.0;

/// Whether an endpoint has its whole capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Warmth {
    /// It has.
    Warm,
    /// It has an outage.
    Down,
    /// It had an outage until then.
    WarmingUp { since: Micros },
    /// It got too many calls as it warmed up, and stays down.
    Fallen,
}

/// One endpoint.
pub(super) struct Endpoint {
    pub limiter: usize,
    pub group: usize,
    /// Calls a second: its part of what the limiter takes.
    capacity: f64,
    /// When each of the calls that it serves at once is over.
    pub free_at: BinaryHeap<Reverse<Micros>>,
    /// When the calls that wait will be started.
    starts: VecDeque<Micros>,
    pub warmth: Warmth,
    /// The faults that strike it, by their places in the scenario.
    pub faults: Vec<usize>,
    /// Service takes so many times as long, in a jam and after it until the queue has been empty.
    jam_slowdown: f64,
    /// Calls and health checks within the overload window while it warms up: when, from whom.
    recent: VecDeque<(Micros, u32)>,
    /// Forwarders that saw a call or health check fail since its outage began.
    witnesses: BTreeSet<u32>,
    chance: Pcg64Mcg,
}

impl Endpoint {
    /// An endpoint without calls or faults. `index` is its number in the layout.
    pub fn new(group: &Destination, place: &EndpointPlace, seed: u64, index: usize) -> Endpoint {
        let sharing = match group.independent_limits {
            true => 1.0,
            false => f64::from(group.endpoints),
        };
        Endpoint {
            limiter: place.limiter,
            group: place.group,
            capacity: group.rate / sharing,
            free_at: (0..group.concurrency).map(|_| Reverse(0)).collect(),
            starts: VecDeque::new(),
            warmth: Warmth::Warm,
            faults: Vec::new(),
            jam_slowdown: 1.0,
            recent: VecDeque::new(),
            witnesses: BTreeSet::new(),
            chance: stream(seed, "receiver", index as u64),
        }
    }

    /// A new holder of its address: nothing of the old one is left but the faults.
    pub fn replace(&mut self, now: Micros, concurrency: u32) {
        self.free_at = (0..concurrency).map(|_| Reverse(now)).collect();
        self.starts.clear();
        self.warmth = Warmth::Warm;
        self.jam_slowdown = 1.0;
        self.recent.clear();
        self.witnesses.clear();
    }

    /// A fault strikes it.
    pub fn fault_begins(&mut self, kind: &FaultKind) {
        if let FaultKind::Jam { times } = kind {
            self.jam_slowdown = *times;
        } else if is_outage(kind) && self.warmth != Warmth::Fallen {
            self.warmth = Warmth::Down;
            self.witnesses.clear();
        }
    }

    /// The last outage is over: it warms up.
    pub fn outage_ends(&mut self, now: Micros) {
        if self.warmth == Warmth::Down {
            self.warmth = Warmth::WarmingUp { since: now };
            self.recent.clear();
        }
    }

    /// The part of its capacity that it has while it warms up.
    pub fn warm_share(&self, now: Micros, rules: &RuleSettings) -> f64 {
        let Warmth::WarmingUp { since } = self.warmth else {
            return 1.0;
        };
        let warm = (now - since) as f64 / rules.warm_up_time.0.max(1) as f64;
        rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warm.min(1.0)
    }

    /// Counts a call or a health check while it warms up; false where it does not.
    pub fn count_arrival(&mut self, now: Micros, forwarder: u32, rules: &RuleSettings) -> bool {
        let Warmth::WarmingUp { since } = self.warmth else {
            return false;
        };
        if now >= since + rules.warm_up_time.0 {
            self.warmth = Warmth::Warm;
            self.recent.clear();
            return false;
        }
        self.recent.push_back((now, forwarder));
        while let Some((at, _)) = self.recent.front() {
            if at + rules.overload_window.0 >= now {
                break;
            }
            self.recent.pop_front();
        }
        true
    }

    /// Calls within the overload window while it warms up.
    pub fn recent_calls(&self) -> usize {
        self.recent.len()
    }

    /// Calls within the overload window that it stands with this share of its capacity.
    pub fn overload_limit(&self, capacity_share: f64, rules: &RuleSettings) -> f64 {
        let window = rules.overload_window.seconds();
        let limit = rules.overload_multiple * capacity_share * self.capacity * window;
        limit + 2.0 * limit.sqrt() + CHANCE_CALLS
    }

    /// It got more calls than it stands.
    pub fn fall_over(&mut self, now: Micros, index: usize, limit: f64) -> Fall {
        let calls = self.recent.len();
        let mut from_witnesses = 0;
        for (_, forwarder) in &self.recent {
            if self.witnesses.contains(forwarder) {
                from_witnesses += 1;
            }
        }
        self.warmth = Warmth::Fallen;
        Fall {
            at: now,
            endpoint: index,
            calls,
            budget: limit,
            blamed: f64::from(from_witnesses) >= BLAMED_SHARE * calls as f64,
        }
    }

    /// A forwarder saw it fail in its outage.
    pub fn add_witness(&mut self, forwarder: u32) {
        if self.warmth == Warmth::Down {
            self.witnesses.insert(forwarder);
        }
    }

    /// Draws whether something of this probability happens.
    pub fn draws(&mut self, probability: f64) -> bool {
        self.chance.random_bool(probability)
    }

    /// What faults answer before a call is served; nothing where it is.
    pub fn reply_before_service(
        &mut self,
        now: Micros,
        faults: &[&ActiveFault],
    ) -> Option<ReceiverReply> {
        let mut kinds = faults.iter();
        if let Some(shut) = kinds.find(|fault| fault.kind == FaultKind::Shut) {
            let wait = Some(shut.until.saturating_sub(now));
            return Some(ReceiverReply::TooManyRequests { wait });
        }
        let mut kinds = faults.iter();
        if kinds.any(|fault| fault.kind == FaultKind::Silent) {
            return Some(ReceiverReply::Silent);
        }
        let rate = faults.iter().find_map(|fault| match fault.kind {
            FaultKind::Reset {
                rate,
                moment: ResetMoment::Before,
            } => Some(rate),
            _ => None,
        })?;
        self.draws(rate).then_some(ReceiverReply::ClosedEarly)
    }

    /// Takes calls that have been started by now off the queue.
    pub fn start_waiting_calls(&mut self, now: Micros) {
        while self.starts.front().is_some_and(|start| *start <= now) {
            self.starts.pop_front();
        }
    }

    /// Service takes so many times as long now.
    pub fn slowdown(&mut self, capacity_share: f64, faults: &[&ActiveFault]) -> f64 {
        let mut slowdown = 1.0 / capacity_share;
        for fault in faults {
            if let FaultKind::Slow { times } = fault.kind {
                slowdown *= times;
            }
        }
        if self.jam_slowdown > 1.0 {
            let mut kinds = faults.iter();
            let jammed = kinds.any(|fault| matches!(fault.kind, FaultKind::Jam { .. }));
            if !jammed && self.starts.is_empty() {
                self.jam_slowdown = 1.0;
            }
            slowdown *= self.jam_slowdown;
        }
        slowdown
    }

    /// Whether a call can be served at once, or wait.
    pub fn has_room(&self, now: Micros, queue_limit: u32) -> bool {
        let is_busy = self.free_at.peek().is_some_and(|free| free.0 > now);
        !is_busy || self.starts.len() < queue_limit as usize
    }

    /// Serves a call, at once or after those that wait; gives the time when it is over.
    pub fn serve(&mut self, now: Micros, time: &ServiceTime, slowdown: f64) -> Micros {
        let free_at = self.free_at.pop().map_or(now, |free| free.0);
        let starts_at = free_at.max(now);
        let time = service(time, &mut self.chance) as f64 * slowdown;
        let ends_at = starts_at + time.round().max(1.0) as Micros;
        self.free_at.push(Reverse(ends_at));
        if starts_at > now {
            self.starts.push_back(starts_at);
        }
        ends_at
    }

    /// What comes back for a call that was served. Each fault draws, whether or not one before has spoilt the answer.
    pub fn reply_after_service(
        &mut self,
        error_rate: f64,
        faults: &[&ActiveFault],
    ) -> ReceiverReply {
        let mut reply = ReceiverReply::Served;
        if error_rate > 0.0 && self.draws(error_rate) {
            reply = ReceiverReply::Erred;
        }
        for fault in faults {
            let Some((rate, spoilt)) = spoilt_reply(&fault.kind) else {
                continue;
            };
            if self.draws(rate) && reply == ReceiverReply::Served {
                reply = spoilt;
            }
        }
        reply
    }

    /// Calls that wait now.
    pub fn waiting(&self, now: Micros) -> usize {
        self.starts.iter().filter(|start| **start > now).count()
    }
}

/// How often a fault spoils an answer, and what comes back then.
fn spoilt_reply(kind: &FaultKind) -> Option<(f64, ReceiverReply)> {
    match kind {
        FaultKind::Erring { rate } => Some((*rate, ReceiverReply::Erred)),
        FaultKind::Reset {
            rate,
            moment: ResetMoment::Within,
        } => Some((*rate, ReceiverReply::Reset)),
        FaultKind::Reset {
            rate,
            moment: ResetMoment::After,
        } => Some((*rate, ReceiverReply::ServedThenReset)),
        FaultKind::AnswerLost { rate } => Some((*rate, ReceiverReply::Silent)),
        FaultKind::Garbled { rate } => Some((*rate, ReceiverReply::Garbled)),
        FaultKind::Endless { rate } => Some((*rate, ReceiverReply::Endless)),
        _ => None,
    }
}
