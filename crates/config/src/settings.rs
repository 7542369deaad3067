//! The settings as programs use them: checked, with defaults, in the core's terms.

use crate::start_object::{
    EndpointListMode, ListedRatesMode, PriorityDecayMode, Profile, Scope, Semantics, StartObject,
};
use opalpulley::{
    Config, DeduplicationScope, DeliveryClassConfig, DeliverySemantics, EndpointKindConfig,
    ListedRateAccuracy, Micros, OrderRelease, PriorityDecay, ServiceRuleConfig, TenantConfig,
};
use std::fmt;

/// The idle timeout of connections where the settings name none, µs. The first deployments have this value.
const DEFAULT_CONNECTION_IDLE_TIMEOUT: Micros = 5_000_000;
/// The connect timeout where the settings name none, µs. The first deployments have this value.
const DEFAULT_CONNECT_TIMEOUT: Micros = 1_000_000;
/// The number of destinations whose whole state the core keeps at once. No deployment of today has as many, so that the
/// limit changes nothing there. The whole state of a destination takes about 3 kB, and that of all these about 3 MB.
const FULL_DESTINATIONS: u32 = 1_024;
/// Messages in one call to an endpoint, for an endpoint kind whose batch size the settings do not name.
const DEFAULT_BATCH_SIZE: u32 = 1;

/// The operators' settings of one forwarder, in the parts in which programs use them.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwarderSettings {
    /// The configuration of the core.
    pub config: Config,
    /// The names that the codecs translate to the core's numbers and back.
    pub names: Names,
    /// The time limits of its connections to endpoints.
    pub connections: ConnectionConfig,
}

/// Names in the order of the numbers that the core uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Names {
    /// Delivery classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of endpoints.
    pub endpoint_kinds: Vec<String>,
    /// The figures of a load report.
    pub reports: Vec<String>,
}

/// Time limits of connections to endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionConfig {
    /// An endpoint closes a connection that has been idle for so long, µs.
    pub connection_idle_timeout: Micros,
    /// An attempt to open a connection fails after this time, µs.
    pub connect_timeout: Micros,
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The text is no JSON, or a key is missing or has another type.
    Invalid {
        /// The path of the key.
        path: String,
        /// What is wrong there.
        problem: serde_json::Error,
    },
    /// A figure is 0, or a list empty, with which no deployment can work.
    NotPositive {
        /// The path of the key.
        key: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Invalid { path, problem } => {
                write!(f, "the start object is not valid at {path}: {problem}")
            }
            SettingsError::NotPositive { key } => write!(f, "{key}: must be above 0"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Parses and checks the text of the settings.
pub fn read(text: &[u8]) -> Result<ForwarderSettings, SettingsError> {
    let text = &mut serde_json::Deserializer::from_slice(text);
    let start: StartObject =
        serde_path_to_error::deserialize(text).map_err(|e| SettingsError::Invalid {
            path: e.path().to_string(),
            problem: e.into_inner(),
        })?;
    ForwarderSettings::try_from(start)
}

impl TryFrom<StartObject> for ForwarderSettings {
    type Error = SettingsError;

    fn try_from(start: StartObject) -> Result<ForwarderSettings, SettingsError> {
        check(&start)?;
        Ok(ForwarderSettings {
            names: names(&start),
            connections: connection_config(&start),
            config: core_config(start),
        })
    }
}

/// Finds figures with which no deployment can work.
fn check(start: &StartObject) -> Result<(), SettingsError> {
    let classes = &start.classes;
    let checks = [
        ("Balancers", start.fleet_size > 0),
        ("Domain.Workers", start.destinations.concurrency_limit > 0),
        ("Limits.MaxAttempts", start.limits.max_attempts > 0),
        ("Limits.MaxOpen", start.limits.message_capacity > 0),
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
    for (key, positive) in checks {
        if !positive {
            return Err(SettingsError::NotPositive { key });
        }
    }
    Ok(())
}

fn names(start: &StartObject) -> Names {
    let classes = start.classes.iter().map(|class| class.name.clone());
    let tenants = start.tenants.iter().map(|tenant| tenant.name.clone());
    Names {
        classes: classes.collect(),
        tenants: tenants.collect(),
        zones: start.zones.clone(),
        endpoint_kinds: start.endpoint_kinds.clone(),
        reports: start.load_report.names.clone(),
    }
}

fn connection_config(start: &StartObject) -> ConnectionConfig {
    let limits = &start.limits;
    ConnectionConfig {
        connection_idle_timeout: limits
            .connection_idle_timeout
            .unwrap_or(DEFAULT_CONNECTION_IDLE_TIMEOUT),
        connect_timeout: limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
    }
}

fn core_config(start: StartObject) -> Config {
    Config {
        forwarder_id: start.forwarder,
        fleet_size: start.fleet_size,
        concurrency_limit: start.destinations.concurrency_limit,
        max_messages: start.limits.message_capacity,
        max_attempts: start.limits.max_attempts,
        order_release: OrderRelease::default(),
        may_health_check: start.limits.may_health_check,
        may_cancel: start.limits.may_cancel,
        may_send_retry_after: start.limits.may_send_retry_after,
        may_gossip: start.limits.may_gossip,
        max_retry_after: start.limits.max_retry_after,
        listed_rate_accuracy: listed_rates(&start.listed_rates),
        priority_decay: priority_decay(&start.destinations.priority_decay),
        over_quota_weight_share: start.over_quota_weight,
        tenants: tenant_configs(&start),
        endpoint_kinds: endpoint_kind_configs(&start),
        list_poll_interval: poll_interval(&start),
        // The settings do not name it. The protocol of the program that carries out the actions does.
        list_notification_delay: None,
        rules: rule_config(&start),
        min_tick_interval: start.scheduling_interval,
        full_destinations: Some(FULL_DESTINATIONS),
        classes: start.classes.iter().map(delivery_class_config).collect(),
        zone_costs: start.destinations.zone_costs,
    }
}

fn listed_rates(mode: &ListedRatesMode) -> ListedRateAccuracy {
    match mode {
        ListedRatesMode::Off => ListedRateAccuracy::Unlisted,
        // The core has no mode for live rates and treats them as nominal.
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

fn poll_interval(start: &StartObject) -> Option<Micros> {
    match start.endpoint_list_mode {
        EndpointListMode::Pushed => None,
        EndpointListMode::Polled => Some(start.rules.poll_interval),
    }
}

fn tenant_configs(start: &StartObject) -> Vec<TenantConfig> {
    let tenants = start.tenants.iter();
    tenants
        .map(|tenant| TenantConfig {
            quota: tenant.quota,
        })
        .collect()
}

fn endpoint_kind_configs(start: &StartObject) -> Vec<EndpointKindConfig> {
    let destinations = &start.destinations;
    let kinds = 0..start.endpoint_kinds.len();
    kinds
        .map(|kind| EndpointKindConfig {
            has_independent_limits: destinations
                .independent_limits
                .get(kind)
                .copied()
                .unwrap_or(false),
            max_batch_size: destinations
                .batch_sizes
                .get(kind)
                .copied()
                .unwrap_or(DEFAULT_BATCH_SIZE),
        })
        .collect()
}

fn rule_config(start: &StartObject) -> ServiceRuleConfig {
    let rules = &start.rules;
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
        Scope::AllEndpoints => DeduplicationScope::AllEndpoints,
        Scope::Zone => DeduplicationScope::Zone,
        Scope::Destination => DeduplicationScope::Destination,
    };
    DeliveryClassConfig {
        semantics: match class.semantics {
            Semantics::Idempotent => DeliverySemantics::Idempotent,
            Semantics::IdempotencyKeyed => DeliverySemantics::IdempotencyKeyed {
                scope,
                window: class.deduplication_window,
            },
            Semantics::AtMostOnce => DeliverySemantics::AtMostOnce,
        },
        latency_objective: class.latency_objective,
        time_to_live: class.time_to_live,
        priority_weight: class.priority_weight,
        late_weight_share: class.late_weight_share,
        ordered: class.ordered,
    }
}
