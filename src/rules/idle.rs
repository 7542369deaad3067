//! Destinations out of use, held as summaries: one short record a target in place of some 3 kB.
//!
//! `Forwarder` owns one [`IdleTable`]. Where its configuration names a number of destinations to hold in full, it holds no more than
//! these and those in use: whatever is beyond is summarised once nothing is under way there and no timer of it runs any
//! more, oldest first. Before an event that concerns it a destination is restored. No destination is held both ways.
//!
//! Exact is all that binds: told waits, drains, ejection and return, the cold budget, failures in a row ([`Bounds`]).
//! Rounded are beliefs only: answer times, the pacing interval, the listed rate ([`Summary`]).
//!
//! A summary leaves as its destination is restored, or once its target has been gone for the warm-up time. Bounds leave
//! with their summary, or when a sweep, two at each event, finds that they bind no more. The queue names full destinations
//! only, each until it is used, removed or summarised.

use super::{
    DecisionContext, Destination, Forwarder, Gate, Health, Target, CATCH_REST, CATCH_UP, LAST_FEW,
    SECOND, SILENCE,
};
use crate::bucket::ColdBudget;
use crate::interface::*;
use crate::times::Times;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Entries of a list applied at a time, each of which restores or creates two destinations at most: what a list may hold
/// in full beyond the setting for a moment, some 0.4 MB. Larger chunks cost more memory and save no time.
pub(super) const LIST_CHUNK: usize = 64;
/// Gone targets forgotten with each list, beyond one an entry: a table that outgrew a list shrinks again.
const FORGOTTEN_PER_LIST: usize = 1_024;
/// Destinations summarised after any other event: it restores one at most, so that a backlog shrinks, at some µs each.
const PER_EVENT: usize = 8;
/// Bounds looked at after each event: more than one event can add.
const SWEPT_PER_EVENT: usize = 2;
/// µs until a destination that could not be summarised is looked at again: as long as an unanswered call means nothing.
const LOOK_AGAIN: Micros = 2 * SILENCE;

/// How many destinations may be summarised after this event.
pub(super) fn most_for(event: &Event) -> usize {
    if matches!(event, Event::List(_)) {
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
    /// Idle targets, each a summary.
    pub summaries: usize,
    /// Idle targets with something that binds.
    pub bounds: usize,
    /// Idle targets that have left the list and are not forgotten yet.
    pub gone: usize,
    /// Destinations in the queue of those that may be summarised.
    pub queued: usize,
    /// Destinations restored so far.
    pub restored: u64,
    /// Destinations summarised so far.
    pub summarised: u64,
}

/// What is believed of an idle target. The pacing gate of a destination stands in the summary of each of its targets.
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
    standing: Standing,
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

/// What binds an idle target, exactly as it was; absent where nothing does.
#[derive(Default)]
struct Bounds {
    held: Micros,
    next: Micros,
    paced_until: Micros, // from then on `next` changes nothing
    row_since: Micros,
    kept_until: Micros, // of a target that is gone: until when it is not forgotten
    health: Health,
    budget: ColdBudget,
    failures: u32,
    refusals: u32,
}

impl Bounds {
    fn bind(&self, now: Micros, warm_after: Micros) -> bool {
        let cold = match self.health {
            Health::Well => false,
            Health::Aside | Health::Probed => true,
            Health::Warming(since) => now < since.saturating_add(warm_after),
        };
        cold || self.failures + self.refusals > 0
            || now < self.held.max(self.paced_until).max(self.kept_until)
    }
}

impl Summary {
    fn of(target: &Target, gate: &Gate, destination: &Destination) -> Option<Summary> {
        let outcomes = target.recent.iter().take(LAST_FEW).enumerate();
        Some(Summary {
            capacity: gate.capacity as f32,
            rest: gate.rest as f32,
            leaning: target.card.leaning as f32,
            answer_time: target.times.mean as f32,
            deviation: target.times.deviation as f32,
            zone: target.card.zone,
            per_call: u16::try_from(target.per_call).ok()?,
            learned: Learned::new(target.times.count(), target.recent.len()),
            outcomes: outcomes.fold(0, |bits, (n, success)| bits | u8::from(*success) << n),
            standing: target.standing,
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

    fn target(&self, id: TargetId, destination: DestinationId, bounds: Option<Bounds>) -> Target {
        let times = Times::of(
            self.answer_time.into(),
            self.deviation.into(),
            self.learned.answers(),
        );
        let mut target = Target {
            id,
            destination,
            per_call: self.per_call.into(),
            times,
            ..Target::default()
        };
        target.standing = self.standing;
        (target.card.zone, target.card.leaning) = (self.zone, self.leaning.into());
        target.recent = (0..self.learned.outcomes())
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
            target.next_probe = kept_until;
            (target.row_since, target.health, target.budget) = (row_since, health, budget);
            (target.failures, target.refusals) = (failures, refusals);
        }
        target
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
    summaries: BTreeMap<(DestinationId, TargetId), Summary>,
    destinations: BTreeMap<TargetId, DestinationId>,
    bounds: BTreeMap<TargetId, Bounds>,
    gone: BTreeSet<(Micros, TargetId)>, // by when each is forgotten
    queue: BTreeSet<(Micros, DestinationId)>, // full ones that may be summarised, by when
    swept: Option<TargetId>,            // the last whose bounds were looked at
    most_full: usize,
    restored: u64,
    summarised: u64,
}

const FIRST_TARGET: TargetId = TargetId {
    address: [0; 4],
    port: 0,
    holder: 0,
};
const LAST_TARGET: TargetId = TargetId {
    address: [u8::MAX; 4],
    port: u16::MAX,
    holder: u32::MAX,
};

impl IdleTable {
    pub(super) fn holds(&self, id: DestinationId) -> bool {
        self.targets_of(id).next().is_some()
    }

    fn targets_of(&self, id: DestinationId) -> impl Iterator<Item = TargetId> + '_ {
        self.summaries
            .range((id, FIRST_TARGET)..=(id, LAST_TARGET))
            .map(|((_, target), _)| *target)
    }

    /// All idle targets that have not left the list, each with its place.
    pub(super) fn listed(&self) -> impl Iterator<Item = (TargetId, ZoneId, DestinationId)> + '_ {
        let listed = self
            .summaries
            .iter()
            .filter(|(_, s)| s.standing != Standing::Gone);
        listed.map(|((destination, target), s)| (*target, ZoneId(s.zone), *destination))
    }

    fn insert(
        &mut self,
        id: DestinationId,
        target: TargetId,
        summary: Summary,
        bounds: Option<Bounds>,
    ) {
        if summary.standing == Standing::Gone {
            self.gone
                .insert((bounds.as_ref().map_or(0, |b| b.kept_until), target));
        }
        self.destinations.insert(target, id);
        self.summaries.insert((id, target), summary);
        self.bounds.extend(bounds.map(|b| (target, b)));
    }

    fn remove(&mut self, id: DestinationId, target: TargetId) -> Option<(Summary, Option<Bounds>)> {
        let summary = self.summaries.remove(&(id, target))?;
        self.destinations.remove(&target);
        let bounds = self.bounds.remove(&target);
        self.gone
            .remove(&(bounds.as_ref().map_or(0, |b| b.kept_until), target));
        Some((summary, bounds))
    }

    /// Forgets those gone for long enough; one told to wait is kept until the wait is over.
    pub(super) fn forget_gone(&mut self, now: Micros, entries: usize) {
        for _ in 0..entries + FORGOTTEN_PER_LIST {
            let Some((at, target)) = self.gone.first().copied().filter(|(at, _)| *at <= now) else {
                return;
            };
            match self.bounds.get_mut(&target).filter(|b| b.held > now) {
                Some(bounds) => {
                    bounds.kept_until = bounds.held;
                    self.gone.remove(&(at, target));
                    self.gone.insert((bounds.held, target));
                }
                None => {
                    let id = self.destinations.get(&target).copied().unwrap_or_default();
                    self.remove(id, target);
                    self.gone.remove(&(at, target));
                }
            }
        }
    }

    /// Looks at the next few bounds and drops those that bind no more.
    fn sweep(&mut self, now: Micros, warm_after: Micros) {
        for _ in 0..SWEPT_PER_EVENT {
            let from = self.swept.map_or(Bound::Unbounded, Bound::Excluded);
            let next = self.bounds.range((from, Bound::Unbounded)).next();
            let Some((target, bounds)) = next else {
                return self.swept = None;
            };
            let (target, binds) = (*target, bounds.bind(now, warm_after));
            self.swept = Some(target);
            if !binds && !self.gone.contains(&(bounds.kept_until, target)) {
                self.bounds.remove(&target);
            }
        }
    }
}

impl Forwarder {
    /// How many destinations and targets are held in full and as summaries.
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
            Event::Packet(arrival) => self.restore(now, arrival.destination),
            Event::WaitTold { target, .. }
            | Event::TripEnded { target, .. }
            | Event::ProbeAnswered { target, .. } => self.restore_target(now, *target),
            _ => {}
        }
    }

    pub(super) fn restore_target(&mut self, now: Micros, target: TargetId) {
        if let Some(id) = self.idle.destinations.get(&target).copied() {
            self.restore(now, id);
        }
    }

    pub(super) fn restore(&mut self, now: Micros, id: DestinationId) {
        let held: Vec<TargetId> = self.idle.targets_of(id).collect();
        let Some(first) = held
            .first()
            .and_then(|target| self.idle.summaries.get(&(id, *target)))
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
        for target in held {
            let Some((summary, bounds)) = self.idle.remove(id, target) else {
                continue;
            };
            let gate = summary.gate(bounds.as_ref(), now);
            destination
                .gates
                .entry(apart.then_some(target))
                .or_insert(gate);
            destination.cards.insert(target, super::Card::default());
            self.targets
                .insert(target, summary.target(target, id, bounds));
        }
        let Forwarder {
            config,
            rng,
            mailboxes,
            targets,
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
        let standing = |target| targets.get(target).map(|t| t.standing);
        let ready = destination
            .cards
            .keys()
            .filter(|t| standing(t) == Some(Standing::Ready))
            .count()
            .max(1);
        for (target, card) in &mut destination.cards {
            let Some(t) = targets.get_mut(target) else {
                continue;
            };
            let gate = destination.gates.get(&apart.then_some(*target));
            t.capacity = gate.map_or(0.0, |g| g.capacity) / if apart { 1.0 } else { ready as f64 };
            let fee = config
                .zone_fees
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
        let held: Vec<TargetId> = self.idle.targets_of(id).collect();
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
            .and_then(|target| idle.summaries.get(&(id, *target)))
        else {
            return false;
        };
        if first.apart {
            return true; // each is at a limit of its own
        }
        let mut gate = first.gate(held.first().and_then(|target| idle.bounds.get(target)), now);
        gate.heard(&mut DecisionContext {
            now,
            config,
            rng,
            mailboxes,
            scarce: false,
            times,
        });
        for target in held {
            let bounds = idle.bounds.entry(target).or_default();
            (bounds.next, bounds.paced_until) = (gate.next, gate.paced_until());
            idle.summaries
                .entry((id, target))
                .and_modify(|s| s.rest = gate.rest as f32);
        }
        true
    }

    /// Applies an entry that names an idle destination's only target, neither gone, to its summary; whether it does.
    pub(super) fn relist_idle(&mut self, entry: &Listing) -> bool {
        let id = entry.destination;
        let mut summaries = self
            .idle
            .summaries
            .range_mut((id, FIRST_TARGET)..=(id, LAST_TARGET));
        let (Some(((_, target), summary)), None) = (summaries.next(), summaries.next()) else {
            return false;
        };
        if *target != entry.target || [entry.standing, summary.standing].contains(&Standing::Gone) {
            return false;
        }
        summary.capacity = Gate::listed(entry.rate.into(), &self.config).0 as f32;
        (summary.zone, summary.standing) = (entry.zone.0, entry.standing);
        summary.leaning = Target::leaning(&mut self.rng) as f32;
        true
    }

    /// A destination has nothing under way: it may be summarised once its timers have run out.
    pub(super) fn join_queue(&mut self, now: Micros, id: DestinationId) {
        if self.config.full_destinations.is_none() {
            return;
        }
        let longest = Gate::longest(&self.config) as Micros;
        let targets = &self.targets;
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
            .filter_map(|t| targets.get(t))
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
        self.idle.sweep(now, self.config.rules.warm_after);
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
        summaries: Vec<(TargetId, Summary, Option<Bounds>)>,
    ) {
        self.destinations.remove(&id);
        for (target, summary, bounds) in summaries {
            self.targets.remove(&target);
            self.idle.insert(id, target, summary, bounds);
        }
        self.idle.summarised += 1;
    }

    /// The summaries of a destination's targets, unless something is under way there or a summary would lose a bound.
    fn summary_of(
        &mut self,
        now: Micros,
        id: DestinationId,
    ) -> Option<Vec<(TargetId, Summary, Option<Bounds>)>> {
        let destination = self.destinations.get_mut(&id)?;
        let (apart, cards) = (destination.apart, &destination.cards);
        let listed = |t: &Option<TargetId>| t.map_or(!apart, |t| cards.contains_key(&t));
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
        let unused = !self.states.contains_key(&id) && destination.packets.is_empty();
        if !unused || destination.cards.is_empty() || destination.gates.len() != gates {
            return None;
        }
        let warm_after = self.config.rules.warm_after;
        let summary = |target: &TargetId| {
            let gate = destination
                .gates
                .get(&destination.apart.then_some(*target))?;
            let t = self
                .targets
                .get(target)
                .filter(|t| t.destination == id && t.calls.is_empty())?;
            if t.next_probe == Micros::MAX || t.per_call != destination.per_call {
                return None;
            }
            let bounds = Bounds {
                held: gate.held,
                next: gate.next,
                paced_until: gate.paced_until(),
                row_since: t.row_since,
                kept_until: if t.standing == Standing::Gone {
                    t.next_probe
                } else {
                    0
                },
                health: t.health,
                budget: t.budget,
                failures: t.failures,
                refusals: t.refusals,
            };
            let bounds = Some(bounds).filter(|b| b.bind(now, warm_after));
            Some((*target, Summary::of(t, gate, destination)?, bounds))
        };
        destination.cards.keys().map(summary).collect()
    }
}
