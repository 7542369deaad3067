//! The state of an endpoint that its destination sees.

use super::{Endpoint, Health};
use crate::forwarder::context::DecisionContext;
use crate::model::EndpointStatus;
use crate::policy::{attempt_timeout, concurrency, selection};

/// The state of an endpoint by which its destination selects calls. The endpoint owns it and sends
/// a copy to its destination on every change.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) struct EndpointSnapshot {
    pub zone: u16,
    /// Cost of a message to the endpoint.
    pub cost: f64,
    /// Random tie breaker of the rank; see [`selection::draw_tie_breaker`].
    pub tie_breaker: f64,
    /// Number of further calls that may start now.
    pub free_calls: usize,
    /// Number of calls in flight.
    pub calls_in_flight: usize,
    /// Whether the endpoint list has the endpoint as ready.
    pub is_ready: bool,
    pub is_ejected: bool,
    /// Whether the endpoint fails, is slow or is ejected.
    pub is_degraded: bool,
    /// Whether the endpoint needs no timer ticks: it has no calls in flight, and it is healthy or
    /// the forwarder's share of its allowed load is negligible. With a negligible share, the next
    /// message is the trial of the endpoint.
    pub needs_no_ticks: bool,
    /// Mean latency of a call, in µs.
    pub mean_latency: f64,
    /// Time in µs within which a response is expected.
    pub latency_bound: f64,
}

impl EndpointSnapshot {
    /// Returns the rank among the endpoints that accept a call. The endpoint with the lowest rank
    /// is selected first.
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
    /// Recomputes the snapshot. Zone, cost and tie breaker keep their values.
    pub fn update_snapshot(&mut self, context: &DecisionContext) {
        let overall = context.overall_latency;
        let needs_no_ticks = self.calls.is_empty()
            && (self.health == Health::Healthy
                || self
                    .forwarder_share(context.now, context.config)
                    .is_negligible);
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

    /// Returns whether a call has been in flight for longer than the slow threshold without any
    /// response since it was sent.
    fn is_slow(&self, context: &DecisionContext) -> bool {
        let threshold = attempt_timeout::slow_threshold(&self.latency, context.overall_latency);
        threshold > 0.0 && self.unanswered_calls(context.now, threshold) > 0
    }
}
