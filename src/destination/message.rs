//! A message that waits or is in flight.

use crate::model::{Config, EndpointId, MessageId, Micros, OrderKey, PossibleEffect};
use crate::policy::admission::Undelivered;
use crate::policy::retry;
use crate::policy::selection::Urgency;
use crate::queue::{MessageGroup, QueueEntry};

/// The attempt that is out.
#[derive(Clone, Copy)]
pub(crate) struct InFlightAttempt {
    pub endpoint: EndpointId,
    pub sent_at: Micros,
}

/// A message that has no final answer yet, or whose last attempt is still out.
#[derive(Default)]
pub(crate) struct Message {
    pub id: MessageId,
    /// Index of its delivery class.
    pub class_index: usize,
    /// What its delivery counts up to its latency objective.
    pub weight: f64,
    /// When it is late.
    pub objective_at: Micros,
    pub deadline: Micros,
    /// Attempts so far, those of earlier runs included.
    pub attempts: u32,
    /// What it keeps its order by.
    pub order_key: Option<OrderKey>,
    /// Whether it is its turn within its key.
    pub is_order_granted: bool,
    /// The first attempt that may have taken effect.
    pub possible_effect: Option<PossibleEffect>,
    /// When its backoff is over.
    pub backoff_until: Micros,
    pub in_flight: Option<InFlightAttempt>,
    /// Whether the attempt that is out was cancelled.
    pub is_attempt_cancelled: bool,
    /// Whether it needs no final answer any more.
    pub is_completed: bool,
}

impl Message {
    /// The last moment at which its next attempt may begin.
    pub fn latest_send_at(&self, config: &Config) -> Micros {
        retry::last_send(
            config.classes[self.class_index].semantics,
            self.attempts,
            config.max_attempts,
            self.deadline,
            self.possible_effect,
        )
    }

    /// What decides when it is sent.
    pub fn urgency(&self, config: &Config) -> Urgency {
        Urgency {
            weight: self.weight,
            objective_at: self.objective_at,
            deadline: self.deadline,
            last_send: self.latest_send_at(config),
        }
    }

    /// What its delivery counts now.
    pub fn weight_at(&self, now: Micros, config: &Config) -> f64 {
        let class = &config.classes[self.class_index];
        self.urgency(config)
            .weight_at(now as f64, class, config.priority_decay)
    }

    /// What is lost by sending it later than now to an endpoint of this latency (µs).
    pub fn expected_loss(&self, now: Micros, mean_latency: f64, config: &Config) -> f64 {
        let class = &config.classes[self.class_index];
        self.urgency(config)
            .expected_loss(now, mean_latency, class, config)
    }

    /// It as the dispatch queue sees it.
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

    /// It as the rule on final answers sees it.
    pub fn undelivered(&self, config: &Config) -> Undelivered {
        Undelivered {
            semantics: config.classes[self.class_index].semantics,
            attempts: self.attempts,
            deadline: self.deadline,
            possible_effect: self.possible_effect,
        }
    }
}
