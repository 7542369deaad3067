//! Guards the parsing of the startup configuration against unintended changes: each recorded file, with its variables,
//! gives the same values or the same error text.

use super::*;
use crate::golden_cases::GoldenCases;
use serde_json::{json, Value};

fn render_order_release(order_release: OrderRelease) -> &'static str {
    match order_release {
        OrderRelease::OnFinalAnswer => "at once",
        OrderRelease::OnAcknowledgement => "when acknowledged",
    }
}

/// Renders the values that this module adds to the start object. The rest of the start object is compared where it is
/// parsed.
fn render(startup: &StartupConfig) -> Value {
    let config = &startup.settings.config;
    let gossip = &startup.gossip_peers;
    json!({
        "name": startup.name,
        "listen": startup.listen,
        "discovery": startup.discovery,
        "discovery in the file": startup.discovery_in_file,
        "seed": format!("{:016x}", startup.seed),
        "disk bytes": startup.journal_bytes,
        "client sockets": startup.max_client_connections,
        "idle sockets": startup.max_body_connections,
        "gossip address": gossip.listen,
        "gossip peers": gossip.addresses,
        "gossip address of all": gossip.broadcast,
        "known list: revision, complete, ids": startup.cached_list.as_ref().map(|list| {
            let ids: Vec<&str> = list.members.iter().map(|member| member.id.as_str()).collect();
            json!([list.revision, list.complete, ids])
        }),
        "permits": config.concurrency_limit,
        "messages a call by kind": config.endpoint_kinds.iter().map(|kind| kind.max_batch_size).collect::<Vec<_>>(),
        "ends count": render_order_release(config.order_release),
        "may gossip": config.may_gossip,
        "class names": startup.settings.names.classes,
    })
}

fn parse(input: &Value) -> Value {
    let state_dir = std::env::temp_dir().display().to_string();
    let variable = |key: &str| match input["variables"][key].as_str() {
        Some("NONE") => None,
        Some(value) => Some(value.to_owned()),
        None => (key == "GW_STATE").then(|| state_dir.clone()),
    };
    match StartupConfig::parse(
        input["text"]
            .as_str()
            .expect("the input has a text")
            .as_bytes(),
        variable,
    ) {
        Ok(startup) => render(&startup),
        Err(error) => json!({ "wrong": error.to_string() }),
    }
}

#[test]
fn reads_startup_configurations_as_recorded() {
    let mut golden = GoldenCases::read("start-up-configurations.json");
    for input in golden.inputs() {
        golden.compare_next(parse(&input));
    }
    golden.finish();
}
