//! The delivery classes and tenants of a scenario.

use super::{defaults, Span};
use serde::{Deserialize, Serialize};

/// The delivery requirements shared by the messages of one class.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DeliveryClass {
    /// Name by which loads refer to the class.
    pub name: String,
    /// Whether a message may be sent again after an attempt of unknown effect.
    #[serde(rename = "effect")]
    pub semantics: DeliverySemantics,
    /// How long receivers remember the idempotency key of a message.
    #[serde(default = "defaults::deduplication_window")]
    pub window: Span,
    /// Latency objective. A message served within it keeps its full weight; must be above 0.
    #[serde(rename = "contract_time")]
    pub latency_objective: Span,
    /// Time to live of a message; at least the latency objective.
    #[serde(rename = "expiry")]
    pub time_to_live: Span,
    /// Weight of a message relative to others.
    #[serde(default = "defaults::weight", rename = "importance")]
    pub priority_weight: f64,
    /// Lower bound on the share of its weight that a late message keeps until its deadline, from 0 to 1. A linear decay
    /// reaches it at the deadline.
    #[serde(default = "defaults::late_weight_share", rename = "late_share")]
    pub late_weight_share: f64,
    /// Whether messages with the same order key are delivered one after the other.
    #[serde(default, rename = "in_order")]
    pub ordered: bool,
}

/// Whether a message may be sent again after an attempt of unknown effect.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum DeliverySemantics {
    /// A repeated call has no further effect.
    #[serde(rename = "retriable")]
    Idempotent,
    /// Receivers recognise a repeated call by its idempotency key, within the window of the class.
    #[serde(rename = "fingerprinted")]
    IdempotencyKeyed,
    /// A repeated call may take effect a second time, so the message must not be sent again.
    #[serde(rename = "binding")]
    AtMostOnce,
}

/// A tenant with a quota.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name by which loads refer to the tenant.
    pub name: String,
    /// Quota in messages per second, across all forwarders.
    pub quota: f64,
}
