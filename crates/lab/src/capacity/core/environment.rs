//! The simulated surroundings of one core: a list of destinations, messages, and answers to its calls after fixed times.
//! They cost little beside the core, and are a function of the seed.

pub use super::settings::SECOND;

use super::settings::{forwarder_config, FLEET_SIZE};
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
const RESPONSE_DELAY: Micros = 20_000;
/// Until a connection is refused, µs.
const REFUSAL_DELAY: Micros = 1_000;
/// Until a health check of a silent endpoint is given up, µs, as the program does.
const HEALTH_CHECK_TIMEOUT: Micros = 1_500_000;
/// Until a call without a timeout is given up, µs.
const DEFAULT_ATTEMPT_TIMEOUT: Micros = 60 * SECOND;
/// Calls a second that a destination takes from all forwarders together, at least.
const MIN_LISTED_RATE: f64 = 50.0;
/// The listed rate over the traffic, so that what is measured is not an overload.
const LISTED_RATE_HEADROOM: f64 = 2.0;
/// Messages that the core holds at most.
const MAX_MESSAGES: u32 = 4_000;
/// The time to live of a message, µs.
const TIME_TO_LIVE: Micros = 28 * SECOND;
/// Exponent of the Zipf law of skewed traffic: the usual one for popularity.
const ZIPF_EXPONENT: f64 = 1.0;

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
    Healthy,
    RefusesConnections,
    Unresponsive,
}

/// What happens next.
enum ScheduledEvent {
    Timer(TimerToken),
    AttemptEnd {
        id: MessageId,
        endpoint: EndpointId,
        started_at: Micros,
        outcome: Outcome,
    },
    HealthCheckEnd {
        endpoint: EndpointId,
        started_at: Micros,
        outcome: Outcome,
    },
}

/// What was counted in a stretch of simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCounts {
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
pub struct EnvironmentConfig {
    pub destinations: u32,
    pub targets_each: u32,
    /// How messages are spread, and how many come a second: the list tells rates that suit both.
    pub spread: Spread,
    pub rate: u64,
    /// Destinations held in full; none holds all of them so.
    pub full_destinations: Option<u32>,
    /// Messages that the core holds at most, and the time that each has.
    pub max_messages: u32,
    pub time_to_live: Micros,
    pub seed: u64,
}

impl EnvironmentConfig {
    /// A plan with the operators' room and expiry.
    pub fn new(
        destinations: u32,
        spread: Spread,
        rate: u64,
        full_destinations: Option<u32>,
        seed: u64,
    ) -> EnvironmentConfig {
        EnvironmentConfig {
            destinations,
            targets_each: 1,
            spread,
            rate,
            full_destinations,
            max_messages: MAX_MESSAGES,
            time_to_live: TIME_TO_LIVE,
            seed,
        }
    }
}

/// Of n destinations, the part of the first in Zipf's law: the m-th gets an m-th of it.
fn first_destination_share(destinations: u32) -> f64 {
    1.0 / (1..=destinations)
        .map(|rank| f64::from(rank).powf(-ZIPF_EXPONENT))
        .sum::<f64>()
}

/// One core and what is round it.
pub struct SimulatedEnvironment {
    core: Forwarder,
    config: EnvironmentConfig,
    first_destination_share: f64,
    health: Vec<Health>,
    now: Micros,
    schedule: BTreeMap<(Micros, u64), ScheduledEvent>, // each leaves as its time comes
    attempts_in_flight: BTreeMap<MessageId, (Micros, u64)>, // the answers under way; each leaves with its answer
    last_sequence: u64,
    rng: Pcg64Mcg,
    actions: Vec<Action>,
    counts: EventCounts,
}

impl SimulatedEnvironment {
    /// A core that knows no endpoint yet.
    pub fn new(config: EnvironmentConfig) -> SimulatedEnvironment {
        SimulatedEnvironment {
            core: Forwarder::new(
                forwarder_config(
                    config.max_messages,
                    config.time_to_live,
                    config.full_destinations,
                ),
                config.seed,
            ),
            config,
            first_destination_share: first_destination_share(config.destinations),
            health: vec![Health::Healthy; config.destinations as usize],
            now: SECOND,
            schedule: BTreeMap::new(),
            attempts_in_flight: BTreeMap::new(),
            last_sequence: 0,
            rng: seeded_rng(config.seed, "capacity", 0),
            actions: Vec::new(),
            counts: EventCounts::default(),
        }
    }

    /// How many endpoints there are.
    pub fn endpoint_count(&self) -> u32 {
        self.config.destinations * self.config.targets_each
    }

    /// What the core holds in full and as summaries.
    pub fn state_counts(&self) -> StateCounts {
        self.core.state_counts()
    }

    /// Alarms and answers that these surroundings hold for the core.
    pub fn scheduled_count(&self) -> usize {
        self.schedule.len()
    }

    /// Calls a second that the list tells of a destination: over its part of all forwarders' traffic.
    fn listed_rate(&self, destination: u32) -> f64 {
        let share = match self.config.spread {
            Spread::Uniform => 1.0 / f64::from(self.config.destinations),
            Spread::Skewed => {
                self.first_destination_share / f64::from(destination + 1).powf(ZIPF_EXPONENT)
            }
        };
        let traffic = share * self.config.rate as f64 * f64::from(FLEET_SIZE);
        MIN_LISTED_RATE.max(LISTED_RATE_HEADROOM * traffic)
    }

    /// One line of the list, by the number of its target.
    pub fn endpoint_entry(&self, endpoint_index: u32, rate_factor: f64) -> EndpointEntry {
        let destination = endpoint_index / self.config.targets_each;
        let [_, b, c, d] = endpoint_index.to_be_bytes();
        EndpointEntry {
            endpoint: EndpointId {
                address: [10, b, c, d],
                port: 80,
                incarnation: 0,
            },
            zone: ZoneId((endpoint_index % 4) as u16),
            up_since: 0,
            status: EndpointStatus::Ready,
            rate: (self.listed_rate(destination) * rate_factor) as f32,
            destination: DestinationId(destination),
            kind: EndpointKindId(0),
        }
    }

    /// Puts a share of the destinations down, half of them refusing connections and half silent; the others work.
    pub fn fail_destinations(&mut self, share: f64) {
        for health in &mut self.health {
            *health = match (self.rng.random_bool(share), self.rng.random_bool(0.5)) {
                (false, _) => Health::Healthy,
                (true, true) => Health::RefusesConnections,
                (true, false) => Health::Unresponsive,
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
        actions
            .drain(..)
            .for_each(|action| self.apply_action(action));
        self.actions = actions;
    }

    fn schedule_at(&mut self, time: Micros, event: ScheduledEvent) -> (Micros, u64) {
        self.last_sequence += 1;
        self.schedule.insert((time, self.last_sequence), event);
        (time, self.last_sequence)
    }

    fn health(&self, endpoint: EndpointId) -> Health {
        let [_, b, c, d] = endpoint.address;
        self.health[(u32::from_be_bytes([0, b, c, d]) / self.config.targets_each) as usize]
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                ..
            } => self.start_attempt(id, endpoint, timeout),
            Action::CancelAttempt { id, .. } => self.cancel_attempt(id),
            Action::StartHealthCheck { endpoint } => self.start_health_check(endpoint),
            Action::SetTimer { delay, token } => {
                self.schedule_at(self.now + delay, ScheduledEvent::Timer(token));
            }
            Action::Fail { .. } | Action::Reject { .. } => self.counts.given_up += 1,
            _ => {}
        }
    }

    /// How long a call or health check takes there, and its outcome; `silence`: how long it waits where nothing answers.
    fn attempt_result(&self, endpoint: EndpointId, timeout_delay: Micros) -> (Micros, Outcome) {
        match self.health(endpoint) {
            Health::Healthy => (RESPONSE_DELAY, Outcome::Delivered),
            Health::RefusesConnections => (REFUSAL_DELAY, Outcome::NoConnection),
            Health::Unresponsive => (timeout_delay, Outcome::Timeout),
        }
    }

    fn start_attempt(&mut self, id: MessageId, endpoint: EndpointId, timeout: Option<Micros>) {
        self.counts.calls += 1;
        let (delay, outcome) =
            self.attempt_result(endpoint, timeout.unwrap_or(DEFAULT_ATTEMPT_TIMEOUT));
        let end = ScheduledEvent::AttemptEnd {
            id,
            endpoint,
            started_at: self.now,
            outcome,
        };
        let key = self.schedule_at(self.now + delay, end);
        self.attempts_in_flight.insert(id, key);
    }

    /// The call of a message that is in flight ends now.
    fn cancel_attempt(&mut self, id: MessageId) {
        let attempt = self
            .attempts_in_flight
            .remove(&id)
            .and_then(|key| self.schedule.remove(&key));
        if let Some(ScheduledEvent::AttemptEnd {
            id,
            endpoint,
            started_at,
            ..
        }) = attempt
        {
            let cancelled = ScheduledEvent::AttemptEnd {
                id,
                endpoint,
                started_at,
                outcome: Outcome::Cancelled,
            };
            let key = self.schedule_at(self.now, cancelled);
            self.attempts_in_flight.insert(id, key);
        }
    }

    fn start_health_check(&mut self, endpoint: EndpointId) {
        self.counts.probes += 1;
        let (delay, outcome) = self.attempt_result(endpoint, HEALTH_CHECK_TIMEOUT);
        let end = ScheduledEvent::HealthCheckEnd {
            endpoint,
            started_at: self.now,
            outcome,
        };
        self.schedule_at(self.now + delay, end);
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Timer(token) => self.handle(Event::TimerFired { token }),
            ScheduledEvent::AttemptEnd {
                id,
                endpoint,
                started_at,
                outcome,
            } => {
                self.attempts_in_flight.remove(&id);
                let delivered = outcome == Outcome::Delivered;
                self.counts.delivered += u64::from(delivered);
                let elapsed = self.now - started_at;
                self.handle(Event::AttemptEnded {
                    id,
                    attempt_index: 0,
                    endpoint,
                    outcome,
                    elapsed,
                    message_completed: delivered,
                    load_metrics: Vec::new(),
                });
            }
            ScheduledEvent::HealthCheckEnd {
                endpoint,
                started_at,
                outcome,
            } => {
                self.handle(Event::HealthCheckEnded {
                    endpoint,
                    outcome,
                    elapsed: self.now - started_at,
                    load_metrics: Vec::new(),
                });
            }
        }
    }

    /// All that falls due until then.
    fn advance_to(&mut self, until: Micros) {
        while let Some(entry) = self
            .schedule
            .first_entry()
            .filter(|entry| entry.key().0 <= until)
        {
            let ((time, _), event) = entry.remove_entry();
            self.now = self.now.max(time);
            self.dispatch(event);
        }
        self.now = until;
    }

    /// So many seconds of messages, evenly spaced; a rate of 0 is rest. Gives what was counted.
    pub fn run_traffic(&mut self, seconds: u64, rate: u64) -> Result<EventCounts, CapacityError> {
        self.counts = EventCounts::default();
        let (phase_start, destination_count) = (self.now, f64::from(self.config.destinations));
        let zipf = Zipf::new(destination_count, ZIPF_EXPONENT)?;
        for message in 0..seconds * rate {
            self.advance_to(phase_start + message * SECOND / rate);
            let destination = match self.config.spread {
                Spread::Uniform => self.rng.random_range(0..self.config.destinations),
                Spread::Skewed => zipf.sample(&mut self.rng) as u32 - 1,
            };
            self.last_sequence += 1;
            self.counts.messages += 1;
            self.handle(Event::MessageSubmitted(Submission {
                id: MessageId(self.last_sequence as u32),
                class: DeliveryClassId((message % 3) as u16),
                tenant: TenantId(u32::MAX),
                order_key: None,
                time_left: self.config.time_to_live,
                destination: DestinationId(destination),
                resubmitted: false,
                history: AttemptHistory::default(),
            }));
        }
        self.advance_to(phase_start + seconds * SECOND);
        Ok(self.counts)
    }
}
