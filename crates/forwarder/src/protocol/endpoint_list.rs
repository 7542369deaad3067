//! The endpoint list of the platform: the complete list, or the changes since a revision.

use compact_str::CompactString;
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use opalpulley_config::{Names, MICROS_PER_MILLI};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;

const LIST_PATH: &str = "/discovery/hosts";

/// An endpoint list as the platform sends it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointListDocument {
    /// Number of the platform's latest change that the list contains.
    #[serde(rename = "revision")]
    pub revision: u64,
    /// Whether `members` contains all endpoints. Otherwise it contains those that have changed.
    #[serde(rename = "complete")]
    pub complete: bool,
    /// The listed endpoints.
    #[serde(rename = "members", default)]
    pub members: Vec<Member>,
}

/// One endpoint of the list. Short strings are stored inline, so that a list of a hundred thousand endpoints needs no
/// allocation for each.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Member {
    /// The platform's name of the process at the address.
    #[serde(rename = "id")]
    pub id: CompactString,
    /// Address at which the endpoint listens.
    #[serde(rename = "host_port")]
    pub address: SocketAddrV4,
    /// Name of the zone.
    #[serde(rename = "locality", default)]
    pub zone_name: CompactString,
    /// Name of the endpoint kind.
    #[serde(rename = "flavor", default)]
    pub kind_name: CompactString,
    /// Number of the destination.
    #[serde(rename = "cell")]
    pub destination: u32,
    /// Whether the endpoint takes requests.
    #[serde(rename = "phase")]
    pub phase: Phase,
    /// Rate that the platform lists for the endpoint, in calls per second. 0 if it lists none.
    #[serde(rename = "size", default)]
    pub listed_rate: f32,
    /// Time at which the endpoint started, in ms since the Unix epoch.
    #[serde(rename = "up_since_ms", default)]
    pub up_since_ms: u64,
}

/// Phase of an endpoint, as the platform names it.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub enum Phase {
    /// The endpoint takes requests.
    #[serde(rename = "Ready")]
    Ready,
    /// The endpoint finishes the requests that it has and gets no new ones.
    #[serde(rename = "Terminating")]
    Terminating,
    /// The endpoint has ended.
    #[serde(rename = "Gone")]
    Gone,
}

impl Phase {
    fn endpoint_status(self) -> EndpointStatus {
        match self {
            Phase::Ready => EndpointStatus::Ready,
            Phase::Terminating => EndpointStatus::Draining,
            Phase::Gone => EndpointStatus::Removed,
        }
    }
}

impl Member {
    /// Returns the id of the endpoint with the given incarnation.
    pub fn endpoint(&self, incarnation: u32) -> EndpointId {
        EndpointId {
            address: self.address.ip().octets(),
            port: self.address.port(),
            incarnation,
        }
    }

    /// Converts the member to an entry for the decision core. A zone or kind whose name is not in the settings counts
    /// as the last one.
    pub fn to_entry(&self, incarnation: u32, names: &Names) -> EndpointEntry {
        EndpointEntry {
            endpoint: self.endpoint(incarnation),
            zone: ZoneId(index_or_last(&names.zones, &self.zone_name)),
            up_since: self.up_since_ms.saturating_mul(MICROS_PER_MILLI),
            status: self.phase.endpoint_status(),
            rate: self.listed_rate,
            destination: DestinationId(self.destination),
            kind: EndpointKindId(index_or_last(&names.endpoint_kinds, &self.kind_name)),
        }
    }
}

/// Returns the index of a name, or the last index if the name is unknown.
fn index_or_last(names: &[String], name: &str) -> u16 {
    let last = names.len().saturating_sub(1);
    let index = names.iter().position(|known| known == name);
    index.unwrap_or(last) as u16
}

/// Returns the path of the complete list, or of a watch. A watch is for the changes after a revision; the platform
/// waits for a change for the given time at most.
pub fn list_path(watch: Option<(u64, Duration)>) -> String {
    match watch {
        None => LIST_PATH.to_owned(),
        Some((revision, wait)) => {
            format!("{LIST_PATH}?index={revision}&wait={}", wait.as_millis())
        }
    }
}
