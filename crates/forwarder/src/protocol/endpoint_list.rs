//! The endpoint list of the platform: complete, or the changes since a revision.

use compact_str::CompactString;
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use opalpulley_config::{Names, MICROS_PER_MILLI};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;

const LIST_PATH: &str = "/discovery/hosts";

/// A list as the platform sends it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointListDocument {
    /// Counts the platform's changes.
    #[serde(rename = "revision")]
    pub revision: u64,
    /// Whether `members` are all endpoints. Else they are those that have changed.
    #[serde(rename = "complete")]
    pub complete: bool,
    /// The endpoints.
    #[serde(rename = "members", default)]
    pub members: Vec<Member>,
}

/// One endpoint of the list. Short texts lie in the value itself: a list of a hundred thousand takes no allocation for each.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Member {
    /// The platform's name of the process at the address.
    #[serde(rename = "id")]
    pub id: CompactString,
    /// Where it listens.
    #[serde(rename = "host_port")]
    pub address: SocketAddrV4,
    /// The name of its zone.
    #[serde(rename = "locality", default)]
    pub zone_name: CompactString,
    /// The name of its kind of endpoint.
    #[serde(rename = "flavor", default)]
    pub kind_name: CompactString,
    /// The number of its destination.
    #[serde(rename = "cell")]
    pub destination: u32,
    /// Whether it takes requests.
    #[serde(rename = "phase")]
    pub phase: Phase,
    /// The rate that the platform lists for it, calls per second. 0 where it lists none.
    #[serde(rename = "size", default)]
    pub listed_rate: f32,
    /// When it started, ms since the Unix epoch.
    #[serde(rename = "up_since_ms", default)]
    pub up_since_ms: u64,
}

/// How an endpoint stands, in the platform's words.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub enum Phase {
    /// It takes requests.
    #[serde(rename = "Ready")]
    Ready,
    /// It finishes what it has and gets nothing new.
    #[serde(rename = "Terminating")]
    Terminating,
    /// It has ended.
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
    /// The endpoint, with this incarnation.
    pub fn endpoint(&self, incarnation: u32) -> EndpointId {
        EndpointId {
            address: self.address.ip().octets(),
            port: self.address.port(),
            incarnation,
        }
    }

    /// The entry for the decision core. A zone or kind without a name in the settings counts as the last one.
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

fn index_or_last(names: &[String], name: &str) -> u16 {
    let last = names.len().saturating_sub(1);
    let index = names.iter().position(|known| known == name);
    index.unwrap_or(last) as u16
}

/// The path of the complete list, or of a watch: the changes after a revision, for which the platform waits so long.
pub fn list_path(watch: Option<(u64, Duration)>) -> String {
    match watch {
        None => LIST_PATH.to_owned(),
        Some((revision, wait)) => {
            format!("{LIST_PATH}?index={revision}&wait={}", wait.as_millis())
        }
    }
}
