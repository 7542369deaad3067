//! The settings as programs use them: validated, with defaults applied, in the types of the core.

use crate::start_object::{
    DeduplicationScopeMode, DeliverySemanticsMode, EndpointListMode, ListedRatesMode,
    PriorityDecayMode, Profile, StartObject,
};
use opalpulley::{
    Config, DeduplicationScope, DeliveryClassConfig, DeliverySemantics, EndpointKindConfig,
    ListedRateAccuracy, Micros, OrderRelease, PriorityDecay, ServiceRuleConfig, TenantConfig,
};
use std::fmt;

/// Idle timeout of connections in µs if the settings contain no `ConnIdleUs`. The first deployments use this value.
const DEFAULT_CONNECTION_IDLE_TIMEOUT: Micros = 5_000_000;
/// Connect timeout in µs if the settings contain no `ConnectTimeoutUs`. The first deployments use this value.
const DEFAULT_CONNECT_TIMEOUT: Micros = 1_000_000;
/// Upper bound on the number of destinations whose state the core holds in full. The full state of a destination takes
/// about 3 kB, so that the bound limits all full states to about 3 MB. Every current deployment has fewer destinations
/// and never reaches the bound.
const MAX_FULL_DESTINATIONS: u32 = 1_024;
/// Upper bound on the number of messages in one call, for an endpoint kind that has no entry in `Domain.PerCall`.
const DEFAULT_BATCH_SIZE: u32 = 1;

/// The operators' settings of one forwarder, validated and with defaults applied.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwarderSettings {
    /// Configuration of the decision core.
    pub config: Config,
    /// Names that the codecs translate to the indices of the core and back.
    pub names: Names,
    /// Timeouts of the forwarder's connections to endpoints.
    pub connections: ConnectionConfig,
}

/// Names from the settings. The position of a name in its list is the index that the core uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Names {
    /// Names of the delivery classes. A class without a name has an empty one.
    pub classes: Vec<String>,
    /// Names of the tenants. A tenant without a name has an empty one.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the endpoint kinds.
    pub endpoint_kinds: Vec<String>,
    /// Names of the load metrics that endpoints report.
    pub load_metrics: Vec<String>,
}

/// Timeouts of connections to endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionConfig {
    /// Time in µs after which an endpoint closes an idle connection.
    pub connection_idle_timeout: Micros,
    /// Upper bound on the time to establish a connection, in µs. Beyond it the connection attempt fails.
    pub connect_timeout: Micros,
}

/// The reason why settings are rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// The text is not valid JSON, a key is missing, or a value has the wrong type.
    Invalid {
        /// Path of the key that the error occurred at.
        path: String,
        /// The error of the JSON deserializer, with its line and column.
        error: serde_json::Error,
    },
    /// A number that must be positive is 0, or a list that must have entries is empty.
    NotPositive {
        /// Path of the key. `[]` stands for the index of any entry of a list.
        key: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Invalid { path, error } => {
                write!(f, "the start object is not valid at {path}: {error}")
            }
            SettingsError::NotPositive { key } => write!(f, "{key}: must be above 0"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Parses the JSON text of the settings, validates it and applies the defaults. Fails if the text is not valid JSON, a
/// value has the wrong type, a required key is missing, or a value must be positive and is not.
pub fn parse_settings(json: &[u8]) -> Result<ForwarderSettings, SettingsError> {
    let deserializer = &mut serde_json::Deserializer::from_slice(json);
    let start_object: StartObject =
        serde_path_to_error::deserialize(deserializer).map_err(|e| SettingsError::Invalid {
            path: e.path().to_string(),
            error: e.into_inner(),
        })?;
    ForwarderSettings::try_from(start_object)
}

impl TryFrom<StartObject> for ForwarderSettings {
    type Error = SettingsError;

    fn try_from(start_object: StartObject) -> Result<ForwarderSettings, SettingsError> {
        validate(&start_object)?;
        Ok(ForwarderSettings {
            names: collect_names(&start_object),
            connections: connection_config(&start_object),
            config: core_config(start_object),
        })
    }
}

/// Returns an error for the first value that must be positive, or list that must have entries, and is not. The order of
/// the requirements decides which error a start object with several faults gets.
fn validate(start_object: &StartObject) -> Result<(), SettingsError> {
    let classes = &start_object.classes;
    let requirements = [
        ("Balancers", start_object.fleet_size > 0),
        (
            "Domain.Workers",
            start_object.destination_settings.concurrency_limit > 0,
        ),
        ("Limits.MaxAttempts", start_object.limits.max_attempts > 0),
        ("Limits.MaxOpen", start_object.limits.max_messages > 0),
        ("Profiles", !classes.is_empty()),
        (
            "Profiles[].HardLimitUs",
            classes.iter().all(|class| class.time_to_live > 0),
        ),
        (
            "Profiles[].GoalTimeUs",
            classes.iter().all(|class| class.latency_objective > 0),
        ),
    ];
    for (key, is_positive) in requirements {
        if !is_positive {
            return Err(SettingsError::NotPositive { key });
        }
    }
    Ok(())
}

fn collect_names(start_object: &StartObject) -> Names {
    let classes = start_object.classes.iter().map(|class| class.name.clone());
    let tenants = start_object
        .tenants
        .iter()
        .map(|tenant| tenant.name.clone());
    Names {
        classes: classes.collect(),
        tenants: tenants.collect(),
        zones: start_object.zones.clone(),
        endpoint_kinds: start_object.endpoint_kinds.clone(),
        load_metrics: start_object.load_report.metric_names.clone(),
    }
}

fn connection_config(start_object: &StartObject) -> ConnectionConfig {
    let limits = &start_object.limits;
    ConnectionConfig {
        connection_idle_timeout: limits
            .connection_idle_timeout
            .unwrap_or(DEFAULT_CONNECTION_IDLE_TIMEOUT),
        connect_timeout: limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
    }
}

fn core_config(start_object: StartObject) -> Config {
    Config {
        forwarder_id: start_object.forwarder_id,
        fleet_size: start_object.fleet_size,
        concurrency_limit: start_object.destination_settings.concurrency_limit,
        max_messages: start_object.limits.max_messages,
        max_attempts: start_object.limits.max_attempts,
        order_release: OrderRelease::default(),
        may_health_check: start_object.limits.may_health_check,
        may_cancel: start_object.limits.may_cancel,
        may_send_retry_after: start_object.limits.may_send_retry_after,
        may_gossip: start_object.limits.may_gossip,
        max_retry_after: start_object.limits.max_retry_after,
        listed_rate_accuracy: listed_rate_accuracy(&start_object.listed_rates_mode),
        priority_decay: priority_decay(&start_object.destination_settings.priority_decay),
        over_quota_weight_share: start_object.over_quota_weight_share,
        tenants: tenant_configs(&start_object),
        endpoint_kinds: endpoint_kind_configs(&start_object),
        list_poll_interval: list_poll_interval(&start_object),
        // The settings contain no such key: the protocol of the program that carries out the actions sets the delay.
        list_notification_delay: None,
        rules: rule_config(&start_object),
        min_tick_interval: start_object.min_tick_interval,
        full_destinations: Some(MAX_FULL_DESTINATIONS),
        classes: start_object
            .classes
            .iter()
            .map(delivery_class_config)
            .collect(),
        zone_costs: start_object.destination_settings.zone_costs,
    }
}

fn listed_rate_accuracy(mode: &ListedRatesMode) -> ListedRateAccuracy {
    match mode {
        ListedRatesMode::Off => ListedRateAccuracy::Unlisted,
        // The core has no accuracy for live rates and treats them as nominal.
        ListedRatesMode::Nominal | ListedRatesMode::Live => ListedRateAccuracy::Nominal,
        ListedRatesMode::Approximate => ListedRateAccuracy::Approximate,
    }
}

fn priority_decay(mode: &PriorityDecayMode) -> PriorityDecay {
    match mode {
        PriorityDecayMode::Linear => PriorityDecay::Linear,
        PriorityDecayMode::Exponential => PriorityDecay::Exponential,
    }
}

fn list_poll_interval(start_object: &StartObject) -> Option<Micros> {
    match start_object.endpoint_list_mode {
        EndpointListMode::Pushed => None,
        EndpointListMode::Polled => Some(start_object.rules.list_poll_interval),
    }
}

fn tenant_configs(start_object: &StartObject) -> Vec<TenantConfig> {
    let tenants = start_object.tenants.iter();
    tenants
        .map(|tenant| TenantConfig {
            quota: tenant.quota,
        })
        .collect()
}

fn endpoint_kind_configs(start_object: &StartObject) -> Vec<EndpointKindConfig> {
    let destination_settings = &start_object.destination_settings;
    let kinds = 0..start_object.endpoint_kinds.len();
    kinds
        .map(|kind| EndpointKindConfig {
            has_independent_limits: destination_settings
                .has_independent_limits
                .get(kind)
                .copied()
                .unwrap_or(false),
            max_batch_size: destination_settings
                .max_batch_sizes
                .get(kind)
                .copied()
                .unwrap_or(DEFAULT_BATCH_SIZE),
        })
        .collect()
}

fn rule_config(start_object: &StartObject) -> ServiceRuleConfig {
    let rules = &start_object.rules;
    ServiceRuleConfig {
        answer_slack: rules.answer_slack,
        drain_grace: rules.drain_grace,
        cold_capacity_share: rules.cold_capacity_share,
        warm_up_time: rules.warm_up_time,
        overload_multiple: rules.overload_multiple,
        overload_window: rules.overload_window,
        order_settle_time: rules.order_settle_time,
    }
}

fn delivery_class_config(class: &Profile) -> DeliveryClassConfig {
    let scope = match class.deduplication_scope {
        DeduplicationScopeMode::AllEndpoints => DeduplicationScope::AllEndpoints,
        DeduplicationScopeMode::Zone => DeduplicationScope::Zone,
        DeduplicationScopeMode::Destination => DeduplicationScope::Destination,
    };
    DeliveryClassConfig {
        semantics: match class.semantics {
            DeliverySemanticsMode::Idempotent => DeliverySemantics::Idempotent,
            DeliverySemanticsMode::IdempotencyKeyed => DeliverySemantics::IdempotencyKeyed {
                scope,
                window: class.deduplication_window,
            },
            DeliverySemanticsMode::AtMostOnce => DeliverySemantics::AtMostOnce,
        },
        latency_objective: class.latency_objective,
        time_to_live: class.time_to_live,
        priority_weight: class.priority_weight,
        late_weight_share: class.late_weight_share,
        ordered: class.ordered,
    }
}
