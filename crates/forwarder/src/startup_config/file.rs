//! The configuration file, in JSON. Unknown keys are ignored.

use super::descriptors::MIN_DESCRIPTORS;
use super::ConfigError;
use crate::protocol::EndpointListDocument;
use opalpulley_config::StartObject;
use serde::Deserialize;
use std::net::SocketAddr;

/// The platform's usual limit on file descriptors.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// The platform's usual limit on the size of the state directory, in MB.
const DEFAULT_DISK_MB: f64 = 3.0;
/// The platform's usual limit on memory, in MB.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Upper bound on the share of the memory limit that the journal may use. Its files count as memory, and the messages
/// are in memory as well.
const JOURNAL_MEMORY_SHARE: f64 = 0.25;
/// Lower bound on the size of the journal, in MB. A smaller journal cannot hold two messages of maximum size.
const MIN_DISK_MB: f64 = 0.1;
const BYTES_PER_MB: f64 = 1e6;

/// The configuration file as it is written. serde writes the name of a struct into its error messages, so renaming
/// `File` would change error texts.
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

/// The platform's limits on the process. An absent limit has its default.
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
    /// Parses the text of a file. An error names the path of the key that cannot be used.
    pub fn parse(text: &[u8]) -> Result<File, ConfigError> {
        let text = &mut serde_json::Deserializer::from_slice(text);
        serde_path_to_error::deserialize(text)
            .map_err(|e| ConfigError::new(format!("GW_CONFIG {}", e.path()), e.inner()))
    }

    /// Returns the address of the platform's agent, if the file has one. Fails if it cannot be parsed.
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
    /// Returns the limit on file descriptors. Fails if it is below [`MIN_DESCRIPTORS`].
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

    /// Returns the upper bound on the size of the journal, in bytes: the limit on the disk, but at most the share of
    /// the memory limit. Fails if the bound is below [`MIN_DISK_MB`] or the limit on the disk is not finite.
    pub fn journal_bytes(&self) -> Result<u64, ConfigError> {
        let disk_mb = self.disk_mb.unwrap_or(DEFAULT_DISK_MB);
        if !(disk_mb >= MIN_DISK_MB && disk_mb.is_finite()) {
            return Err(ConfigError::new(
                "GW_CONFIG limits.disk_mb",
                format!("{disk_mb} is under {MIN_DISK_MB}"),
            ));
        }
        let memory_mb = self.memory_mb();
        let journal_mb = disk_mb.min(JOURNAL_MEMORY_SHARE * memory_mb);
        if journal_mb < MIN_DISK_MB {
            return Err(ConfigError::new(
                "GW_CONFIG limits.memory_mb",
                format!("{memory_mb} is too little"),
            ));
        }
        Ok((journal_mb * BYTES_PER_MB) as u64)
    }

    /// Returns the limit on memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        (self.memory_mb() * BYTES_PER_MB) as usize
    }

    fn memory_mb(&self) -> f64 {
        self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB)
    }
}
