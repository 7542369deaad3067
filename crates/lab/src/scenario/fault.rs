//! Faults of receivers, discovery and forwarders: their kinds, times and scopes.

use super::Span;
use serde::{Deserialize, Serialize};

/// A fault that is active for a span of the run. Faults may overlap.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, counted from the start of the run.
    pub at: Span,
    /// Duration of the fault.
    pub lasts: Span,
    /// Kind of the fault, with its parameters.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Receivers or forwarders that the fault affects.
    #[serde(default, rename = "on")]
    pub scope: FaultScope,
}

impl Fault {
    /// Returns the end of the fault, in µs from the start of the run.
    pub fn ends_at(&self) -> opalpulley::Micros {
        self.at.0 + self.lasts.0
    }
}

/// The kinds of faults. A `rate` is a share of the calls, from 0 to 1.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// The endpoint refuses connections; afterwards it warms up.
    Refusing,
    /// The endpoint accepts calls and sends no response; afterwards it warms up.
    Silent,
    /// The service time is multiplied by `times`.
    Slow { times: f64 },
    /// Calls end with an error. If `rate` is at least one half, the endpoint warms up afterwards.
    Erring { rate: f64 },
    /// The connection of a call is reset.
    Reset {
        rate: f64,
        #[serde(rename = "when")]
        moment: ResetMoment,
    },
    /// Calls take effect, but their responses are lost.
    AnswerLost { rate: f64 },
    /// 429 responses are cut off after a valid head, which may hold a retry-after time. `rate` is a share of these
    /// responses.
    #[serde(rename = "refusals-cut")]
    RejectionsTruncated { rate: f64 },
    /// Calls take effect, but their responses can't be parsed.
    Garbled { rate: f64 },
    /// Responses begin and never end.
    Endless { rate: f64 },
    /// Calls take effect, and get an error whose body never ends.
    #[serde(rename = "errors-endless")]
    EndlessErrors { rate: f64 },
    /// The endpoint rejects calls with a 429 whose retry-after time is the rest of the fault; afterwards it warms up.
    Shut,
    /// The endpoint alternates between refusing connections (`down`) and serving calls (`up`).
    Flapping { down: Span, up: Span },
    /// Only the share `capacity_left` of the endpoint's capacity remains, for its rate and its concurrency alike.
    Brownout {
        #[serde(rename = "left")]
        capacity_left: f64,
    },
    /// Congestion: the service time is multiplied by `times`, also after the end of the fault until the queue has been empty.
    Jam { times: f64 },
    /// The endpoint list shows each endpoint as draining and then removes it; a new incarnation at the same address becomes
    /// ready. The endpoints drain one after the other.
    Drain,
    /// Discovery withholds list updates until the end of the fault.
    Stale,
    /// Discovery is down: it withholds list updates, and agents leave requests for the list unanswered until the end of the
    /// fault. A process that starts meanwhile has only the list that its forwarder knew last.
    DiscoveryDown,
    /// Discovery sends a list that is marked as complete but lacks the share `missing` of the entries, and sends the complete
    /// list at the end of the fault.
    Partial { missing: f64 },
    /// Forwarders are killed and restart at the end of the fault, with or without their state folder.
    Killed {
        #[serde(rename = "folder")]
        folder_kept: bool,
    },
    /// Forwarders are stopped: they neither read nor send until the end of the fault.
    Paused,
    /// Health checks get no response, while calls are served.
    #[serde(rename = "probes-fail")]
    HealthChecksFail,
}

impl FaultKind {
    /// Returns the name of the kind in scenario files.
    pub fn name(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value["kind"].as_str().unwrap_or("trouble").to_owned()
    }

    /// Returns the parameter that must be a share from 0 to 1, if the kind has one.
    pub(super) fn share(&self) -> Option<f64> {
        match self {
            FaultKind::Erring { rate }
            | FaultKind::Reset { rate, .. }
            | FaultKind::AnswerLost { rate }
            | FaultKind::Garbled { rate }
            | FaultKind::RejectionsTruncated { rate }
            | FaultKind::Endless { rate }
            | FaultKind::EndlessErrors { rate } => Some(*rate),
            FaultKind::Partial { missing } => Some(*missing),
            FaultKind::Brownout { capacity_left } => Some(*capacity_left),
            _ => None,
        }
    }
}

/// The moment of a call at which its connection is reset.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ResetMoment {
    /// Before the endpoint has received the whole call.
    Before,
    /// In the middle of the response.
    Within,
    /// After the complete response.
    After,
}

/// The receivers or forwarders that a fault affects. Each criterion restricts the scope further; an empty one admits all.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct FaultScope {
    /// Names of groups of destinations.
    pub destinations: Vec<String>,
    /// Numbers of destinations within their group, counted from 0.
    pub numbers: Vec<u32>,
    /// Numbers of endpoints within their destination, counted from 0.
    #[serde(rename = "targets")]
    pub endpoints: Vec<u32>,
    /// Zone of the endpoints. The endpoints of a destination alternate between two zones.
    pub zone: Option<u16>,
    /// Probability, from 0 to 1, with which each endpoint or forwarder in scope is affected.
    pub share: Option<f64>,
    /// Numbers of forwarders, counted from 0, for faults of forwarders.
    pub forwarders: Vec<u32>,
}
