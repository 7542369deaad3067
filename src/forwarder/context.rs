//! The state of the forwarder that destinations and endpoints see while they handle an event.

use super::mailbox::Mailboxes;
use crate::latency::LatencyEstimator;
use crate::model::{Config, DeliveryClassConfig, Micros};
use rand_pcg::Pcg64Mcg;

/// The inputs of a decision, other than the state of the part that makes it.
pub(crate) struct DecisionContext<'a> {
    pub now: Micros,
    pub config: &'a Config,
    pub rng: &'a mut Pcg64Mcg,
    pub mailboxes: &'a mut Mailboxes,
    /// Whether so many attempts fail to get a connection that idle connections are closed.
    pub are_connections_scarce: bool,
    /// Latency of the calls to all endpoints.
    pub overall_latency: &'a LatencyEstimator,
}

impl DecisionContext<'_> {
    /// Returns the configuration of a delivery class. Panics if the index is out of bounds.
    pub fn class(&self, class_index: usize) -> &DeliveryClassConfig {
        &self.config.classes[class_index]
    }
}
