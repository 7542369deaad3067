//! The simulated surroundings of one core: a list of destinations, messages, and answers to its calls after fixed times.
//! They cost little beside the core, and are a function of the seed.

pub use super::settings::SECOND;

use super::settings::{config, FORWARDERS};
use crate::capacity::error::CapacityError;
use crate::random::seeded_rng;
use opalpulley::{
    Action, AttemptHistory, DeliveryClassId, DestinationId, EndpointEntry, EndpointId,
    EndpointKindId, EndpointStatus, Event, Forwarder, MessageId, Micros, Outcome, StateCounts,
    Submission, TenantId, TimerToken, ZoneId,
};
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Until an endpoint that works answers, µs.
const ANSWER: Micros = 20_000;
/// Until a connection is refused, µs.
const REFUSAL: Micros = 1_000;
/// Until a health check of a silent endpoint is given up, µs, as the program does.
const SILENCE: Micros = 1_500_000;
/// Until a call without a timeout is given up, µs.
const LONGEST_SILENCE: Micros = 60 * SECOND;
/// Calls a second that a destination takes from all forwarders together, at least.
const LEAST_RATE: f64 = 50.0;
/// The listed rate over the traffic, so that what is measured is not an overload.
const HEADROOM: f64 = 2.0;
/// Messages that the core holds at most.
const ROOM: u32 = 4_000;
/// The time to live of a message, µs.
const EXPIRY: Micros = 28 * SECOND;
/// Exponent of the Zipf law of skewed traffic: the usual one for popularity.
const SKEW: f64 = 1.0;

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
    Alarm(TimerToken),
    Answer {
        id: MessageId,
        target: EndpointId,
        sent: Micros,
        outcome: Outcome,
    },
    ProbeAnswer {
        target: EndpointId,
        sent: Micros,
        outcome: Outcome,
    },
}

/// What was counted in a stretch of simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Messages that were submitted.
    pub messages: u64,
    /// Calls of `Forwarder::handle`.
    pub events: u64,
    /// Calls that were sent.
    pub calls: u64,
    /// Health checks that were sent.
    pub probes: u64,
    /// Messages that were delivered.
    pub delivered: u64,
    /// Messages that failed or were rejected.
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
    out: BTreeMap<MessageId, (Micros, u64)>, // the answers under way; each leaves with its answer
    next: u64,
    chance: Pcg64Mcg,
    actions: Vec<Action>,
    counts: Counts,
}

impl World {
    /// A core that knows no endpoint yet.
    pub fn new(plan: Plan) -> World {
        World {
            core: Forwarder::new(
                config(plan.room, plan.expiry, plan.full_destinations),
                plan.seed,
            ),
            plan,
            first_part: first_part(plan.destinations),
            health: vec![Health::Works; plan.destinations as usize],
            now: SECOND,
            due: BTreeMap::new(),
            out: BTreeMap::new(),
            next: 0,
            chance: seeded_rng(plan.seed, "capacity", 0),
            actions: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// How many endpoints there are.
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
    pub fn listing(&self, target: u32, rate_factor: f64) -> EndpointEntry {
        let destination = target / self.plan.targets_each;
        let [_, b, c, d] = target.to_be_bytes();
        EndpointEntry {
            endpoint: EndpointId {
                address: [10, b, c, d],
                port: 80,
                incarnation: 0,
            },
            zone: ZoneId((target % 4) as u16),
            up_since: 0,
            status: EndpointStatus::Ready,
            rate: (self.listed_rate(destination) * rate_factor) as f32,
            destination: DestinationId(destination),
            kind: EndpointKindId(0),
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

    /// Has the core handle an event, and carries out its actions.
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

    fn health(&self, target: EndpointId) -> Health {
        let [_, b, c, d] = target.address;
        self.health[(u32::from_be_bytes([0, b, c, d]) / self.plan.targets_each) as usize]
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                ..
            } => self.send(id, endpoint, timeout),
            Action::CancelAttempt { id, .. } => self.cancel(id),
            Action::StartHealthCheck { endpoint } => self.send_health_check(endpoint),
            Action::SetTimer { delay, token } => {
                self.at(self.now + delay, Due::Alarm(token));
            }
            Action::Fail { .. } | Action::Reject { .. } => self.counts.given_up += 1,
            _ => {}
        }
    }

    /// How long a call or health check takes there, and its outcome; `silence`: how long it waits where nothing answers.
    fn answer_of(&self, target: EndpointId, silence: Micros) -> (Micros, Outcome) {
        match self.health(target) {
            Health::Works => (ANSWER, Outcome::Delivered),
            Health::RefusesConnections => (REFUSAL, Outcome::NoConnection),
            Health::Silent => (silence, Outcome::Timeout),
        }
    }

    fn send(&mut self, id: MessageId, target: EndpointId, timeout: Option<Micros>) {
        self.counts.calls += 1;
        let (took, outcome) = self.answer_of(target, timeout.unwrap_or(LONGEST_SILENCE));
        let answer = Due::Answer {
            id,
            target,
            sent: self.now,
            outcome,
        };
        let key = self.at(self.now + took, answer);
        self.out.insert(id, key);
    }

    /// The call of a message that is in flight ends now.
    fn cancel(&mut self, id: MessageId) {
        let call = self.out.remove(&id).and_then(|key| self.due.remove(&key));
        if let Some(Due::Answer {
            id, target, sent, ..
        }) = call
        {
            let cancelled = Due::Answer {
                id,
                target,
                sent,
                outcome: Outcome::Cancelled,
            };
            let key = self.at(self.now, cancelled);
            self.out.insert(id, key);
        }
    }

    fn send_health_check(&mut self, target: EndpointId) {
        self.counts.probes += 1;
        let (took, outcome) = self.answer_of(target, SILENCE);
        let answer = Due::ProbeAnswer {
            target,
            sent: self.now,
            outcome,
        };
        self.at(self.now + took, answer);
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Alarm(token) => self.handle(Event::TimerFired { token }),
            Due::Answer {
                id,
                target,
                sent,
                outcome,
            } => {
                self.out.remove(&id);
                let closed = outcome == Outcome::Delivered;
                self.counts.delivered += u64::from(closed);
                let elapsed = self.now - sent;
                self.handle(Event::AttemptEnded {
                    id,
                    attempt_index: 0,
                    endpoint: target,
                    outcome,
                    elapsed,
                    message_completed: closed,
                    load_metrics: Vec::new(),
                });
            }
            Due::ProbeAnswer {
                target,
                sent,
                outcome,
            } => {
                self.handle(Event::HealthCheckEnded {
                    endpoint: target,
                    outcome,
                    elapsed: self.now - sent,
                    load_metrics: Vec::new(),
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
    pub fn run(&mut self, seconds: u64, rate: u64) -> Result<Counts, CapacityError> {
        self.counts = Counts::default();
        let (begin, ranks) = (self.now, f64::from(self.plan.destinations));
        let zipf = Zipf::new(ranks, SKEW)?;
        for message in 0..seconds * rate {
            self.advance(begin + message * SECOND / rate);
            let destination = match self.plan.spread {
                Spread::Uniform => self.chance.random_range(0..self.plan.destinations),
                Spread::Skewed => zipf.sample(&mut self.chance) as u32 - 1,
            };
            self.next += 1;
            self.counts.messages += 1;
            self.handle(Event::MessageSubmitted(Submission {
                id: MessageId(self.next as u32),
                class: DeliveryClassId((message % 3) as u16),
                tenant: TenantId(u32::MAX),
                order_key: None,
                time_left: self.plan.expiry,
                destination: DestinationId(destination),
                resubmitted: false,
                history: AttemptHistory::default(),
            }));
        }
        self.advance(begin + seconds * SECOND);
        Ok(self.counts)
    }
}
