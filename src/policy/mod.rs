//! The rules of the forwarder: one rule a file, with its constants beside it.
//!
//! Each file can be read alone. It holds a small type or pure functions over plain values, and
//! states the rule, its inputs and their units in its first lines. The state of messages,
//! destinations and endpoints lies outside ([`crate::destination`], [`crate::endpoint`],
//! [`crate::forwarder`]): it calls the rules and has no thresholds of its own.

pub mod admission;
pub mod attempt_timeout;
pub mod concurrency;
pub mod connection_reuse;
pub mod gossip;
pub mod health_check;
pub mod list_polling;
pub mod ordering;
pub mod outlier;
pub mod pacing;
pub mod retry;
pub mod selection;
pub mod slow_start;

use crate::model::Micros;

/// Time between two looks at all timers: short beside any attempt, long beside its cost.
pub const TIMER_INTERVAL: Micros = 25_000;
