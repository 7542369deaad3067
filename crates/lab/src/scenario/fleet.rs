//! The forwarders of a scenario, their network and the parameters of the platform's rules.

use super::Span;
use serde::{Deserialize, Serialize};

/// The forwarder processes of the scenario, all with the same settings.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ForwarderProcesses {
    /// Number of forwarders, from 1 to 1000.
    pub count: u32,
    /// Upper bound on the calls that one forwarder has in flight; at least 1.
    #[serde(rename = "slots")]
    pub concurrency_limit: u32,
    /// Upper bound on the messages that one forwarder holds; at least 1.
    #[serde(rename = "room")]
    pub message_capacity: u32,
    /// Upper bound on the attempts of a message; at least 1.
    #[serde(rename = "trips")]
    pub max_attempts: u32,
    /// Whether forwarders may send health checks.
    #[serde(rename = "may_probe")]
    pub may_health_check: bool,
    /// Whether forwarders may cancel attempts.
    #[serde(rename = "may_call_off")]
    pub may_cancel: bool,
    /// Whether forwarders may send a retry-after time with a rejection.
    #[serde(rename = "may_say_when")]
    pub may_send_retry_after: bool,
    /// Whether forwarders may gossip with each other (simulated clock only).
    #[serde(rename = "may_tell")]
    pub may_gossip: bool,
    /// Upper bound on the retry-after time that clients follow.
    #[serde(rename = "longest_return")]
    pub max_retry_after: Span,
    /// How the priority of a message decays after its latency objective.
    #[serde(rename = "fading")]
    pub priority_decay: PriorityDecay,
    /// Upper bound on the clock skew of a forwarder, which is drawn once per forwarder (simulated clock only).
    #[serde(rename = "clocks_differ")]
    pub max_clock_skew: Span,
    /// Size limit of a forwarder's state folder on sockets, in megabytes; above 0.
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

/// How the priority of a message decays after its latency objective.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub enum PriorityDecay {
    /// Linearly until the deadline.
    #[serde(rename = "evenly")]
    Linear,
    /// By half with each further latency objective that elapses.
    #[default]
    #[serde(rename = "halving")]
    Exponential,
}

/// Delays, connection set-up and delivery of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way delay of the network.
    pub delay: Span,
    /// Upper bound on the extra delay of a list update, which is drawn for each forwarder.
    pub list_lag: Span,
    /// Time after which a connection attempt has failed.
    #[serde(rename = "connect_within")]
    pub connect_timeout: Span,
    /// New connections that are delayed, if any.
    #[serde(rename = "late")]
    pub late_connections: Option<LateConnections>,
    /// Settings of a polled endpoint list (simulated clock only). If omitted, discovery pushes the list.
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

/// New connections that are delayed, each by a time drawn uniformly up to `most`. On sockets they are delayed by a second,
/// or until the kernel retransmits, so the connect timeout must be longer than that delay.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LateConnections {
    /// Share of the new connections that are delayed, from 0 to 1.
    pub share: f64,
    /// Upper bound on the delay; at most the connect timeout.
    pub most: Span,
}

/// Settings of a discovery service that is polled and serves one poll at a time.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PolledDiscovery {
    /// Upper bound that the rules set on the interval between a forwarder's polls.
    #[serde(rename = "within")]
    pub poll_interval: Span,
    /// Time that discovery takes to serve one poll.
    #[serde(rename = "call")]
    pub poll_service_time: Span,
    /// Time after which a poll has failed. Discovery still spends its service time on the poll.
    #[serde(rename = "patience")]
    pub poll_timeout: Span,
    /// Upper bound on the time until a poll has been served, its own service included. A poll that would exceed it is
    /// rejected at once.
    #[serde(rename = "turned_away")]
    pub max_queue_wait: Span,
}

/// The parameters of the platform's rules. Forwarders are configured with them; the receivers and the oracle apply them.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSettings {
    /// How long after the deadline a final answer may be sent.
    pub answer_slack: Span,
    /// How long calls may still be sent to a draining endpoint.
    pub drain_grace: Span,
    /// Share of its capacity that an endpoint has when its warm-up begins, from 0 to 1.
    #[serde(rename = "cold_from")]
    pub cold_capacity_share: f64,
    /// Duration of the warm-up, after which an endpoint has its full capacity.
    #[serde(rename = "warm_after")]
    pub warm_up_time: Span,
    /// Multiple of its current capacity at which an endpoint that warms up fails from overload; above 0.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Window over which the calls of an endpoint that warms up are counted.
    #[serde(rename = "overload_for")]
    pub overload_window: Span,
    /// Pause between two messages of one order key if the first may still take effect.
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
