//! Simulated receivers at the destinations. A receiver responds after a random time, accepts calls up to its rate, has
//! outages, and is cold when it recovers from one.

use super::layout::Layout;
use super::observer::{Arrival, Outage, ReceiverCounts, Recovery};
use super::plan::{rules, Plan, SECOND};
use crate::random::seeded_rng;
use opalpulley::Micros;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Mean of the log-normally distributed response times, in µs.
const MEAN_RESPONSE_TIME: f64 = 60_000.0;
/// Standard deviation of the natural logarithm of the response times.
const RESPONSE_TIME_SIGMA: f64 = 0.5;
/// Retry-after sent with the refusal of a call that exceeds the rate, in µs.
const RETRY_AFTER: Micros = 400_000;
/// Capacity of a receiver's token bucket, in seconds of its rate: a burst of this size is accepted at once.
const BURST_SECONDS: f64 = 1.0;
/// Share of the outages in which connections are refused. In the other outages no response is sent.
const REFUSING_SHARE: f64 = 0.5;
/// Lower bound on the share of its rate that a cold receiver accepts.
const MIN_CAPACITY_SHARE: f64 = 0.05;

/// How a receiver behaves during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Connections are refused.
    Refusing,
    /// No response is sent.
    Silent,
}

/// The response of a receiver to a call or health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverResponse {
    /// The call is accepted, and its response is sent after this time, in µs.
    Served(Micros),
    /// The call is refused because it exceeds the receiver's rate. `retry_after` is in µs.
    RateLimited { retry_after: Micros },
    /// The connection is refused.
    Refused,
    /// No response is sent.
    NoResponse,
}

/// Whether a receiver accepts its full rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WarmUpState {
    Warm,
    /// The receiver recovered at `since`, in µs, and accepts a rising share of its rate until its warm-up ends.
    Cold {
        since: Micros,
    },
}

/// The outcome of a call or health check that arrives at a receiver during an outage.
struct ArrivalDuringOutage {
    response: ReceiverResponse,
    /// Whether a forwarder other than the sender had noticed the outage when it was sent.
    another_knew: bool,
    /// Whether `another_knew` holds and the sender itself had not noticed the outage.
    only_others_knew: bool,
}

/// The receiver at one destination.
struct Receiver {
    /// Calls per second that it accepts when warm.
    rate: f64,
    /// Level of its token bucket, in calls.
    tokens: f64,
    /// Simulated time of the last refill of the bucket, in µs.
    refilled_at: Micros,
    warm_up: WarmUpState,
    /// The outage of this receiver alone, if it has one now.
    own_outage: Option<OutageKind>,
    /// Whether a partition isolates its zone, which counts as an outage.
    zone_isolated: bool,
    /// Number of its moves to another address. Calls to an earlier address are refused.
    incarnation: u32,
    /// What the observer knows of the current outage; `None` while the receiver is up.
    outage: Option<Box<Outage>>,
    /// What the observer knows of the recovery; `None` unless the receiver warms up.
    recovery: Option<Box<Recovery>>,
}

/// The receivers of all destinations.
pub struct Receivers {
    /// Indexed by the destination's number.
    receivers: Vec<Receiver>,
    /// Counts of the observer.
    pub counts: ReceiverCounts,
    /// `None` if the distribution can't be built; every response then takes the mean time.
    response_times: Option<LogNormal<f64>>,
    rng: Pcg64Mcg,
}

impl Receivers {
    /// Creates a receiver for each destination of the layout. All are up and warm.
    pub fn new(plan: &Plan, layout: &Layout) -> Receivers {
        let receiver = |rate: f64| Receiver {
            rate,
            tokens: (rate * BURST_SECONDS).max(1.0),
            refilled_at: 0,
            warm_up: WarmUpState::Warm,
            own_outage: None,
            zone_isolated: false,
            incarnation: 0,
            outage: None,
            recovery: None,
        };
        let mean = MEAN_RESPONSE_TIME.ln() - RESPONSE_TIME_SIGMA * RESPONSE_TIME_SIGMA / 2.0;
        Receivers {
            receivers: layout
                .destinations
                .iter()
                .map(|d| receiver(d.rate))
                .collect(),
            counts: ReceiverCounts::default(),
            response_times: LogNormal::new(mean, RESPONSE_TIME_SIGMA).ok(),
            rng: seeded_rng(plan.seed, "receivers", 0),
        }
    }

    /// Returns whether a destination is down, by an outage of its own or because its zone is isolated.
    pub fn is_down(&self, destination: u32) -> bool {
        self.receivers[destination as usize].outage_kind().is_some()
    }

    /// Begins an outage of the destination alone, of a random kind.
    pub fn start_outage(&mut self, destination: u32) {
        let kind = if self.rng.random_bool(REFUSING_SHARE) {
            OutageKind::Refusing
        } else {
            OutageKind::Silent
        };
        self.receivers[destination as usize].update_outage(0, |r| r.own_outage = Some(kind));
    }

    /// Ends the outage of the destination alone. The destination recovers unless its zone is isolated.
    pub fn end_outage(&mut self, now: Micros, destination: u32) {
        let recovered =
            self.receivers[destination as usize].update_outage(now, |r| r.own_outage = None);
        self.counts.recoveries += u64::from(recovered);
    }

    /// Begins or ends the isolation of the destination's zone.
    pub fn set_zone_isolated(&mut self, now: Micros, destination: u32, isolated: bool) {
        let recovered =
            self.receivers[destination as usize].update_outage(now, |r| r.zone_isolated = isolated);
        self.counts.recoveries += u64::from(recovered);
    }

    /// Sets the rate of the destination, in calls per second.
    pub fn set_rate(&mut self, destination: u32, rate: f64) {
        self.receivers[destination as usize].rate = rate;
    }

    /// Moves the destination to another address. Returns the new incarnation.
    pub fn relocate(&mut self, destination: u32) -> u32 {
        let receiver = &mut self.receivers[destination as usize];
        receiver.incarnation += 1;
        receiver.incarnation
    }

    /// Returns the incarnation of the destination's address, and its rate in calls per second.
    pub fn address_and_rate(&self, destination: u32) -> (u32, f64) {
        let receiver = &self.receivers[destination as usize];
        (receiver.incarnation, receiver.rate)
    }

    /// Records that a forwarder saw at `at` the failure of a call or health check that it had sent at `attempt_sent_at`.
    pub fn record_failed_attempt(
        &mut self,
        destination: u32,
        forwarder: u32,
        attempt_sent_at: Micros,
        at: Micros,
    ) {
        let Receiver {
            outage, recovery, ..
        } = &mut self.receivers[destination as usize];
        if let Some(outage) = outage {
            outage.record_failure(forwarder, at);
        }
        if let Some(recovery) = recovery {
            recovery.record_failure(forwarder, attempt_sent_at, at);
        }
    }

    /// Handles a call that arrives at the address of this incarnation.
    pub fn call(&mut self, arrival: Arrival, incarnation: u32) -> ReceiverResponse {
        self.counts.calls += 1;
        let receiver = &self.receivers[arrival.destination as usize];
        if let Some(during_outage) = receiver.arrival_during_outage(arrival) {
            self.counts.calls_while_down += 1;
            self.counts.calls_another_knew += u64::from(during_outage.another_knew);
            self.counts.calls_only_others_knew += u64::from(during_outage.only_others_knew);
            return during_outage.response;
        }
        if incarnation != receiver.incarnation {
            self.counts.calls_to_old_address += 1;
            return ReceiverResponse::Refused;
        }
        self.count_arrival(arrival);
        if !self.receivers[arrival.destination as usize].try_take_token(arrival.now) {
            self.counts.calls_rate_limited += 1;
            return ReceiverResponse::RateLimited {
                retry_after: RETRY_AFTER,
            };
        }
        ReceiverResponse::Served(self.draw_response_time())
    }

    /// Draws a response time, in µs.
    fn draw_response_time(&mut self) -> Micros {
        let times = self.response_times;
        let time = times.map_or(MEAN_RESPONSE_TIME, |times| times.sample(&mut self.rng));
        time.max(1.0) as Micros
    }

    /// Handles a health check that arrives at the address of this incarnation. Health checks use no tokens.
    pub fn health_check(&mut self, arrival: Arrival, incarnation: u32) -> ReceiverResponse {
        self.counts.health_checks += 1;
        let receiver = &self.receivers[arrival.destination as usize];
        if let Some(during_outage) = receiver.arrival_during_outage(arrival) {
            self.counts.health_checks_while_down += 1;
            self.counts.health_checks_another_knew += u64::from(during_outage.another_knew);
            self.counts.health_checks_only_others_knew += u64::from(during_outage.only_others_knew);
            return during_outage.response;
        }
        if incarnation != receiver.incarnation {
            return ReceiverResponse::Refused;
        }
        self.count_arrival(arrival);
        ReceiverResponse::Served(0)
    }

    /// Counts an arrival against the budget of the destination if it is still warming up.
    fn count_arrival(&mut self, arrival: Arrival) {
        let receiver = &mut self.receivers[arrival.destination as usize];
        let capacity_share = receiver.capacity_share(arrival.now);
        let rate = receiver.rate;
        if let Some(recovery) = receiver.recovery.as_mut() {
            let load = recovery.record_arrival(arrival, capacity_share * rate);
            self.counts.record_recovery_load(recovery, load);
        }
    }
}

impl OutageKind {
    /// Returns the response to any call or health check during an outage of this kind.
    fn response(self) -> ReceiverResponse {
        match self {
            OutageKind::Refusing => ReceiverResponse::Refused,
            OutageKind::Silent => ReceiverResponse::NoResponse,
        }
    }
}

impl Receiver {
    /// Returns how the receiver is down, or `None` while it is up. An isolated zone looks like a silent outage.
    fn outage_kind(&self) -> Option<OutageKind> {
        self.own_outage
            .or(self.zone_isolated.then_some(OutageKind::Silent))
    }

    /// Applies `change` to the causes of an outage, and updates the observer and the warm-up accordingly. Returns whether
    /// the receiver has recovered by the change.
    fn update_outage(&mut self, now: Micros, change: impl FnOnce(&mut Receiver)) -> bool {
        let was_down = self.outage_kind().is_some();
        change(self);
        let is_down = self.outage_kind().is_some();
        match (was_down, is_down) {
            (false, true) => (self.outage, self.recovery) = (Some(Box::default()), None),
            (true, false) => {
                let outage = self.outage.take().map(|outage| *outage).unwrap_or_default();
                self.recovery = Some(Box::new(Recovery::after(outage, now)));
                self.warm_up = WarmUpState::Cold { since: now };
            }
            _ => {}
        }
        was_down && !is_down
    }

    /// Returns the outcome of a call or health check that arrives during an outage, or `None` while the receiver is up.
    fn arrival_during_outage(&self, arrival: Arrival) -> Option<ArrivalDuringOutage> {
        let response = self.outage_kind()?.response();
        let (forwarder, sent_at) = (arrival.forwarder, arrival.sent_at);
        let outage = self.outage.as_ref();
        let known_to_another =
            outage.is_some_and(|outage| outage.known_to_another(forwarder, sent_at));
        let known_to_sender = outage.is_some_and(|outage| outage.known_to(forwarder, sent_at));
        Some(ArrivalDuringOutage {
            response,
            another_knew: known_to_another,
            only_others_knew: known_to_another && !known_to_sender,
        })
    }

    /// Returns the share of its rate that the receiver accepts now. Ends the warm-up when its time is over.
    fn capacity_share(&mut self, now: Micros) -> f64 {
        let WarmUpState::Cold { since } = self.warm_up else {
            return 1.0;
        };
        let rules = rules();
        let warm_up_progress = (now - since) as f64 / rules.warm_up_time as f64;
        if warm_up_progress >= 1.0 {
            (self.warm_up, self.recovery) = (WarmUpState::Warm, None);
            return 1.0;
        }
        rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warm_up_progress
    }

    /// Refills the token bucket and takes one token. Returns whether there was one.
    fn try_take_token(&mut self, now: Micros) -> bool {
        let rate = self.rate * self.capacity_share(now).max(MIN_CAPACITY_SHARE);
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.tokens =
            (self.tokens + elapsed_seconds * rate).min((self.rate * BURST_SECONDS).max(1.0));
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(has_token));
        has_token
    }
}
