//! A forwarder alone in a hostile little world, and an oracle that knows the six rules but not the module.
#![allow(dead_code)]

use opalpulley::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Micros = 1_000;

pub fn endpoint(n: u8) -> EndpointId {
    EndpointId {
        address: [10, 0, 0, n],
        port: 80,
        incarnation: 0,
    }
}

pub fn listing(n: u8, destination: u32, rate: f32) -> EndpointEntry {
    let (endpoint, zone) = (endpoint(n), ZoneId(u16::from(n % 2)));
    let (standing, kind) = (EndpointStatus::Ready, EndpointKindId(0));
    EndpointEntry {
        endpoint,
        zone,
        up_since: 0,
        status: standing,
        rate,
        destination: DestinationId(destination),
        kind,
    }
}

pub fn class(effect: DeliverySemantics) -> DeliveryClassConfig {
    let (latency_objective, expiry) = (1_000 * MS, 8_000 * MS);
    DeliveryClassConfig {
        semantics: effect,
        latency_objective,
        time_to_live: expiry,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        ordered: false,
    }
}

pub fn config() -> Config {
    let fingerprinted = DeliverySemantics::IdempotencyKeyed {
        scope: DeduplicationScope::AllEndpoints,
        window: 3_000 * MS,
    };
    Config {
        forwarder: 0,
        fleet_size: 2,
        concurrency_limit: 8,
        message_capacity: 100,
        max_attempts: 6,
        order_release: OrderRelease::OnDecision,
        may_health_check: true,
        may_cancel: true,
        may_send_retry_after: true,
        may_gossip: true,
        max_retry_after: 2_000 * MS,
        listed_rates: ListedRates::Nominal,
        priority_decay: PriorityDecay::Exponential,
        over_quota_weight: 0.1,
        classes: vec![
            class(DeliverySemantics::Idempotent),
            class(fingerprinted),
            class(DeliverySemantics::AtMostOnce),
        ],
        tenants: Vec::new(),
        endpoint_kinds: vec![EndpointKindConfig {
            independent_limits: false,
            batch_size: 1,
        }],
        zone_costs: vec![0.0, 0.05],
        poll_interval: None,
        notified_within: None,
        rules: RuleConfig {
            answer_slack: 20 * MS,
            drain_grace: 500 * MS,
            cold_capacity_share: 0.2,
            warm_up_time: 10_000 * MS,
            overload_multiple: 2.0,
            overload_window: 2_000 * MS,
            order_settle_time: 300 * MS,
        },
        scheduling_interval: 5 * MS,
        full_destinations: None,
    }
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub sent: Micros,
    pub endpoint: EndpointId,
    pub due: Micros,
    /// Called off, or withdrawn before its bytes went: it ends so at the next step.
    pub given_up: Option<Outcome>,
    pub outcome: Option<Outcome>,
    /// When its bytes go, where its connection comes up late; none once they have gone.
    pub goes: Option<Micros>,
}

#[derive(Clone, Debug)]
pub struct Held {
    pub arrival: Submission,
    pub expires: Micros,
    pub attempts: Vec<Attempt>,
    /// Over, by a final answer of either side.
    pub over: bool,
}

/// What the oracle saw of one endpoint: failures in a row, the first answer after them, calls and health checks.
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
    pub messages: BTreeMap<MessageId, Held>,
    pub order: Vec<MessageId>,
    pub actions: Vec<Action>,
    /// Those of its earlier lives.
    pub earlier: Vec<Action>,
    pub health_checks: Vec<EndpointId>,
    /// Ends given and not heard yet, where that counts.
    pub unheard: BTreeSet<MessageId>,
    /// How late the connections of the next calls come up.
    pub late: Micros,
    alarms: BTreeSet<(Micros, u32)>,
    listed: BTreeMap<EndpointId, EndpointEntry>,
    told_off: BTreeMap<EndpointId, Micros>,
    waits: BTreeMap<(DestinationId, Option<EndpointId>), Micros>,
    rests: BTreeMap<OrderKey, Micros>,
    cold: BTreeMap<EndpointId, Cold>,
    next: u32,
    restored: u64,
}

impl World {
    pub fn new(config: Config, list: Vec<EndpointEntry>) -> World {
        let forwarder = Forwarder::new(config.clone(), 7 + u64::from(config.forwarder));
        let mut world = World {
            now: 1_000_000,
            config,
            forwarder,
            messages: BTreeMap::new(),
            order: Vec::new(),
            actions: Vec::new(),
            earlier: Vec::new(),
            health_checks: Vec::new(),
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
            .list(EndpointListUpdate::Cached(list))
            .expect("the first list breaks no rule");
        world
    }

    /// Destinations that the forwarder has restored from summaries, in all its lives.
    pub fn restored(&self) -> u64 {
        self.restored + self.forwarder.state_counts().restored
    }

    /// The forwarder dies: what it held is no longer its duty.
    pub fn die(&mut self) -> Result<(), String> {
        let list = EndpointListUpdate::Cached(self.listed.values().cloned().collect());
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

    pub fn list(&mut self, news: EndpointListUpdate) -> Result<(), String> {
        let (entries, whole) = match &news {
            EndpointListUpdate::Changes(entries) => (entries, false),
            EndpointListUpdate::Complete(entries) | EndpointListUpdate::Cached(entries) => {
                (entries, true)
            }
            EndpointListUpdate::Failed => return self.give(Event::EndpointList(news)),
        };
        for old in self
            .listed
            .keys()
            .filter(|t| whole && !entries.iter().any(|e| e.endpoint == **t))
        {
            self.told_off.entry(*old).or_insert(self.now);
        }
        for entry in entries {
            match entry.status {
                EndpointStatus::Ready => drop(self.told_off.remove(&entry.endpoint)),
                _ => drop(self.told_off.entry(entry.endpoint).or_insert(self.now)),
            }
            self.listed.insert(entry.endpoint, entry.clone());
        }
        self.give(Event::EndpointList(news))
    }

    pub fn arrive(
        &mut self,
        class: u16,
        destination: u32,
        key: Option<u64>,
        left: Micros,
    ) -> Result<MessageId, String> {
        self.next += 1;
        let arrival = Submission {
            id: MessageId(self.next),
            class: DeliveryClassId(class),
            tenant: TenantId(0),
            key: key.map(OrderKey),
            time_left: left,
            destination: DestinationId(destination),
            resubmitted: false,
            history: AttemptHistory::default(),
        };
        self.take(arrival, Vec::new())
    }

    fn take(&mut self, arrival: Submission, attempts: Vec<Attempt>) -> Result<MessageId, String> {
        let (id, expires) = (arrival.id, self.now + arrival.time_left);
        self.messages.insert(
            id,
            Held {
                arrival: arrival.clone(),
                expires,
                attempts,
                over: false,
            },
        );
        self.order.push(id);
        self.give(Event::Submitted(arrival))?;
        Ok(id)
    }

    /// The forwarder ends and starts again with a folder that lasts: it owes each message its end.
    pub fn restart(&mut self) -> Result<(), String> {
        let messages = std::mem::take(&mut self.messages);
        self.die()?;
        for (id, mut held) in messages.into_iter().filter(|(_, held)| !held.over) {
            let open = held.attempts.iter_mut().filter(|t| t.outcome.is_none());
            open.for_each(|t| (t.outcome, t.goes) = (Some(Outcome::Reset), None));
            let ran = held
                .attempts
                .iter()
                .find(|t| t.outcome.is_some_and(Outcome::may_have_taken_effect));
            let possible_effect = ran.map(|t| PossibleEffect {
                sent_at: t.sent,
                zone: self.listed.get(&t.endpoint).map_or(ZoneId(0), |l| l.zone),
            });
            let past = AttemptHistory {
                attempts: held.attempts.len() as u32,
                possible_effect,
            };
            let left = held.expires.saturating_sub(self.now);
            self.take(
                Submission {
                    id,
                    time_left: left,
                    key: None,
                    resubmitted: true,
                    history: past,
                    ..held.arrival
                },
                held.attempts,
            )?;
        }
        Ok(())
    }

    /// The key by which the message takes its turn.
    fn key(&self, held: &Held) -> Option<OrderKey> {
        held.arrival
            .key
            .filter(|_| self.config.classes[usize::from(held.arrival.class.0)].ordered)
    }

    pub fn out(&self) -> Vec<MessageId> {
        let out = |h: &Held| h.attempts.last().is_some_and(|t| t.outcome.is_none());
        self.messages
            .iter()
            .filter(|(_, h)| out(h))
            .map(|(id, _)| *id)
            .collect()
    }

    /// An end that was given is heard.
    pub fn hear(&mut self, id: MessageId) -> Result<(), String> {
        self.unheard.remove(&id);
        self.give(Event::ReportAcknowledged { id })
    }

    pub fn withdraw(&mut self, id: MessageId) -> Result<(), String> {
        self.messages.entry(id).and_modify(|h| h.over = true);
        self.give(Event::Withdrawn { id })
    }

    /// Ends the message's attempt.
    pub fn end(&mut self, id: MessageId, outcome: Outcome) -> Result<(), String> {
        let attempt = self.messages[&id]
            .attempts
            .last()
            .cloned()
            .ok_or("no trip to end")?;
        // An endpoint answers only what has come.
        let outcome = match (attempt.given_up, attempt.goes) {
            (Some(Outcome::WithdrawnBeforeSend), _) => Outcome::WithdrawnBeforeSend,
            (None, Some(_)) if outcome != Outcome::Timeout => Outcome::NoConnection,
            _ => outcome,
        };
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = outcome
        {
            self.wait_binds(id, wait);
        }
        let cold = self.cold.entry(attempt.endpoint).or_default();
        // Messages of one call are judged as one.
        let first =
            cold.judged.insert(attempt.sent) || self.config.endpoint_kinds[0].batch_size == 1;
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
        let held = self.messages.get_mut(&id).ok_or("no such packet")?;
        let n = held.attempts.len() - 1;
        match outcome {
            Outcome::WithdrawnBeforeSend => drop(held.attempts.pop()), // nothing of it counts
            _ => held.attempts[n].outcome = Some(outcome),
        }
        held.over |= outcome == Outcome::Delivered;
        let (closed, key) = (held.over, self.key(&self.messages[&id]));
        if let (Outcome::Timeout | Outcome::Reset | Outcome::Cancelled, Some(key)) = (outcome, key)
        {
            let until = self.now + self.config.rules.order_settle_time;
            self.rests
                .entry(key)
                .and_modify(|r| *r = until.max(*r))
                .or_insert(until);
        }
        let (took, report) = (self.now - attempt.sent, Vec::new());
        self.give(Event::AttemptEnded {
            id,
            attempt: n as u8,
            endpoint: attempt.endpoint,
            outcome,
            took,
            completed: closed,
            report,
        })
    }

    fn wait_binds(&mut self, id: MessageId, wait: Micros) {
        let held = &self.messages[&id];
        let route = held
            .attempts
            .last()
            .map(|t| t.endpoint)
            .filter(|_| self.config.endpoint_kinds[0].independent_limits);
        let until = self
            .waits
            .entry((held.arrival.destination, route))
            .or_default();
        *until = (*until).max(self.now + wait);
    }

    /// The head of its answer tells a wait; how it ends comes later.
    pub fn told_to_wait(&mut self, id: MessageId, wait: Micros) -> Result<(), String> {
        let attempt = self.messages[&id]
            .attempts
            .last()
            .filter(|t| t.goes.is_none() && t.outcome.is_none());
        let Some(endpoint) = attempt.map(|t| t.endpoint) else {
            return Ok(());
        };
        self.wait_binds(id, wait);
        self.give(Event::RetryAfterReceived {
            endpoint,
            retry_after: wait,
        })
    }

    pub fn answer_health_check(&mut self, outcome: Outcome) -> Result<(), String> {
        match self.health_checks.pop() {
            Some(endpoint) => self.give(Event::HealthCheckEnded {
                endpoint,
                outcome,
                took: MS,
                report: Vec::new(),
            }),
            None => Ok(()),
        }
    }

    /// Lets time pass; alarms ring, and attempts that are over their limit time out.
    pub fn pass(&mut self, time: Micros) -> Result<(), String> {
        let until = self.now + time;
        loop {
            let due = |h: &Held| {
                let t = h.attempts.last()?;
                let end = t.given_up.map_or(t.due.min(h.expires), |_| self.now);
                t.outcome
                    .is_none()
                    .then_some(t.goes.unwrap_or(end).min(end))
            };
            let attempt = self
                .messages
                .iter()
                .filter_map(|(id, h)| Some((due(h)?, *id)))
                .min();
            let alarm = self.alarms.first().copied();
            match (attempt, alarm) {
                (Some((at, id)), _) if at <= until && alarm.is_none_or(|a| at <= a.0) => {
                    self.now = self.now.max(at);
                    if self.goes_now(id)? {
                        continue;
                    }
                    let given_up = self.messages[&id].attempts.last().and_then(|t| t.given_up);
                    self.end(id, given_up.unwrap_or(Outcome::Timeout))?;
                }
                (_, Some((at, token))) if at <= until => {
                    self.alarms.pop_first();
                    self.now = self.now.max(at);
                    self.give(Event::TimerFired {
                        token: TimerToken(token),
                    })?;
                }
                _ => break,
            }
        }
        self.now = until;
        let slack = self.config.rules.answer_slack;
        match self
            .messages
            .iter()
            .find(|(_, h)| !h.over && h.expires + slack < self.now)
        {
            Some((id, held)) => Err(format!("{id:?} lost at {}: {held:?}", self.now)),
            None => Ok(()),
        }
    }

    /// Whether the bytes of its attempt go at this moment; what binds now binds them.
    fn goes_now(&mut self, id: MessageId) -> Result<bool, String> {
        let Some(attempt) = self
            .messages
            .get_mut(&id)
            .and_then(|h| h.attempts.last_mut())
        else {
            return Ok(false);
        };
        if attempt.given_up.is_some() || attempt.goes.is_none_or(|at| at > self.now) {
            return Ok(false);
        }
        attempt.goes = None;
        let endpoint = attempt.endpoint;
        self.check_bound(endpoint)
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
                id,
                endpoint,
                timeout: limit,
                ..
            } => {
                self.check_send(*id, *endpoint)?;
                let held = self.messages.get_mut(id).ok_or("unknown packet")?;
                let due = limit.map_or(held.expires, |l| self.now + l);
                let goes = (self.late > 0).then_some(self.now + self.late);
                let (given_up, outcome) = (None, None);
                held.attempts.push(Attempt {
                    sent: self.now,
                    endpoint: *endpoint,
                    due,
                    given_up,
                    outcome,
                    goes,
                });
                self.check_slots()
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let held = self.messages.get_mut(id).ok_or("unknown packet")?;
                let open = held.attempts.last().is_some_and(|t| t.outcome.is_none());
                let ran = open
                    || held
                        .attempts
                        .iter()
                        .any(|t| t.outcome.is_some_and(Outcome::may_have_taken_effect));
                let harmless =
                    match self.config.classes[usize::from(held.arrival.class.0)].semantics {
                        DeliverySemantics::Idempotent => true,
                        DeliverySemantics::IdempotencyKeyed { scope: group, .. } => {
                            !ran || group == DeduplicationScope::AllEndpoints
                        }
                        DeliverySemantics::AtMostOnce => !ran,
                    };
                if std::mem::replace(&mut held.over, true) {
                    return Err("a second final answer".into());
                }
                self.unheard.extend(
                    (self.config.order_release == OrderRelease::OnAcknowledgement).then_some(*id),
                );
                match harmless || matches!(action, Action::Fail { .. }) {
                    true => Ok(()),
                    false => Err("deferred though it may have run".into()),
                }
            }
            Action::HealthCheck { endpoint } => {
                self.health_checks.push(*endpoint);
                if !self.config.may_health_check {
                    return Err("no probe allowed".into());
                }
                self.check_endpoint(*endpoint)
            }
            Action::Cancel { id, .. } => {
                let attempt = self
                    .messages
                    .get_mut(id)
                    .and_then(|h| h.attempts.last_mut())
                    .ok_or("no such trip")?;
                attempt.given_up = attempt.given_up.or(Some(Outcome::Cancelled));
                Ok(())
            }
            Action::WithdrawUnsent { endpoint } => {
                let attempts = self
                    .messages
                    .values_mut()
                    .filter_map(|h| h.attempts.last_mut());
                let late = attempts
                    .filter(|t| t.endpoint == *endpoint && t.outcome.is_none() && t.goes.is_some());
                late.for_each(|t| t.given_up = t.given_up.or(Some(Outcome::WithdrawnBeforeSend)));
                Ok(())
            }
            Action::SetTimer { after, token } => {
                self.alarms.insert((self.now + after.max(&1), token.0));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn check_send(&mut self, id: MessageId, endpoint: EndpointId) -> Result<(), String> {
        let held = self.messages.get(&id).ok_or("unknown packet")?;
        let row = &self.config.classes[usize::from(held.arrival.class.0)];
        let zone = |t: EndpointId| self.listed.get(&t).map(|l| l.zone);
        if held.over || held.attempts.len() >= self.config.max_attempts as usize {
            return Err(format!("over, or out of trips: {held:?}"));
        }
        if held.attempts.last().is_some_and(|t| t.outcome.is_none()) {
            return Err("a trip is still out".into());
        }
        if self.listed.get(&endpoint).map(|l| l.destination) != Some(held.arrival.destination) {
            return Err("no target of its destination".into());
        }
        let ran = held
            .attempts
            .iter()
            .find(|t| t.outcome.is_some_and(Outcome::may_have_taken_effect));
        let allowed = match (row.semantics, ran) {
            (DeliverySemantics::Idempotent, _) | (_, None) => true,
            (DeliverySemantics::AtMostOnce, Some(_)) => false,
            (
                DeliverySemantics::IdempotencyKeyed {
                    scope: group,
                    window,
                },
                Some(first),
            ) => {
                let reach =
                    group != DeduplicationScope::Zone || zone(first.endpoint) == zone(endpoint);
                reach && self.now <= first.sent + window
            }
        };
        if !allowed {
            return Err(format!("might take effect twice: {held:?}"));
        }
        if let Some(key) = self.key(held) {
            let open = |h: &Held| !h.over || h.attempts.last().is_some_and(|t| t.outcome.is_none());
            let ahead = self
                .order
                .iter()
                .take_while(|o| **o != id)
                .map(|o| (o, &self.messages[o]));
            let mut ahead = ahead.filter(|(_, h)| self.key(h) == Some(key));
            if ahead.any(|(o, h)| open(h) || self.unheard.contains(o)) {
                return Err("an earlier packet of its key is not over".into());
            }
            if held.attempts.is_empty() && self.rests.get(&key).is_some_and(|r| self.now < *r) {
                return Err("its key rests".into());
            }
        }
        self.check_endpoint(endpoint)
    }

    /// Drains and waits: they hold for calls and health checks alike, when they are decided and when they go.
    fn check_bound(&self, endpoint: EndpointId) -> Result<(), String> {
        let (listing, rules) = (&self.listed[&endpoint], &self.config.rules);
        if self
            .told_off
            .get(&endpoint)
            .is_some_and(|t| self.now > t + rules.drain_grace)
        {
            return Err("the target drains or is gone".into());
        }
        let route = self.config.endpoint_kinds[0]
            .independent_limits
            .then_some(endpoint);
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
    fn check_endpoint(&mut self, endpoint: EndpointId) -> Result<(), String> {
        self.check_bound(endpoint)?;
        let (listing, rules) = (&self.listed[&endpoint], &self.config.rules);
        let cold = self.cold.entry(endpoint).or_default();
        cold.sends.retain(|s| s + rules.overload_window > self.now);
        if self.config.endpoint_kinds[0].batch_size == 1 || cold.sends.last() != Some(&self.now) {
            cold.sends.push(self.now);
        }
        let since = cold.back.map(|b| self.now - b).filter(|_| !cold.sick);
        let warmth = since.map_or(0.0, |s| s as f64 / rules.warm_up_time as f64);
        if cold.sick || warmth > 0.0 && warmth < 1.0 {
            let share = rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warmth;
            let window = rules.overload_window as f64 / 1e6;
            let budget = rules.overload_multiple * share * f64::from(listing.rate) * window;
            // A part of the budget, and the calls that were out before the row of failures was known.
            let most = budget / f64::from(self.config.fleet_size) + 2.0;
            let known = cold.sends.iter().filter(|s| **s >= cold.known).count();
            if known as f64 > most {
                return Err(format!("{known} calls to a cold target, at most {most}"));
            }
        }
        Ok(())
    }

    fn check_slots(&self) -> Result<(), String> {
        let attempts = || {
            self.messages
                .values()
                .filter_map(|h| h.attempts.last())
                .filter(|t| t.outcome.is_none())
        };
        let calls: BTreeSet<_> = attempts().map(|t| (t.endpoint, t.sent)).collect();
        let out = if self.config.endpoint_kinds[0].batch_size > 1 {
            calls.len()
        } else {
            attempts().count()
        };
        match out <= self.config.concurrency_limit as usize {
            true => Ok(()),
            false => Err(format!(
                "{out} calls out, {} slots",
                self.config.concurrency_limit
            )),
        }
    }
}

/// How a random history is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub steps: usize,
    /// The longest pause between two steps.
    pub pause: Micros,
    /// Endpoints of each destination.
    pub endpoints: u8,
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
            endpoints: 2,
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
    config.concurrency_limit = chance.random_range(1..12);
    config.message_capacity = chance.random_range(3..60);
    config.max_attempts = chance.random_range(1..7);
    config.order_release = if chance.random() {
        OrderRelease::OnAcknowledgement
    } else {
        OrderRelease::OnDecision
    };
    config.may_health_check = chance.random();
    config.may_cancel = chance.random();
    config.priority_decay = if chance.random() {
        PriorityDecay::Linear
    } else {
        PriorityDecay::Exponential
    };
    config.endpoint_kinds[0] = EndpointKindConfig {
        independent_limits: chance.random(),
        batch_size: if chance.random_bool(0.3) { 4 } else { 1 },
    };
    let group = if chance.random() {
        DeduplicationScope::Zone
    } else {
        DeduplicationScope::AllEndpoints
    };
    config.classes[1].semantics = DeliverySemantics::IdempotencyKeyed {
        scope: group,
        window: chance.random_range(100..4_000) * MS,
    };
    config
        .classes
        .iter_mut()
        .for_each(|p| p.ordered = chance.random());
    let list: Vec<EndpointEntry> = (0..6)
        .map(|n| listing(n, u32::from(n / play.endpoints), 4.0 + f32::from(n)))
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
                    let at = world.messages[id]
                        .attempts
                        .last()
                        .map_or(0, |t| t.endpoint.address[3]);
                    let outcome = match chance.random_bool(mood[usize::from(at)]) {
                        false => Outcome::Delivered,
                        true => match chance.random_range(0..6) {
                            0 => Outcome::Rejected {
                                retry_after: Some(chance.random_range(1..3_000) * MS),
                            },
                            1 => Outcome::Rejected { retry_after: None },
                            2 => Outcome::NoConnection,
                            3 => Outcome::Reset,
                            4 => Outcome::NotAttempted { no_permit: true },
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
                    EndpointStatus::Ready,
                    EndpointStatus::Ready,
                    EndpointStatus::Draining,
                    EndpointStatus::Removed,
                ];
                entry.status = states[chance.random_range(0..4)];
                world.list(EndpointListUpdate::Changes(vec![entry]))?;
            }
            92 => world.list(EndpointListUpdate::Complete(
                list[chance.random_range(0..5)..].to_vec(),
            ))?,
            93 => mood[chance.random_range(0..6)] = [0.0, 0.1, 0.9, 1.0][chance.random_range(0..4)],
            94..97 => {
                let outcome = if chance.random() {
                    Outcome::Delivered
                } else {
                    Outcome::Timeout
                };
                world.answer_health_check(outcome)?;
            }
            97 => {
                if let Some(id) = world
                    .messages
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
                    payload: message,
                })?;
            }
            98 if chance.random_bool(0.1) => world.die()?,
            98 if chance.random_bool(0.1) => world.restart()?,
            _ => {
                let id = MessageId(chance.random_range(0..1_000_000));
                let (endpoint, outcome) = (endpoint(chance.random_range(0..9)), Outcome::Delivered);
                world.give(Event::AttemptEnded {
                    id,
                    attempt: 0,
                    endpoint,
                    outcome,
                    took: 0,
                    completed: true,
                    report: vec![],
                })?;
            }
        }
    }
    world.pass(30_000 * MS)?;
    Ok(world)
}

/// When each attempt of a message was sent.
pub fn sends(world: &World, id: MessageId) -> Vec<Micros> {
    world.messages[&id]
        .attempts
        .iter()
        .map(|t| t.sent)
        .collect()
}

/// Whether a log line holds these words.
pub fn logged(world: &World, words: &str) -> bool {
    world
        .actions
        .iter()
        .any(|a| matches!(a, Action::Log(event) if event.to_string().contains(words)))
}
