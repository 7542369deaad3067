//! The model of the receivers: concurrency, queues, rate limits, warm-up and faults, without I/O. The simulated clock and
//! sockets ask the same model for the result of a call when the call reaches its endpoint, and deliver the reply at the time
//! that the result gives. Queues are first in, first out, so the end of a call is known on arrival.
//!
//! `Receivers` owns the state of the receivers. It keeps an idempotency key for twice the longest window or time to live and,
//! while an endpoint warms up, each arrival for the length of the overload window. `endpoint` serves calls, `faults` holds the
//! active faults, `idempotency_keys` recognises repeated calls, `rate_limiter` rejects calls over the limit, and `reply`
//! defines the results.

mod endpoint;
mod faults;
mod idempotency_keys;
mod rate_limiter;
mod reply;

pub use reply::{CallResult, OverloadFailure, ReceiverReply};

use crate::scenario::{Destination, FaultKind, RuleSettings, Scenario};
use crate::world::Layout;
use endpoint::{Endpoint, EndpointState};
use faults::{is_outage, ActiveFault, ActiveFaults};
use idempotency_keys::IdempotencyKeys;
use opalpulley::Micros;
use rate_limiter::RateLimiter;

/// Time that an endpoint takes to respond to a health check, µs.
const HEALTH_CHECK_TIME: Micros = 1_000;
/// Lower bound on the share of its capacity that an endpoint has during faults and warm-up.
const MIN_CAPACITY_SHARE: f64 = 0.01;
/// Lower bound on the share of its rate at which a rate limiter refills during faults and warm-up.
const MIN_RATE_SHARE: f64 = 0.05;

/// The state of all receivers of a scenario. `endpoint_index` is an index of the layout.
pub struct Receivers {
    groups: Vec<Destination>,
    rules: RuleSettings,
    limiters: Vec<RateLimiter>,
    endpoints: Vec<Endpoint>,
    active: ActiveFaults,
    idempotency_keys: IdempotencyKeys,
    /// Failures of endpoints from overload, in the order in which they happened.
    pub overload_failures: Vec<OverloadFailure>,
}

impl Receivers {
    /// Creates the receivers of a scenario with full capacity and without faults.
    pub fn new(scenario: &Scenario, layout: &Layout, seed: u64) -> Receivers {
        let mut group_of_limiter = vec![usize::MAX; layout.limiter_count];
        for endpoint in &layout.endpoints {
            group_of_limiter[endpoint.limiter_index] = endpoint.group_index;
        }
        let groups = &scenario.destinations;
        let limiters = group_of_limiter.into_iter();
        let endpoints = layout.endpoints.iter().enumerate();
        Receivers {
            limiters: limiters
                .map(|group| RateLimiter::new(&groups[group]))
                .collect(),
            endpoints: endpoints
                .map(|(index, endpoint)| {
                    Endpoint::new(&groups[endpoint.group_index], endpoint, seed, index)
                })
                .collect(),
            groups: groups.clone(),
            rules: scenario.rules.clone(),
            active: ActiveFaults::default(),
            idempotency_keys: IdempotencyKeys::new(&scenario.classes),
            overload_failures: Vec::new(),
        }
    }

    /// Starts a fault at these endpoints if `begins` is set, and ends it otherwise. `fault_index` is the index of the fault
    /// in the scenario, and `ends_at` its end in µs. Each start must be followed by an end with the same endpoints.
    pub fn set_fault(
        &mut self,
        now: Micros,
        fault_index: usize,
        kind: &FaultKind,
        ends_at: Micros,
        endpoint_indices: &[usize],
        begins: bool,
    ) {
        if begins {
            let fault = ActiveFault {
                kind: kind.clone(),
                starts_at: now,
                ends_at,
            };
            self.active.insert(fault_index, fault);
        }
        for endpoint_index in endpoint_indices {
            let endpoint = &mut self.endpoints[*endpoint_index];
            endpoint.faults.retain(|other| *other != fault_index);
            if begins {
                endpoint.faults.push(fault_index);
                endpoint.begin_fault(kind);
            } else if is_outage(kind) && !self.active.has_outage(endpoint) {
                endpoint.end_outage(now);
            }
        }
        if !begins {
            self.active.remove(fault_index);
        }
    }

    /// Replaces an endpoint by a new incarnation at the same address, which has no calls and full capacity.
    pub fn replace(&mut self, now: Micros, endpoint_index: usize) {
        let endpoint = &mut self.endpoints[endpoint_index];
        let concurrency = self.groups[endpoint.group_index].concurrency;
        endpoint.replace(now, concurrency);
    }

    /// Whether the endpoint refuses connections at `now`.
    pub fn refuses_connections(&self, now: Micros, endpoint_index: usize) -> bool {
        let endpoint = &self.endpoints[endpoint_index];
        endpoint.state == EndpointState::Failed
            || self
                .active
                .affecting(endpoint)
                .any(|fault| fault.refuses(now))
    }

    /// Returns the share of its capacity that an endpoint has at `now`: the smallest that its warm-up or a fault leaves.
    fn capacity_share(&self, now: Micros, endpoint_index: usize) -> f64 {
        let endpoint = &self.endpoints[endpoint_index];
        let warm_share = endpoint.warm_capacity_share(now, &self.rules);
        let shares_left = self
            .active
            .affecting(endpoint)
            .map(ActiveFault::capacity_left);
        shares_left
            .fold(warm_share, f64::min)
            .max(MIN_CAPACITY_SHARE)
    }

    /// Counts a call or health check at an endpoint that warms up. The endpoint fails if the count exceeds its overload
    /// limit.
    fn count_arrival(&mut self, now: Micros, endpoint_index: usize, forwarder: u32) {
        let capacity_share = self.capacity_share(now, endpoint_index);
        let endpoint = &mut self.endpoints[endpoint_index];
        if !endpoint.count_arrival(now, forwarder, &self.rules) {
            return;
        }
        let limit = endpoint.overload_limit(capacity_share, &self.rules);
        if self.groups[endpoint.group_index].falls_over
            && endpoint.recent_arrival_count() as f64 > limit
        {
            self.overload_failures
                .push(endpoint.fail_from_overload(now, endpoint_index, limit));
        }
    }

    /// Returns the result of a health check that reaches an endpoint at `now`.
    pub fn health_check(
        &mut self,
        now: Micros,
        endpoint_index: usize,
        forwarder: u32,
    ) -> CallResult {
        if self.refuses_connections(now, endpoint_index) {
            self.endpoints[endpoint_index].add_failure_witness(forwarder);
            return CallResult::without_effect(ReceiverReply::Refused, now);
        }
        self.count_arrival(now, endpoint_index, forwarder);
        let endpoint = &mut self.endpoints[endpoint_index];
        let reply = self.active.health_check_reply(endpoint);
        if reply.reveals_failure() {
            endpoint.add_failure_witness(forwarder);
        }
        CallResult::without_effect(reply, now + HEALTH_CHECK_TIME)
    }

    /// Returns the result of a call whose last byte reaches its endpoint at `now`. A repeated call is recognised by its
    /// `idempotency_key`.
    pub fn call(
        &mut self,
        now: Micros,
        endpoint_index: usize,
        forwarder: u32,
        idempotency_key: Option<u64>,
    ) -> CallResult {
        let mut result = self.process_call(now, endpoint_index, idempotency_key);
        // The truncation is drawn whatever the reply, so that replies don't change the later draws of a run.
        let truncated = self.draw_truncation(endpoint_index);
        if let (ReceiverReply::TooManyRequests { retry_after }, true) = (result.reply, truncated) {
            result.reply = ReceiverReply::TooManyRequestsTruncated { retry_after };
        }
        if result.reply != ReceiverReply::Refused {
            self.count_arrival(now, endpoint_index, forwarder);
        }
        if result.reply.reveals_failure() {
            self.endpoints[endpoint_index].add_failure_witness(forwarder);
        }
        result
    }

    /// Draws whether a 429 response of this endpoint is truncated.
    fn draw_truncation(&mut self, endpoint_index: usize) -> bool {
        let endpoint = &mut self.endpoints[endpoint_index];
        let rate = self.active.truncation_rate(endpoint);
        rate.is_some_and(|rate| endpoint.draw(rate))
    }

    fn process_call(
        &mut self,
        now: Micros,
        endpoint_index: usize,
        idempotency_key: Option<u64>,
    ) -> CallResult {
        if self.refuses_connections(now, endpoint_index) {
            return CallResult::without_effect(ReceiverReply::Refused, now);
        }
        let capacity_share = self.capacity_share(now, endpoint_index);
        let endpoint = &mut self.endpoints[endpoint_index];
        let faults: Vec<&ActiveFault> = self.active.affecting(endpoint).collect();
        if let Some(reply) = endpoint.reply_before_service(now, &faults) {
            return CallResult::without_effect(reply, now);
        }
        let limiter = &mut self.limiters[endpoint.limiter_index];
        let rate_share = match capacity_share < 1.0 {
            true => capacity_share.max(MIN_RATE_SHARE),
            false => 1.0,
        };
        if !limiter.try_admit(now, rate_share) {
            return CallResult::without_effect(limiter.rejection(), now);
        }
        let group = &self.groups[endpoint.group_index];
        endpoint.dequeue_started_calls(now);
        let slowdown = endpoint.slowdown(capacity_share, &faults);
        if !endpoint.has_capacity(now, group.queue_limit) {
            return CallResult::without_effect(ReceiverReply::Overloaded, now);
        }
        let ends_at = endpoint.serve(now, &group.service_time, slowdown);
        let reply = endpoint.reply_after_service(group.error_rate, &faults);
        let takes_effect = reply != ReceiverReply::InternalError
            && self.idempotency_keys.insert_if_new(now, idempotency_key);
        CallResult {
            effect_at: takes_effect.then_some(ends_at),
            reply_at: ends_at,
            reply,
        }
    }

    /// Returns the number of calls in the queue of an endpoint at `now`.
    pub fn queue_length(&self, now: Micros, endpoint_index: usize) -> usize {
        self.endpoints[endpoint_index].queue_length(now)
    }

    /// Returns the number of stored entries: idempotency keys, and recorded arrivals at endpoints that warm up.
    pub fn entry_count(&self) -> usize {
        let recent_arrivals = self.endpoints.iter().map(Endpoint::recent_arrival_count);
        self.idempotency_keys.len() + recent_arrivals.sum::<usize>()
    }
}

#[cfg(test)]
mod tests;
