//! What destinations and endpoints see of the forwarder while they handle a message.

use super::mailbox::Mailboxes;
use crate::latency::LatencyEstimator;
use crate::model::{Config, DeliveryClassConfig, Micros};
use rand_pcg::Pcg64Mcg;

/// The inputs of a decision beside the state of whoever takes it.
pub(crate) struct DecisionContext<'a> {
    pub now: Micros,
    pub config: &'a Config,
    pub rng: &'a mut Pcg64Mcg,
    pub mailboxes: &'a mut Mailboxes,
    /// Whether so many attempts get no connection that idle ones are closed.
    pub are_connections_scarce: bool,
    /// Latency over all endpoints.
    pub overall_latency: &'a LatencyEstimator,
}

impl DecisionContext<'_> {
    /// The configuration of a delivery class.
    pub fn class(&self, class_index: usize) -> &DeliveryClassConfig {
        &self.config.classes[class_index]
    }
}
