//! The scenario file, in TOML. A scenario describes a fleet of forwarders, its receivers, the load and the faults, for the
//! simulated clock and for sockets alike. An invalid file is reported with its key, line and value, and with what to write
//! instead.
//!
//! The existing scenario files fix the keys. Where a Rust name differs from its key, an explicit `serde(rename)` gives the
//! key. Each part of the file has a module: `fleet` (forwarders, network, rules), `classes`, `destination`, `load` and
//! `fault`. `config` derives the configuration of a forwarder, and `validation` rejects values out of range.

mod classes;
mod config;
mod defaults;
mod destination;
mod error;
mod fault;
mod fleet;
mod load;
mod units;
mod validation;

pub use classes::{DeliveryClass, DeliverySemantics, Tenant};
pub use destination::{Destination, ServiceTime};
pub use error::ScenarioError;
pub use fault::{Fault, FaultKind, FaultScope, ResetMoment};
pub use fleet::{
    ForwarderProcesses, LateConnections, Network, PolledDiscovery, PriorityDecay, RuleSettings,
};
pub use load::{Load, Shape, ShortDeadlines};
pub use units::{ParseSpanError, Span, Spans};

use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The contents of a scenario file.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Version of the file format. Only version 1 exists.
    pub version: u32,
    /// Name of the scenario in reports.
    pub name: String,
    /// One sentence about what the scenario demonstrates, for reports.
    pub shows: String,
    /// How long messages are submitted. The run continues until the last of them has ended.
    pub lasts: Span,
    /// Seed of a run for which no other seed is given.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// Results that a run must reach.
    #[serde(default)]
    pub expect: Expectations,
    /// Number and settings of the forwarders.
    #[serde(default)]
    pub forwarders: ForwarderProcesses,
    /// Delays, connection set-up and delivery of the endpoint list.
    #[serde(default)]
    pub network: Network,
    /// Parameters of the platform's rules.
    #[serde(default)]
    pub rules: RuleSettings,
    /// Delivery classes of the messages; one default class where the file defines none.
    #[serde(default = "defaults::classes", rename = "profiles")]
    pub classes: Vec<DeliveryClass>,
    /// Tenants with their quotas.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Groups of destinations with equal settings; at least one.
    pub destinations: Vec<Destination>,
    /// Streams of messages; at least one.
    pub loads: Vec<Load>,
    /// Faults, each with its start and duration. They may overlap.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// The results that a run of the unmodified forwarder must reach. Shares are from 0 to 1, each given as minimum and maximum.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Expectations {
    /// Share of the due messages that were served in time.
    pub served: Option<[f64; 2]>,
    /// Share of the due messages that were served by their first attempt.
    #[serde(rename = "first_trip")]
    pub first_attempt: Option<[f64; 2]>,
    /// Upper bound on the 99th percentile of the latency, counted from when a message is due until it is served.
    pub p99: Option<Span>,
    /// Upper bound on the same percentile on sockets, where noise of the host adds to the latency. Defaults to `p99`.
    pub p99_sockets: Option<Span>,
    /// Upper bound on the number of calls sent per due message.
    #[serde(rename = "calls_a_packet")]
    pub calls_per_message: Option<f64>,
}

impl Scenario {
    /// Reads a scenario file and resolves the paths of replay files relative to its directory. Fails if the file can't be
    /// read, is not a valid scenario, or holds a value out of range.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ScenarioError {
            file: file.clone(),
            line: None,
            key: String::new(),
            problem: format!(
                "cannot be read: {error}; name a scenario file, such as one of lab/scenarios"
            ),
        })?;
        let mut scenario = Scenario::read(&text, &file)?;
        let directory = path.parent().unwrap_or(Path::new("."));
        for load in &mut scenario.loads {
            if let Shape::Replay { file: replay_file } = &mut load.shape {
                *replay_file = directory.join(&replay_file);
            }
        }
        Ok(scenario)
    }

    /// Parses and validates a scenario. `file` is the name that errors give.
    pub fn read(text: &str, file: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)
            .map_err(|error| ScenarioError::from_toml_error(&error, text, file))?;
        match scenario.first_invalid_value() {
            None => Ok(scenario),
            Some(invalid) => Err(ScenarioError::from_invalid_value(invalid, text, file)),
        }
    }

    /// Returns the longest time to live of all delivery classes, in µs: the bound on how long a message can outlast the
    /// load.
    pub fn max_time_to_live(&self) -> Micros {
        let times = self.classes.iter().map(|class| class.time_to_live.0);
        times.max().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
