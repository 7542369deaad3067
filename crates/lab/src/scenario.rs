//! The scenario file: one world, for both clocks. TOML, read by serde. A wrong file is reported with key, line, value and what
//! to write instead.
//!
//! The keys of the file are fixed by the scenarios that exist. Where a Rust name differs from its key, the key is named by an
//! explicit `serde(rename)`. Parts of the file stand in a module each: `fleet` (forwarders, network, rules), `classes`,
//! `destination`, `load` and `fault`; `validation` finds values that no world can have.

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

/// The whole file.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The format's version: 1.
    pub version: u32,
    /// The name of the scenario in reports.
    pub name: String,
    /// One sentence: what it shows.
    pub shows: String,
    /// For how long messages are submitted; the run goes on until the last of them is over.
    pub lasts: Span,
    /// The seed of a run that names none.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// The figures that a run must reach.
    #[serde(default)]
    pub expect: Expectations,
    /// The fleet of forwarders.
    #[serde(default)]
    pub forwarders: ForwarderProcesses,
    /// Delays, connections and the endpoint list.
    #[serde(default)]
    pub network: Network,
    /// The figures of the platform's rules.
    #[serde(default)]
    pub rules: RuleSettings,
    /// Delivery classes.
    #[serde(default = "defaults::classes", rename = "profiles")]
    pub classes: Vec<DeliveryClass>,
    /// Tenants with a quota.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Groups of destinations.
    pub destinations: Vec<Destination>,
    /// Streams of messages.
    pub loads: Vec<Load>,
    /// Faults on their timeline.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// The figures that a run of the true forwarder must reach: shares from 0 to 1, each with its least and most.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Expectations {
    /// Messages that were served in time, of all that were due.
    pub served: Option<[f64; 2]>,
    /// Those served by their first attempt.
    #[serde(rename = "first_trip")]
    pub first_attempt: Option<[f64; 2]>,
    /// 99th percentile of the time from due to served, at most.
    pub p99: Option<Span>,
    /// The same on sockets, where this machine's own noise counts too; `p99` where it is not named.
    pub p99_sockets: Option<Span>,
    /// Calls sent for each message due, at most.
    #[serde(rename = "calls_a_packet")]
    pub calls_per_message: Option<f64>,
}

impl Scenario {
    /// Reads a scenario file; a file of times to replay is found beside it.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ScenarioError {
            file: file.clone(),
            line: None,
            key: String::new(),
            problem: format!(
                "can't be read: {error}; name a scenario file, such as one of lab/scenarios"
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

    /// Reads a scenario from its text; `file` names it in errors.
    pub fn read(text: &str, file: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)
            .map_err(|error| ScenarioError::from_toml_error(&error, text, file))?;
        match scenario.first_invalid_value() {
            None => Ok(scenario),
            Some(invalid) => Err(ScenarioError::from_invalid_value(invalid, text, file)),
        }
    }

    /// The longest time to live: after the load has ended, no message lives longer.
    pub fn max_time_to_live(&self) -> Micros {
        let times = self.classes.iter().map(|class| class.time_to_live.0);
        times.max().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
