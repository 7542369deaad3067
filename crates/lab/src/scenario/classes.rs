//! Delivery classes and tenants.

use super::{defaults, Span};
use serde::{Deserialize, Serialize};

/// How messages of one kind are delivered.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DeliveryClass {
    /// The name of the class.
    pub name: String,
    /// Whether a message may be sent again.
    #[serde(rename = "effect")]
    pub semantics: DeliverySemantics,
    /// Receivers know repeats of an idempotency-keyed message for so long.
    #[serde(default = "defaults::deduplication_window")]
    pub window: Span,
    /// A message served within this time has its whole weight.
    #[serde(rename = "contract_time")]
    pub latency_objective: Span,
    /// A message may be delivered for so long.
    #[serde(rename = "expiry")]
    pub time_to_live: Span,
    /// The weight of a message against others.
    #[serde(default = "defaults::weight", rename = "importance")]
    pub priority_weight: f64,
    /// The part of its weight that a message has left at its deadline.
    #[serde(default = "defaults::late_weight_share", rename = "late_share")]
    pub late_weight_share: f64,
    /// Messages of one key are delivered one after the other.
    #[serde(default, rename = "in_order")]
    pub ordered: bool,
}

/// Whether a message may be sent again after an attempt whose effect is not known.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum DeliverySemantics {
    /// A repeat does no harm.
    #[serde(rename = "retriable")]
    Idempotent,
    /// Receivers know repeats by a key, for the window of the class.
    #[serde(rename = "fingerprinted")]
    IdempotencyKeyed,
    /// A repeat might take effect twice.
    #[serde(rename = "binding")]
    AtMostOnce,
}

/// A tenant with a quota.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// Messages a second within its quota, for all forwarders together.
    pub quota: f64,
}
