//! The operators' start object: JSON to the configuration of the core, for every front. Unknown keys are skipped.

use opalpulley::{
    Config, DeduplicationScope, DeliveryClassConfig, DeliverySemantics, EndpointKindConfig,
    ListedRates, Micros, OrderRelease, PriorityDecay, RuleConfig, TenantConfig,
};
use serde::Deserialize;

const DEFAULT_IDLE: Micros = 5_000_000; // µs, where the start object does not say: as at the first deployments
const DEFAULT_ASK: Micros = 10_000_000; // µs, the same
const DEFAULT_CONNECT: Micros = 1_000_000; // µs, the same
/// Destinations held in full at once: beyond any size deployed today, so that nothing changes there. A full one takes some
/// 3 kB, so that these stay near 3 MB of a forwarder's memory.
const FULL_DESTINATIONS: u32 = 1_024;

/// What a front is told at start: the configuration of the core, the names of its codec and the figures of the connections.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwarderSettings {
    pub config: Config,
    pub names: Names,
    pub connections: ConnectionConfig,
}

/// Names in the order of the numbers that the core uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub endpoint_kinds: Vec<String>,
    pub reports: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionConfig {
    /// A target closes a connection that has been idle for so long.
    pub idle_closed_after: Micros,
    /// A connection that takes longer to come up counts as none.
    pub connect_within: Micros,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct StartObject {
    #[serde(default)]
    accounts: Vec<Account>,
    #[serde(default)]
    azs: Vec<String>,
    balancers: u32,
    domain: Domain,
    host_types: Vec<String>,
    limits: Limits,
    #[serde(default)]
    load_report: LoadReport,
    me: u16,
    #[serde(default)]
    membership_mode: Membership,
    #[serde(default)]
    over_share_worth: f64,
    profiles: Vec<Profile>,
    quantum_us: Micros,
    rules: Rules,
    weights: Weights,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Account {
    #[serde(default)]
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Domain {
    fades: Fades,
    #[serde(default)]
    per_call: Vec<u32>,
    #[serde(default)]
    routes_apart: Vec<bool>,
    workers: u32,
    #[serde(default)]
    zone_fee: Vec<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Fades {
    Linear,
    Halving,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    #[serde(default)]
    cancelling: bool,
    conn_idle_us: Option<Micros>,
    connect_timeout_us: Option<Micros>,
    max_attempts: u32,
    max_open: u32,
    #[serde(default)]
    max_retry_after_us: Micros,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    may_tell: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase")]
struct LoadReport {
    #[serde(default)]
    names: Vec<String>,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Membership {
    #[default]
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Weights {
    Off,
    Nominal,
    Rough,
    Live,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Profile {
    effect: ProfileEffect,
    #[serde(default)]
    group: Group,
    #[serde(default)]
    dedup_window_us: Micros,
    goal_time_us: Micros,
    hard_limit_us: Micros,
    #[serde(default)]
    late_share: f64,
    #[serde(default)]
    name: String,
    points: f64,
    #[serde(default)]
    serial_by_key: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ProfileEffect {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Rules {
    answer_slack_us: Micros,
    #[serde(default = "default_ask_within")]
    ask_within_us: Micros,
    cold_from: f64,
    drain_grace_us: Micros,
    fall_multiple: f64,
    overload_for_us: Micros,
    warm_after_us: Micros,
    #[serde(default)]
    order_pause_us: Micros,
}

fn default_ask_within() -> Micros {
    DEFAULT_ASK
}

pub fn read(text: &[u8]) -> Result<ForwarderSettings, String> {
    let text = &mut serde_json::Deserializer::from_slice(text);
    let start: StartObject = serde_path_to_error::deserialize(text).map_err(|e| {
        format!(
            "the start object is not valid at {}: {}",
            e.path(),
            e.inner()
        )
    })?;
    ForwarderSettings::try_from(start)
}

impl TryFrom<StartObject> for ForwarderSettings {
    type Error = String;

    fn try_from(start: StartObject) -> Result<ForwarderSettings, String> {
        start.check()?;
        let names = Names {
            classes: start.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: start.accounts.iter().map(|a| a.name.clone()).collect(),
            zones: start.azs.clone(),
            endpoint_kinds: start.host_types.clone(),
            reports: start.load_report.names.clone(),
        };
        let connections = ConnectionConfig {
            idle_closed_after: start.limits.conn_idle_us.unwrap_or(DEFAULT_IDLE),
            connect_within: start.limits.connect_timeout_us.unwrap_or(DEFAULT_CONNECT),
        };
        Ok(ForwarderSettings {
            config: start.into_config(),
            names,
            connections,
        })
    }
}

impl StartObject {
    /// Figures that no deployment can work with, by the key that holds them.
    fn check(&self) -> Result<(), String> {
        let profiles = self.profiles.iter();
        let faults = [
            ("Balancers", self.balancers == 0),
            ("Domain.Workers", self.domain.workers == 0),
            ("Limits.MaxAttempts", self.limits.max_attempts == 0),
            ("Limits.MaxOpen", self.limits.max_open == 0),
            ("Profiles", self.profiles.is_empty()),
            (
                "Profiles[].HardLimitUs",
                profiles.clone().any(|p| p.hard_limit_us == 0),
            ),
            (
                "Profiles[].GoalTimeUs",
                profiles.clone().any(|p| p.goal_time_us == 0),
            ),
        ];
        match faults.iter().find(|(_, fault)| *fault) {
            Some((key, _)) => Err(format!("{key}: must be above 0")),
            None => Ok(()),
        }
    }

    fn into_config(self) -> Config {
        let start = self;
        let kinds = (0..start.host_types.len())
            .map(|k| EndpointKindConfig {
                independent_limits: start.domain.routes_apart.get(k).copied().unwrap_or(false),
                batch_size: start.domain.per_call.get(k).copied().unwrap_or(1),
            })
            .collect();
        Config {
            forwarder: start.me,
            fleet_size: start.balancers,
            concurrency_limit: start.domain.workers,
            message_capacity: start.limits.max_open,
            max_attempts: start.limits.max_attempts,
            order_release: OrderRelease::default(),
            may_health_check: start.limits.probing,
            may_cancel: start.limits.cancelling,
            may_send_retry_after: start.limits.retry_after,
            may_gossip: start.limits.may_tell,
            max_retry_after: start.limits.max_retry_after_us,
            listed_rates: match start.weights {
                Weights::Off => ListedRates::Unlisted,
                Weights::Nominal | Weights::Live => ListedRates::Nominal,
                Weights::Rough => ListedRates::Approximate,
            },
            priority_decay: match start.domain.fades {
                Fades::Linear => PriorityDecay::Linear,
                Fades::Halving => PriorityDecay::Exponential,
            },
            over_quota_weight: start.over_share_worth,
            tenants: start
                .accounts
                .into_iter()
                .map(|a| TenantConfig {
                    quota: a.quota_per_s,
                })
                .collect(),
            endpoint_kinds: kinds,
            zone_costs: start.domain.zone_fee,
            poll_interval: match start.membership_mode {
                Membership::Pushed => None,
                Membership::OnRequest => Some(start.rules.ask_within_us),
            },
            notified_within: None, // the settings do not name it: the protocol of whoever carries out the calls does
            rules: RuleConfig {
                answer_slack: start.rules.answer_slack_us,
                drain_grace: start.rules.drain_grace_us,
                cold_capacity_share: start.rules.cold_from,
                warm_up_time: start.rules.warm_after_us,
                overload_multiple: start.rules.fall_multiple,
                overload_window: start.rules.overload_for_us,
                order_settle_time: start.rules.order_pause_us,
            },
            scheduling_interval: start.quantum_us,
            full_destinations: Some(FULL_DESTINATIONS),
            classes: start.profiles.into_iter().map(profile).collect(),
        }
    }
}

fn profile(p: Profile) -> DeliveryClassConfig {
    let group = match p.group {
        Group::All => DeduplicationScope::AllEndpoints,
        Group::Zone => DeduplicationScope::Zone,
        Group::Cell => DeduplicationScope::Destination,
    };
    DeliveryClassConfig {
        semantics: match p.effect {
            ProfileEffect::Free => DeliverySemantics::Idempotent,
            ProfileEffect::Guarded => DeliverySemantics::IdempotencyKeyed {
                scope: group,
                window: p.dedup_window_us,
            },
            ProfileEffect::SingleShot => DeliverySemantics::AtMostOnce,
        },
        latency_objective: p.goal_time_us,
        time_to_live: p.hard_limit_us,
        priority_weight: p.points,
        late_weight_share: p.late_share,
        ordered: p.serial_by_key,
    }
}
