//! Proves with the whole program that it takes over state folders written before a change: messages that are not past their
//! deadline go to their endpoints, pending completion reports are told, and what was over stays over.

use opalpulley_lab::scripted::{self, *};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_opalpulley-forwarder");

fn golden(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

/// Copies a stored folder to the empty folder `state`.
fn copy(stored: &str, state: &Path) {
    for file in std::fs::read_dir(golden(stored)).expect("the stored folder") {
        let file = file.expect("a file");
        std::fs::copy(file.path(), state.join(file.file_name())).expect("copied");
    }
}

/// All lines of the completion reports that the platform was told.
fn reported(platform: &Platform) -> BTreeSet<String> {
    let reports = platform.completion_reports.lock().expect("the reports");
    let texts = reports
        .iter()
        .map(|report| String::from_utf8_lossy(&report.body).into_owned());
    texts
        .flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>())
        .collect()
}

/// What an endpoint was called with: request ids with idempotency key and body.
fn called(log: &RequestLog) -> BTreeMap<String, (Option<String>, String)> {
    let log = log.lock().expect("the log");
    let calls = log
        .iter()
        .filter(|message| message.first_line == "POST /inbox HTTP/1.1")
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
fn recorded(name: &str) -> BTreeSet<String> {
    let text = std::fs::read_to_string(golden(name)).expect("the golden file is readable");
    text.lines().map(str::to_owned).collect()
}

/// Starts the program on a copy of a stored folder, waits until all recorded calls and reports are there, and compares.
fn takes_over(stored: &str, effect: &str, expected: &str) {
    let served: Vec<_> = [7, 8, 9, 10, 11, 65_535, 70_000, u32::MAX]
        .map(|destination| (destination, serve(|_, _| empty_response("200 OK"))))
        .into();
    let members = served
        .iter()
        .map(|(destination, (address, _))| member(*address, *destination, "Ready"));
    // The first completion report is not acknowledged, so that it comes again.
    let platform = start_platform(members.collect(), 1);
    let (_dir, state) = state_folder();
    copy(stored, &state);
    let text = startup_config("notice", effect, 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let _forwarder = scripted::start(PROGRAM, &state, &text, platform.address);
    let seen = || {
        let mut lines: BTreeSet<String> = reported(&platform)
            .into_iter()
            .map(|line| format!("reported {line}"))
            .collect();
        for (destination, (_, log)) in &served {
            for (id, (key, body)) in called(log) {
                let key = key.unwrap_or_else(|| "none".to_owned());
                lines.insert(format!(
                    "destination {destination} called: {id}, idempotency key {key}, body {body}"
                ));
            }
        }
        lines
    };
    let recorded = recorded(expected);
    assert!(!recorded.is_empty(), "{expected}: there are lines");
    wait_until("all recorded calls and reports have come", || {
        seen().is_superset(&recorded)
    });
    thread::sleep(Duration::from_millis(500));
    assert_eq!(seen(), recorded, "{expected}: nothing else has come");
}

#[test]
fn stored_messages_that_may_be_repeated_are_all_sent_and_pending_reports_told() {
    takes_over("state-by-operations", "free", "taken-over-free.txt");
}

#[test]
fn stored_messages_outside_their_repeat_window_fail_and_the_others_are_sent() {
    takes_over("state-by-operations", "guarded", "taken-over-guarded.txt");
}

#[test]
fn stored_messages_past_their_deadline_end_with_a_completion_report() {
    takes_over("state-by-program", "guarded", "taken-over-expired.txt");
}
