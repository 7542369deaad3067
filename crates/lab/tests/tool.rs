//! Tests of the program `opalpulley-lab` as a process: its output, the files that it writes and its exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Exit code of an invalid run, for which the machine was too slow.
const EXIT_INVALID_RUN: i32 = 3;

/// Upper bound on the number of runs on sockets until one is valid.
const MAX_RUNS: usize = 3;

fn run_lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_opalpulley-lab"))
        .args(args)
        .output()
        .expect("opalpulley-lab should start")
}

fn scenario_path(name: &str) -> String {
    format!(
        "{}/../../lab/scenarios/{name}.toml",
        env!("CARGO_MANIFEST_DIR")
    )
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn simulate(scenario: &str, seed: &str, json_file: &Path) -> Vec<u8> {
    let json_path = json_file.to_str().expect("the path should be UTF-8");
    let output = run_lab(&[
        "run",
        scenario,
        "--simulated",
        "--seed",
        seed,
        "--json",
        json_path,
    ]);
    assert!(output.status.success(), "{}", to_text(&output.stdout));
    std::fs::read(json_path).expect("the outcome should be written")
}

#[test]
fn writes_identical_outcomes_for_equal_scenario_and_seed_in_two_processes() {
    let dir = tempfile::tempdir().expect("a temporary directory should be created");
    for name in ["hostile", "day", "herd"] {
        let [a, b, c] = [("a", "5"), ("b", "5"), ("c", "6")]
            .map(|(file, seed)| simulate(&scenario_path(name), seed, &dir.path().join(file)));
        assert!(
            a == b,
            "{name}: the outcomes of equal seeds should be equal"
        );
        assert!(
            a != c,
            "{name}: the outcomes of different seeds should differ"
        );
    }
}

#[test]
fn catalogue_exits_with_0_when_every_scenario_meets_its_expectations() {
    let folder = format!("{}/../../lab/scenarios", env!("CARGO_MANIFEST_DIR"));
    let output = run_lab(&["catalogue", &folder]);
    let stdout = to_text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{stdout}");
    assert!(stdout.lines().count() >= 16, "{stdout}");
}

#[test]
fn exits_with_1_for_a_broken_rule_and_with_2_for_unusable_input() {
    let hostile = scenario_path("hostile");
    let broken_rule = run_lab(&["run", &hostile, "--make", "second-answer"]);
    assert_eq!(broken_rule.status.code(), Some(1));
    assert!(to_text(&broken_rule.stdout).contains("second-final-answer"));
    let dir = tempfile::tempdir().expect("a temporary directory should be created");
    let file = dir.path().join("bad.toml");
    let good = std::fs::read_to_string(&hostile).expect("the scenario should exist");
    std::fs::write(&file, good.replacen("slots = 24", "slits = 24", 1))
        .expect("the file should be written");
    for (args, expected) in [
        (vec!["run", "nowhere.toml"], "nowhere.toml"),
        (
            vec!["run", file.to_str().expect("the path should be UTF-8")],
            "slits",
        ),
        (
            vec!["run", &hostile, "--set", "forwarders.slots=none"],
            "slots",
        ),
        (
            vec![
                "run",
                &hostile,
                "--sockets",
                "--forwarder",
                "/no/such/program",
            ],
            "/no/such/program",
        ),
        (
            vec![
                "sweep",
                &hostile,
                "--key",
                "forwarders.slits",
                "--values",
                "1",
            ],
            "slits",
        ),
    ] {
        let output = run_lab(&args);
        let stderr = to_text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {stderr}");
        assert!(
            stderr.contains(expected) && stderr.lines().count() == 1,
            "{args:?}: {stderr}"
        );
    }
}

#[test]
fn compare_sweep_and_report_write_their_files() {
    let dir = tempfile::tempdir().expect("a temporary directory should be created");
    let path = |name: &str| -> (PathBuf, String) {
        let path = dir.path().join(name);
        (
            path.clone(),
            path.to_str().expect("the path should be UTF-8").into(),
        )
    };
    let first = scenario_path("first");
    let (file, file_arg) = path("compare.json");
    let args = [
        "compare",
        &first,
        &first,
        "--set-b",
        "forwarders.slots=1",
        "--seeds",
        "4",
        "--json",
        &file_arg,
    ];
    assert_eq!(
        run_lab(&args).status.code(),
        Some(1),
        "a side with one permit should be worse"
    );
    let comparison: serde_json::Value =
        serde_json::from_slice(&std::fs::read(file).expect("the file should be written"))
            .expect("the file should be JSON");
    assert_eq!(
        (&comparison["verdict"], &comparison["pairs"]),
        (&"worse".into(), &4.into())
    );
    // Side B is simulated by this program as another build, so both sides have equal outcomes.
    let build = env!("CARGO_BIN_EXE_opalpulley-lab");
    let same_build = run_lab(&[
        "compare",
        &first,
        &first,
        "--build-b",
        build,
        "--seeds",
        "3",
    ]);
    assert!(
        to_text(&same_build.stdout).contains("neither better nor worse"),
        "{}",
        to_text(&same_build.stdout)
    );
    let (file, file_arg) = path("sweep.json");
    let args = [
        "sweep",
        &first,
        "--key",
        "forwarders.slots",
        "--values",
        "1,4,64",
        "--seeds",
        "2",
        "--json",
        &file_arg,
    ];
    assert!(run_lab(&args).status.success());
    let sweep: serde_json::Value =
        serde_json::from_slice(&std::fs::read(file).expect("the file should be written"))
            .expect("the file should be JSON");
    let service = |row: usize| {
        sweep["rows"][row]["service"]
            .as_f64()
            .expect("the service should be a number")
    };
    assert!(service(0) < service(2), "{sweep}");
    let (outcome, _) = path("outcome.json");
    simulate(&first, "1", &outcome);
    let (page, file_arg) = path("page.html");
    assert!(run_lab(&[
        "report",
        outcome.to_str().expect("the path should be UTF-8"),
        "--to",
        &file_arg
    ])
    .status
    .success());
    assert!(std::fs::read_to_string(page)
        .expect("the file should be written")
        .contains("<svg"));
}

/// Guards against an oracle that never fails on sockets: the relay neither retries nor sends a final answer, so that its
/// failed messages are lost.
#[test]
fn run_on_sockets_reports_lost_messages_of_a_relay_without_retries() {
    let dir = tempfile::tempdir().expect("a temporary directory should be created");
    let file = dir.path().join("relay.toml");
    let toml = "version = 1\nname = \"relay\"\nshows = \"s\"\nlasts = \"2s\"\n[[profiles]]\nname = \"p\"\neffect = \"retriable\"\n\
                 contract_time = \"500ms\"\nexpiry = \"2s\"\n[[destinations]]\nname = \"d\"\nrate = 100.0\nlimited = false\n\
                 errors = 0.3\nservice = { kind = \"constant\", time = \"5ms\" }\n[[loads]]\nrate = 40.0\n";
    std::fs::write(&file, toml).expect("the file should be written");
    let relay = env!("CARGO_BIN_EXE_opalpulley-relay");
    let arguments = [
        "run",
        file.to_str().expect("the path should be UTF-8"),
        "--sockets",
        "--forwarder",
        relay,
    ];
    // A run is invalid if the machine was too slow for the load generator. It is then repeated.
    let is_invalid = |output: &Output| output.status.code() == Some(EXIT_INVALID_RUN);
    let output = (0..MAX_RUNS)
        .map(|_| run_lab(&arguments))
        .find(|output| !is_invalid(output))
        .expect("one of the runs should be valid");
    let stdout = to_text(&output.stdout);
    assert_eq!(
        output.status.code(),
        Some(1),
        "{stdout}{}",
        to_text(&output.stderr)
    );
    assert!(stdout.contains("rule broken: lost"), "{stdout}");
}
