//! The operators' settings as deserialized from JSON. The serde attributes map each key to the term that the code uses.
//!
//! The structs keep the operators' names, because serde writes the name of a struct into its error messages.

use opalpulley::Micros;
use serde::Deserialize;

/// Upper bound on the time between two polls of the endpoint list, in µs, if the settings contain no `AskWithinUs`. The
/// first deployments use this value.
const DEFAULT_LIST_POLL_INTERVAL: Micros = 10_000_000;

/// The top level of the operators' settings, before validation.
#[derive(Deserialize)]
pub struct StartObject {
    /// Tenants, in the order of their indices.
    #[serde(rename = "Accounts", default)]
    pub(crate) tenants: Vec<Account>,
    /// Names of the zones, in the order of their indices.
    #[serde(rename = "Azs", default)]
    pub(crate) zones: Vec<String>,
    /// Number of forwarders in the fleet; at least 1.
    #[serde(rename = "Balancers")]
    pub(crate) fleet_size: u32,
    #[serde(rename = "Domain")]
    pub(crate) destination_settings: Domain,
    /// Names of the endpoint kinds, in the order of their indices.
    #[serde(rename = "HostTypes")]
    pub(crate) endpoint_kinds: Vec<String>,
    #[serde(rename = "Limits")]
    pub(crate) limits: Limits,
    #[serde(rename = "LoadReport", default)]
    pub(crate) load_report: LoadReport,
    /// Number of this forwarder in the fleet, from 0.
    #[serde(rename = "Me")]
    pub(crate) forwarder_id: u16,
    #[serde(rename = "MembershipMode", default)]
    pub(crate) endpoint_list_mode: EndpointListMode,
    /// Share of the weight that a message beyond its tenant's quota keeps.
    #[serde(rename = "OverShareWorth", default)]
    pub(crate) over_quota_weight_share: f64,
    /// Delivery classes, in the order of their indices; at least one.
    #[serde(rename = "Profiles")]
    pub(crate) classes: Vec<Profile>,
    /// Lower bound on the time between two ticks of the core's timers, in µs.
    #[serde(rename = "QuantumUs")]
    pub(crate) min_tick_interval: Micros,
    #[serde(rename = "Rules")]
    pub(crate) rules: Rules,
    #[serde(rename = "Weights")]
    pub(crate) listed_rates_mode: ListedRatesMode,
}

/// A tenant.
#[derive(Deserialize)]
pub(crate) struct Account {
    #[serde(rename = "Name", default)]
    pub name: String,
    /// Quota in messages per second, for the whole fleet.
    #[serde(rename = "QuotaPerS")]
    pub quota: f64,
}

/// Settings that apply to all destinations. The lists are indexed by endpoint kind or by zone.
#[derive(Deserialize)]
pub(crate) struct Domain {
    #[serde(rename = "Fades")]
    pub priority_decay: PriorityDecayMode,
    /// Upper bound on the number of messages in one call, for each endpoint kind. A kind beyond the end gets 1.
    #[serde(rename = "PerCall", default)]
    pub max_batch_sizes: Vec<u32>,
    /// Whether each endpoint has its own limit, for each endpoint kind. A kind beyond the end gets `false`.
    #[serde(rename = "RoutesApart", default)]
    pub has_independent_limits: Vec<bool>,
    /// Upper bound on the number of calls in flight; at least 1.
    #[serde(rename = "Workers")]
    pub concurrency_limit: u32,
    /// Cost of a message to an endpoint with its own limit, for each zone.
    #[serde(rename = "ZoneFee", default)]
    pub zone_costs: Vec<f64>,
}

/// How the priority weight of a message decays after its latency objective has passed.
#[derive(Deserialize)]
pub(crate) enum PriorityDecayMode {
    #[serde(rename = "linear")]
    Linear,
    #[serde(rename = "halving")]
    Exponential,
}

/// Limits of the forwarder, and the optional features that it may use.
#[derive(Deserialize)]
pub(crate) struct Limits {
    /// Whether attempts in flight may be cancelled.
    #[serde(rename = "Cancelling", default)]
    pub may_cancel: bool,
    /// Time in µs after which an endpoint closes an idle connection.
    #[serde(rename = "ConnIdleUs")]
    pub connection_idle_timeout: Option<Micros>,
    /// Upper bound on the time to establish a connection to an endpoint, in µs.
    #[serde(rename = "ConnectTimeoutUs")]
    pub connect_timeout: Option<Micros>,
    /// Upper bound on the number of attempts at a message; at least 1.
    #[serde(rename = "MaxAttempts")]
    pub max_attempts: u32,
    /// Upper bound on the number of messages that the forwarder holds; at least 1.
    #[serde(rename = "MaxOpen")]
    pub max_messages: u32,
    /// Upper bound on the retry-after that clients honor, in µs.
    #[serde(rename = "MaxRetryAfterUs", default)]
    pub max_retry_after: Micros,
    /// Whether health checks may be sent.
    #[serde(rename = "Probing", default)]
    pub may_health_check: bool,
    /// Whether forwarders may send each other gossip.
    #[serde(rename = "MayTell", default)]
    pub may_gossip: bool,
    /// Whether a rejection may name a retry-after.
    #[serde(rename = "RetryAfter", default)]
    pub may_send_retry_after: bool,
}

/// Describes the load reports of endpoints.
#[derive(Deserialize, Default)]
pub(crate) struct LoadReport {
    /// Names of the load metrics, in the order in which the core gets their values.
    #[serde(rename = "Names", default)]
    pub metric_names: Vec<String>,
}

/// How the forwarder receives the endpoint list.
#[derive(Deserialize, Default, PartialEq)]
pub(crate) enum EndpointListMode {
    /// Discovery pushes changes.
    #[default]
    #[serde(rename = "pushed")]
    Pushed,
    /// The forwarder polls discovery.
    #[serde(rename = "on_request")]
    Polled,
}

/// Whether the endpoint list contains rates, and how accurate they are.
#[derive(Deserialize)]
pub(crate) enum ListedRatesMode {
    /// The list contains no rates.
    #[serde(rename = "off")]
    Off,
    /// The rates are those agreed with the destinations.
    #[serde(rename = "nominal")]
    Nominal,
    /// The rates may be too high or too low by half.
    #[serde(rename = "rough")]
    Approximate,
    /// The rates are live. The core treats them as nominal.
    #[serde(rename = "live")]
    Live,
}

/// A delivery class.
#[derive(Deserialize)]
pub(crate) struct Profile {
    #[serde(rename = "Effect")]
    pub semantics: DeliverySemanticsMode,
    /// The endpoints that drop each other's repeats of an idempotency key.
    #[serde(rename = "Group", default)]
    pub deduplication_scope: DeduplicationScopeMode,
    /// Deduplication window in µs. Only idempotency-keyed classes use it.
    #[serde(rename = "DedupWindowUs", default)]
    pub deduplication_window: Micros,
    /// Latency objective in µs; at least 1.
    #[serde(rename = "GoalTimeUs")]
    pub latency_objective: Micros,
    /// Time from the first submission of a message to its deadline, in µs; at least 1.
    #[serde(rename = "HardLimitUs")]
    pub time_to_live: Micros,
    /// Lower bound on the share of the weight that a late delivery keeps, from 0 to 1.
    #[serde(rename = "LateShare", default)]
    pub late_weight_share: f64,
    #[serde(rename = "Name", default)]
    pub name: String,
    /// Weight of the delivery of a message, relative to other messages.
    #[serde(rename = "Points")]
    pub priority_weight: f64,
    /// Whether messages of one order key are delivered one at a time, in the order of submission.
    #[serde(rename = "SerialByKey", default)]
    pub ordered: bool,
}

/// Delivery semantics of a class: whether an attempt at a message may be repeated.
#[derive(Deserialize)]
pub(crate) enum DeliverySemanticsMode {
    #[serde(rename = "free")]
    Idempotent,
    #[serde(rename = "guarded")]
    IdempotencyKeyed,
    #[serde(rename = "single_shot")]
    AtMostOnce,
}

/// The set of endpoints that drop each other's repeats of an idempotency key.
#[derive(Deserialize, Default)]
pub(crate) enum DeduplicationScopeMode {
    #[default]
    #[serde(rename = "all")]
    AllEndpoints,
    #[serde(rename = "zone")]
    Zone,
    #[serde(rename = "cell")]
    Destination,
}

/// Figures of the operators' service rules, which the forwarder must keep.
#[derive(Deserialize)]
pub(crate) struct Rules {
    /// Upper bound on the time from the deadline of a message to its final answer, in µs.
    #[serde(rename = "AnswerSlackUs")]
    pub answer_slack: Micros,
    /// Upper bound on the time between two polls of the endpoint list, in µs. Used if the forwarder polls discovery.
    #[serde(rename = "AskWithinUs", default = "default_list_poll_interval")]
    pub list_poll_interval: Micros,
    /// Share of its capacity that a destination has as it returns from an outage, from 0 to 1.
    #[serde(rename = "ColdFrom")]
    pub cold_capacity_share: f64,
    /// Time in µs after which nothing may be sent to an endpoint that drains or has left the list.
    #[serde(rename = "DrainGraceUs")]
    pub drain_grace: Micros,
    /// The load at which a returning destination fails again, as a multiple of its capacity at the moment.
    #[serde(rename = "FallMultiple")]
    pub overload_multiple: f64,
    /// Time in µs for which a returning destination must be overloaded to fail again.
    #[serde(rename = "OverloadForUs")]
    pub overload_window: Micros,
    /// Time in µs from the return of a destination until it has its whole capacity.
    #[serde(rename = "WarmAfterUs")]
    pub warm_up_time: Micros,
    /// Pause in µs between an attempt with an unknown outcome and the next message of the same order key.
    #[serde(rename = "OrderPauseUs", default)]
    pub order_settle_time: Micros,
}

fn default_list_poll_interval() -> Micros {
    DEFAULT_LIST_POLL_INTERVAL
}
