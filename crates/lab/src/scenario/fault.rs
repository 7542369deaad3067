//! Faults: what goes wrong, when, and at which receivers or forwarders.

use super::Span;
use serde::{Deserialize, Serialize};

/// One fault, from `at` on, for `lasts`. Several may overlap.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, from the start of the run.
    pub at: Span,
    /// How long it lasts.
    pub lasts: Span,
    /// What goes wrong.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Where it strikes.
    #[serde(default, rename = "on")]
    pub scope: FaultScope,
}

impl Fault {
    /// When it ends, µs from the start of the run.
    pub fn ends_at(&self) -> opalpulley::Micros {
        self.at.0 + self.lasts.0
    }
}

/// What goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// Connections are refused; afterwards the endpoint warms up.
    Refusing,
    /// Calls are taken and nothing is answered; afterwards the endpoint warms up.
    Silent,
    /// Service takes so many times as long.
    Slow { times: f64 },
    /// So many of the calls end with an error; from one half on, the endpoint warms up afterwards.
    Erring { rate: f64 },
    /// So many of the calls have their connection reset.
    Reset {
        rate: f64,
        #[serde(rename = "when")]
        moment: ResetMoment,
    },
    /// So many of the calls run, and their answers never come.
    AnswerLost { rate: f64 },
    /// So many of the refusals come with a good head, which may hold a retry-after time, and break off.
    #[serde(rename = "refusals-cut")]
    RefusalsTruncated { rate: f64 },
    /// So many of the answers can't be read, though the call ran.
    Garbled { rate: f64 },
    /// So many of the answers begin, and never end.
    Endless { rate: f64 },
    /// 429 with the time until it opens; afterwards the endpoint warms up.
    Shut,
    /// Refuses and serves in turn.
    Flapping { down: Span, up: Span },
    /// So large a part of its capacity is left: rate and concurrency alike.
    Brownout {
        #[serde(rename = "left")]
        capacity_left: f64,
    },
    /// Service takes so many times as long, and goes on so after the end until its queue has been empty.
    Jam { times: f64 },
    /// Listed as draining, then gone; a new holder of the same address is ready. One endpoint after the other.
    Drain,
    /// Discovery sends no list updates; they come at the end.
    Stale,
    /// Discovery sends the whole list without so large a part of it, and at the end all of it.
    Partial { missing: f64 },
    /// Forwarders are killed and start again at the end, with or without their folder.
    Killed {
        #[serde(rename = "folder")]
        folder_kept: bool,
    },
    /// Forwarders are stopped: nothing is read or sent until the end.
    Paused,
    /// Health checks are not answered, calls are.
    #[serde(rename = "probes-fail")]
    HealthChecksFail,
}

impl FaultKind {
    /// Its name in the file.
    pub fn name(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value["kind"].as_str().unwrap_or("trouble").to_owned()
    }

    /// The share from 0 to 1 that the fault names, where it names one.
    pub(super) fn share(&self) -> Option<f64> {
        match self {
            FaultKind::Erring { rate }
            | FaultKind::Reset { rate, .. }
            | FaultKind::AnswerLost { rate }
            | FaultKind::Garbled { rate }
            | FaultKind::RefusalsTruncated { rate }
            | FaultKind::Endless { rate } => Some(*rate),
            FaultKind::Partial { missing } => Some(*missing),
            FaultKind::Brownout { capacity_left } => Some(*capacity_left),
            _ => None,
        }
    }
}

/// When a connection is reset.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ResetMoment {
    /// Before the call is in.
    Before,
    /// Within the answer.
    Within,
    /// After the answer.
    After,
}

/// Which receivers or forwarders a fault strikes; empty means all.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct FaultScope {
    /// Destinations by name.
    pub destinations: Vec<String>,
    /// Of those, the ones with these numbers in their group, from 0.
    pub numbers: Vec<u32>,
    /// Of their endpoints, the ones with these numbers.
    #[serde(rename = "targets")]
    pub endpoints: Vec<u32>,
    /// Of those, the ones in this zone: endpoints stand in two zones in turn.
    pub zone: Option<u16>,
    /// Of those, so large a part, drawn by chance.
    pub share: Option<f64>,
    /// Forwarders by number, for faults of forwarders.
    pub forwarders: Vec<u32>,
}
