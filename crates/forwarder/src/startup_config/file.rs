//! The configuration file: JSON. Unknown keys are skipped.

use super::descriptors::MIN_DESCRIPTORS;
use super::ConfigError;
use crate::protocol::EndpointListDocument;
use opalpulley_config::StartObject;
use serde::Deserialize;
use std::net::SocketAddr;

/// The platform's usual limit on descriptors.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// The platform's usual limit on the state directory, MB.
const DEFAULT_DISK_MB: f64 = 3.0;
/// The platform's usual limit on memory, MB.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// The share of the memory for the journal at most: its files count, and messages are in memory beside them.
const JOURNAL_MEMORY_SHARE: f64 = 0.25;
/// The smallest journal, MB. A smaller one can't hold two messages of full size.
const MIN_DISK_MB: f64 = 0.1;
const BYTES_PER_MB: f64 = 1e6;

/// The file as it is written. serde writes the name of a struct into its error messages, so that renaming `File` changes
/// error texts.
#[derive(Deserialize)]
pub struct File {
    #[serde(rename = "name")]
    pub name: Option<String>,
    #[serde(rename = "listen")]
    pub listen: Option<String>,
    #[serde(rename = "discovery")]
    pub discovery: Option<String>,
    #[serde(rename = "seed", default)]
    pub seed: String,
    #[serde(rename = "limits", default)]
    pub limits: Limits,
    #[serde(rename = "peer_listen")]
    pub gossip_listen: Option<SocketAddr>,
    #[serde(rename = "peers", default)]
    pub gossip_peers: Vec<SocketAddr>,
    #[serde(rename = "peers_all")]
    pub gossip_broadcast: Option<SocketAddr>,
    #[serde(rename = "known")]
    pub cached_list: Option<EndpointListDocument>,
    #[serde(rename = "settings")]
    pub settings: StartObject,
}

/// What the platform allows the process.
#[derive(Deserialize, Default)]
pub struct Limits {
    #[serde(rename = "sockets")]
    descriptors: Option<usize>,
    #[serde(rename = "disk_mb")]
    disk_mb: Option<f64>,
    #[serde(rename = "memory_mb")]
    memory_mb: Option<f64>,
}

impl File {
    /// Parses the text of a file. An error names the path of its key.
    pub fn parse(text: &[u8]) -> Result<File, ConfigError> {
        let text = &mut serde_json::Deserializer::from_slice(text);
        serde_path_to_error::deserialize(text)
            .map_err(|e| ConfigError::new(format!("GW_CONFIG {}", e.path()), e.inner()))
    }

    /// The platform's address, if the file has one.
    pub fn discovery_address(&self) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = &self.discovery else {
            return Ok(None);
        };
        match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(e) => Err(ConfigError::new(
                "GW_CONFIG discovery",
                format!("{text}: {e}"),
            )),
        }
    }
}

impl Limits {
    /// The descriptors of the process, at least `MIN_DESCRIPTORS`.
    pub fn descriptors(&self) -> Result<usize, ConfigError> {
        let descriptors = self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        if descriptors < MIN_DESCRIPTORS {
            return Err(ConfigError::new(
                "GW_CONFIG limits.sockets",
                format!("{descriptors} are too few, {MIN_DESCRIPTORS} needed"),
            ));
        }
        Ok(descriptors)
    }

    /// The longest journal, bytes: what the disk allows, and no more than its share of the memory.
    pub fn journal_bytes(&self) -> Result<u64, ConfigError> {
        let disk_mb = self.disk_mb.unwrap_or(DEFAULT_DISK_MB);
        if !(disk_mb >= MIN_DISK_MB && disk_mb.is_finite()) {
            return Err(ConfigError::new(
                "GW_CONFIG limits.disk_mb",
                format!("{disk_mb} is under {MIN_DISK_MB}"),
            ));
        }
        let memory_mb = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let journal_mb = disk_mb.min(JOURNAL_MEMORY_SHARE * memory_mb);
        if journal_mb < MIN_DISK_MB {
            return Err(ConfigError::new(
                "GW_CONFIG limits.memory_mb",
                format!("{memory_mb} is too little"),
            ));
        }
        Ok((journal_mb * BYTES_PER_MB) as u64)
    }
}
