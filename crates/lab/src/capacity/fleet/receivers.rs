//! The destinations as the fleet meets them: they answer after a drawn time, take calls up to a rate, are down at times, and
//! come back cold.

use super::layout::Layout;
use super::observer::{Arrival, Outage, ReceiverCounts, Recovery};
use super::plan::{rules, Plan, SECOND};
use crate::random::seeded_rng;
use opalpulley::Micros;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Mean of the answer times, µs.
const MEAN_RESPONSE_TIME: f64 = 60_000.0;
/// Their spread: standard deviation of the logarithm.
const RESPONSE_TIME_SIGMA: f64 = 0.5;
/// Told with a refusal above the rate.
const RETRY_AFTER: Micros = 400_000;
/// Calls over the rate that may come at once, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;
/// Of outages, the part in which connections are refused; in the others nothing is answered.
const REFUSING_SHARE: f64 = 0.5;
/// Least part of the rate that a cold destination takes.
const MIN_CAPACITY_SHARE: f64 = 0.05;

/// How a destination is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Connections are refused.
    Refusing,
    /// Nothing is answered.
    Silent,
}

/// What comes back for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiverResponse {
    /// After this time.
    Served(Micros),
    /// Above its rate.
    RateLimited { retry_after: Micros },
    /// No connection comes up.
    Refused,
    /// Nothing is answered.
    NoResponse,
}

/// Whether it takes its whole rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WarmUpState {
    Warm,
    Cold { since: Micros },
}

/// What a call or health check meets at a destination that is down.
struct ArrivalDuringOutage {
    response: ReceiverResponse,
    /// Another forwarder had met the outage as it was sent.
    another_knew: bool,
    /// And its sender had not.
    only_others_knew: bool,
}

struct Receiver {
    rate: f64,
    tokens: f64,
    refilled_at: Micros,
    warm_up: WarmUpState,
    /// Its own outage.
    own_outage: Option<OutageKind>,
    /// Its zone is cut off.
    zone_isolated: bool,
    /// Counts its addresses; calls to an older one are refused.
    incarnation: u32,
    outage: Option<Box<Outage>>,
    recovery: Option<Box<Recovery>>,
}

/// All destinations of the fleet.
pub struct Receivers {
    receivers: Vec<Receiver>,
    /// What an onlooker counts.
    pub counts: ReceiverCounts,
    response_times: Option<LogNormal<f64>>,
    rng: Pcg64Mcg,
}

impl Receivers {
    /// All destinations, up and warm.
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

    /// Whether a destination is down, by an outage of its own or of its zone.
    pub fn is_down(&self, destination: u32) -> bool {
        self.receivers[destination as usize].outage_kind().is_some()
    }

    /// The destination's own outage begins.
    pub fn start_outage(&mut self, destination: u32) {
        let kind = if self.rng.random_bool(REFUSING_SHARE) {
            OutageKind::Refusing
        } else {
            OutageKind::Silent
        };
        self.receivers[destination as usize].update_outage(0, |r| r.own_outage = Some(kind));
    }

    /// The destination's own outage ends.
    pub fn end_outage(&mut self, now: Micros, destination: u32) {
        let recovered =
            self.receivers[destination as usize].update_outage(now, |r| r.own_outage = None);
        self.counts.recoveries += u64::from(recovered);
    }

    /// Its zone is cut off, or back.
    pub fn set_zone_isolated(&mut self, now: Micros, destination: u32, isolated: bool) {
        let recovered =
            self.receivers[destination as usize].update_outage(now, |r| r.zone_isolated = isolated);
        self.counts.recoveries += u64::from(recovered);
    }

    /// The destination has another rate from now on.
    pub fn set_rate(&mut self, destination: u32, rate: f64) {
        self.receivers[destination as usize].rate = rate;
    }

    /// The destination moves to another address; gives its number.
    pub fn relocate(&mut self, destination: u32) -> u32 {
        let receiver = &mut self.receivers[destination as usize];
        receiver.incarnation += 1;
        receiver.incarnation
    }

    /// The number of its address, and its rate.
    pub fn address_and_rate(&self, destination: u32) -> (u32, f64) {
        let receiver = &self.receivers[destination as usize];
        (receiver.incarnation, receiver.rate)
    }

    /// A forwarder has seen a call or health check fail there that was sent at `tried`.
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

    /// A call arrives at the address of this holder.
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

    fn draw_response_time(&mut self) -> Micros {
        let times = self.response_times;
        let time = times.map_or(MEAN_RESPONSE_TIME, |times| times.sample(&mut self.rng));
        time.max(1.0) as Micros
    }

    /// A health check arrives at the address of this holder.
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

    /// Counts what reaches a destination that is not warm yet against its budget.
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
    fn response(self) -> ReceiverResponse {
        match self {
            OutageKind::Refusing => ReceiverResponse::Refused,
            OutageKind::Silent => ReceiverResponse::NoResponse,
        }
    }
}

impl Receiver {
    fn outage_kind(&self) -> Option<OutageKind> {
        self.own_outage
            .or(self.zone_isolated.then_some(OutageKind::Silent))
    }

    /// Changes what keeps it down; says whether it has come back by that.
    fn update_outage(&mut self, now: Micros, change: impl FnOnce(&mut Receiver)) -> bool {
        let before = self.outage_kind().is_some();
        change(self);
        let after = self.outage_kind().is_some();
        match (before, after) {
            (false, true) => (self.outage, self.recovery) = (Some(Box::default()), None),
            (true, false) => {
                let outage = self.outage.take().map(|outage| *outage).unwrap_or_default();
                self.recovery = Some(Box::new(Recovery::after(outage, now)));
                self.warm_up = WarmUpState::Cold { since: now };
            }
            _ => {}
        }
        before && !after
    }

    /// What a call or health check meets while it is down; none while it is up.
    fn arrival_during_outage(&self, arrival: Arrival) -> Option<ArrivalDuringOutage> {
        let response = self.outage_kind()?.response();
        let (forwarder, sent_at) = (arrival.forwarder, arrival.sent_at);
        let outage = self.outage.as_ref();
        let another = outage.is_some_and(|outage| outage.known_to_another(forwarder, sent_at));
        let own = outage.is_some_and(|outage| outage.known_to(forwarder, sent_at));
        Some(ArrivalDuringOutage {
            response,
            another_knew: another,
            only_others_knew: another && !own,
        })
    }

    /// The part of its rate that it takes now; from the end of its warm-up on it is warm.
    fn capacity_share(&mut self, now: Micros) -> f64 {
        let WarmUpState::Cold { since } = self.warm_up else {
            return 1.0;
        };
        let rules = rules();
        let warmth = (now - since) as f64 / rules.warm_up_time as f64;
        if warmth >= 1.0 {
            (self.warm_up, self.recovery) = (WarmUpState::Warm, None);
            return 1.0;
        }
        rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warmth
    }

    /// Whether its rate allows one more call.
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
