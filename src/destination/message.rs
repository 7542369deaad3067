//! The state of a message that is waiting or in flight.

use crate::model::{Config, EndpointId, MessageId, Micros, OrderKey, PossibleEffect};
use crate::policy::admission::UndeliveredMessage;
use crate::policy::retry;
use crate::policy::selection::Urgency;
use crate::queue::{MessageGroup, QueueEntry};

/// An attempt that has started and has no outcome yet.
#[derive(Clone, Copy)]
pub(crate) struct InFlightAttempt {
    pub endpoint: EndpointId,
    pub sent_at: Micros,
}

/// A message that awaits its final answer or has an attempt in flight. Owned by its destination.
#[derive(Default)]
pub(crate) struct Message {
    pub id: MessageId,
    /// Index of the delivery class in the configuration.
    pub class_index: usize,
    /// Weight of a delivery up to the latency objective; it decays after it.
    pub weight: f64,
    /// The instant of the latency objective, in µs.
    pub objective_at: Micros,
    pub deadline: Micros,
    /// Number of attempts so far, including those of earlier runs of the process.
    pub attempts: u32,
    /// The order key, if the delivery class is ordered.
    pub order_key: Option<OrderKey>,
    /// Whether the message is the next one of its order key. True for messages without a key.
    pub is_order_granted: bool,
    /// The first attempt that may have taken effect at the receiver.
    pub possible_effect: Option<PossibleEffect>,
    /// The instant in µs at which the backoff ends.
    pub backoff_until: Micros,
    pub in_flight: Option<InFlightAttempt>,
    /// Whether the attempt in flight was cancelled.
    pub is_attempt_cancelled: bool,
    /// Whether the message needs no final answer from the core.
    pub is_completed: bool,
}

impl Message {
    /// Returns the latest instant in µs at which the next attempt may start.
    pub fn latest_send_at(&self, config: &Config) -> Micros {
        retry::latest_send_at(
            config.classes[self.class_index].semantics,
            self.attempts,
            config.max_attempts,
            self.deadline,
            self.possible_effect,
        )
    }

    /// Returns the inputs of the rules on the order of dispatch.
    pub fn urgency(&self, config: &Config) -> Urgency {
        Urgency {
            weight: self.weight,
            objective_at: self.objective_at,
            deadline: self.deadline,
            latest_send_at: self.latest_send_at(config),
        }
    }

    /// Returns the weight of a delivery at `now`.
    pub fn weight_at(&self, now: Micros, config: &Config) -> f64 {
        let class = &config.classes[self.class_index];
        self.urgency(config)
            .weight_at(now as f64, class, config.priority_decay)
    }

    /// Returns the expected loss of weight if the message is not sent now to an endpoint with this
    /// mean latency, in µs.
    pub fn expected_loss(&self, now: Micros, mean_latency: f64, config: &Config) -> f64 {
        let class = &config.classes[self.class_index];
        self.urgency(config)
            .expected_loss(now, mean_latency, class, config)
    }

    /// Returns the message's entry in the dispatch queue.
    pub fn queue_entry(&self, config: &Config) -> QueueEntry {
        let semantics = config.classes[self.class_index].semantics;
        let latest_send_at = self.latest_send_at(config);
        let since_objective = |time: Micros| time as i64 - self.objective_at as i64;
        let group = MessageGroup {
            class_index: self.class_index,
            weight_bits: self.weight.to_bits(),
            objective_to_deadline: since_objective(self.deadline),
            objective_to_latest_send: since_objective(latest_send_at),
            zone: retry::required_zone(semantics, self.possible_effect).map(|zone| zone.0),
        };
        QueueEntry {
            id: self.id,
            group,
            objective_at: self.objective_at,
            latest_send_at,
            backoff_until: self.backoff_until,
            is_order_granted: self.is_order_granted,
        }
    }

    /// Returns the inputs of the rule on final answers.
    pub fn undelivered(&self, config: &Config) -> UndeliveredMessage {
        UndeliveredMessage {
            semantics: config.classes[self.class_index].semantics,
            attempts: self.attempts,
            deadline: self.deadline,
            possible_effect: self.possible_effect,
        }
    }
}
