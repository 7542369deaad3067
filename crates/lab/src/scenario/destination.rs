//! Destinations, their endpoints and how long those take to serve a call.

use super::{defaults, Span};
use serde::{Deserialize, Serialize};

/// A group of destinations of one kind.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    /// The name of the group.
    pub name: String,
    /// How many destinations it has.
    #[serde(default = "defaults::count")]
    pub count: u32,
    /// Endpoints of each.
    #[serde(default = "defaults::count", rename = "targets")]
    pub endpoints: u32,
    /// The endpoints have limits and outages of their own.
    #[serde(default, rename = "routes_apart")]
    pub independent_limits: bool,
    /// Calls a second that one destination (or one endpoint with a limit of its own) takes from all forwarders together. The
    /// list names this rate; it is enforced where `limited` holds.
    pub rate: f64,
    /// Whether calls above the rate are refused.
    #[serde(default = "defaults::enabled")]
    pub limited: bool,
    /// Calls over the rate that may come at once; a second's calls where it is not named.
    #[serde(default)]
    pub burst: Option<f64>,
    /// Refused calls use the limit up as well, as far as a burst.
    #[serde(default, rename = "refused_count")]
    pub refusals_use_limit: bool,
    /// The retry-after time of a 429 above the limit; 0 sends none.
    #[serde(default, rename = "wait")]
    pub retry_after: Span,
    /// Calls that an endpoint serves at once.
    #[serde(default = "defaults::concurrency", rename = "places")]
    pub concurrency: u32,
    /// Calls that wait there before 503 is answered.
    #[serde(default = "defaults::queue_limit", rename = "queue")]
    pub queue_limit: u32,
    /// How long a call takes there.
    #[serde(rename = "service")]
    pub service_time: ServiceTime,
    /// Chance that a call ends with an error without any fault.
    #[serde(default, rename = "errors")]
    pub error_rate: f64,
    /// Open connections that an endpoint takes; 0 for any number.
    #[serde(default, rename = "connections")]
    pub max_connections: u32,
    /// What a new connection costs beside the way there and back.
    #[serde(default)]
    pub handshake: Span,
    /// A connection is closed after so long without a call.
    #[serde(default = "defaults::idle_timeout", rename = "idle")]
    pub idle_timeout: Span,
    /// Its part of the load, against others.
    #[serde(default = "defaults::weight")]
    pub weight: f64,
    /// An endpoint falls over when it gets too many calls as it comes back.
    #[serde(default = "defaults::enabled")]
    pub falls_over: bool,
}

/// The distribution of the time that a call takes.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceTime {
    /// Always the same.
    Constant { time: Span },
    /// Exponential with this mean.
    Exponential { mean: Span },
    /// Lognormal with this mean; `sigma` is the deviation of the logarithm.
    Lognormal { mean: Span, sigma: f64 },
    /// One of two times.
    Bimodal {
        fast: Span,
        slow: Span,
        slow_share: f64,
    },
}
