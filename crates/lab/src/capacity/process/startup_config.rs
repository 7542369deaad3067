//! The start-up configuration of the measured forwarder.

use super::load::DELIVERY_CLASS;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// The parameters of the start-up configuration of a forwarder, without its addresses and endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct StartupOptions {
    /// Seed of the forwarder's random number generator.
    pub seed: u64,
    /// Number of forwarders in the fleet.
    pub forwarders: u32,
    /// Memory limit, in MB.
    pub memory_mb: f64,
    /// Disk limit, in MB.
    pub disk_mb: f64,
    /// Limit of open descriptors.
    pub descriptors: u32,
    /// Limit of messages that the forwarder holds at once.
    pub max_messages: u32,
    /// Upper bound on the time to live of a message.
    pub time_to_live: Duration,
}

impl Default for StartupOptions {
    /// Returns the values of the operators' deployment.
    fn default() -> StartupOptions {
        StartupOptions {
            seed: 1,
            forwarders: 400,
            memory_mb: 192.0,
            disk_mb: 16.0,
            descriptors: 256,
            max_messages: 4_000,
            time_to_live: Duration::from_secs(28),
        }
    }
}

/// Returns the start-up configuration in the format that the platform's deployment writes. `known` is the endpoint list
/// that the forwarder starts with; without it, the forwarder gets its list from discovery.
pub fn startup_config(
    options: &StartupOptions,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Option<Value>,
) -> Value {
    let mut config = json!({
        "name": "n0", "seed": format!("{:016x}", options.seed),
        "listen": listen.to_string(), "discovery": discovery.to_string(),
        "limits": {"memory_mb": options.memory_mb, "sockets": options.descriptors, "disk_mb": options.disk_mb},
        "settings": {
            "Azs": ["a"], "Balancers": options.forwarders, "Me": 0, "HostTypes": ["m"], "QuantumUs": 5000,
            "Weights": "nominal",
            "Domain": {"Fades": "halving", "Workers": 200, "PerCall": [1], "RoutesApart": [false]},
            "Limits": {"Cancelling": true, "ConnIdleUs": 5_000_000, "ConnectTimeoutUs": 1_000_000, "MaxAttempts": 6,
                "MaxOpen": options.max_messages, "MaxRetryAfterUs": 2_000_000, "Probing": true, "RetryAfter": true},
            "Profiles": [{"Name": DELIVERY_CLASS, "Effect": "free", "DedupWindowUs": 15_000_000, "GoalTimeUs": 2_500_000,
                "HardLimitUs": options.time_to_live.as_micros() as u64, "LateShare": 0.5, "Points": 1.0}],
            "Rules": {"AnswerSlackUs": 20_000, "ColdFrom": 0.2, "DrainGraceUs": 500_000, "FallMultiple": 2.0,
                "OverloadForUs": 2_000_000, "WarmAfterUs": 10_000_000}
        }
    });
    if let Some(known) = known {
        config["known"] = known;
    }
    config
}
