//! The forwarders of a scenario, the network between them and the receivers, and the figures of the platform's rules.

use super::Span;
use serde::{Deserialize, Serialize};

/// The forwarder processes of the scenario, all with the same settings.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ForwarderProcesses {
    /// How many there are.
    pub count: u32,
    /// Calls that one has in flight at once.
    #[serde(rename = "slots")]
    pub concurrency_limit: u32,
    /// Messages that one holds at once.
    #[serde(rename = "room")]
    pub message_capacity: u32,
    /// Attempts of a message at most.
    #[serde(rename = "trips")]
    pub max_attempts: u32,
    /// They may send health checks.
    #[serde(rename = "may_probe")]
    pub may_health_check: bool,
    /// They may cancel attempts.
    #[serde(rename = "may_call_off")]
    pub may_cancel: bool,
    /// They may send a retry-after time with a rejection.
    #[serde(rename = "may_say_when")]
    pub may_send_retry_after: bool,
    /// They may gossip with each other (simulated clock only).
    #[serde(rename = "may_tell")]
    pub may_gossip: bool,
    /// The longest retry-after time that clients follow.
    #[serde(rename = "longest_return")]
    pub max_retry_after: Span,
    /// How a message's priority falls after its latency objective.
    #[serde(rename = "fading")]
    pub priority_decay: PriorityDecay,
    /// The clocks differ by so much at most, drawn once for each (simulated clock only).
    #[serde(rename = "clocks_differ")]
    pub max_clock_skew: Span,
    /// The folder of one on sockets, in megabytes.
    pub disk_mb: f64,
}

impl Default for ForwarderProcesses {
    fn default() -> ForwarderProcesses {
        ForwarderProcesses {
            count: 1,
            concurrency_limit: 64,
            message_capacity: 2000,
            max_attempts: 8,
            may_health_check: true,
            may_cancel: true,
            may_send_retry_after: true,
            may_gossip: false,
            max_retry_after: Span(2_000_000),
            priority_decay: PriorityDecay::Exponential,
            max_clock_skew: Span(0),
            disk_mb: 64.0,
        }
    }
}

/// How a message's priority falls after its latency objective.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub enum PriorityDecay {
    /// In a straight line until the deadline.
    #[serde(rename = "evenly")]
    Linear,
    /// By half for each latency objective that passes.
    #[default]
    #[serde(rename = "halving")]
    Exponential,
}

/// Delays, connections and the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way.
    pub delay: Span,
    /// A list update comes late by so much at most, by chance for each forwarder.
    pub list_lag: Span,
    /// A connection that takes longer to come up counts as none.
    #[serde(rename = "connect_within")]
    pub connect_timeout: Span,
    /// Some new connections come up late.
    #[serde(rename = "late")]
    pub late_connections: Option<LateConnections>,
    /// Forwarders poll the list; left out, discovery sends it by itself (simulated clock only).
    #[serde(rename = "asked")]
    pub polled_discovery: Option<PolledDiscovery>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            delay: Span(300),
            list_lag: Span(200_000),
            connect_timeout: Span(1_000_000),
            late_connections: None,
            polled_discovery: None,
        }
    }
}

/// Connections that come up late, each by an even chance of up to `most`. On sockets they come up a second later, or as the
/// kernel tries again, so that the connect timeout has to be longer than that.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LateConnections {
    /// The part of the new connections.
    pub share: f64,
    /// The longest delay.
    pub most: Span,
}

/// A discovery that is polled: it answers one poll after the other.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PolledDiscovery {
    /// The rules want a poll from each forwarder within this time.
    #[serde(rename = "within")]
    pub poll_interval: Span,
    /// Discovery's own time for one poll.
    #[serde(rename = "call")]
    pub poll_service_time: Span,
    /// A poll that waits for longer has failed; discovery still spends its time on it.
    #[serde(rename = "patience")]
    pub poll_timeout: Span,
    /// A poll that would wait for longer is rejected at once.
    #[serde(rename = "turned_away")]
    pub max_queue_wait: Span,
}

/// The figures of the platform's rules: forwarders are configured with them, receivers and oracle apply them.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSettings {
    /// A final answer may come so long after the deadline.
    pub answer_slack: Span,
    /// Calls may still go to a draining endpoint for so long.
    pub drain_grace: Span,
    /// The part of its capacity that an endpoint has as it comes back.
    #[serde(rename = "cold_from")]
    pub cold_capacity_share: f64,
    /// An endpoint that came back has its whole capacity after so long.
    #[serde(rename = "warm_after")]
    pub warm_up_time: Span,
    /// An endpoint that warms up falls over at so many times its capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The time over which its calls are counted for that.
    #[serde(rename = "overload_for")]
    pub overload_window: Span,
    /// The pause between two messages of a key where the first may still take effect.
    #[serde(rename = "order_pause")]
    pub order_settle_time: Span,
}

impl Default for RuleSettings {
    fn default() -> RuleSettings {
        RuleSettings {
            answer_slack: Span(20_000),
            drain_grace: Span(500_000),
            cold_capacity_share: 0.2,
            warm_up_time: Span(10_000_000),
            overload_multiple: 2.0,
            overload_window: Span(2_000_000),
            order_settle_time: Span(300_000),
        }
    }
}
