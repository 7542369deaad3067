//! Proves that start objects are read as before: each recorded text gives the same configuration, field by field, or the
//! same words about what is wrong.

use opalpulley::{Effect, Ends, Fading, ListRates, ProfileConfig, RepeatGroup};
use opalpulley_config::Waybill;
use serde_json::{json, Value};
use std::path::PathBuf;

fn golden_file() -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", "start-objects.json"].iter().collect()
}

fn render_class(class: &ProfileConfig) -> Value {
    let repeats = match class.effect {
        Effect::Retriable => json!("idempotent"),
        Effect::Binding => json!("at most once"),
        Effect::Fingerprinted { group, window } => {
            let group = match group {
                RepeatGroup::All => "all endpoints",
                RepeatGroup::Zone => "one zone",
                RepeatGroup::Destination => "one destination",
            };
            json!({ "idempotency keyed, known to": group, "for us": window })
        }
    };
    json!({
        "repeats": repeats,
        "latency objective us": class.contract_time,
        "deadline us": class.expiry,
        "priority weight": class.importance,
        "late share": class.late_share,
        "keeps order": class.in_order,
    })
}

fn render(start: &Waybill) -> Value {
    let config = &start.config;
    let rules = &config.rules;
    let ends = match config.ends {
        Ends::AtOnce => "at once",
        Ends::WhenHeard => "when acknowledged",
    };
    let list_rates = match config.list_rates {
        ListRates::Untold => "none",
        ListRates::Nominal => "nominal",
        ListRates::Rough => "rough",
    };
    let fading = match config.fading {
        Fading::Evenly => "evenly",
        Fading::Halving => "by half",
    };
    let kinds = config.kinds.iter();
    let kinds =
        kinds.map(|kind| json!({ "routes apart": kind.routes_apart, "messages a call": kind.per_call }));
    json!({
        "number of the forwarder": config.forwarder,
        "forwarders": config.forwarders,
        "concurrency permits": config.slots,
        "messages held": config.room,
        "attempts": config.max_trips,
        "ends count": ends,
        "may check health": config.may_probe,
        "may cancel": config.may_call_off,
        "may say retry-after": config.may_say_when,
        "may gossip": config.may_gossip,
        "longest retry-after us": config.longest_return,
        "rates of the list": list_rates,
        "worth falls": fading,
        "priority weight over the share": config.over_share_worth,
        "classes": config.profiles.iter().map(render_class).collect::<Vec<_>>(),
        "quotas of tenants": config.tenants.iter().map(|tenant| tenant.quota).collect::<Vec<_>>(),
        "kinds": kinds.collect::<Vec<_>>(),
        "fees of zones": config.zone_fees,
        "list is asked for within us": config.ask_within,
        "list counts as told within us": config.told_within,
        "answer slack us": rules.answer_slack,
        "drain grace us": rules.drain_grace,
        "cold from": rules.cold_from,
        "warm after us": rules.warm_after,
        "fall multiple": rules.fall_multiple,
        "overload for us": rules.overload_for,
        "order pause us": rules.order_pause,
        "shortest round us": config.round,
        "destinations in full": config.full_destinations,
        "names of classes": start.names.profiles,
        "names of tenants": start.names.tenants,
        "names of zones": start.names.zones,
        "names of kinds": start.names.kinds,
        "names of report values": start.names.reports,
        "idle connections closed after us": start.connections.idle_closed_after,
        "connections up within us": start.connections.connect_within,
    })
}

fn read(text: &str) -> Value {
    match opalpulley_config::read(text.as_bytes()) {
        Ok(start) => render(&start),
        Err(problem) => json!({ "wrong": problem }),
    }
}

#[test]
fn start_objects_are_read_as_recorded() {
    let text = std::fs::read(golden_file()).expect("the golden file is readable");
    let cases: Vec<Value> = serde_json::from_slice(&text).expect("the golden file is a list of cases");
    let mut differences = Vec::new();
    for case in &cases {
        let actual = read(case["input"].as_str().expect("a text"));
        if case["expected"] != actual {
            differences.push(format!("{}\nexpected {}\nactual   {actual}", case["name"], case["expected"]));
        }
    }
    assert!(!cases.is_empty(), "there are cases");
    assert!(differences.is_empty(), "{}", differences.join("\n\n"));
}
