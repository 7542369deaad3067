//! The simulated environment of one core: an endpoint list, submitted messages, and responses to its calls after fixed
//! delays. It uses little memory and processor time compared with the core, and is a deterministic function of the
//! seed.

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

/// Time until a healthy endpoint responds, in µs.
const RESPONSE_DELAY: Micros = 20_000;
/// Time until a connection is refused, in µs.
const REFUSAL_DELAY: Micros = 1_000;
/// Time until a health check of an unresponsive endpoint times out, in µs; the same as in the forwarder program.
const HEALTH_CHECK_TIMEOUT: Micros = 1_500_000;
/// Time until a call for which the core sets no timeout times out at an unresponsive endpoint, in µs.
const DEFAULT_ATTEMPT_TIMEOUT: Micros = 60 * SECOND;
/// Lower bound on the listed rate of a destination, in calls per second from the whole fleet.
const MIN_LISTED_RATE: f64 = 50.0;
/// Ratio of the listed rate of a destination to its traffic; above 1, so that no destination is overloaded.
const LISTED_RATE_HEADROOM: f64 = 2.0;
/// Default limit of messages that the core holds at once.
const MAX_MESSAGES: u32 = 4_000;
/// Default time to live of a message, in µs.
const TIME_TO_LIVE: Micros = 28 * SECOND;
/// Exponent of the Zipf distribution of skewed traffic; 1 is the usual value for popularity.
const ZIPF_EXPONENT: f64 = 1.0;

/// Distribution of the messages over the destinations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Spread {
    /// Each destination gets the same expected share.
    Uniform,
    /// A Zipf distribution: the n-th destination gets 1/n of the messages of the first.
    Skewed,
}

/// The behaviour of a destination towards calls and health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// Delivers after [`RESPONSE_DELAY`].
    Healthy,
    /// Refuses the connection after [`REFUSAL_DELAY`].
    RefusesConnections,
    /// Never responds, so that the call or health check times out.
    Unresponsive,
}

/// An event that is delivered to the core at a later simulated time.
enum ScheduledEvent {
    /// A timer that the core has set fires.
    Timer(TimerToken),
    /// An attempt ends with `outcome`; `started_at` is its start, in simulated µs.
    AttemptEnd {
        id: MessageId,
        endpoint: EndpointId,
        started_at: Micros,
        outcome: Outcome,
    },
    /// A health check ends with `outcome`; `started_at` is its start, in simulated µs.
    HealthCheckEnd {
        endpoint: EndpointId,
        started_at: Micros,
        outcome: Outcome,
    },
}

/// Events counted since the start of a phase of simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCounts {
    /// Number of messages submitted.
    pub messages: u64,
    /// Number of events that the core handled.
    pub events: u64,
    /// Number of calls started.
    pub calls: u64,
    /// Number of health checks started.
    pub probes: u64,
    /// Number of messages delivered.
    pub delivered: u64,
    /// Number of messages that failed or were rejected.
    pub given_up: u64,
}

/// Parameters of a simulated environment and its core.
#[derive(Clone, Copy, Debug)]
pub struct EnvironmentConfig {
    /// Number of destinations.
    pub destinations: u32,
    /// Number of targets of each destination.
    pub targets_each: u32,
    /// Distribution of the messages, from which the listed rates are derived together with `rate`.
    pub spread: Spread,
    /// Messages per second that the listed rates are based on.
    pub rate: u64,
    /// Limit of destinations held in full; `None` holds all of them in full.
    pub full_destinations: Option<u32>,
    /// Limit of messages that the core holds at once.
    pub max_messages: u32,
    /// Time to live of each message, in µs.
    pub time_to_live: Micros,
    /// Seed of the core and of the environment.
    pub seed: u64,
}

impl EnvironmentConfig {
    /// Creates a configuration with one target per destination, and with the message limit and time to live of the
    /// operators' deployment.
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

/// Returns the share of the messages that the first of `destinations` gets in the Zipf distribution; the n-th gets 1/n
/// of it.
fn first_destination_share(destinations: u32) -> f64 {
    1.0 / (1..=destinations)
        .map(|rank| f64::from(rank).powf(-ZIPF_EXPONENT))
        .sum::<f64>()
}

/// One core together with the simulated clock, endpoints and traffic that drive it.
pub struct SimulatedEnvironment {
    core: Forwarder,
    config: EnvironmentConfig,
    /// Share of the messages that the first destination gets with [`Spread::Skewed`].
    first_destination_share: f64,
    /// Health of each destination, by its index.
    health: Vec<Health>,
    /// Simulated time, in µs.
    now: Micros,
    /// Pending events by time and sequence number; an event is removed when it is dispatched or cancelled.
    schedule: BTreeMap<(Micros, u64), ScheduledEvent>,
    /// Key in `schedule` of the end of each attempt in flight; removed when the attempt ends.
    attempts_in_flight: BTreeMap<MessageId, (Micros, u64)>,
    /// The last sequence number given out; events and messages share the numbers.
    last_sequence: u64,
    rng: Pcg64Mcg,
    /// Buffer for the actions of the core, kept to avoid an allocation per event.
    actions: Vec<Action>,
    /// Counts since the start of the current phase.
    counts: EventCounts,
}

impl SimulatedEnvironment {
    /// Creates a core with an empty endpoint list and healthy destinations.
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

    /// Returns the number of endpoints of all destinations.
    pub fn endpoint_count(&self) -> u32 {
        self.config.destinations * self.config.targets_each
    }

    /// Returns the numbers of destinations held in full and of endpoints held as summaries.
    pub fn state_counts(&self) -> StateCounts {
        self.core.state_counts()
    }

    /// Returns the number of events scheduled for the core.
    pub fn scheduled_count(&self) -> usize {
        self.schedule.len()
    }

    /// Returns the listed rate of a destination, in calls per second: its share of the fleet's traffic times
    /// [`LISTED_RATE_HEADROOM`], but at least [`MIN_LISTED_RATE`].
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

    /// Returns the list entry of an endpoint, with its listed rate multiplied by `rate_factor`.
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

    /// Takes a random share of the destinations down: half of them refuse connections and half are unresponsive. All
    /// other destinations become healthy.
    pub fn fail_destinations(&mut self, share: f64) {
        for health in &mut self.health {
            *health = match (self.rng.random_bool(share), self.rng.random_bool(0.5)) {
                (false, _) => Health::Healthy,
                (true, true) => Health::RefusesConnections,
                (true, false) => Health::Unresponsive,
            };
        }
    }

    /// Makes every destination refuse connections from now on.
    pub fn refuse_all(&mut self) {
        self.health.fill(Health::RefusesConnections);
    }

    /// Passes an event to the core at the current simulated time and applies the actions that it returns.
    pub fn handle(&mut self, event: Event) {
        self.counts.events += 1;
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(self.now, event, &mut actions);
        actions
            .drain(..)
            .for_each(|action| self.apply_action(action));
        self.actions = actions;
    }

    /// Schedules an event and returns its key in `schedule`.
    fn schedule_at(&mut self, time: Micros, event: ScheduledEvent) -> (Micros, u64) {
        self.last_sequence += 1;
        self.schedule.insert((time, self.last_sequence), event);
        (time, self.last_sequence)
    }

    /// Returns the health of the destination to which an endpoint belongs.
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

    /// Returns the duration and the outcome of a call or health check to an endpoint; `timeout_delay` is its duration
    /// if the endpoint is unresponsive.
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

    /// Ends the attempt of a message as cancelled at the current time; does nothing if no attempt is in flight.
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

    /// Dispatches all events scheduled up to and including `until`, then sets the clock to it.
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

    /// Runs one phase of `seconds` with `rate` evenly spaced messages per second, or none if `rate` is 0. Returns the
    /// counts of this phase; fails if there are no destinations.
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
