//! The start-up configuration: environment and configuration file, read, checked and given defaults here and nowhere else.

use crate::protocol::EndpointListDocument;
use opalpulley::OrderRelease;
use opalpulley_config::{ForwarderSettings, StartObject};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

const DEFAULT_SOCKETS: usize = 1024; // descriptors, the platform's usual limit
const DEFAULT_DISK_MB: f64 = 3.0; // the platform's usual folder
const DEFAULT_MEMORY_MB: f64 = 192.0; // the platform's usual limit
const JOURNAL_PART: f64 = 0.25; // of the memory, for the journal at most: its files count, and messages are held beside
const LEAST_DISK_MB: f64 = 0.1; // under this no message of full size fits twice
const OWN_SOCKETS: usize = 24; // descriptors: the program holds 14 itself; health checks and opened files come and go
const SLOT_PART: usize = 2; // one descriptor in so many of the others goes to slots at most
const IDLE_PART: usize = 3; // one in so many of what is left to idle connections to endpoints, the others to clients
const FEWEST_SOCKETS: usize = 40; // under this hardly a client and an endpoint fit beside the program itself

pub struct StartupConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// What the file says of it, whatever the variable: the file alone can change while the process runs.
    pub discovery_in_file: Option<SocketAddr>,
    pub state: PathBuf,
    pub seed: u64,
    pub disk: u64,
    pub client_sockets: usize,
    /// Connections to endpoints that may stand idle, beside one for each slot.
    pub idle_sockets: usize,
    pub gossip_peers: GossipPeers,
    pub known: Option<EndpointListDocument>,
    pub settings: ForwarderSettings,
}

#[derive(Default)]
pub struct GossipPeers {
    pub listen: Option<SocketAddr>,
    pub each: Vec<SocketAddr>,
    pub all: Option<SocketAddr>,
}

/// What is wrong, and at which key.
#[derive(Debug)]
pub struct ConfigError {
    pub key: String,
    pub problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

fn bad(key: impl Into<String>, problem: impl fmt::Display) -> ConfigError {
    ConfigError {
        key: key.into(),
        problem: problem.to_string(),
    }
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<EndpointListDocument>,
    settings: StartObject,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    disk_mb: Option<f64>,
    memory_mb: Option<f64>,
}

/// What can't change while the process runs.
#[derive(Clone, PartialEq)]
pub struct FixedConfig {
    listen: SocketAddr,
    disk: u64,
    sockets: [usize; 2],
    settings: ForwarderSettings,
}

impl StartupConfig {
    pub fn fixed(&self) -> FixedConfig {
        FixedConfig {
            listen: self.listen,
            disk: self.disk,
            sockets: [self.client_sockets, self.idle_sockets],
            settings: self.settings.clone(),
        }
    }

    pub fn from_env() -> Result<StartupConfig, ConfigError> {
        let var = |key: &str| std::env::var(key).ok().filter(|v| !v.is_empty());
        let path = var("GW_CONFIG").ok_or_else(|| bad("GW_CONFIG", "is not set"))?;
        let text = std::fs::read(&path).map_err(|e| bad("GW_CONFIG", format!("{path}: {e}")))?;
        StartupConfig::parse(&text, var)
    }

    /// A variable goes before the key of the file that says the same.
    pub fn parse(
        text: &[u8],
        var: impl Fn(&str) -> Option<String>,
    ) -> Result<StartupConfig, ConfigError> {
        let text = &mut serde_json::Deserializer::from_slice(text);
        let file: File = serde_path_to_error::deserialize(text)
            .map_err(|e| bad(format!("GW_CONFIG {}", e.path()), e.inner()))?;
        let address = |key: &str, name: &str, other: Option<String>| {
            let value = var(key)
                .or(other)
                .ok_or_else(|| bad(key, format!("is not set, nor is {name}")))?;
            value
                .parse::<SocketAddr>()
                .map_err(|e| bad(key, format!("{value}: {e}")))
        };
        let discovery_in_file = file
            .discovery
            .as_deref()
            .map(|value| {
                value
                    .parse()
                    .map_err(|e| bad("GW_CONFIG discovery", format!("{value}: {e}")))
            })
            .transpose()?;
        let sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < FEWEST_SOCKETS {
            return Err(bad(
                "GW_CONFIG limits.sockets",
                format!("{sockets} are too few, {FEWEST_SOCKETS} needed"),
            ));
        }
        let disk_mb = file.limits.disk_mb.unwrap_or(DEFAULT_DISK_MB);
        if !(disk_mb >= LEAST_DISK_MB && disk_mb.is_finite()) {
            return Err(bad(
                "GW_CONFIG limits.disk_mb",
                format!("{disk_mb} is under {LEAST_DISK_MB}"),
            ));
        }
        let memory_mb = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let disk_mb = disk_mb.min(JOURNAL_PART * memory_mb);
        if disk_mb < LEAST_DISK_MB {
            return Err(bad(
                "GW_CONFIG limits.memory_mb",
                format!("{memory_mb} is too little"),
            ));
        }
        let seed = if file.seed.is_empty() {
            Err(bad("GW_CONFIG seed", "is not set"))
        } else {
            u64::from_str_radix(&file.seed, 16)
                .map_err(|e| bad("GW_CONFIG seed", format!("{}: {e}", file.seed)))
        };
        let mut settings =
            ForwarderSettings::try_from(file.settings).map_err(|e| bad("GW_CONFIG settings", e))?;
        // No call may lack a descriptor: the core is told of no more slots than there are.
        let room = sockets - OWN_SOCKETS;
        settings.config.concurrency_limit = settings
            .config
            .concurrency_limit
            .min((room / SLOT_PART) as u32);
        let rest = room - settings.config.concurrency_limit as usize;
        // The protocol on sockets carries one message in a call.
        settings
            .config
            .endpoint_kinds
            .iter_mut()
            .for_each(|k| k.batch_size = 1);
        // A completion report and a call go on connections of their own.
        settings.config.order_release = OrderRelease::OnAcknowledgement;
        // Nothing can be told where nobody listens.
        let (gossip_peers, all) = (
            file.peer_listen.is_some() && !file.peers.is_empty(),
            file.peers_all,
        );
        settings.config.may_gossip &= gossip_peers && all.is_some();
        let state = var("GW_STATE").ok_or_else(|| bad("GW_STATE", "is not set"))?;
        if !std::path::Path::new(&state).is_dir() {
            return Err(bad("GW_STATE", format!("{state} is no folder")));
        }
        Ok(StartupConfig {
            name: var("GW_NAME")
                .or(file.name)
                .unwrap_or_else(|| "forwarder".into()),
            listen: address("GW_LISTEN", "listen", file.listen)?,
            discovery: address("GW_DISCOVERY", "discovery", file.discovery)?,
            discovery_in_file,
            state: state.into(),
            seed: seed?,
            disk: (disk_mb * 1e6) as u64,
            client_sockets: rest - rest / IDLE_PART,
            idle_sockets: rest / IDLE_PART,
            gossip_peers: GossipPeers {
                listen: file.peer_listen,
                each: file.peers,
                all: file.peers_all,
            },
            known: file.known,
            settings,
        })
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
