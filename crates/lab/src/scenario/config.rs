//! A scenario as the core's configuration, and as the start-up configuration of the program on sockets.

use super::{Effect, Fading, Scenario};
use opalpulley::{
    Config, DeduplicationScope, DeliveryClassConfig, EndpointKindConfig, ListedRates, RuleConfig,
    TenantConfig,
};
use serde_json::{json, Value};

impl Scenario {
    /// What forwarder `number` is told at its start.
    pub fn config(&self, number: u32) -> Config {
        let profile = |p: &super::Profile| DeliveryClassConfig {
            semantics: match p.effect {
                Effect::Retriable => opalpulley::DeliverySemantics::Idempotent,
                Effect::Fingerprinted => opalpulley::DeliverySemantics::IdempotencyKeyed {
                    scope: DeduplicationScope::AllEndpoints,
                    window: p.window.0,
                },
                Effect::Binding => opalpulley::DeliverySemantics::AtMostOnce,
            },
            latency_objective: p.contract_time.0,
            time_to_live: p.expiry.0,
            priority_weight: p.importance,
            late_weight_share: p.late_share,
            ordered: p.in_order,
        };
        let crew = &self.forwarders;
        Config {
            forwarder: number as u16,
            fleet_size: crew.count,
            concurrency_limit: crew.slots,
            message_capacity: crew.room,
            max_attempts: crew.trips,
            order_release: opalpulley::OrderRelease::default(),
            may_health_check: crew.may_probe,
            may_cancel: crew.may_call_off,
            may_send_retry_after: crew.may_say_when,
            may_gossip: crew.may_tell,
            max_retry_after: crew.longest_return.0,
            listed_rates: ListedRates::Nominal,
            priority_decay: match crew.fading {
                Fading::Evenly => opalpulley::PriorityDecay::Linear,
                Fading::Halving => opalpulley::PriorityDecay::Exponential,
            },
            over_quota_weight: 0.1,
            classes: self.profiles.iter().map(profile).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|t| TenantConfig { quota: t.quota })
                .collect(),
            endpoint_kinds: [false, true]
                .map(|routes_apart| EndpointKindConfig {
                    independent_limits: routes_apart,
                    batch_size: 1,
                })
                .to_vec(),
            zone_costs: vec![0.0, 0.0],
            poll_interval: self.network.asked.as_ref().map(|a| a.within.0),
            notified_within: None,
            rules: RuleConfig {
                answer_slack: self.rules.answer_slack.0,
                drain_grace: self.rules.drain_grace.0,
                cold_capacity_share: self.rules.cold_from,
                warm_up_time: self.rules.warm_after.0,
                overload_multiple: self.rules.fall_multiple,
                overload_window: self.rules.overload_for.0,
                order_settle_time: self.rules.order_pause.0,
            },
            scheduling_interval: 5_000,
            full_destinations: None,
        }
    }

    /// The start-up configuration of forwarder `number` on sockets, as the platform's deployment writes it.
    pub fn startup_config(&self, number: u32, seed: u64) -> Value {
        let effect = |e| match e {
            Effect::Retriable => "free",
            Effect::Fingerprinted => "guarded",
            Effect::Binding => "single_shot",
        };
        let profile = |p: &super::Profile| {
            json!({"Name": p.name, "Effect": effect(p.effect), "DedupWindowUs": p.window.0,
                "GoalTimeUs": p.contract_time.0, "HardLimitUs": p.expiry.0, "LateShare": p.late_share,
                "Points": p.importance, "SerialByKey": p.in_order})
        };
        let crew = &self.forwarders;
        let idle = self
            .destinations
            .iter()
            .map(|d| d.idle.0)
            .min()
            .unwrap_or(5_000_000);
        let (fades, r) = (
            if crew.fading == Fading::Evenly {
                "linear"
            } else {
                "halving"
            },
            &self.rules,
        );
        json!({
            "name": format!("n{number}"), "seed": format!("{seed:016x}"),
            "limits": {"memory_mb": 4.0 * crew.disk_mb, "sockets": 4096, "disk_mb": crew.disk_mb},
            "settings": {
                "Azs": ["a", "b"], "Balancers": crew.count, "Me": number, "HostTypes": ["shared", "apart"],
                "QuantumUs": 5000, "Weights": "nominal", "OverShareWorth": 0.1,
                "Accounts": self.tenants.iter().map(|t| json!({"Name": t.name, "QuotaPerS": t.quota})).collect::<Vec<_>>(),
                "Domain": {"Fades": fades, "Workers": crew.slots, "PerCall": [1, 1], "RoutesApart": [false, true]},
                "Limits": {"Cancelling": crew.may_call_off, "ConnIdleUs": idle,
                    "ConnectTimeoutUs": self.network.connect_within.0, "MaxAttempts": crew.trips,
                    "MaxOpen": crew.room, "MaxRetryAfterUs": crew.longest_return.0,
                    "Probing": crew.may_probe, "RetryAfter": crew.may_say_when},
                "Profiles": self.profiles.iter().map(profile).collect::<Vec<_>>(),
                "Rules": {"AnswerSlackUs": r.answer_slack.0, "ColdFrom": r.cold_from,
                    "DrainGraceUs": r.drain_grace.0, "FallMultiple": r.fall_multiple,
                    "OverloadForUs": r.overload_for.0, "WarmAfterUs": r.warm_after.0,
                    "OrderPauseUs": r.order_pause.0}
            }
        })
    }
}
