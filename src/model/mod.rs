//! The data types of the decision core's interface: identifiers, configuration, events and actions. They hold no
//! decisions.
//!
//! Instants and durations are whole microseconds ([`Micros`]). Instants are on the clock of the caller.

mod action;
mod config;
mod endpoint_list;
mod event;
mod ids;
mod outcome;

pub use action::{Action, EjectionReason, LogEvent};
pub use config::{
    Config, DeduplicationScope, DeliveryClassConfig, DeliverySemantics, EndpointKindConfig,
    ListedRateAccuracy, OrderRelease, PriorityDecay, ServiceRuleConfig, TenantConfig,
};
pub use endpoint_list::{EndpointEntry, EndpointListUpdate, EndpointStatus};
pub use event::{AttemptHistory, Event, PossibleEffect, Submission};
pub use ids::{
    DeliveryClassId, DestinationId, EndpointId, EndpointKindId, MessageId, OrderKey, TenantId,
    TimerToken, ZoneId,
};
pub use outcome::Outcome;

/// Microseconds: a duration, or an instant on the clock of the caller of the core.
pub type Micros = u64;

/// Microseconds in a second, to convert rates per second.
pub const MICROS_PER_SECOND: f64 = 1e6;
