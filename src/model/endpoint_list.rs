//! The endpoint list, as received from discovery.

use super::{DestinationId, EndpointId, EndpointKindId, Micros, ZoneId};

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint accepts calls.
    #[default]
    Ready,
    /// The endpoint finishes the calls in flight and accepts no new ones.
    Draining,
    /// The endpoint is no longer in the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// The zone that the endpoint runs in.
    pub zone: ZoneId,
    /// Time at which the endpoint started, in µs.
    pub up_since: Micros,
    /// Whether the endpoint accepts calls.
    pub status: EndpointStatus,
    /// Calls per second that the destination accepts from the whole fleet.
    /// [`Config::listed_rate_accuracy`](super::Config::listed_rate_accuracy) says how far the figure can be trusted.
    pub rate: f32,
    /// The destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// The kind of the endpoint, which sets its limits and batch size.
    pub kind: EndpointKindId,
}

/// An update from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListUpdate {
    /// The entries that changed since the last update.
    Changes(Vec<EndpointEntry>),
    /// All endpoints. An endpoint that is missing from the update has left the list.
    Complete(Vec<EndpointEntry>),
    /// All endpoints from the last list that was stored; they may be outdated.
    Cached(Vec<EndpointEntry>),
    /// Discovery refused the request, did not respond or could not be reached.
    Failed,
}
