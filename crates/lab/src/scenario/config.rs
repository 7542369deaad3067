//! A scenario as the core's configuration, and as the start-up configuration of the program on sockets.

use super::{DeliverySemantics, PriorityDecay, Scenario};
use opalpulley::{
    Config, DeduplicationScope, DeliveryClassConfig, EndpointKindConfig, ListedRates, RuleConfig,
    TenantConfig,
};
use serde_json::{json, Value};

impl Scenario {
    /// What forwarder `number` is told at its start.
    pub fn config(&self, number: u32) -> Config {
        let class = |p: &super::DeliveryClass| DeliveryClassConfig {
            semantics: match p.semantics {
                DeliverySemantics::Idempotent => opalpulley::DeliverySemantics::Idempotent,
                DeliverySemantics::IdempotencyKeyed => {
                    opalpulley::DeliverySemantics::IdempotencyKeyed {
                        scope: DeduplicationScope::AllEndpoints,
                        window: p.window.0,
                    }
                }
                DeliverySemantics::AtMostOnce => opalpulley::DeliverySemantics::AtMostOnce,
            },
            latency_objective: p.latency_objective.0,
            time_to_live: p.time_to_live.0,
            priority_weight: p.priority_weight,
            late_weight_share: p.late_weight_share,
            ordered: p.ordered,
        };
        let fleet = &self.forwarders;
        Config {
            forwarder: number as u16,
            fleet_size: fleet.count,
            concurrency_limit: fleet.concurrency_limit,
            message_capacity: fleet.message_capacity,
            max_attempts: fleet.max_attempts,
            order_release: opalpulley::OrderRelease::default(),
            may_health_check: fleet.may_health_check,
            may_cancel: fleet.may_cancel,
            may_send_retry_after: fleet.may_send_retry_after,
            may_gossip: fleet.may_gossip,
            max_retry_after: fleet.max_retry_after.0,
            listed_rates: ListedRates::Nominal,
            priority_decay: match fleet.priority_decay {
                PriorityDecay::Linear => opalpulley::PriorityDecay::Linear,
                PriorityDecay::Exponential => opalpulley::PriorityDecay::Exponential,
            },
            over_quota_weight: 0.1,
            classes: self.classes.iter().map(class).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|t| TenantConfig { quota: t.quota })
                .collect(),
            endpoint_kinds: [false, true]
                .map(|independent_limits| EndpointKindConfig {
                    independent_limits,
                    batch_size: 1,
                })
                .to_vec(),
            zone_costs: vec![0.0, 0.0],
            poll_interval: self
                .network
                .polled_discovery
                .as_ref()
                .map(|a| a.poll_interval.0),
            notified_within: None,
            rules: RuleConfig {
                answer_slack: self.rules.answer_slack.0,
                drain_grace: self.rules.drain_grace.0,
                cold_capacity_share: self.rules.cold_capacity_share,
                warm_up_time: self.rules.warm_up_time.0,
                overload_multiple: self.rules.overload_multiple,
                overload_window: self.rules.overload_window.0,
                order_settle_time: self.rules.order_settle_time.0,
            },
            scheduling_interval: 5_000,
            full_destinations: None,
        }
    }

    /// The start-up configuration of forwarder `number` on sockets, as the platform's deployment writes it.
    pub fn startup_config(&self, number: u32, seed: u64) -> Value {
        let effect = |e| match e {
            DeliverySemantics::Idempotent => "free",
            DeliverySemantics::IdempotencyKeyed => "guarded",
            DeliverySemantics::AtMostOnce => "single_shot",
        };
        let class = |p: &super::DeliveryClass| {
            json!({"Name": p.name, "Effect": effect(p.semantics), "DedupWindowUs": p.window.0,
                "GoalTimeUs": p.latency_objective.0, "HardLimitUs": p.time_to_live.0, "LateShare": p.late_weight_share,
                "Points": p.priority_weight, "SerialByKey": p.ordered})
        };
        let fleet = &self.forwarders;
        let idle = self
            .destinations
            .iter()
            .map(|d| d.idle_timeout.0)
            .min()
            .unwrap_or(5_000_000);
        let (fades, r) = (
            if fleet.priority_decay == PriorityDecay::Linear {
                "linear"
            } else {
                "halving"
            },
            &self.rules,
        );
        json!({
            "name": format!("n{number}"), "seed": format!("{seed:016x}"),
            "limits": {"memory_mb": 4.0 * fleet.disk_mb, "sockets": 4096, "disk_mb": fleet.disk_mb},
            "settings": {
                "Azs": ["a", "b"], "Balancers": fleet.count, "Me": number, "HostTypes": ["shared", "apart"],
                "QuantumUs": 5000, "Weights": "nominal", "OverShareWorth": 0.1,
                "Accounts": self.tenants.iter().map(|t| json!({"Name": t.name, "QuotaPerS": t.quota})).collect::<Vec<_>>(),
                "Domain": {"Fades": fades, "Workers": fleet.concurrency_limit, "PerCall": [1, 1], "RoutesApart": [false, true]},
                "Limits": {"Cancelling": fleet.may_cancel, "ConnIdleUs": idle,
                    "ConnectTimeoutUs": self.network.connect_timeout.0, "MaxAttempts": fleet.max_attempts,
                    "MaxOpen": fleet.message_capacity, "MaxRetryAfterUs": fleet.max_retry_after.0,
                    "Probing": fleet.may_health_check, "RetryAfter": fleet.may_send_retry_after},
                "Profiles": self.classes.iter().map(class).collect::<Vec<_>>(),
                "Rules": {"AnswerSlackUs": r.answer_slack.0, "ColdFrom": r.cold_capacity_share,
                    "DrainGraceUs": r.drain_grace.0, "FallMultiple": r.overload_multiple,
                    "OverloadForUs": r.overload_window.0, "WarmAfterUs": r.warm_up_time.0,
                    "OrderPauseUs": r.order_settle_time.0}
            }
        })
    }
}
