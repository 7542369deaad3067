//! Destinations out of use, held as summaries: one short record an endpoint in place of some 3 kB.
//!
//! `Forwarder` owns one [`IdleTable`]. Where its configuration names a number of destinations to hold in full, it holds no more than
//! these and those in use: whatever is beyond is summarised once nothing is under way there and no timer of it runs any
//! more, oldest first. Before an event that concerns it a destination is restored. No destination is held both ways.
//!
//! Exact is all that binds: told waits, drains, ejection and return, the cold budget, failures in a row ([`Bounds`]).
//! Rounded are beliefs only: answer times, the pacing interval, the listed rate ([`Summary`]).
//!
//! A summary leaves as its destination is restored, or once its endpoint has been gone for the warm-up time. Bounds leave
//! with their summary, or when a sweep, two at each event, finds that they bind no more. The queue names full destinations
//! only, each until it is used, removed or summarised.

use super::{
    DecisionContext, Destination, Endpoint, Forwarder, Gate, Health, CATCH_REST, CATCH_UP,
    LAST_FEW, SECOND, SILENCE,
};
use crate::latency::LatencyEstimator;
use crate::model::*;
use crate::token_bucket::SlowStartBudget;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Entries of a list applied at a time, each of which restores or creates two destinations at most: what a list may hold
/// in full beyond the setting for a moment, some 0.4 MB. Larger chunks cost more memory and save no time.
pub(super) const LIST_CHUNK: usize = 64;
/// Gone endpoints forgotten with each list, beyond one an entry: a table that outgrew a list shrinks again.
const FORGOTTEN_PER_LIST: usize = 1_024;
/// Destinations summarised after any other event: it restores one at most, so that a backlog shrinks, at some µs each.
const PER_EVENT: usize = 8;
/// Bounds looked at after each event: more than one event can add.
const SWEPT_PER_EVENT: usize = 2;
/// µs until a destination that could not be summarised is looked at again: as long as an unanswered call means nothing.
const LOOK_AGAIN: Micros = 2 * SILENCE;

/// How many destinations may be summarised after this event.
pub(super) fn most_for(event: &Event) -> usize {
    if matches!(event, Event::EndpointList(_)) {
        2 * LIST_CHUNK
    } else {
        PER_EVENT
    }
}

/// How much is held, and what it cost so far: for tests and measurements, read only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// Destinations held in full now.
    pub full: usize,
    /// Most destinations held in full at once so far, as seen whenever one was summarised or an event ended.
    pub most_full: usize,
    /// Idle endpoints, each a summary.
    pub summaries: usize,
    /// Idle endpoints with something that binds.
    pub bounds: usize,
    /// Idle endpoints that have left the list and are not forgotten yet.
    pub gone: usize,
    /// Destinations in the queue of those that may be summarised.
    pub queued: usize,
    /// Destinations restored so far.
    pub restored: u64,
    /// Destinations summarised so far.
    pub summarised: u64,
}

/// What is believed of an idle endpoint. The pacing gate of a destination stands in the summary of each of its endpoints.
struct Summary {
    capacity: f32,
    rest: f32,
    leaning: f32,
    answer_time: f32,
    deviation: f32,
    zone: u16,
    per_call: u16,
    learned: Learned,
    outcomes: u8, // successes among the last few, the latest in the lowest bit
    standing: EndpointStatus,
    apart: bool,
}

// What 91,000 destinations may take rests on this: a field more is a decision.
const _: () = assert!(std::mem::size_of::<Summary>() <= 28);

/// How many answers and how many outcomes a summary stands on, of each at most `LAST_FEW`: four bits each.
#[derive(Clone, Copy)]
struct Learned(u8);

impl Learned {
    fn new(answers: f64, outcomes: usize) -> Learned {
        Learned((answers as u8).min(LAST_FEW as u8) << 4 | outcomes.min(LAST_FEW) as u8)
    }
    fn answers(self) -> f64 {
        f64::from(self.0 >> 4)
    }
    fn outcomes(self) -> u8 {
        self.0 & 0xf
    }
}

/// What binds an idle endpoint, exactly as it was; absent where nothing does.
#[derive(Default)]
struct Bounds {
    held: Micros,
    next: Micros,
    paced_until: Micros, // from then on `next` changes nothing
    row_since: Micros,
    kept_until: Micros, // of an endpoint that is gone: until when it is not forgotten
    health: Health,
    budget: SlowStartBudget,
    failures: u32,
    refusals: u32,
}

impl Bounds {
    fn bind(&self, now: Micros, warm_up_time: Micros) -> bool {
        let cold = match self.health {
            Health::Well => false,
            Health::Aside | Health::Probed => true,
            Health::Warming(since) => now < since.saturating_add(warm_up_time),
        };
        cold || self.failures + self.refusals > 0
            || now < self.held.max(self.paced_until).max(self.kept_until)
    }
}

impl Summary {
    fn of(endpoint: &Endpoint, gate: &Gate, destination: &Destination) -> Option<Summary> {
        let outcomes = endpoint.recent.iter().take(LAST_FEW).enumerate();
        Some(Summary {
            capacity: gate.capacity as f32,
            rest: gate.rest as f32,
            leaning: endpoint.card.leaning as f32,
            answer_time: endpoint.times.mean as f32,
            deviation: endpoint.times.deviation as f32,
            zone: endpoint.card.zone,
            per_call: u16::try_from(endpoint.per_call).ok()?,
            learned: Learned::new(endpoint.times.count(), endpoint.recent.len()),
            outcomes: outcomes.fold(0, |bits, (n, success)| bits | u8::from(*success) << n),
            standing: endpoint.standing,
            apart: destination.apart,
        })
    }

    fn gate(&self, bounds: Option<&Bounds>, now: Micros) -> Gate {
        let (next, held) = bounds.map_or((0, 0), |b| (b.next, b.held));
        let (capacity, rest) = (self.capacity.into(), self.rest.into());
        Gate {
            capacity,
            rest,
            next,
            held,
            eased: now.max(1),
            ..Gate::default()
        }
    }

    fn endpoint(
        &self,
        id: EndpointId,
        destination: DestinationId,
        bounds: Option<Bounds>,
    ) -> Endpoint {
        let times = LatencyEstimator::from_parts(
            self.answer_time.into(),
            self.deviation.into(),
            self.learned.answers(),
        );
        let mut endpoint = Endpoint {
            id,
            destination,
            per_call: self.per_call.into(),
            times,
            ..Endpoint::default()
        };
        endpoint.standing = self.standing;
        (endpoint.card.zone, endpoint.card.leaning) = (self.zone, self.leaning.into());
        endpoint.recent = (0..self.learned.outcomes())
            .map(|n| self.outcomes >> n & 1 == 1)
            .collect();
        if let Some(Bounds {
            row_since,
            kept_until,
            health,
            budget,
            failures,
            refusals,
            ..
        }) = bounds
        {
            endpoint.next_health_check = kept_until;
            (endpoint.row_since, endpoint.health, endpoint.budget) = (row_since, health, budget);
            (endpoint.failures, endpoint.refusals) = (failures, refusals);
        }
        endpoint
    }
}

impl Gate {
    /// When the pacing between its calls has surely no effect any more.
    fn paced_until(&self) -> Micros {
        if self.next == 0 {
            return 0; // no call has gone yet
        }
        let missed = (CATCH_UP * SECOND).max(CATCH_REST * self.rest);
        self.next.saturating_add((self.rest + missed) as Micros)
    }
}

#[derive(Default)]
pub(super) struct IdleTable {
    summaries: BTreeMap<(DestinationId, EndpointId), Summary>,
    destinations: BTreeMap<EndpointId, DestinationId>,
    bounds: BTreeMap<EndpointId, Bounds>,
    gone: BTreeSet<(Micros, EndpointId)>, // by when each is forgotten
    queue: BTreeSet<(Micros, DestinationId)>, // full ones that may be summarised, by when
    swept: Option<EndpointId>,            // the last whose bounds were looked at
    most_full: usize,
    restored: u64,
    summarised: u64,
}

const FIRST_ENDPOINT: EndpointId = EndpointId {
    address: [0; 4],
    port: 0,
    incarnation: 0,
};
const LAST_ENDPOINT: EndpointId = EndpointId {
    address: [u8::MAX; 4],
    port: u16::MAX,
    incarnation: u32::MAX,
};

impl IdleTable {
    pub(super) fn holds(&self, id: DestinationId) -> bool {
        self.endpoints_of(id).next().is_some()
    }

    fn endpoints_of(&self, id: DestinationId) -> impl Iterator<Item = EndpointId> + '_ {
        self.summaries
            .range((id, FIRST_ENDPOINT)..=(id, LAST_ENDPOINT))
            .map(|((_, endpoint), _)| *endpoint)
    }

    /// All idle endpoints that have not left the list, each with its place.
    pub(super) fn listed(&self) -> impl Iterator<Item = (EndpointId, ZoneId, DestinationId)> + '_ {
        let listed = self
            .summaries
            .iter()
            .filter(|(_, s)| s.standing != EndpointStatus::Removed);
        listed.map(|((destination, endpoint), s)| (*endpoint, ZoneId(s.zone), *destination))
    }

    fn insert(
        &mut self,
        id: DestinationId,
        endpoint: EndpointId,
        summary: Summary,
        bounds: Option<Bounds>,
    ) {
        if summary.standing == EndpointStatus::Removed {
            self.gone
                .insert((bounds.as_ref().map_or(0, |b| b.kept_until), endpoint));
        }
        self.destinations.insert(endpoint, id);
        self.summaries.insert((id, endpoint), summary);
        self.bounds.extend(bounds.map(|b| (endpoint, b)));
    }

    fn remove(
        &mut self,
        id: DestinationId,
        endpoint: EndpointId,
    ) -> Option<(Summary, Option<Bounds>)> {
        let summary = self.summaries.remove(&(id, endpoint))?;
        self.destinations.remove(&endpoint);
        let bounds = self.bounds.remove(&endpoint);
        self.gone
            .remove(&(bounds.as_ref().map_or(0, |b| b.kept_until), endpoint));
        Some((summary, bounds))
    }

    /// Forgets those gone for long enough; one told to wait is kept until the wait is over.
    pub(super) fn forget_gone(&mut self, now: Micros, entries: usize) {
        for _ in 0..entries + FORGOTTEN_PER_LIST {
            let Some((at, endpoint)) = self.gone.first().copied().filter(|(at, _)| *at <= now)
            else {
                return;
            };
            match self.bounds.get_mut(&endpoint).filter(|b| b.held > now) {
                Some(bounds) => {
                    bounds.kept_until = bounds.held;
                    self.gone.remove(&(at, endpoint));
                    self.gone.insert((bounds.held, endpoint));
                }
                None => {
                    let id = self
                        .destinations
                        .get(&endpoint)
                        .copied()
                        .unwrap_or_default();
                    self.remove(id, endpoint);
                    self.gone.remove(&(at, endpoint));
                }
            }
        }
    }

    /// Looks at the next few bounds and drops those that bind no more.
    fn sweep(&mut self, now: Micros, warm_up_time: Micros) {
        for _ in 0..SWEPT_PER_EVENT {
            let from = self.swept.map_or(Bound::Unbounded, Bound::Excluded);
            let next = self.bounds.range((from, Bound::Unbounded)).next();
            let Some((endpoint, bounds)) = next else {
                return self.swept = None;
            };
            let (endpoint, binds) = (*endpoint, bounds.bind(now, warm_up_time));
            self.swept = Some(endpoint);
            if !binds && !self.gone.contains(&(bounds.kept_until, endpoint)) {
                self.bounds.remove(&endpoint);
            }
        }
    }
}

impl Forwarder {
    /// How many destinations and endpoints are held in full and as summaries.
    pub fn state_counts(&self) -> StateCounts {
        StateCounts {
            full: self.destinations.len(),
            most_full: self.idle.most_full,
            summaries: self.idle.summaries.len(),
            bounds: self.idle.bounds.len(),
            gone: self.idle.gone.len(),
            queued: self.idle.queue.len(),
            restored: self.idle.restored,
            summarised: self.idle.summarised,
        }
    }

    /// Whether so many destinations more than now are more than are to be held in full.
    pub(super) fn is_beyond_full(&self, more: usize) -> bool {
        self.config
            .full_destinations
            .is_some_and(|full| self.destinations.len() + more > full as usize)
    }

    /// Restores the destination that the event concerns. A list restores those that it names itself.
    pub(super) fn restore_for(&mut self, now: Micros, event: &Event) {
        match event {
            Event::Submitted(arrival) => self.restore(now, arrival.destination),
            Event::RetryAfterReceived { endpoint, .. }
            | Event::AttemptEnded { endpoint, .. }
            | Event::HealthCheckEnded { endpoint, .. } => self.restore_endpoint(now, *endpoint),
            _ => {}
        }
    }

    pub(super) fn restore_endpoint(&mut self, now: Micros, endpoint: EndpointId) {
        if let Some(id) = self.idle.destinations.get(&endpoint).copied() {
            self.restore(now, id);
        }
    }

    pub(super) fn restore(&mut self, now: Micros, id: DestinationId) {
        let held: Vec<EndpointId> = self.idle.endpoints_of(id).collect();
        let Some(first) = held
            .first()
            .and_then(|endpoint| self.idle.summaries.get(&(id, *endpoint)))
        else {
            return;
        };
        let (apart, per_call) = (first.apart, first.per_call.into());
        let mut destination = Destination {
            id,
            apart,
            per_call,
            ..Destination::default()
        };
        for endpoint in held {
            let Some((summary, bounds)) = self.idle.remove(id, endpoint) else {
                continue;
            };
            let gate = summary.gate(bounds.as_ref(), now);
            destination
                .gates
                .entry(apart.then_some(endpoint))
                .or_insert(gate);
            destination.cards.insert(endpoint, super::Card::default());
            self.endpoints
                .insert(endpoint, summary.endpoint(endpoint, id, bounds));
        }
        let Forwarder {
            config,
            rng,
            mailboxes,
            endpoints,
            times,
            ..
        } = self;
        let context = DecisionContext {
            now,
            config,
            rng,
            mailboxes,
            scarce: false,
            times,
        };
        let standing = |endpoint| endpoints.get(endpoint).map(|t| t.standing);
        let ready = destination
            .cards
            .keys()
            .filter(|t| standing(t) == Some(EndpointStatus::Ready))
            .count()
            .max(1);
        for (endpoint, card) in &mut destination.cards {
            let Some(t) = endpoints.get_mut(endpoint) else {
                continue;
            };
            let gate = destination.gates.get(&apart.then_some(*endpoint));
            t.capacity = gate.map_or(0.0, |g| g.capacity) / if apart { 1.0 } else { ready as f64 };
            let fee = config
                .zone_costs
                .get(usize::from(t.card.zone))
                .filter(|_| apart);
            t.card.fee = fee.copied().unwrap_or(0.0);
            *card = t.card(&context);
        }
        self.destinations.insert(id, destination);
        self.idle.restored += 1;
        self.join_queue(now, id);
    }

    /// Reads the note that an idle destination is at its limit; whether it is idle. Restoring each of which others speak
    /// would hold in full what is in use elsewhere.
    pub(super) fn limit_idle(&mut self, now: Micros, id: DestinationId) -> bool {
        let held: Vec<EndpointId> = self.idle.endpoints_of(id).collect();
        let Forwarder {
            config,
            rng,
            mailboxes,
            times,
            idle,
            ..
        } = self;
        let Some(first) = held
            .first()
            .and_then(|endpoint| idle.summaries.get(&(id, *endpoint)))
        else {
            return false;
        };
        if first.apart {
            return true; // each is at a limit of its own
        }
        let mut gate = first.gate(
            held.first().and_then(|endpoint| idle.bounds.get(endpoint)),
            now,
        );
        gate.heard(&mut DecisionContext {
            now,
            config,
            rng,
            mailboxes,
            scarce: false,
            times,
        });
        for endpoint in held {
            let bounds = idle.bounds.entry(endpoint).or_default();
            (bounds.next, bounds.paced_until) = (gate.next, gate.paced_until());
            idle.summaries
                .entry((id, endpoint))
                .and_modify(|s| s.rest = gate.rest as f32);
        }
        true
    }

    /// Applies an entry that names an idle destination's only endpoint, neither gone, to its summary; whether it does.
    pub(super) fn relist_idle(&mut self, entry: &EndpointEntry) -> bool {
        let id = entry.destination;
        let mut summaries = self
            .idle
            .summaries
            .range_mut((id, FIRST_ENDPOINT)..=(id, LAST_ENDPOINT));
        let (Some(((_, endpoint), summary)), None) = (summaries.next(), summaries.next()) else {
            return false;
        };
        if *endpoint != entry.endpoint
            || [entry.status, summary.standing].contains(&EndpointStatus::Removed)
        {
            return false;
        }
        summary.capacity = Gate::listed(entry.rate.into(), &self.config).0 as f32;
        (summary.zone, summary.standing) = (entry.zone.0, entry.status);
        summary.leaning = Endpoint::leaning(&mut self.rng) as f32;
        true
    }

    /// A destination has nothing under way: it may be summarised once its timers have run out.
    pub(super) fn join_queue(&mut self, now: Micros, id: DestinationId) {
        if self.config.full_destinations.is_none() {
            return;
        }
        let longest = Gate::longest(&self.config) as Micros;
        let endpoints = &self.endpoints;
        let Some(destination) = self
            .destinations
            .get_mut(&id)
            .filter(|d| d.queued.is_none())
        else {
            return;
        };
        let paced = destination
            .gates
            .values()
            .map(|g| g.paced_until().min(now + longest));
        let answered = destination
            .cards
            .keys()
            .filter_map(|t| endpoints.get(t))
            .map(|t| t.answered);
        let passing = answered.filter(|at| *at > 0).map(|at| at + 2 * SILENCE);
        let at = paced.chain(passing).max().unwrap_or(now);
        destination.queued = Some(at);
        self.idle.queue.insert((at, id));
    }

    pub(super) fn leave_queue(&mut self, id: DestinationId) {
        if self.config.full_destinations.is_some() {
            let queued = self.destinations.get_mut(&id).and_then(|d| d.queued.take());
            queued
                .into_iter()
                .for_each(|at| _ = self.idle.queue.remove(&(at, id)));
        }
    }

    /// Summarises destinations whose time has come, oldest first, while more are held in full than are to be.
    pub(super) fn summarise_idle(&mut self, now: Micros, most: usize) {
        if self.config.full_destinations.is_none() {
            return;
        }
        self.idle.most_full = self.idle.most_full.max(self.destinations.len());
        self.idle.sweep(now, self.config.rules.warm_up_time);
        for _ in 0..most {
            let first = self
                .idle
                .queue
                .first()
                .copied()
                .filter(|(at, _)| *at <= now);
            let Some((_, id)) = first.filter(|_| self.is_beyond_full(0)) else {
                return;
            };
            self.leave_queue(id);
            match self.summary_of(now, id) {
                Some(summaries) => self.summarise(id, summaries),
                None => self.look_again(now, id),
            }
        }
    }

    fn look_again(&mut self, now: Micros, id: DestinationId) {
        let unused = !self.states.contains_key(&id);
        if let Some(destination) = self.destinations.get_mut(&id).filter(|_| unused) {
            destination.queued = Some(now + LOOK_AGAIN);
            self.idle.queue.insert((now + LOOK_AGAIN, id));
        }
    }

    fn summarise(
        &mut self,
        id: DestinationId,
        summaries: Vec<(EndpointId, Summary, Option<Bounds>)>,
    ) {
        self.destinations.remove(&id);
        for (endpoint, summary, bounds) in summaries {
            self.endpoints.remove(&endpoint);
            self.idle.insert(id, endpoint, summary, bounds);
        }
        self.idle.summarised += 1;
    }

    /// The summaries of a destination's endpoints, unless something is under way there or a summary would lose a bound.
    fn summary_of(
        &mut self,
        now: Micros,
        id: DestinationId,
    ) -> Option<Vec<(EndpointId, Summary, Option<Bounds>)>> {
        let destination = self.destinations.get_mut(&id)?;
        let (apart, cards) = (destination.apart, &destination.cards);
        let listed = |t: &Option<EndpointId>| t.map_or(!apart, |t| cards.contains_key(&t));
        destination
            .gates
            .retain(|t, gate| listed(t) || gate.held > now);
        destination
            .gates
            .values_mut()
            .for_each(|gate| gate.ease(now));
        let destination = &*destination;
        let gates = if destination.apart {
            destination.cards.len()
        } else {
            1
        };
        let unused = !self.states.contains_key(&id) && destination.messages.is_empty();
        if !unused || destination.cards.is_empty() || destination.gates.len() != gates {
            return None;
        }
        let warm_up_time = self.config.rules.warm_up_time;
        let summary = |endpoint: &EndpointId| {
            let gate = destination
                .gates
                .get(&destination.apart.then_some(*endpoint))?;
            let t = self
                .endpoints
                .get(endpoint)
                .filter(|t| t.destination == id && t.calls.is_empty())?;
            if t.next_health_check == Micros::MAX || t.per_call != destination.per_call {
                return None;
            }
            let bounds = Bounds {
                held: gate.held,
                next: gate.next,
                paced_until: gate.paced_until(),
                row_since: t.row_since,
                kept_until: if t.standing == EndpointStatus::Removed {
                    t.next_health_check
                } else {
                    0
                },
                health: t.health,
                budget: t.budget,
                failures: t.failures,
                refusals: t.refusals,
            };
            let bounds = Some(bounds).filter(|b| b.bind(now, warm_up_time));
            Some((*endpoint, Summary::of(t, gate, destination)?, bounds))
        };
        destination.cards.keys().map(summary).collect()
    }
}
