//! What a destination knows of an endpoint.

use super::{Endpoint, Health};
use crate::forwarder::context::DecisionContext;
use crate::model::EndpointStatus;
use crate::policy::{attempt_timeout, concurrency, selection};

/// How an endpoint stands, as its destination chooses by it.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) struct EndpointSnapshot {
    pub zone: u16,
    /// What a message to it costs.
    pub cost: f64,
    /// Drawn at random; see [`selection::tie_breaker`].
    pub tie_breaker: f64,
    /// Calls that it may get now.
    pub free_calls: usize,
    /// Calls out there.
    pub calls_in_flight: usize,
    /// Whether the list has it as ready.
    pub is_ready: bool,
    pub is_ejected: bool,
    /// Whether it fails, is slow or is ejected.
    pub is_degraded: bool,
    /// Whether it needs no ticks: no call is out, and it is healthy or its budget is scant. An
    /// endpoint with a scant budget is tried by the next message.
    pub needs_no_ticks: bool,
    /// µs.
    pub mean_latency: f64,
    /// Time within which an answer is expected, µs.
    pub latency_bound: f64,
}

impl EndpointSnapshot {
    /// Its rank among endpoints that can take a call; the least goes first.
    pub fn rank(&self) -> f64 {
        selection::endpoint_rank(
            self.cost,
            self.mean_latency,
            self.calls_in_flight,
            self.tie_breaker,
        )
    }
}

impl Endpoint {
    /// Brings the snapshot up to date.
    pub fn update_snapshot(&mut self, context: &DecisionContext) {
        let overall = context.overall_latency;
        let needs_no_ticks = self.calls.is_empty()
            && (self.health == Health::Healthy
                || self.forwarder_share(context.now, context.config).is_scant);
        self.snapshot = EndpointSnapshot {
            free_calls: self.free_calls(context),
            calls_in_flight: self.calls.len(),
            is_ready: self.status == EndpointStatus::Ready,
            is_ejected: self.is_ejected(),
            is_degraded: self.is_ejected() || self.is_slow(context) || self.failures.is_degraded(),
            needs_no_ticks,
            mean_latency: attempt_timeout::mean_latency(&self.latency, overall),
            latency_bound: attempt_timeout::latency_bound(&self.latency, overall),
            ..self.snapshot
        };
    }

    fn free_calls(&self, context: &DecisionContext) -> usize {
        let mean_latency = attempt_timeout::mean_latency(&self.latency, context.overall_latency);
        let limit = concurrency::endpoint_limit(self.capacity, mean_latency);
        let free = limit.saturating_sub(self.calls.len());
        match self.health {
            Health::Healthy => free,
            Health::Ejected => 0,
            Health::HalfOpen | Health::WarmingUp { .. } => free.min(self.budget.whole_calls()),
        }
    }

    /// Whether a call is out for long, and nothing was answered since it was sent.
    fn is_slow(&self, context: &DecisionContext) -> bool {
        let threshold = attempt_timeout::slow_threshold(&self.latency, context.overall_latency);
        threshold > 0.0 && self.unanswered_calls(context.now, threshold) > 0
    }
}
