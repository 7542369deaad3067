//! A message that waits or is in flight.

use crate::model::{Config, EndpointId, MessageId, Micros, OrderKey, PossibleEffect};
use crate::policy::admission::UndeliveredMessage;
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
    pub class: usize,
    /// What its delivery counts up to its latency objective.
    pub weight: f64,
    /// When it is late.
    pub objective_at: Micros,
    pub deadline: Micros,
    /// Attempts so far, those of earlier runs included.
    pub attempts: u32,
    /// What it keeps its order by.
    pub key: Option<OrderKey>,
    /// Whether it is its turn within its key.
    pub is_order_granted: bool,
    /// The first attempt that may have taken effect.
    pub possible_effect: Option<PossibleEffect>,
    /// When its backoff is over.
    pub ready_at: Micros,
    pub in_flight: Option<InFlightAttempt>,
    /// Whether the attempt that is out was cancelled.
    pub is_cancelled: bool,
    /// Whether it needs no final answer any more.
    pub is_completed: bool,
}

impl Message {
    /// The last moment at which its next attempt may begin.
    pub fn last_send(&self, config: &Config) -> Micros {
        retry::last_send_at(
            config.classes[self.class].semantics,
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
            last_send_at: self.last_send(config),
        }
    }

    /// What its delivery counts now.
    pub fn weight_at(&self, now: Micros, config: &Config) -> f64 {
        let class = &config.classes[self.class];
        self.urgency(config)
            .weight_at(now as f64, class, config.priority_decay)
    }

    /// What is lost by sending it later than now to an endpoint of this latency (µs).
    pub fn expected_loss(&self, now: Micros, mean_latency: f64, config: &Config) -> f64 {
        let class = &config.classes[self.class];
        self.urgency(config)
            .expected_loss(now, mean_latency, class, config)
    }

    /// It as the dispatch queue sees it.
    pub fn entry(&self, config: &Config) -> QueueEntry {
        let semantics = config.classes[self.class].semantics;
        let last_send = self.last_send(config);
        let since_objective = |time: Micros| time as i64 - self.objective_at as i64;
        let group = MessageGroup {
            class: self.class,
            weight_bits: self.weight.to_bits(),
            objective_to_deadline: since_objective(self.deadline),
            objective_to_last_send: since_objective(last_send),
            zone: retry::required_zone(semantics, self.possible_effect).map(|zone| zone.0),
        };
        QueueEntry {
            id: self.id,
            group,
            due: self.objective_at,
            last_send,
            ready_at: self.ready_at,
            is_released: self.is_order_granted,
        }
    }

    /// It as the rule on final answers sees it.
    pub fn undelivered(&self, config: &Config) -> UndeliveredMessage {
        UndeliveredMessage {
            semantics: config.classes[self.class].semantics,
            attempts: self.attempts,
            deadline: self.deadline,
            possible_effect: self.possible_effect,
        }
    }
}
