//! The JSON of the operators. Each key is mapped here to the term that the code uses.
//!
//! The structs have the operators' names: serde writes the name of a struct into its error messages.

use opalpulley::Micros;
use serde::Deserialize;

/// The poll interval where the settings have no `AskWithinUs`, µs. The first deployments have this value.
const DEFAULT_LIST_POLL_INTERVAL: Micros = 10_000_000;

/// The operators' settings as they are written: the top level of the JSON.
#[derive(Deserialize)]
pub struct StartObject {
    #[serde(rename = "Accounts", default)]
    pub(crate) tenants: Vec<Account>,
    #[serde(rename = "Azs", default)]
    pub(crate) zones: Vec<String>,
    #[serde(rename = "Balancers")]
    pub(crate) fleet_size: u32,
    #[serde(rename = "Domain")]
    pub(crate) destination_settings: Domain,
    #[serde(rename = "HostTypes")]
    pub(crate) endpoint_kinds: Vec<String>,
    #[serde(rename = "Limits")]
    pub(crate) limits: Limits,
    #[serde(rename = "LoadReport", default)]
    pub(crate) load_report: LoadReport,
    /// The number of this forwarder in the fleet.
    #[serde(rename = "Me")]
    pub(crate) forwarder_id: u16,
    #[serde(rename = "MembershipMode", default)]
    pub(crate) endpoint_list_mode: EndpointListMode,
    /// The weight of messages over their tenant's quota.
    #[serde(rename = "OverShareWorth", default)]
    pub(crate) over_quota_weight_share: f64,
    #[serde(rename = "Profiles")]
    pub(crate) classes: Vec<Profile>,
    #[serde(rename = "QuantumUs")]
    pub(crate) min_tick_interval: Micros,
    #[serde(rename = "Rules")]
    pub(crate) rules: Rules,
    #[serde(rename = "Weights")]
    pub(crate) listed_rates_mode: ListedRatesMode,
}

/// One tenant.
#[derive(Deserialize)]
pub(crate) struct Account {
    #[serde(rename = "Name", default)]
    pub name: String,
    /// Messages a second.
    #[serde(rename = "QuotaPerS")]
    pub quota: f64,
}

/// What holds for all destinations. The lists are in the order of the endpoint kinds, or of the zones.
#[derive(Deserialize)]
pub(crate) struct Domain {
    #[serde(rename = "Fades")]
    pub priority_decay: PriorityDecayMode,
    /// Messages in one call, for each kind.
    #[serde(rename = "PerCall", default)]
    pub max_batch_sizes: Vec<u32>,
    /// Whether each endpoint has a limit of its own, for each kind.
    #[serde(rename = "RoutesApart", default)]
    pub has_independent_limits: Vec<bool>,
    #[serde(rename = "Workers")]
    pub concurrency_limit: u32,
    /// The cost of a call to each zone.
    #[serde(rename = "ZoneFee", default)]
    pub zone_costs: Vec<f64>,
}

/// How the weight of a message falls after its latency objective.
#[derive(Deserialize)]
pub(crate) enum PriorityDecayMode {
    #[serde(rename = "linear")]
    Linear,
    #[serde(rename = "halving")]
    Exponential,
}

/// Limits of the forwarder, and what it may do.
#[derive(Deserialize)]
pub(crate) struct Limits {
    #[serde(rename = "Cancelling", default)]
    pub may_cancel: bool,
    #[serde(rename = "ConnIdleUs")]
    pub connection_idle_timeout: Option<Micros>,
    #[serde(rename = "ConnectTimeoutUs")]
    pub connect_timeout: Option<Micros>,
    #[serde(rename = "MaxAttempts")]
    pub max_attempts: u32,
    #[serde(rename = "MaxOpen")]
    pub max_messages: u32,
    #[serde(rename = "MaxRetryAfterUs", default)]
    pub max_retry_after: Micros,
    #[serde(rename = "Probing", default)]
    pub may_health_check: bool,
    #[serde(rename = "MayTell", default)]
    pub may_gossip: bool,
    #[serde(rename = "RetryAfter", default)]
    pub may_send_retry_after: bool,
}

/// What endpoints report of their load.
#[derive(Deserialize, Default)]
pub(crate) struct LoadReport {
    #[serde(rename = "Names", default)]
    pub metric_names: Vec<String>,
}

/// How the forwarder gets the endpoint list.
#[derive(Deserialize, Default, PartialEq)]
pub(crate) enum EndpointListMode {
    /// The platform sends changes.
    #[default]
    #[serde(rename = "pushed")]
    Pushed,
    /// The forwarder polls it.
    #[serde(rename = "on_request")]
    Polled,
}

/// What the rates in the endpoint list mean.
#[derive(Deserialize)]
pub(crate) enum ListedRatesMode {
    #[serde(rename = "off")]
    Off,
    #[serde(rename = "nominal")]
    Nominal,
    #[serde(rename = "rough")]
    Approximate,
    #[serde(rename = "live")]
    Live,
}

/// One delivery class.
#[derive(Deserialize)]
pub(crate) struct Profile {
    #[serde(rename = "Effect")]
    pub semantics: DeliverySemanticsMode,
    #[serde(rename = "Group", default)]
    pub deduplication_scope: DeduplicationScopeMode,
    #[serde(rename = "DedupWindowUs", default)]
    pub deduplication_window: Micros,
    #[serde(rename = "GoalTimeUs")]
    pub latency_objective: Micros,
    #[serde(rename = "HardLimitUs")]
    pub time_to_live: Micros,
    /// The share of its weight that a message keeps after its latency objective.
    #[serde(rename = "LateShare", default)]
    pub late_weight_share: f64,
    #[serde(rename = "Name", default)]
    pub name: String,
    #[serde(rename = "Points")]
    pub priority_weight: f64,
    #[serde(rename = "SerialByKey", default)]
    pub ordered: bool,
}

/// Whether an attempt may be repeated.
#[derive(Deserialize)]
pub(crate) enum DeliverySemanticsMode {
    #[serde(rename = "free")]
    Idempotent,
    #[serde(rename = "guarded")]
    IdempotencyKeyed,
    #[serde(rename = "single_shot")]
    AtMostOnce,
}

/// Which endpoints recognize each other's messages as repeats.
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

/// Figures of the platform's rules.
#[derive(Deserialize)]
pub(crate) struct Rules {
    #[serde(rename = "AnswerSlackUs")]
    pub answer_slack: Micros,
    #[serde(rename = "AskWithinUs", default = "default_list_poll_interval")]
    pub list_poll_interval: Micros,
    #[serde(rename = "ColdFrom")]
    pub cold_capacity_share: f64,
    #[serde(rename = "DrainGraceUs")]
    pub drain_grace: Micros,
    #[serde(rename = "FallMultiple")]
    pub overload_multiple: f64,
    #[serde(rename = "OverloadForUs")]
    pub overload_window: Micros,
    #[serde(rename = "WarmAfterUs")]
    pub warm_up_time: Micros,
    #[serde(rename = "OrderPauseUs", default)]
    pub order_settle_time: Micros,
}

fn default_list_poll_interval() -> Micros {
    DEFAULT_LIST_POLL_INTERVAL
}
