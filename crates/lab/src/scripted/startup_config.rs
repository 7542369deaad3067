//! The start-up configuration of a forwarder under test, and its state folder.

use tempfile::TempDir;

/// Returns a start-up configuration with one delivery class. `effect` is the value of its delivery semantics in the settings.
pub fn startup_config(profile: &str, effect: &str, sockets: usize, disk_mb: f64) -> String {
    format!(
        r#"{{"name":"n0","seed":"8c1f30d27a5be964","limits":{{"memory_mb":192,"sockets":{sockets},"disk_mb":{disk_mb}}},
        "settings":{{"Azs":["a"],"Balancers":1,"Me":0,"HostTypes":["m"],"QuantumUs":5000,"Weights":"nominal",
        "Domain":{{"Fades":"halving","Workers":8,"PerCall":[1],"RoutesApart":[false]}},
        "Limits":{{"Cancelling":true,"ConnIdleUs":5000000,"ConnectTimeoutUs":1000000,"MaxAttempts":6,"MaxOpen":400,
            "MaxRetryAfterUs":2000000,"Probing":true,"RetryAfter":true}},
        "Profiles":[{{"Name":"{profile}","Effect":"{effect}","DedupWindowUs":15000000,"GoalTimeUs":2500000,
            "HardLimitUs":28000000,"LateShare":0.5,"Points":1.0}}],
        "Rules":{{"AnswerSlackUs":20000,"ColdFrom":0.2,"DrainGraceUs":500000,"FallMultiple":2.0,
            "OverloadForUs":2000000,"WarmAfterUs":10000000}}}}}}"#
    )
}

/// Returns a start-up configuration with further top-level keys; `pairs` holds them as JSON without the outer braces.
pub fn with_further_keys(config: &str, pairs: &str) -> String {
    config.replacen("\"settings\"", &format!("{pairs},\"settings\""), 1)
}

/// Creates an empty state folder. It is deleted when the returned temporary folder is dropped.
pub fn state_folder() -> (TempDir, std::path::PathBuf) {
    let folder = TempDir::new().expect("a temporary folder should be created");
    let state = folder.path().join("state");
    std::fs::create_dir(&state).expect("the state folder should be created");
    (folder, state)
}
