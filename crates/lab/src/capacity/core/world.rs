//! The simulated surroundings of one core: a list of destinations, messages, and answers to its calls after fixed times.
//! They cost little beside the core, and are a function of the seed.

use crate::chance::stream;
use opalpulley::{
    Action, Arrival, Config, DestinationId, Effect, Event, Forwarder, KindConfig, KindId,
    ListRates, Listing, Micros, Outcome, PacketId, Past, ProfileConfig, ProfileId, RepeatGroup,
    RuleConfig, Standing, StateCounts, TargetId, TenantId, Token, ZoneId,
};
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

pub const SECOND: Micros = 1_000_000;
const ANSWER: Micros = 20_000; // until a target that works answers
const REFUSAL: Micros = 1_000; // until a connection is refused
const SILENCE: Micros = 1_500_000; // until a probe of a silent target is given up, as the program does
const LEAST_RATE: f64 = 50.0; // calls a second that a destination takes from all forwarders together, at least
const HEADROOM: f64 = 2.0; // of the listed rate over the traffic, so that what is measured is not an overload
const FORWARDERS: u32 = 400; // the operators' size
const ROOM: u32 = 4_000; // messages that the core holds at most
const EXPIRY: Micros = 28 * SECOND; // of a message
const SKEW: f64 = 1.0; // exponent of the Zipf law of skewed traffic: the usual one for popularity

/// How messages are spread over the destinations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Spread {
    /// Each destination as often as any other.
    Uniform,
    /// By Zipf's law: the n-th destination gets an n-th part of what the first gets.
    Skewed,
}

/// How a destination answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Works,
    RefusesConnections,
    Silent,
}

/// What happens next.
enum Due {
    Alarm(Token),
    Answer {
        id: PacketId,
        target: TargetId,
        sent: Micros,
        outcome: Outcome,
    },
    ProbeAnswer {
        target: TargetId,
        sent: Micros,
        outcome: Outcome,
    },
}

/// What was counted in a stretch of simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub messages: u64,
    /// Calls of `Forwarder::handle`.
    pub events: u64,
    pub calls: u64,
    pub probes: u64,
    pub delivered: u64,
    /// Written off or deferred.
    pub given_up: u64,
}

/// What a world is made of.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub destinations: u32,
    pub targets_each: u32,
    /// How messages are spread, and how many come a second: the list tells rates that suit both.
    pub spread: Spread,
    pub rate: u64,
    /// Destinations held in full; none holds all of them so.
    pub full_destinations: Option<u32>,
    /// Messages that the core holds at most, and the time that each has.
    pub room: u32,
    pub expiry: Micros,
    pub seed: u64,
}

impl Plan {
    /// A plan with the operators' room and expiry.
    pub fn new(
        destinations: u32,
        spread: Spread,
        rate: u64,
        full_destinations: Option<u32>,
        seed: u64,
    ) -> Plan {
        Plan {
            destinations,
            targets_each: 1,
            spread,
            rate,
            full_destinations,
            room: ROOM,
            expiry: EXPIRY,
            seed,
        }
    }
}

/// The configuration of the operators' size, with the rules' usual figures.
fn config(plan: &Plan) -> Config {
    let profile = |effect, importance| ProfileConfig {
        effect,
        contract_time: 2_500_000,
        expiry: plan.expiry,
        importance,
        late_share: 0.5,
        in_order: false,
    };
    let window = 15 * SECOND;
    Config {
        forwarder: 0,
        forwarders: FORWARDERS,
        slots: 116,
        room: plan.room,
        max_trips: 6,
        may_probe: true,
        may_call_off: true,
        may_say_when: true,
        may_gossip: true,
        longest_return: 2 * SECOND,
        list_rates: ListRates::Nominal,
        over_share_worth: 0.1,
        profiles: vec![
            profile(Effect::Retriable, 1.0),
            profile(
                Effect::Fingerprinted {
                    group: RepeatGroup::All,
                    window,
                },
                2.0,
            ),
            profile(Effect::Binding, 4.0),
        ],
        kinds: vec![KindConfig {
            routes_apart: false,
            per_call: 1,
        }],
        zone_fees: vec![0.0; 4],
        rules: RuleConfig {
            answer_slack: 20_000,
            drain_grace: 500_000,
            cold_from: 0.2,
            warm_after: 10 * SECOND,
            fall_multiple: 2.0,
            overload_for: 2 * SECOND,
            order_pause: SECOND,
        },
        full_destinations: plan.full_destinations,
        ..Config::default()
    }
}

/// Of n destinations, the part of the first in Zipf's law: the m-th gets an m-th of it.
fn first_part(destinations: u32) -> f64 {
    1.0 / (1..=destinations)
        .map(|rank| f64::from(rank).powf(-SKEW))
        .sum::<f64>()
}

/// One core and what is round it.
pub struct World {
    core: Forwarder,
    plan: Plan,
    first_part: f64,
    health: Vec<Health>,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>, // each leaves as its time comes
    out: BTreeMap<PacketId, (Micros, u64)>, // the answers under way; each leaves with its answer
    next: u64,
    chance: Pcg64Mcg,
    actions: Vec<Action>,
    counts: Counts,
}

impl World {
    pub fn new(plan: Plan) -> World {
        World {
            core: Forwarder::new(config(&plan), plan.seed),
            plan,
            first_part: first_part(plan.destinations),
            health: vec![Health::Works; plan.destinations as usize],
            now: SECOND,
            due: BTreeMap::new(),
            out: BTreeMap::new(),
            next: 0,
            chance: stream(plan.seed, "capacity", 0),
            actions: Vec::new(),
            counts: Counts::default(),
        }
    }

    pub fn targets(&self) -> u32 {
        self.plan.destinations * self.plan.targets_each
    }

    /// What the core holds in full and as summaries.
    pub fn state_counts(&self) -> StateCounts {
        self.core.state_counts()
    }

    /// Alarms and answers that these surroundings hold for the core.
    pub fn due(&self) -> usize {
        self.due.len()
    }

    /// Calls a second that the list tells of a destination: over its part of all forwarders' traffic.
    fn listed_rate(&self, destination: u32) -> f64 {
        let part = match self.plan.spread {
            Spread::Uniform => 1.0 / f64::from(self.plan.destinations),
            Spread::Skewed => self.first_part / f64::from(destination + 1).powf(SKEW),
        };
        let traffic = part * self.plan.rate as f64 * f64::from(FORWARDERS);
        LEAST_RATE.max(HEADROOM * traffic)
    }

    /// One line of the list, by the number of its target.
    pub fn listing(&self, target: u32, rate_factor: f64) -> Listing {
        let destination = target / self.plan.targets_each;
        let [_, b, c, d] = target.to_be_bytes();
        Listing {
            target: TargetId {
                address: [10, b, c, d],
                port: 80,
                holder: 0,
            },
            zone: ZoneId((target % 4) as u16),
            since: 0,
            standing: Standing::Ready,
            rate: (self.listed_rate(destination) * rate_factor) as f32,
            destination: DestinationId(destination),
            kind: KindId(0),
        }
    }

    /// Puts a share of the destinations down, half of them refusing connections and half silent; the others work.
    pub fn put_down(&mut self, share: f64) {
        for health in &mut self.health {
            *health = match (self.chance.random_bool(share), self.chance.random_bool(0.5)) {
                (false, _) => Health::Works,
                (true, true) => Health::RefusesConnections,
                (true, false) => Health::Silent,
            };
        }
    }

    /// From now on every destination refuses connections.
    pub fn refuse_all(&mut self) {
        self.health.fill(Health::RefusesConnections);
    }

    pub fn handle(&mut self, event: Event) {
        self.counts.events += 1;
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(self.now, event, &mut actions);
        actions.drain(..).for_each(|action| self.carry_out(action));
        self.actions = actions;
    }

    fn at(&mut self, time: Micros, due: Due) -> (Micros, u64) {
        self.next += 1;
        self.due.insert((time, self.next), due);
        (time, self.next)
    }

    fn health(&self, target: TargetId) -> Health {
        let [_, b, c, d] = target.address;
        self.health[(u32::from_be_bytes([0, b, c, d]) / self.plan.targets_each) as usize]
    }

    fn carry_out(&mut self, action: Action) {
        let sent = self.now;
        match action {
            Action::Send {
                id, target, limit, ..
            } => {
                self.counts.calls += 1;
                let (took, outcome) = match self.health(target) {
                    Health::Works => (ANSWER, Outcome::Delivered),
                    Health::RefusesConnections => (REFUSAL, Outcome::NoConnection),
                    Health::Silent => (limit.unwrap_or(60 * SECOND), Outcome::Timeout),
                };
                let key = self.at(
                    sent + took,
                    Due::Answer {
                        id,
                        target,
                        sent,
                        outcome,
                    },
                );
                self.out.insert(id, key);
            }
            Action::CallOff { id, .. } => {
                let call = self.out.remove(&id).and_then(|key| self.due.remove(&key));
                if let Some(Due::Answer {
                    id, target, sent, ..
                }) = call
                {
                    let outcome = Outcome::CalledOff;
                    let key = self.at(
                        self.now,
                        Due::Answer {
                            id,
                            target,
                            sent,
                            outcome,
                        },
                    );
                    self.out.insert(id, key);
                }
            }
            Action::Probe { target } => {
                self.counts.probes += 1;
                let (took, outcome) = match self.health(target) {
                    Health::Works => (ANSWER, Outcome::Delivered),
                    Health::RefusesConnections => (REFUSAL, Outcome::NoConnection),
                    Health::Silent => (SILENCE, Outcome::Timeout),
                };
                self.at(
                    sent + took,
                    Due::ProbeAnswer {
                        target,
                        sent,
                        outcome,
                    },
                );
            }
            Action::Wake { after, token } => _ = self.at(sent + after, Due::Alarm(token)),
            Action::WriteOff { .. } | Action::Defer { .. } => self.counts.given_up += 1,
            _ => {}
        }
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Alarm(token) => self.handle(Event::Alarm { token }),
            Due::Answer {
                id,
                target,
                sent,
                outcome,
            } => {
                self.out.remove(&id);
                let closed = outcome == Outcome::Delivered;
                self.counts.delivered += u64::from(closed);
                let (trip, took, report) = (0, self.now - sent, Vec::new());
                self.handle(Event::TripEnded {
                    id,
                    trip,
                    target,
                    outcome,
                    took,
                    closed,
                    report,
                });
            }
            Due::ProbeAnswer {
                target,
                sent,
                outcome,
            } => {
                let (took, report) = (self.now - sent, Vec::new());
                self.handle(Event::ProbeAnswered {
                    target,
                    outcome,
                    took,
                    report,
                });
            }
        }
    }

    /// All that falls due until then.
    fn advance(&mut self, until: Micros) {
        while let Some(next) = self.due.first_entry().filter(|next| next.key().0 <= until) {
            let ((at, _), due) = next.remove_entry();
            self.now = self.now.max(at);
            self.fall_due(due);
        }
        self.now = until;
    }

    /// So many seconds of messages, evenly spaced; a rate of 0 is rest. Gives what was counted.
    pub fn run(&mut self, seconds: u64, rate: u64) -> Result<Counts, String> {
        self.counts = Counts::default();
        let (begin, ranks) = (self.now, f64::from(self.plan.destinations));
        let zipf = Zipf::new(ranks, SKEW).map_err(|e| e.to_string())?;
        for message in 0..seconds * rate {
            self.advance(begin + message * SECOND / rate);
            let destination = match self.plan.spread {
                Spread::Uniform => self.chance.random_range(0..self.plan.destinations),
                Spread::Skewed => zipf.sample(&mut self.chance) as u32 - 1,
            };
            self.next += 1;
            self.counts.messages += 1;
            self.handle(Event::Packet(Arrival {
                id: PacketId(self.next as u32),
                profile: ProfileId((message % 3) as u16),
                tenant: TenantId(u32::MAX),
                key: None,
                left: self.plan.expiry,
                hint: None,
                destination: DestinationId(destination),
                again: false,
                write: true,
                orphan: false,
                past: Past::default(),
            }));
        }
        self.advance(begin + seconds * SECOND);
        Ok(self.counts)
    }
}
