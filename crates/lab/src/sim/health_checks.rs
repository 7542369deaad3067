//! Simulated health checks, from the forwarder to the receiver and back.

use super::event::{HealthCheck, SimulatedEvent};
use super::Sim;
use crate::receivers::ReceiverReply;
use crate::world::Layout;
use opalpulley::{EndpointId, Event, Outcome};

/// Number of one-way network delays until a health check reaches its endpoint: two to establish a connection, and one for the
/// request.
const ONE_WAY_DELAYS_TO_ENDPOINT: u64 = 3;

impl Sim {
    pub(super) fn send_health_check(&mut self, forwarder: u32, endpoint: EndpointId) {
        self.tally.counts.health_checks += 1;
        let index = Layout::endpoint_index(endpoint);
        let limiter = self.layout.endpoints[index].limiter_index;
        let description = format!("health check of forwarder {forwarder} to endpoint {index}");
        self.oracle
            .check_retry_after(forwarder, limiter, self.now, &description);
        let health_check = HealthCheck {
            forwarder,
            incarnation: self.processes[forwarder as usize].incarnation,
            endpoint,
            sent_at: self.now,
        };
        let arrives_at = self.now + ONE_WAY_DELAYS_TO_ENDPOINT * self.scenario.network.delay.0;
        self.schedule(arrives_at, SimulatedEvent::HealthCheckArrives(health_check));
    }

    pub(super) fn health_check_arrives(&mut self, health_check: HealthCheck) {
        let index = Layout::endpoint_index(health_check.endpoint);
        let result = self
            .receivers
            .health_check(self.now, index, health_check.forwarder);
        let outcome = match result.reply {
            ReceiverReply::Served => Outcome::Delivered,
            ReceiverReply::Overloaded => Outcome::Rejected { retry_after: None },
            ReceiverReply::Silent => Outcome::Timeout,
            _ => Outcome::NoConnection,
        };
        let timeout = match result.reply {
            ReceiverReply::Silent => self.scenario.network.connect_timeout.0,
            _ => 0,
        };
        let ends_at = result.reply_at + self.scenario.network.delay.0 + timeout;
        self.schedule(
            ends_at,
            SimulatedEvent::HealthCheckEnds {
                health_check,
                outcome,
            },
        );
    }

    pub(super) fn health_check_ends(&mut self, health_check: HealthCheck, outcome: Outcome) {
        let ended = Event::HealthCheckEnded {
            endpoint: health_check.endpoint,
            outcome,
            elapsed: self.now - health_check.sent_at,
            load_metrics: Vec::new(),
        };
        self.deliver_event(health_check.forwarder, health_check.incarnation, ended);
    }
}
