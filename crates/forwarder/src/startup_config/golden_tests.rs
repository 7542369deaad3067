//! Proves that the start-up configuration is read as before: each recorded file, with its variables, gives the same values
//! or the same words about what is wrong.

use super::*;
use crate::golden_cases::GoldenCases;
use serde_json::{json, Value};

fn render_ends(ends: OrderRelease) -> &'static str {
    match ends {
        OrderRelease::OnFinalAnswer => "at once",
        OrderRelease::OnAcknowledgement => "when acknowledged",
    }
}

/// What this module adds to the start object; the rest of it is compared where it is read.
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
        "idle sockets": startup.max_idle_connections,
        "gossip address": gossip.listen,
        "gossip peers": gossip.each,
        "gossip address of all": gossip.all,
        "known list: revision, complete, ids": startup.cached_list.as_ref().map(|known| {
            let ids: Vec<&str> = known.members.iter().map(|member| member.id.as_str()).collect();
            json!([known.revision, known.complete, ids])
        }),
        "permits": config.concurrency_limit,
        "messages a call by kind": config.endpoint_kinds.iter().map(|kind| kind.max_batch_size).collect::<Vec<_>>(),
        "ends count": render_ends(config.order_release),
        "may gossip": config.may_gossip,
        "class names": startup.settings.names.classes,
    })
}

fn parse(input: &Value) -> Value {
    let folder = std::env::temp_dir().display().to_string();
    let var = |key: &str| match input["variables"][key].as_str() {
        Some("NONE") => None,
        Some(value) => Some(value.to_owned()),
        None => (key == "GW_STATE").then(|| folder.clone()),
    };
    match StartupConfig::parse(input["text"].as_str().expect("a text").as_bytes(), var) {
        Ok(startup) => render(&startup),
        Err(problem) => json!({ "wrong": problem.to_string() }),
    }
}

#[test]
fn start_up_configurations_are_read_as_recorded() {
    let mut golden = GoldenCases::read("start-up-configurations.json");
    for input in golden.inputs() {
        golden.compare_next(parse(&input));
    }
    golden.finish();
}
