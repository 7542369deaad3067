//! Proves with the whole program that it takes over state folders written before a change: messages that are not past their
//! deadline go to their endpoints, pending completion reports are told, and what was over stays over.

use opalpulley_lab::scripted::{self, *};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_opalpulley-forwarder");

fn golden_path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

/// Copies a stored folder to the empty folder `state`.
fn copy_stored_state(stored: &str, state: &Path) {
    for file in std::fs::read_dir(golden_path(stored)).expect("the stored folder") {
        let file = file.expect("a file");
        std::fs::copy(file.path(), state.join(file.file_name())).expect("copied");
    }
}

/// All lines of the completion reports that the platform was told.
fn report_lines(platform: &Platform) -> BTreeSet<String> {
    let reports = platform.completion_reports.lock().expect("the reports");
    let texts = reports
        .iter()
        .map(|report| String::from_utf8_lossy(&report.body).into_owned());
    texts
        .flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>())
        .collect()
}

/// What an endpoint was called with: request ids with idempotency key and body.
fn calls_by_id(log: &Log) -> BTreeMap<String, (Option<String>, String)> {
    let log = log.lock().expect("the log");
    let calls = log
        .iter()
        .filter(|message| message.first == "POST /inbox HTTP/1.1")
        .map(|message| {
            let body = String::from_utf8_lossy(&message.body).into_owned();
            (
                message.headers["request-id"].clone(),
                (message.headers.get("idempotency-key").cloned(), body),
            )
        });
    calls.collect()
}

/// The lines of a recorded text.
fn recorded_lines(name: &str) -> BTreeSet<String> {
    let text = std::fs::read_to_string(golden_path(name)).expect("the golden file is readable");
    text.lines().map(str::to_owned).collect()
}

/// Starts the program on a copy of a stored folder, waits until all recorded calls and reports are there, and compares.
fn assert_recovers(stored: &str, effect: &str, expected: &str) {
    let endpoints: Vec<_> = [7, 8, 9, 10, 11, 65_535, 70_000, u32::MAX]
        .map(|destination| (destination, serve(|_, _| plain("200 OK"))))
        .into();
    let members = endpoints
        .iter()
        .map(|(destination, (address, _))| member(*address, *destination, "Ready"));
    // The first completion report is not acknowledged, so that it comes again.
    let platform = platform(members.collect(), 1);
    let (_dir, state) = folder();
    copy_stored_state(stored, &state);
    let text = config("notice", effect, 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let _forwarder = scripted::start(PROGRAM, &state, &text, platform.address);
    let received_lines = || {
        let mut lines: BTreeSet<String> = report_lines(&platform)
            .into_iter()
            .map(|line| format!("reported {line}"))
            .collect();
        for (destination, (_, log)) in &endpoints {
            for (id, (key, body)) in calls_by_id(log) {
                let key = key.unwrap_or_else(|| "none".to_owned());
                lines.insert(format!(
                    "destination {destination} called: {id}, idempotency key {key}, body {body}"
                ));
            }
        }
        lines
    };
    let recorded = recorded_lines(expected);
    assert!(!recorded.is_empty(), "{expected}: there are lines");
    until("all recorded calls and reports have come", || {
        received_lines().is_superset(&recorded)
    });
    thread::sleep(Duration::from_millis(500));
    assert_eq!(
        received_lines(),
        recorded,
        "{expected}: nothing else has come"
    );
}

#[test]
fn sends_repeatable_stored_messages_and_pending_reports() {
    assert_recovers("state-by-operations", "free", "taken-over-free.txt");
}

#[test]
fn fails_stored_messages_outside_their_deduplication_window() {
    assert_recovers("state-by-operations", "guarded", "taken-over-guarded.txt");
}

#[test]
fn reports_stored_messages_past_their_deadline() {
    assert_recovers("state-by-program", "guarded", "taken-over-expired.txt");
}
