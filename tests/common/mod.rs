//! A forwarder alone in a hostile little world, and an oracle that knows the six rules but not the module.
#![allow(dead_code)]

use opalpulley::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Micros = 1_000;

pub fn target(n: u8) -> TargetId {
    TargetId {
        address: [10, 0, 0, n],
        port: 80,
        holder: 0,
    }
}

pub fn listing(n: u8, destination: u32, rate: f32) -> Listing {
    let (target, zone) = (target(n), ZoneId(u16::from(n % 2)));
    let (standing, kind) = (Standing::Ready, KindId(0));
    Listing {
        target,
        zone,
        since: 0,
        standing,
        rate,
        destination: DestinationId(destination),
        kind,
    }
}

pub fn profile(effect: Effect) -> ProfileConfig {
    let (contract_time, expiry) = (1_000 * MS, 8_000 * MS);
    ProfileConfig {
        effect,
        contract_time,
        expiry,
        importance: 1.0,
        late_share: 0.5,
        in_order: false,
    }
}

pub fn config() -> Config {
    let fingerprinted = Effect::Fingerprinted {
        group: RepeatGroup::All,
        window: 3_000 * MS,
    };
    Config {
        forwarder: 0,
        forwarders: 2,
        slots: 8,
        room: 100,
        max_trips: 6,
        ends: Ends::AtOnce,
        may_probe: true,
        may_call_off: true,
        may_say_when: true,
        may_gossip: true,
        longest_return: 2_000 * MS,
        list_rates: ListRates::Nominal,
        fading: Fading::Halving,
        over_share_worth: 0.1,
        profiles: vec![
            profile(Effect::Retriable),
            profile(fingerprinted),
            profile(Effect::Binding),
        ],
        tenants: Vec::new(),
        kinds: vec![KindConfig {
            routes_apart: false,
            per_call: 1,
        }],
        zone_fees: vec![0.0, 0.05],
        ask_within: None,
        told_within: None,
        rules: RuleConfig {
            answer_slack: 20 * MS,
            drain_grace: 500 * MS,
            cold_from: 0.2,
            warm_after: 10_000 * MS,
            fall_multiple: 2.0,
            overload_for: 2_000 * MS,
            order_pause: 300 * MS,
        },
        round: 5 * MS,
        full_destinations: None,
    }
}

#[derive(Clone, Debug)]
pub struct Trip {
    pub sent: Micros,
    pub target: TargetId,
    pub due: Micros,
    /// Called off, or taken back before its bytes went: it ends so at the next step.
    pub given_up: Option<Outcome>,
    pub outcome: Option<Outcome>,
    /// When its bytes go, where its connection comes up late; none once they have gone.
    pub goes: Option<Micros>,
}

#[derive(Clone, Debug)]
pub struct Held {
    pub arrival: Arrival,
    pub expires: Micros,
    pub trips: Vec<Trip>,
    /// Over, by a final answer of either side.
    pub over: bool,
}

/// What the oracle saw of one target: failures in a row, the first answer after them, calls and probes.
#[derive(Default)]
struct Cold {
    row: u32,
    judged: BTreeSet<Micros>,
    /// Since when its state has been known.
    known: Micros,
    sick: bool,
    back: Option<Micros>,
    sends: Vec<Micros>,
}

pub struct World {
    pub now: Micros,
    pub config: Config,
    pub forwarder: Forwarder,
    pub packets: BTreeMap<PacketId, Held>,
    pub order: Vec<PacketId>,
    pub actions: Vec<Action>,
    /// Those of its earlier lives.
    pub earlier: Vec<Action>,
    pub probes: Vec<TargetId>,
    /// Ends given and not heard yet, where that counts.
    pub unheard: BTreeSet<PacketId>,
    /// How late the connections of the next calls come up.
    pub late: Micros,
    alarms: BTreeSet<(Micros, u32)>,
    listed: BTreeMap<TargetId, Listing>,
    told_off: BTreeMap<TargetId, Micros>,
    waits: BTreeMap<(DestinationId, Option<TargetId>), Micros>,
    rests: BTreeMap<OrderKey, Micros>,
    cold: BTreeMap<TargetId, Cold>,
    next: u32,
    restored: u64,
}

impl World {
    pub fn new(config: Config, list: Vec<Listing>) -> World {
        let forwarder = Forwarder::new(config.clone(), 7 + u64::from(config.forwarder));
        let mut world = World {
            now: 1_000_000,
            config,
            forwarder,
            packets: BTreeMap::new(),
            order: Vec::new(),
            actions: Vec::new(),
            earlier: Vec::new(),
            probes: Vec::new(),
            unheard: BTreeSet::new(),
            late: 0,
            alarms: BTreeSet::new(),
            listed: BTreeMap::new(),
            told_off: BTreeMap::new(),
            waits: BTreeMap::new(),
            rests: BTreeMap::new(),
            cold: BTreeMap::new(),
            next: 0,
            restored: 0,
        };
        world
            .list(ListNews::Cached(list))
            .expect("the first list breaks no rule");
        world
    }

    /// Destinations that the forwarder has restored from summaries, in all its lives.
    pub fn restored(&self) -> u64 {
        self.restored + self.forwarder.state_counts().restored
    }

    /// The forwarder dies: what it held is no longer its duty.
    pub fn die(&mut self) -> Result<(), String> {
        let list = ListNews::Cached(self.listed.values().cloned().collect());
        let mut earlier = std::mem::take(&mut self.earlier);
        earlier.append(&mut self.actions);
        let (now, next, restored) = (self.now, self.next, self.restored());
        *self = World {
            now,
            next,
            earlier,
            restored,
            ..World::new(self.config.clone(), Vec::new())
        };
        self.list(list)
    }

    pub fn list(&mut self, news: ListNews) -> Result<(), String> {
        let (entries, whole) = match &news {
            ListNews::Changes(entries) => (entries, false),
            ListNews::Whole(entries) | ListNews::Cached(entries) => (entries, true),
            ListNews::Failed => return self.give(Event::List(news)),
        };
        for old in self
            .listed
            .keys()
            .filter(|t| whole && !entries.iter().any(|e| e.target == **t))
        {
            self.told_off.entry(*old).or_insert(self.now);
        }
        for entry in entries {
            match entry.standing {
                Standing::Ready => drop(self.told_off.remove(&entry.target)),
                _ => drop(self.told_off.entry(entry.target).or_insert(self.now)),
            }
            self.listed.insert(entry.target, entry.clone());
        }
        self.give(Event::List(news))
    }

    pub fn arrive(
        &mut self,
        profile: u16,
        destination: u32,
        key: Option<u64>,
        left: Micros,
    ) -> Result<PacketId, String> {
        self.next += 1;
        let arrival = Arrival {
            id: PacketId(self.next),
            profile: ProfileId(profile),
            tenant: TenantId(0),
            key: key.map(OrderKey),
            left,
            hint: None,
            destination: DestinationId(destination),
            again: false,
            write: false,
            orphan: false,
            past: Past::default(),
        };
        self.take(arrival, Vec::new())
    }

    fn take(&mut self, arrival: Arrival, trips: Vec<Trip>) -> Result<PacketId, String> {
        let (id, expires) = (arrival.id, self.now + arrival.left);
        self.packets.insert(
            id,
            Held {
                arrival: arrival.clone(),
                expires,
                trips,
                over: false,
            },
        );
        self.order.push(id);
        self.give(Event::Packet(arrival))?;
        Ok(id)
    }

    /// The forwarder ends and starts again with a folder that lasts: it owes each packet its end.
    pub fn restart(&mut self) -> Result<(), String> {
        let packets = std::mem::take(&mut self.packets);
        self.die()?;
        for (id, mut held) in packets.into_iter().filter(|(_, held)| !held.over) {
            let open = held.trips.iter_mut().filter(|t| t.outcome.is_none());
            open.for_each(|t| (t.outcome, t.goes) = (Some(Outcome::Reset), None));
            let ran = held
                .trips
                .iter()
                .find(|t| t.outcome.is_some_and(Outcome::may_have_run));
            let exposed = ran.map(|t| {
                (
                    t.sent,
                    self.listed.get(&t.target).map_or(ZoneId(0), |l| l.zone),
                )
            });
            let past = Past {
                trips: held.trips.len() as u32,
                exposed,
            };
            let left = held.expires.saturating_sub(self.now);
            self.take(
                Arrival {
                    id,
                    left,
                    key: None,
                    again: true,
                    past,
                    ..held.arrival
                },
                held.trips,
            )?;
        }
        Ok(())
    }

    /// The key by which the packet takes its turn.
    fn key(&self, held: &Held) -> Option<OrderKey> {
        held.arrival
            .key
            .filter(|_| self.config.profiles[usize::from(held.arrival.profile.0)].in_order)
    }

    pub fn out(&self) -> Vec<PacketId> {
        let out = |h: &Held| h.trips.last().is_some_and(|t| t.outcome.is_none());
        self.packets
            .iter()
            .filter(|(_, h)| out(h))
            .map(|(id, _)| *id)
            .collect()
    }

    /// An end that was given is heard.
    pub fn hear(&mut self, id: PacketId) -> Result<(), String> {
        self.unheard.remove(&id);
        self.give(Event::Heard { id })
    }

    pub fn withdraw(&mut self, id: PacketId) -> Result<(), String> {
        self.packets.entry(id).and_modify(|h| h.over = true);
        self.give(Event::Withdrawn { id })
    }

    /// Ends the packet's trip.
    pub fn end(&mut self, id: PacketId, outcome: Outcome) -> Result<(), String> {
        let trip = self.packets[&id]
            .trips
            .last()
            .cloned()
            .ok_or("no trip to end")?;
        // A target answers only what has come.
        let outcome = match (trip.given_up, trip.goes) {
            (Some(Outcome::TakenBack), _) => Outcome::TakenBack,
            (None, Some(_)) if outcome != Outcome::Timeout => Outcome::NoConnection,
            _ => outcome,
        };
        if let Outcome::Full { wait: Some(wait) } = outcome {
            self.wait_binds(id, wait);
        }
        let cold = self.cold.entry(trip.target).or_default();
        // Packets of one call are judged as one.
        let first = cold.judged.insert(trip.sent) || self.config.kinds[0].per_call == 1;
        match outcome {
            Outcome::Delivered if first => {
                if std::mem::take(&mut cold.sick) {
                    (cold.back, cold.known) = (Some(self.now), self.now);
                }
                cold.row = 0;
            }
            Outcome::Error | Outcome::Timeout | Outcome::Reset if first => cold.row += 1,
            _ => {}
        }
        if cold.row >= 3 && !std::mem::replace(&mut cold.sick, true) {
            cold.known = self.now;
        }
        let held = self.packets.get_mut(&id).ok_or("no such packet")?;
        let n = held.trips.len() - 1;
        match outcome {
            Outcome::TakenBack => drop(held.trips.pop()), // nothing of it counts
            _ => held.trips[n].outcome = Some(outcome),
        }
        held.over |= outcome == Outcome::Delivered;
        let (closed, key) = (held.over, self.key(&self.packets[&id]));
        if let (Outcome::Timeout | Outcome::Reset | Outcome::CalledOff, Some(key)) = (outcome, key)
        {
            let until = self.now + self.config.rules.order_pause;
            self.rests
                .entry(key)
                .and_modify(|r| *r = until.max(*r))
                .or_insert(until);
        }
        let (took, report) = (self.now - trip.sent, Vec::new());
        self.give(Event::TripEnded {
            id,
            trip: n as u8,
            target: trip.target,
            outcome,
            took,
            closed,
            report,
        })
    }

    fn wait_binds(&mut self, id: PacketId, wait: Micros) {
        let held = &self.packets[&id];
        let route = held
            .trips
            .last()
            .map(|t| t.target)
            .filter(|_| self.config.kinds[0].routes_apart);
        let until = self
            .waits
            .entry((held.arrival.destination, route))
            .or_default();
        *until = (*until).max(self.now + wait);
    }

    /// The head of its answer tells a wait; how it ends comes later.
    pub fn told_to_wait(&mut self, id: PacketId, wait: Micros) -> Result<(), String> {
        let trip = self.packets[&id]
            .trips
            .last()
            .filter(|t| t.goes.is_none() && t.outcome.is_none());
        let Some(target) = trip.map(|t| t.target) else {
            return Ok(());
        };
        self.wait_binds(id, wait);
        self.give(Event::WaitTold { target, wait })
    }

    pub fn answer_probe(&mut self, outcome: Outcome) -> Result<(), String> {
        match self.probes.pop() {
            Some(target) => self.give(Event::ProbeAnswered {
                target,
                outcome,
                took: MS,
                report: Vec::new(),
            }),
            None => Ok(()),
        }
    }

    /// Lets time pass; alarms ring, and trips that are over their limit time out.
    pub fn pass(&mut self, time: Micros) -> Result<(), String> {
        let until = self.now + time;
        loop {
            let due = |h: &Held| {
                let t = h.trips.last()?;
                let end = t.given_up.map_or(t.due.min(h.expires), |_| self.now);
                t.outcome
                    .is_none()
                    .then_some(t.goes.unwrap_or(end).min(end))
            };
            let trip = self
                .packets
                .iter()
                .filter_map(|(id, h)| Some((due(h)?, *id)))
                .min();
            let alarm = self.alarms.first().copied();
            match (trip, alarm) {
                (Some((at, id)), _) if at <= until && alarm.is_none_or(|a| at <= a.0) => {
                    self.now = self.now.max(at);
                    if self.goes_now(id)? {
                        continue;
                    }
                    let given_up = self.packets[&id].trips.last().and_then(|t| t.given_up);
                    self.end(id, given_up.unwrap_or(Outcome::Timeout))?;
                }
                (_, Some((at, token))) if at <= until => {
                    self.alarms.pop_first();
                    self.now = self.now.max(at);
                    self.give(Event::Alarm {
                        token: Token(token),
                    })?;
                }
                _ => break,
            }
        }
        self.now = until;
        let slack = self.config.rules.answer_slack;
        match self
            .packets
            .iter()
            .find(|(_, h)| !h.over && h.expires + slack < self.now)
        {
            Some((id, held)) => Err(format!("{id:?} lost at {}: {held:?}", self.now)),
            None => Ok(()),
        }
    }

    /// Whether the bytes of its trip go at this moment; what binds now binds them.
    fn goes_now(&mut self, id: PacketId) -> Result<bool, String> {
        let Some(trip) = self.packets.get_mut(&id).and_then(|h| h.trips.last_mut()) else {
            return Ok(false);
        };
        if trip.given_up.is_some() || trip.goes.is_none_or(|at| at > self.now) {
            return Ok(false);
        }
        trip.goes = None;
        let target = trip.target;
        self.check_bound(target)
            .map_err(|e| format!("{id:?} goes late at {}: {e}", self.now))
            .map(|()| true)
    }

    pub fn give(&mut self, event: Event) -> Result<(), String> {
        let mut actions = Vec::new();
        self.forwarder.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action)
                .map_err(|e| format!("at {}: {action:?}: {e}", self.now))?;
        }
        self.actions.extend(actions);
        Ok(())
    }

    fn check(&mut self, action: &Action) -> Result<(), String> {
        match action {
            Action::Send {
                id, target, limit, ..
            } => {
                self.check_send(*id, *target)?;
                let held = self.packets.get_mut(id).ok_or("unknown packet")?;
                let due = limit.map_or(held.expires, |l| self.now + l);
                let goes = (self.late > 0).then_some(self.now + self.late);
                let (given_up, outcome) = (None, None);
                held.trips.push(Trip {
                    sent: self.now,
                    target: *target,
                    due,
                    given_up,
                    outcome,
                    goes,
                });
                self.check_slots()
            }
            Action::Defer { id, .. } | Action::WriteOff { id } => {
                let held = self.packets.get_mut(id).ok_or("unknown packet")?;
                let open = held.trips.last().is_some_and(|t| t.outcome.is_none());
                let ran = open
                    || held
                        .trips
                        .iter()
                        .any(|t| t.outcome.is_some_and(Outcome::may_have_run));
                let harmless =
                    match self.config.profiles[usize::from(held.arrival.profile.0)].effect {
                        Effect::Retriable => true,
                        Effect::Fingerprinted { group, .. } => !ran || group == RepeatGroup::All,
                        Effect::Binding => !ran,
                    };
                if std::mem::replace(&mut held.over, true) {
                    return Err("a second final answer".into());
                }
                self.unheard
                    .extend((self.config.ends == Ends::WhenHeard).then_some(*id));
                match harmless || matches!(action, Action::WriteOff { .. }) {
                    true => Ok(()),
                    false => Err("deferred though it may have run".into()),
                }
            }
            Action::Probe { target } => {
                self.probes.push(*target);
                if !self.config.may_probe {
                    return Err("no probe allowed".into());
                }
                self.check_target(*target)
            }
            Action::CallOff { id, .. } => {
                let trip = self
                    .packets
                    .get_mut(id)
                    .and_then(|h| h.trips.last_mut())
                    .ok_or("no such trip")?;
                trip.given_up = trip.given_up.or(Some(Outcome::CalledOff));
                Ok(())
            }
            Action::TakeBack { target } => {
                let trips = self.packets.values_mut().filter_map(|h| h.trips.last_mut());
                let late = trips
                    .filter(|t| t.target == *target && t.outcome.is_none() && t.goes.is_some());
                late.for_each(|t| t.given_up = t.given_up.or(Some(Outcome::TakenBack)));
                Ok(())
            }
            Action::Wake { after, token } => {
                self.alarms.insert((self.now + after.max(&1), token.0));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn check_send(&mut self, id: PacketId, target: TargetId) -> Result<(), String> {
        let held = self.packets.get(&id).ok_or("unknown packet")?;
        let row = &self.config.profiles[usize::from(held.arrival.profile.0)];
        let zone = |t: TargetId| self.listed.get(&t).map(|l| l.zone);
        if held.over || held.trips.len() >= self.config.max_trips as usize {
            return Err(format!("over, or out of trips: {held:?}"));
        }
        if held.trips.last().is_some_and(|t| t.outcome.is_none()) {
            return Err("a trip is still out".into());
        }
        if self.listed.get(&target).map(|l| l.destination) != Some(held.arrival.destination) {
            return Err("no target of its destination".into());
        }
        let ran = held
            .trips
            .iter()
            .find(|t| t.outcome.is_some_and(Outcome::may_have_run));
        let allowed = match (row.effect, ran) {
            (Effect::Retriable, _) | (_, None) => true,
            (Effect::Binding, Some(_)) => false,
            (Effect::Fingerprinted { group, window }, Some(first)) => {
                let reach = group != RepeatGroup::Zone || zone(first.target) == zone(target);
                reach && self.now <= first.sent + window
            }
        };
        if !allowed {
            return Err(format!("might take effect twice: {held:?}"));
        }
        if let Some(key) = self.key(held) {
            let open = |h: &Held| !h.over || h.trips.last().is_some_and(|t| t.outcome.is_none());
            let ahead = self
                .order
                .iter()
                .take_while(|o| **o != id)
                .map(|o| (o, &self.packets[o]));
            let mut ahead = ahead.filter(|(_, h)| self.key(h) == Some(key));
            if ahead.any(|(o, h)| open(h) || self.unheard.contains(o)) {
                return Err("an earlier packet of its key is not over".into());
            }
            if held.trips.is_empty() && self.rests.get(&key).is_some_and(|r| self.now < *r) {
                return Err("its key rests".into());
            }
        }
        self.check_target(target)
    }

    /// Drains and waits: they hold for calls and probes alike, when they are decided and when they go.
    fn check_bound(&self, target: TargetId) -> Result<(), String> {
        let (listing, rules) = (&self.listed[&target], &self.config.rules);
        if self
            .told_off
            .get(&target)
            .is_some_and(|t| self.now > t + rules.drain_grace)
        {
            return Err("the target drains or is gone".into());
        }
        let route = self.config.kinds[0].routes_apart.then_some(target);
        if self
            .waits
            .get(&(listing.destination, route))
            .is_some_and(|w| self.now < *w)
        {
            return Err("told to wait".into());
        }
        Ok(())
    }

    /// What binds, and the cold budget.
    fn check_target(&mut self, target: TargetId) -> Result<(), String> {
        self.check_bound(target)?;
        let (listing, rules) = (&self.listed[&target], &self.config.rules);
        let cold = self.cold.entry(target).or_default();
        cold.sends.retain(|s| s + rules.overload_for > self.now);
        if self.config.kinds[0].per_call == 1 || cold.sends.last() != Some(&self.now) {
            cold.sends.push(self.now);
        }
        let since = cold.back.map(|b| self.now - b).filter(|_| !cold.sick);
        let warmth = since.map_or(0.0, |s| s as f64 / rules.warm_after as f64);
        if cold.sick || warmth > 0.0 && warmth < 1.0 {
            let share = rules.cold_from + (1.0 - rules.cold_from) * warmth;
            let window = rules.overload_for as f64 / 1e6;
            let budget = rules.fall_multiple * share * f64::from(listing.rate) * window;
            // A part of the budget, and the calls that were out before the row of failures was known.
            let most = budget / f64::from(self.config.forwarders) + 2.0;
            let known = cold.sends.iter().filter(|s| **s >= cold.known).count();
            if known as f64 > most {
                return Err(format!("{known} calls to a cold target, at most {most}"));
            }
        }
        Ok(())
    }

    fn check_slots(&self) -> Result<(), String> {
        let trips = || {
            self.packets
                .values()
                .filter_map(|h| h.trips.last())
                .filter(|t| t.outcome.is_none())
        };
        let calls: BTreeSet<_> = trips().map(|t| (t.target, t.sent)).collect();
        let out = if self.config.kinds[0].per_call > 1 {
            calls.len()
        } else {
            trips().count()
        };
        match out <= self.config.slots as usize {
            true => Ok(()),
            false => Err(format!("{out} calls out, {} slots", self.config.slots)),
        }
    }
}

/// How a random history is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub steps: usize,
    /// The longest pause between two steps.
    pub pause: Micros,
    /// Targets of each destination.
    pub targets: u8,
    /// The forwarder's setting of this name.
    pub full_destinations: Option<u32>,
}

/// A random history from one seed: a random configuration, then events in legal but hostile orders.
pub fn history(seed: u64, steps: usize) -> Result<(), String> {
    play(
        seed,
        &Play {
            steps,
            pause: 200 * MS,
            targets: 2,
            full_destinations: None,
        },
    )
    .map(drop)
}

/// The same, played so; gives the world as it is in the end.
pub fn play(seed: u64, play: &Play) -> Result<World, String> {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut config = Config {
        full_destinations: play.full_destinations,
        ..config()
    };
    config.slots = chance.random_range(1..12);
    config.room = chance.random_range(3..60);
    config.max_trips = chance.random_range(1..7);
    config.ends = if chance.random() {
        Ends::WhenHeard
    } else {
        Ends::AtOnce
    };
    config.may_probe = chance.random();
    config.may_call_off = chance.random();
    config.fading = if chance.random() {
        Fading::Evenly
    } else {
        Fading::Halving
    };
    config.kinds[0] = KindConfig {
        routes_apart: chance.random(),
        per_call: if chance.random_bool(0.3) { 4 } else { 1 },
    };
    let group = if chance.random() {
        RepeatGroup::Zone
    } else {
        RepeatGroup::All
    };
    config.profiles[1].effect = Effect::Fingerprinted {
        group,
        window: chance.random_range(100..4_000) * MS,
    };
    config
        .profiles
        .iter_mut()
        .for_each(|p| p.in_order = chance.random());
    let list: Vec<Listing> = (0..6)
        .map(|n| listing(n, u32::from(n / play.targets), 4.0 + f32::from(n)))
        .collect();
    let mut world = World::new(config, list.clone());
    let mut mood = [0.1; 6];
    for _ in 0..play.steps {
        world.late = if chance.random_bool(0.3) {
            chance.random_range(0..1_000) * MS
        } else {
            0
        };
        match chance.random_range(0..100) {
            0..30 => {
                let left = if chance.random_bool(0.1) {
                    chance.random_range(0..50)
                } else {
                    8_000
                } * MS;
                let key = chance.random_bool(0.5).then(|| chance.random_range(1..4));
                world.arrive(
                    chance.random_range(0..3),
                    chance.random_range(0..4),
                    key,
                    left,
                )?;
            }
            30..60 => {
                let out = world.out();
                if let Some(id) = out.get(chance.random_range(0..out.len().max(1))) {
                    if chance.random_bool(0.05) {
                        world.told_to_wait(*id, chance.random_range(1..3_000) * MS)?;
                    }
                    let at = world.packets[id]
                        .trips
                        .last()
                        .map_or(0, |t| t.target.address[3]);
                    let outcome = match chance.random_bool(mood[usize::from(at)]) {
                        false => Outcome::Delivered,
                        true => match chance.random_range(0..6) {
                            0 => Outcome::Full {
                                wait: Some(chance.random_range(1..3_000) * MS),
                            },
                            1 => Outcome::Full { wait: None },
                            2 => Outcome::NoConnection,
                            3 => Outcome::Reset,
                            4 => Outcome::Moot { no_slot: true },
                            _ => Outcome::Error,
                        },
                    };
                    world.end(*id, outcome)?;
                }
            }
            60..90 => world.pass(chance.random_range(1..play.pause / MS) * MS)?,
            90..92 => {
                let mut entry = list[chance.random_range(0..6)].clone();
                let states = [
                    Standing::Ready,
                    Standing::Ready,
                    Standing::Draining,
                    Standing::Gone,
                ];
                entry.standing = states[chance.random_range(0..4)];
                world.list(ListNews::Changes(vec![entry]))?;
            }
            92 => world.list(ListNews::Whole(list[chance.random_range(0..5)..].to_vec()))?,
            93 => mood[chance.random_range(0..6)] = [0.0, 0.1, 0.9, 1.0][chance.random_range(0..4)],
            94..97 => {
                let outcome = if chance.random() {
                    Outcome::Delivered
                } else {
                    Outcome::Timeout
                };
                world.answer_probe(outcome)?;
            }
            97 => {
                if let Some(id) = world
                    .packets
                    .iter()
                    .find(|(_, h)| !h.over)
                    .map(|(id, _)| *id)
                {
                    world.withdraw(id)?;
                }
                if let Some(id) = world.unheard.first().copied() {
                    world.hear(id)?;
                }
            }
            98 if chance.random_bool(0.5) => {
                // Of any forwarder, true or false, of a known destination or not, or no message at all.
                let mut message = vec![1, 1, chance.random_range(0..4), 0];
                message.truncate(if chance.random_bool(0.8) {
                    4
                } else {
                    chance.random_range(0..4)
                });
                world.give(Event::Gossip {
                    from: chance.random(),
                    message,
                })?;
            }
            98 if chance.random_bool(0.1) => world.die()?,
            98 if chance.random_bool(0.1) => world.restart()?,
            _ => {
                let id = PacketId(chance.random_range(0..1_000_000));
                let (target, outcome) = (target(chance.random_range(0..9)), Outcome::Delivered);
                world.give(Event::TripEnded {
                    id,
                    trip: 0,
                    target,
                    outcome,
                    took: 0,
                    closed: true,
                    report: vec![],
                })?;
            }
        }
    }
    world.pass(30_000 * MS)?;
    Ok(world)
}

/// When each attempt of a message was sent.
pub fn sends(world: &World, id: PacketId) -> Vec<Micros> {
    world.packets[&id].trips.iter().map(|t| t.sent).collect()
}

/// Whether a log line holds these words.
pub fn logged(world: &World, words: &str) -> bool {
    world
        .actions
        .iter()
        .any(|a| matches!(a, Action::Log(l) if l.contains(words)))
}
