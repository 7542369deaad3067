//! Derives the configuration of the core and the start-up configuration of the forwarder program from a scenario.

use super::{DeliveryClass, DeliverySemantics, ForwarderProcesses, PriorityDecay, Scenario};
use opalpulley::{
    Config, DeduplicationScope, DeliveryClassConfig, EndpointKindConfig, ListedRateAccuracy,
    ServiceRuleConfig, TenantConfig,
};
use serde_json::{json, Value};

/// Share of its weight that a message over its tenant's quota keeps.
const OVER_QUOTA_WEIGHT_SHARE: f64 = 0.1;
/// Time between scheduling rounds, µs.
const SCHEDULING_INTERVAL: u64 = 5_000;
/// Whether the endpoints of each kind have independent limits, by the number of the kind.
const INDEPENDENT_LIMITS: [bool; 2] = [false, true];
/// Idle timeout of connections if the scenario has no destinations, µs.
const DEFAULT_IDLE_TIMEOUT: u64 = 5_000_000;
/// Upper bound on the open sockets of a forwarder.
const SOCKET_LIMIT: u32 = 4096;
/// Ratio of a forwarder's memory limit to its disk limit.
const MEMORY_TO_DISK_RATIO: f64 = 4.0;

impl Scenario {
    /// Returns the core's configuration for forwarder `number`.
    pub fn config(&self, number: u32) -> Config {
        let fleet = &self.forwarders;
        let polled_discovery = self.network.polled_discovery.as_ref();
        Config {
            forwarder_id: number as u16,
            fleet_size: fleet.count,
            concurrency_limit: fleet.concurrency_limit,
            max_messages: fleet.message_capacity,
            max_attempts: fleet.max_attempts,
            order_release: opalpulley::OrderRelease::default(),
            may_health_check: fleet.may_health_check,
            may_cancel: fleet.may_cancel,
            may_send_retry_after: fleet.may_send_retry_after,
            may_gossip: fleet.may_gossip,
            max_retry_after: fleet.max_retry_after.0,
            listed_rate_accuracy: ListedRateAccuracy::Nominal,
            priority_decay: fleet.priority_decay.into(),
            over_quota_weight_share: OVER_QUOTA_WEIGHT_SHARE,
            classes: self.classes.iter().map(DeliveryClass::config).collect(),
            tenants: self.tenant_configs(),
            endpoint_kinds: INDEPENDENT_LIMITS.map(endpoint_kind).to_vec(),
            zone_costs: vec![0.0, 0.0],
            list_poll_interval: polled_discovery.map(|discovery| discovery.poll_interval.0),
            list_notification_delay: None,
            rules: self.rule_config(),
            min_tick_interval: SCHEDULING_INTERVAL,
            full_destinations: None,
        }
    }

    fn tenant_configs(&self) -> Vec<TenantConfig> {
        let quotas = self.tenants.iter().map(|tenant| tenant.quota);
        quotas.map(|quota| TenantConfig { quota }).collect()
    }

    fn rule_config(&self) -> ServiceRuleConfig {
        let rules = &self.rules;
        ServiceRuleConfig {
            answer_slack: rules.answer_slack.0,
            drain_grace: rules.drain_grace.0,
            cold_capacity_share: rules.cold_capacity_share,
            warm_up_time: rules.warm_up_time.0,
            overload_multiple: rules.overload_multiple,
            overload_window: rules.overload_window.0,
            order_settle_time: rules.order_settle_time.0,
        }
    }

    /// Returns the start-up configuration of forwarder `number` on sockets, in the format that the platform's deployment
    /// writes.
    pub fn startup_config(&self, number: u32, seed: u64) -> Value {
        let fleet = &self.forwarders;
        json!({
            "name": format!("n{number}"),
            "seed": format!("{seed:016x}"),
            "limits": {
                "memory_mb": MEMORY_TO_DISK_RATIO * fleet.disk_mb,
                "sockets": SOCKET_LIMIT,
                "disk_mb": fleet.disk_mb,
            },
            "settings": self.settings(number),
        })
    }

    /// Returns the platform's settings for forwarder `number`, under the platform's names.
    fn settings(&self, number: u32) -> Value {
        let fleet = &self.forwarders;
        let tenants = self.tenants.iter();
        let accounts: Vec<Value> = tenants
            .map(|tenant| json!({"Name": tenant.name, "QuotaPerS": tenant.quota}))
            .collect();
        let classes = self.classes.iter().map(DeliveryClass::settings);
        let profiles: Vec<Value> = classes.collect();
        json!({
            "Azs": ["a", "b"],
            "Balancers": fleet.count,
            "Me": number,
            "HostTypes": ["shared", "apart"],
            "QuantumUs": SCHEDULING_INTERVAL,
            "Weights": "nominal",
            "OverShareWorth": OVER_QUOTA_WEIGHT_SHARE,
            "Accounts": accounts,
            "Domain": {
                "Fades": fleet.priority_decay.setting(),
                "Workers": fleet.concurrency_limit,
                "PerCall": [1, 1],
                "RoutesApart": INDEPENDENT_LIMITS,
            },
            "Limits": self.limit_settings(fleet),
            "Profiles": profiles,
            "Rules": self.rule_settings(),
        })
    }

    fn limit_settings(&self, fleet: &ForwarderProcesses) -> Value {
        let groups = self.destinations.iter();
        let idle_timeout = groups.map(|group| group.idle_timeout.0).min();
        json!({
            "Cancelling": fleet.may_cancel,
            "ConnIdleUs": idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            "ConnectTimeoutUs": self.network.connect_timeout.0,
            "MaxAttempts": fleet.max_attempts,
            "MaxOpen": fleet.message_capacity,
            "MaxRetryAfterUs": fleet.max_retry_after.0,
            "Probing": fleet.may_health_check,
            "RetryAfter": fleet.may_send_retry_after,
        })
    }

    fn rule_settings(&self) -> Value {
        let rules = &self.rules;
        json!({
            "AnswerSlackUs": rules.answer_slack.0,
            "ColdFrom": rules.cold_capacity_share,
            "DrainGraceUs": rules.drain_grace.0,
            "FallMultiple": rules.overload_multiple,
            "OverloadForUs": rules.overload_window.0,
            "WarmAfterUs": rules.warm_up_time.0,
            "OrderPauseUs": rules.order_settle_time.0,
        })
    }
}

fn endpoint_kind(has_independent_limits: bool) -> EndpointKindConfig {
    EndpointKindConfig {
        has_independent_limits,
        max_batch_size: 1,
    }
}

impl DeliveryClass {
    fn config(&self) -> DeliveryClassConfig {
        DeliveryClassConfig {
            semantics: match self.semantics {
                DeliverySemantics::Idempotent => opalpulley::DeliverySemantics::Idempotent,
                DeliverySemantics::IdempotencyKeyed => {
                    opalpulley::DeliverySemantics::IdempotencyKeyed {
                        scope: DeduplicationScope::AllEndpoints,
                        window: self.window.0,
                    }
                }
                DeliverySemantics::AtMostOnce => opalpulley::DeliverySemantics::AtMostOnce,
            },
            latency_objective: self.latency_objective.0,
            time_to_live: self.time_to_live.0,
            priority_weight: self.priority_weight,
            late_weight_share: self.late_weight_share,
            ordered: self.ordered,
        }
    }

    fn settings(&self) -> Value {
        json!({
            "Name": self.name,
            "Effect": self.semantics.setting(),
            "DedupWindowUs": self.window.0,
            "GoalTimeUs": self.latency_objective.0,
            "HardLimitUs": self.time_to_live.0,
            "LateShare": self.late_weight_share,
            "Points": self.priority_weight,
            "SerialByKey": self.ordered,
        })
    }
}

impl DeliverySemantics {
    /// Returns the platform's name for the semantics.
    fn setting(self) -> &'static str {
        match self {
            DeliverySemantics::Idempotent => "free",
            DeliverySemantics::IdempotencyKeyed => "guarded",
            DeliverySemantics::AtMostOnce => "single_shot",
        }
    }
}

impl PriorityDecay {
    /// Returns the platform's name for the decay.
    fn setting(self) -> &'static str {
        match self {
            PriorityDecay::Linear => "linear",
            PriorityDecay::Exponential => "halving",
        }
    }
}

impl From<PriorityDecay> for opalpulley::PriorityDecay {
    fn from(decay: PriorityDecay) -> opalpulley::PriorityDecay {
        match decay {
            PriorityDecay::Linear => opalpulley::PriorityDecay::Linear,
            PriorityDecay::Exponential => opalpulley::PriorityDecay::Exponential,
        }
    }
}
