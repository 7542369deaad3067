//! Destinations, their endpoints and the service times of the endpoints.

use super::{defaults, Span};
use serde::{Deserialize, Serialize};

/// A group of destinations with equal settings.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    /// Name by which loads and faults refer to the group; unique in the scenario.
    pub name: String,
    /// Number of destinations in the group; at least 1.
    #[serde(default = "defaults::count")]
    pub count: u32,
    /// Number of endpoints per destination; at least 1.
    #[serde(default = "defaults::count", rename = "targets")]
    pub endpoints: u32,
    /// Whether each endpoint has its own limit and outages, instead of sharing those of its destination.
    #[serde(default, rename = "routes_apart")]
    pub independent_limits: bool,
    /// Calls per second that one destination (or one endpoint with an independent limit) accepts from all forwarders
    /// together. The endpoint list publishes this rate; it is enforced only if `limited` is set.
    pub rate: f64,
    /// Whether calls above the rate are rejected.
    #[serde(default = "defaults::enabled")]
    pub limited: bool,
    /// Capacity of the token bucket, in calls; the calls of one second by default.
    #[serde(default)]
    pub burst: Option<f64>,
    /// Whether rejected calls consume tokens too, down to a debt of one burst.
    #[serde(default, rename = "refused_count")]
    pub rejections_consume_tokens: bool,
    /// Retry-after time sent with a 429 above the limit; 0 sends none.
    #[serde(default, rename = "wait")]
    pub retry_after: Span,
    /// Calls that an endpoint serves concurrently; at least 1.
    #[serde(default = "defaults::concurrency", rename = "places")]
    pub concurrency: u32,
    /// Calls that may queue at an endpoint. Any further call is rejected with a 503.
    #[serde(default = "defaults::queue_limit", rename = "queue")]
    pub queue_limit: u32,
    /// Distribution of the service time of a call.
    #[serde(rename = "service")]
    pub service_time: ServiceTime,
    /// Probability that a call ends with an error when no fault is active.
    #[serde(default, rename = "errors")]
    pub error_rate: f64,
    /// Upper bound on the open connections of an endpoint; 0 for no bound.
    #[serde(default, rename = "connections")]
    pub max_connections: u32,
    /// Time to set up a new connection, in addition to the round trip.
    #[serde(default)]
    pub handshake: Span,
    /// Time without a call after which a connection is closed.
    #[serde(default = "defaults::idle_timeout", rename = "idle")]
    pub idle_timeout: Span,
    /// Weight of each destination of the group in the choice of a message's destination.
    #[serde(default = "defaults::weight")]
    pub weight: f64,
    /// Whether an endpoint fails when it receives too many calls while it warms up after an outage.
    #[serde(default = "defaults::enabled")]
    pub falls_over: bool,
}

/// The distribution of the service times of calls.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceTime {
    /// The same time for every call.
    Constant { time: Span },
    /// Exponentially distributed with the given mean.
    Exponential { mean: Span },
    /// Lognormally distributed with the given mean; `sigma` is the standard deviation of the logarithm, above 0.
    Lognormal { mean: Span, sigma: f64 },
    /// Either of two times; `slow_share` is the probability of the slow one.
    Bimodal {
        fast: Span,
        slow: Span,
        slow_share: f64,
    },
}
