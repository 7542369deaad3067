//! Tests that parsing the settings does not change between versions: each recorded JSON text must give the recorded
//! configuration, field by field, or the recorded error message.

use opalpulley::{
    DeduplicationScope, DeliveryClassConfig, DeliverySemantics, ListedRateAccuracy, OrderRelease,
    PriorityDecay,
};
use opalpulley_config::ForwarderSettings;
use serde_json::{json, Value};
use std::path::PathBuf;

fn golden_path() -> PathBuf {
    [
        env!("CARGO_MANIFEST_DIR"),
        "tests",
        "golden",
        "start-objects.json",
    ]
    .iter()
    .collect()
}

fn render_class(class: &DeliveryClassConfig) -> Value {
    let semantics = match class.semantics {
        DeliverySemantics::Idempotent => json!("idempotent"),
        DeliverySemantics::AtMostOnce => json!("at most once"),
        DeliverySemantics::IdempotencyKeyed {
            scope: deduplication_scope,
            window,
        } => {
            let deduplication_scope = match deduplication_scope {
                DeduplicationScope::AllEndpoints => "all endpoints",
                DeduplicationScope::Zone => "one zone",
                DeduplicationScope::Destination => "one destination",
            };
            json!({ "idempotency keyed, known to": deduplication_scope, "for us": window })
        }
    };
    json!({
        "repeats": semantics,
        "latency objective us": class.latency_objective,
        "deadline us": class.time_to_live,
        "priority weight": class.priority_weight,
        "late share": class.late_weight_share,
        "keeps order": class.ordered,
    })
}

fn render_settings(settings: &ForwarderSettings) -> Value {
    let config = &settings.config;
    let rules = &config.rules;
    let order_release = match config.order_release {
        OrderRelease::OnFinalAnswer => "at once",
        OrderRelease::OnAcknowledgement => "when acknowledged",
    };
    let listed_rates = match config.listed_rate_accuracy {
        ListedRateAccuracy::Unlisted => "none",
        ListedRateAccuracy::Nominal => "nominal",
        ListedRateAccuracy::Approximate => "rough",
    };
    let priority_decay = match config.priority_decay {
        PriorityDecay::Linear => "evenly",
        PriorityDecay::Exponential => "by half",
    };
    let kinds = config.endpoint_kinds.iter();
    let kinds = kinds.map(
        |kind| json!({ "routes apart": kind.has_independent_limits, "messages a call": kind.max_batch_size }),
    );
    json!({
        "number of the forwarder": config.forwarder_id,
        "forwarders": config.fleet_size,
        "concurrency permits": config.concurrency_limit,
        "messages held": config.max_messages,
        "attempts": config.max_attempts,
        "ends count": order_release,
        "may check health": config.may_health_check,
        "may cancel": config.may_cancel,
        "may say retry-after": config.may_send_retry_after,
        "may gossip": config.may_gossip,
        "longest retry-after us": config.max_retry_after,
        "rates of the list": listed_rates,
        "worth falls": priority_decay,
        "priority weight over the share": config.over_quota_weight_share,
        "classes": config.classes.iter().map(render_class).collect::<Vec<_>>(),
        "quotas of tenants": config.tenants.iter().map(|tenant| tenant.quota).collect::<Vec<_>>(),
        "kinds": kinds.collect::<Vec<_>>(),
        "fees of zones": config.zone_costs,
        "list is asked for within us": config.list_poll_interval,
        "list counts as told within us": config.list_notification_delay,
        "answer slack us": rules.answer_slack,
        "drain grace us": rules.drain_grace,
        "cold from": rules.cold_capacity_share,
        "warm after us": rules.warm_up_time,
        "fall multiple": rules.overload_multiple,
        "overload for us": rules.overload_window,
        "order pause us": rules.order_settle_time,
        "shortest round us": config.min_tick_interval,
        "destinations in full": config.full_destinations,
        "names of classes": settings.names.classes,
        "names of tenants": settings.names.tenants,
        "names of zones": settings.names.zones,
        "names of kinds": settings.names.endpoint_kinds,
        "names of report values": settings.names.load_metrics,
        "idle connections closed after us": settings.connections.connection_idle_timeout,
        "connections up within us": settings.connections.connect_timeout,
    })
}

fn parse_and_render(json: &str) -> Value {
    match opalpulley_config::parse_settings(json.as_bytes()) {
        Ok(settings) => render_settings(&settings),
        Err(error) => json!({ "wrong": error.to_string() }),
    }
}

#[test]
fn parses_start_objects_as_recorded() {
    let text = std::fs::read(golden_path()).expect("the golden file is readable");
    let cases: Vec<Value> =
        serde_json::from_slice(&text).expect("the golden file is a list of cases");
    let mut differences = Vec::new();
    for case in &cases {
        let actual = parse_and_render(case["input"].as_str().expect("`input` is a string"));
        if case["expected"] != actual {
            differences.push(format!(
                "{}\nexpected {}\nactual   {actual}",
                case["name"], case["expected"]
            ));
        }
    }
    assert!(!cases.is_empty(), "the golden file must contain cases");
    assert!(differences.is_empty(), "{}", differences.join("\n\n"));
}
