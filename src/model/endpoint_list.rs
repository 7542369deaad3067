//! The endpoint list as discovery reports it.

use super::{DestinationId, EndpointId, EndpointKindId, Micros, ZoneId};

/// What the list says of an endpoint's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes calls.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has left the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint that the entry is about.
    pub endpoint: EndpointId,
    /// Where it runs.
    pub zone: ZoneId,
    /// When it came up.
    pub up_since: Micros,
    /// Whether it takes calls.
    pub status: EndpointStatus,
    /// Calls per second that the destination takes from the whole fleet, as far as the list knows.
    pub rate: f32,
    /// The group that it belongs to.
    pub destination: DestinationId,
    /// What kind of endpoint it is.
    pub kind: EndpointKindId,
}

/// A report of discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListUpdate {
    /// Only the entries that changed.
    Changes(Vec<EndpointEntry>),
    /// Every endpoint there is; one that is missing has left.
    Complete(Vec<EndpointEntry>),
    /// Every endpoint as it was known last; it may be outdated.
    Cached(Vec<EndpointEntry>),
    /// Discovery refused, did not answer or could not be reached.
    Failed,
}
