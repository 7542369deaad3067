//! The operators' start object: JSON to the configuration of the core, for every front. Unknown keys are skipped.

use opalpulley::{
    Config, Effect, Ends, Fading, KindConfig, ListRates, Micros, ProfileConfig, RepeatGroup,
    RuleConfig, TenantConfig,
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
pub struct Waybill {
    pub config: Config,
    pub names: Names,
    pub connections: ConnectionConfig,
}

/// Names in the order of the numbers that the core uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Names {
    pub profiles: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
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
pub struct Start {
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

pub fn read(text: &[u8]) -> Result<Waybill, String> {
    let text = &mut serde_json::Deserializer::from_slice(text);
    let start: Start = serde_path_to_error::deserialize(text).map_err(|e| {
        format!(
            "the start object is not valid at {}: {}",
            e.path(),
            e.inner()
        )
    })?;
    Waybill::try_from(start)
}

impl TryFrom<Start> for Waybill {
    type Error = String;

    fn try_from(start: Start) -> Result<Waybill, String> {
        start.check()?;
        let names = Names {
            profiles: start.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: start.accounts.iter().map(|a| a.name.clone()).collect(),
            zones: start.azs.clone(),
            kinds: start.host_types.clone(),
            reports: start.load_report.names.clone(),
        };
        let connections = ConnectionConfig {
            idle_closed_after: start.limits.conn_idle_us.unwrap_or(DEFAULT_IDLE),
            connect_within: start.limits.connect_timeout_us.unwrap_or(DEFAULT_CONNECT),
        };
        Ok(Waybill {
            config: start.into_config(),
            names,
            connections,
        })
    }
}

impl Start {
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
            .map(|k| KindConfig {
                routes_apart: start.domain.routes_apart.get(k).copied().unwrap_or(false),
                per_call: start.domain.per_call.get(k).copied().unwrap_or(1),
            })
            .collect();
        Config {
            forwarder: start.me,
            forwarders: start.balancers,
            slots: start.domain.workers,
            room: start.limits.max_open,
            max_trips: start.limits.max_attempts,
            ends: Ends::default(),
            may_probe: start.limits.probing,
            may_call_off: start.limits.cancelling,
            may_say_when: start.limits.retry_after,
            may_gossip: start.limits.may_tell,
            longest_return: start.limits.max_retry_after_us,
            list_rates: match start.weights {
                Weights::Off => ListRates::Untold,
                Weights::Nominal | Weights::Live => ListRates::Nominal,
                Weights::Rough => ListRates::Rough,
            },
            fading: match start.domain.fades {
                Fades::Linear => Fading::Evenly,
                Fades::Halving => Fading::Halving,
            },
            over_share_worth: start.over_share_worth,
            tenants: start
                .accounts
                .into_iter()
                .map(|a| TenantConfig {
                    quota: a.quota_per_s,
                })
                .collect(),
            kinds,
            zone_fees: start.domain.zone_fee,
            ask_within: match start.membership_mode {
                Membership::Pushed => None,
                Membership::OnRequest => Some(start.rules.ask_within_us),
            },
            told_within: None, // the settings do not name it: the protocol of whoever carries out the calls does
            rules: RuleConfig {
                answer_slack: start.rules.answer_slack_us,
                drain_grace: start.rules.drain_grace_us,
                cold_from: start.rules.cold_from,
                warm_after: start.rules.warm_after_us,
                fall_multiple: start.rules.fall_multiple,
                overload_for: start.rules.overload_for_us,
                order_pause: start.rules.order_pause_us,
            },
            round: start.quantum_us,
            full_destinations: Some(FULL_DESTINATIONS),
            profiles: start.profiles.into_iter().map(profile).collect(),
        }
    }
}

fn profile(p: Profile) -> ProfileConfig {
    let group = match p.group {
        Group::All => RepeatGroup::All,
        Group::Zone => RepeatGroup::Zone,
        Group::Cell => RepeatGroup::Destination,
    };
    ProfileConfig {
        effect: match p.effect {
            ProfileEffect::Free => Effect::Retriable,
            ProfileEffect::Guarded => Effect::Fingerprinted {
                group,
                window: p.dedup_window_us,
            },
            ProfileEffect::SingleShot => Effect::Binding,
        },
        contract_time: p.goal_time_us,
        expiry: p.hard_limit_us,
        importance: p.points,
        late_share: p.late_share,
        in_order: p.serial_by_key,
    }
}
