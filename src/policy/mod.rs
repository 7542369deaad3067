//! The decision rules of the forwarder, one per file, each with its constants.
//!
//! A file can be read by itself. It holds a small type or pure functions over plain values, and
//! its module documentation states the rule, the inputs and their units. The state of messages,
//! destinations and endpoints is kept in [`crate::destination`], [`crate::endpoint`] and
//! [`crate::forwarder`]. These modules call the rules and define no thresholds of their own.

pub mod admission;
pub mod attempt_timeout;
pub mod concurrency;
pub mod connection_reuse;
pub mod gossip;
pub mod health_check;
pub mod list_confirmation;
pub mod list_polling;
pub mod ordering;
pub mod outlier;
pub mod pacing;
pub mod recovery;
pub mod retry;
pub mod selection;
pub mod slow_start;

use crate::model::Micros;

/// Interval between two checks of all timers, in µs. It is short compared with any attempt, and
/// long compared with the cost of a check.
pub const TIMER_INTERVAL: Micros = 25_000;
