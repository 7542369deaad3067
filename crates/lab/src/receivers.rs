//! The receivers: concurrency, queues, limits, warm-up and faults, without I/O. Both clocks ask the same model what becomes
//! of a call at the moment when it reaches its endpoint, and carry the answer out at the time it names. A queue is first come
//! first served, so a call's end is known as it comes.
//!
//! `Receivers` owns the receivers' state. The memory of repeats is emptied after twice the longest window, the record of calls
//! of an endpoint that warms up after the overload window. `endpoint` serves calls, `faults` tells what is in force, `repeats`
//! knows idempotency keys, `rate_limiter` refuses calls, `reply` names what comes back.

mod endpoint;
mod faults;
mod rate_limiter;
mod repeats;
mod reply;

pub use reply::{Fall, Fate, ReceiverReply};

use crate::scenario::{Destination, FaultKind, RuleSettings, Scenario};
use crate::world::Layout;
use endpoint::{Endpoint, Warmth};
use faults::{is_outage, ActiveFault, ActiveFaults};
use opalpulley::Micros;
use rate_limiter::RateLimiter;
use repeats::Repeats;

/// An endpoint answers a health check after so long, µs.
const HEALTH_CHECK_TIME: Micros = 1_000;
/// The least part of its capacity that an endpoint has in any fault.
const MIN_CAPACITY_SHARE: f64 = 0.01;
/// The least part of its rate that a limiter lets through in any fault.
const MIN_RATE_SHARE: f64 = 0.05;

/// All receivers of a scenario.
pub struct Receivers {
    groups: Vec<Destination>,
    rules: RuleSettings,
    limiters: Vec<RateLimiter>,
    endpoints: Vec<Endpoint>,
    active: ActiveFaults,
    repeats: Repeats,
    /// Endpoints that fell over, in order.
    pub falls: Vec<Fall>,
}

impl Receivers {
    /// All receivers, warm, without faults.
    pub fn new(scenario: &Scenario, layout: &Layout, seed: u64) -> Receivers {
        let mut group_of_limiter = vec![usize::MAX; layout.limiters];
        for place in &layout.endpoints {
            group_of_limiter[place.limiter] = place.group;
        }
        let groups = &scenario.destinations;
        let limiters = group_of_limiter.into_iter();
        let endpoints = layout.endpoints.iter().enumerate();
        Receivers {
            limiters: limiters
                .map(|group| RateLimiter::new(&groups[group]))
                .collect(),
            endpoints: endpoints
                .map(|(index, place)| Endpoint::new(&groups[place.group], place, seed, index))
                .collect(),
            groups: groups.clone(),
            rules: scenario.rules.clone(),
            active: ActiveFaults::default(),
            repeats: Repeats::new(&scenario.classes),
            falls: Vec::new(),
        }
    }

    /// A fault begins, or ends, at these endpoints. `number` is its place in the scenario.
    pub fn set_fault(
        &mut self,
        now: Micros,
        number: usize,
        kind: &FaultKind,
        until: Micros,
        endpoints: &[usize],
        begins: bool,
    ) {
        if begins {
            let fault = ActiveFault {
                kind: kind.clone(),
                from: now,
                until,
            };
            self.active.insert(number, fault);
        }
        for index in endpoints {
            let endpoint = &mut self.endpoints[*index];
            endpoint.faults.retain(|other| *other != number);
            if begins {
                endpoint.faults.push(number);
                endpoint.fault_begins(kind);
            } else if is_outage(kind) && !self.active.any_outage(endpoint) {
                endpoint.outage_ends(now);
            }
        }
        if !begins {
            self.active.remove(number);
        }
    }

    /// A new holder of the address: nothing of the old one is left.
    pub fn replace(&mut self, now: Micros, endpoint: usize) {
        let endpoint = &mut self.endpoints[endpoint];
        let concurrency = self.groups[endpoint.group].concurrency;
        endpoint.replace(now, concurrency);
    }

    /// Whether connections to it are refused now.
    pub fn refuses(&self, now: Micros, endpoint: usize) -> bool {
        let endpoint = &self.endpoints[endpoint];
        endpoint.warmth == Warmth::Fallen
            || self.active.of(endpoint).any(|fault| fault.refuses(now))
    }

    /// The part of its capacity that an endpoint has now.
    fn capacity_share(&self, now: Micros, endpoint: usize) -> f64 {
        let endpoint = &self.endpoints[endpoint];
        let warm = endpoint.warm_share(now, &self.rules);
        let left = self.active.of(endpoint).map(ActiveFault::capacity_left);
        left.fold(warm, f64::min).max(MIN_CAPACITY_SHARE)
    }

    /// Counts what reaches an endpoint that warms up; it may be one call too many.
    fn count_arrival(&mut self, now: Micros, index: usize, forwarder: u32) {
        let capacity_share = self.capacity_share(now, index);
        let endpoint = &mut self.endpoints[index];
        if !endpoint.count_arrival(now, forwarder, &self.rules) {
            return;
        }
        let limit = endpoint.overload_limit(capacity_share, &self.rules);
        if self.groups[endpoint.group].falls_over && endpoint.recent_calls() as f64 > limit {
            self.falls.push(endpoint.fall_over(now, index, limit));
        }
    }

    /// What becomes of a health check that reaches an endpoint.
    pub fn health_check(&mut self, now: Micros, index: usize, forwarder: u32) -> Fate {
        if self.refuses(now, index) {
            self.endpoints[index].add_witness(forwarder);
            return Fate::not_run(ReceiverReply::Refused, now);
        }
        self.count_arrival(now, index, forwarder);
        let endpoint = &mut self.endpoints[index];
        let reply = self.active.health_check_reply(endpoint);
        if reply.is_bad_news() {
            endpoint.add_witness(forwarder);
        }
        Fate::not_run(reply, now + HEALTH_CHECK_TIME)
    }

    /// What becomes of a call whose last byte reaches its endpoint now. Repeats are known by `idempotency_key`.
    pub fn call(
        &mut self,
        now: Micros,
        index: usize,
        forwarder: u32,
        idempotency_key: Option<u64>,
    ) -> Fate {
        let mut fate = self.fate_of_call(now, index, idempotency_key);
        // Every call draws, refused or not: the draws of a run stay the same whatever becomes of its calls.
        let truncated = self.draws_truncation(index);
        if let (ReceiverReply::TooManyRequests { wait }, true) = (fate.says, truncated) {
            fate.says = ReceiverReply::TooManyRequestsTruncated { wait };
        }
        if fate.says != ReceiverReply::Refused {
            self.count_arrival(now, index, forwarder);
        }
        if fate.says.is_bad_news() {
            self.endpoints[index].add_witness(forwarder);
        }
        fate
    }

    /// Draws whether a 429 of this endpoint breaks off.
    fn draws_truncation(&mut self, index: usize) -> bool {
        let endpoint = &mut self.endpoints[index];
        let rate = self.active.truncation_rate(endpoint);
        rate.is_some_and(|rate| endpoint.draws(rate))
    }

    fn fate_of_call(&mut self, now: Micros, index: usize, idempotency_key: Option<u64>) -> Fate {
        if self.refuses(now, index) {
            return Fate::not_run(ReceiverReply::Refused, now);
        }
        let capacity_share = self.capacity_share(now, index);
        let endpoint = &mut self.endpoints[index];
        let faults: Vec<&ActiveFault> = self.active.of(endpoint).collect();
        if let Some(reply) = endpoint.reply_before_service(now, &faults) {
            return Fate::not_run(reply, now);
        }
        let limiter = &mut self.limiters[endpoint.limiter];
        let rate_share = match capacity_share < 1.0 {
            true => capacity_share.max(MIN_RATE_SHARE),
            false => 1.0,
        };
        if !limiter.admits(now, rate_share) {
            return Fate::not_run(limiter.refusal(), now);
        }
        let group = &self.groups[endpoint.group];
        endpoint.start_waiting_calls(now);
        let slowdown = endpoint.slowdown(capacity_share, &faults);
        if !endpoint.has_room(now, group.queue_limit) {
            return Fate::not_run(ReceiverReply::Overloaded, now);
        }
        let ends = endpoint.serve(now, &group.service_time, slowdown);
        let says = endpoint.reply_after_service(group.error_rate, &faults);
        let runs = says != ReceiverReply::Erred && self.repeats.is_new(now, idempotency_key);
        Fate {
            ran: runs.then_some(ends),
            at: ends,
            says,
        }
    }

    /// Calls that wait at an endpoint now.
    pub fn waiting(&self, now: Micros, endpoint: usize) -> usize {
        self.endpoints[endpoint].waiting(now)
    }

    /// Entries in all tables: idempotency keys, and calls of endpoints that warm up.
    pub fn held(&self) -> usize {
        let recent = self.endpoints.iter().map(Endpoint::recent_calls);
        self.repeats.len() + recent.sum::<usize>()
    }
}

#[cfg(test)]
mod tests;
