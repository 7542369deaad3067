//! The startup configuration. The environment and the configuration file are read and validated here and nowhere else,
//! and defaults are applied here. The operators' settings are the exception: see `opalpulley_config`.

mod client_memory;
mod descriptors;
mod file;

pub use client_memory::ClientMemory;

use crate::protocol::EndpointListDocument;
use descriptors::DescriptorAllocation;
use file::File;
use opalpulley::{Config, OrderRelease};
use opalpulley_config::ForwarderSettings;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const DEFAULT_NAME: &str = "forwarder";
const HEX_RADIX: u32 = 16;

/// The configuration with which a forwarder starts.
pub struct StartupConfig {
    /// Name of the forwarder in the log.
    pub name: String,
    /// Address at which the forwarder listens to clients.
    pub listen: SocketAddr,
    /// Address of the platform's agent.
    pub discovery: SocketAddr,
    /// Address of the platform's agent in the file. A reload uses it even if `GW_DISCOVERY` is set, because only the
    /// file can change while the process runs.
    pub discovery_in_file: Option<SocketAddr>,
    /// Directory of the journal.
    pub state_dir: PathBuf,
    /// Seed of the decision core's random numbers.
    pub seed: u64,
    /// Upper bound on the size of the journal, in bytes.
    pub journal_bytes: u64,
    /// Upper bound on the number of open client connections.
    pub max_client_connections: usize,
    /// Memory of the client connections.
    pub client_memory: ClientMemory,
    /// Upper bound on the number of connections to endpoints whose response body is still read after the end of their
    /// attempt.
    pub max_body_connections: usize,
    /// Addresses for gossip with the other forwarders.
    pub gossip_peers: GossipPeers,
    /// An endpoint list from before the start.
    pub cached_list: Option<EndpointListDocument>,
    /// The operators' settings.
    pub settings: ForwarderSettings,
}

/// Addresses for gossip with the other forwarders.
#[derive(Default)]
pub struct GossipPeers {
    /// Address at which this forwarder receives gossip. `None`: it neither sends nor receives gossip.
    pub listen: Option<SocketAddr>,
    /// Address of each forwarder, indexed by its number.
    pub addresses: Vec<SocketAddr>,
    /// Address that reaches all forwarders at once.
    pub broadcast: Option<SocketAddr>,
}

/// A variable or key that cannot be used, and the reason. `Display` is one line.
#[derive(Debug)]
pub struct ConfigError {
    /// Name of the variable, followed by the path of the key if the file is at fault.
    pub key: String,
    /// The reason why the value cannot be used.
    pub reason: String,
}

impl ConfigError {
    fn new(key: impl Into<String>, reason: impl fmt::Display) -> ConfigError {
        ConfigError {
            key: key.into(),
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for ConfigError {}

/// The keys that a reload compares with those in force, in order to log that a change takes effect only at the next
/// start.
///
/// The name, the seed, the state directory, the gossip peers and the cached list are not compared. Neither is
/// `discovery`, because it takes effect at once.
#[derive(Clone, PartialEq)]
pub struct ComparedConfig {
    listen: SocketAddr,
    journal_bytes: u64,
    max_client_connections: usize,
    client_memory: ClientMemory,
    max_body_connections: usize,
    settings: ForwarderSettings,
}

impl StartupConfig {
    /// Returns the keys that a reload compares.
    pub fn compared(&self) -> ComparedConfig {
        ComparedConfig {
            listen: self.listen,
            journal_bytes: self.journal_bytes,
            max_client_connections: self.max_client_connections,
            client_memory: self.client_memory,
            max_body_connections: self.max_body_connections,
            settings: self.settings.clone(),
        }
    }

    /// Reads the file that `GW_CONFIG` names, and the other variables. An empty variable counts as unset. Fails as
    /// [`StartupConfig::parse`] does, or if the file cannot be read.
    pub fn from_env() -> Result<StartupConfig, ConfigError> {
        let variable = |key: &str| std::env::var(key).ok().filter(|value| !value.is_empty());
        let path =
            variable("GW_CONFIG").ok_or_else(|| ConfigError::new("GW_CONFIG", "is not set"))?;
        let text = std::fs::read(&path)
            .map_err(|e| ConfigError::new("GW_CONFIG", format!("{path}: {e}")))?;
        StartupConfig::parse(&text, variable)
    }

    /// Parses the text of the file. A variable takes precedence over the key of the file that has the same meaning.
    /// Fails if a variable or key is missing or cannot be used.
    pub fn parse(
        text: &[u8],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<StartupConfig, ConfigError> {
        let file = File::parse(text)?;
        let discovery_in_file = file.discovery_address()?;
        let descriptors = file.limits.descriptors()?;
        let journal_bytes = file.limits.journal_bytes()?;
        let memory_bytes = file.limits.memory_bytes();
        let gossip_peers = GossipPeers {
            listen: file.gossip_listen,
            addresses: file.gossip_peers,
            broadcast: file.gossip_broadcast,
        };
        let mut settings = ForwarderSettings::try_from(file.settings)
            .map_err(|e| ConfigError::new("GW_CONFIG settings", e))?;
        let allocation = DescriptorAllocation::new(descriptors, settings.config.concurrency_limit);
        settings.config.concurrency_limit = allocation.concurrency_limit;
        apply_protocol_constraints(&mut settings.config, &gossip_peers);
        let state_dir = check_state_dir(variable("GW_STATE"))?;
        let name = variable("GW_NAME").or(file.name);
        Ok(StartupConfig {
            name: name.unwrap_or_else(|| DEFAULT_NAME.into()),
            listen: parse_address("GW_LISTEN", "listen", variable("GW_LISTEN").or(file.listen))?,
            discovery: parse_address(
                "GW_DISCOVERY",
                "discovery",
                variable("GW_DISCOVERY").or(file.discovery),
            )?,
            discovery_in_file,
            state_dir,
            seed: parse_seed(&file.seed)?,
            journal_bytes,
            max_client_connections: allocation.client_connections,
            client_memory: ClientMemory::new(memory_bytes, allocation.client_connections),
            max_body_connections: allocation.body_connections,
            gossip_peers,
            cached_list: file.cached_list,
            settings,
        })
    }
}

/// Sets the values that the protocol on sockets prescribes, whatever the settings contain.
fn apply_protocol_constraints(config: &mut Config, gossip_peers: &GossipPeers) {
    // A request to an endpoint carries one message.
    for kind in &mut config.endpoint_kinds {
        kind.max_batch_size = 1;
    }
    // A completion report and an attempt use different connections, and either may overtake the other.
    config.order_release = OrderRelease::OnAcknowledgement;
    // Gossip needs an address to listen on as well as the addresses of the peers.
    let can_gossip = gossip_peers.listen.is_some()
        && !gossip_peers.addresses.is_empty()
        && gossip_peers.broadcast.is_some();
    config.may_gossip &= can_gossip;
}

/// Returns the state directory. Fails if it is unset or not a directory.
fn check_state_dir(path: Option<String>) -> Result<PathBuf, ConfigError> {
    let path = path.ok_or_else(|| ConfigError::new("GW_STATE", "is not set"))?;
    if !Path::new(&path).is_dir() {
        return Err(ConfigError::new("GW_STATE", format!("{path} is no folder")));
    }
    Ok(path.into())
}

/// Parses an address. `value` is that of `variable`, or otherwise that of `key` in the file.
fn parse_address(
    variable: &str,
    key: &str,
    value: Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let value =
        value.ok_or_else(|| ConfigError::new(variable, format!("is not set, nor is {key}")))?;
    value
        .parse()
        .map_err(|e| ConfigError::new(variable, format!("{value}: {e}")))
}

/// Parses a seed in hexadecimal digits.
fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    if text.is_empty() {
        return Err(ConfigError::new("GW_CONFIG seed", "is not set"));
    }
    u64::from_str_radix(text, HEX_RADIX)
        .map_err(|e| ConfigError::new("GW_CONFIG seed", format!("{text}: {e}")))
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
