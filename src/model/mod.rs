//! The vocabulary of the decision core: plain data that goes in and comes out. It decides nothing.
//!
//! Times are whole microseconds ([`Micros`]): points in time on the caller's clock, and durations.

mod action;
mod config;
mod endpoint_list;
mod event;
mod ids;
mod outcome;

pub use action::{Action, EjectionReason, LogEvent};
pub use config::{
    Config, DeduplicationScope, DeliveryClassConfig, DeliverySemantics, EndpointKindConfig,
    ListedRates, OrderRelease, PriorityDecay, RuleConfig, TenantConfig,
};
pub use endpoint_list::{EndpointEntry, EndpointListUpdate, EndpointStatus};
pub use event::{AttemptHistory, Event, PossibleEffect, Submission};
pub use ids::{
    DeliveryClassId, DestinationId, EndpointId, EndpointKindId, MessageId, OrderKey, TenantId,
    TimerToken, ZoneId,
};
pub use outcome::Outcome;

/// Microseconds: a duration, or a point in time on the clock of whoever calls the core.
pub type Micros = u64;

/// µs in a second, for rates.
pub const MICROS_PER_SECOND: f64 = 1e6;
