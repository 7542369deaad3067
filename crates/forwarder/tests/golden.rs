//! Checks that the program recovers state folders written by earlier versions: messages before their deadline are sent to
//! their endpoints, pending completion reports are sent, and completed messages are not sent again.

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

/// Copies a stored state folder to the empty folder `state`.
fn copy_stored_state(stored_folder: &str, state: &Path) {
    for file in
        std::fs::read_dir(golden_path(stored_folder)).expect("the stored folder is readable")
    {
        let file = file.expect("the entry is readable");
        std::fs::copy(file.path(), state.join(file.file_name())).expect("the file is copied");
    }
}

/// Returns all lines of the completion reports that the platform received.
fn report_lines(platform: &Platform) -> BTreeSet<String> {
    let reports = platform
        .completion_reports
        .lock()
        .expect("the reports are not poisoned");
    let texts = reports
        .iter()
        .map(|report| String::from_utf8_lossy(&report.body).into_owned());
    texts
        .flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>())
        .collect()
}

/// Returns the calls that an endpoint received: idempotency key and body by request id.
fn calls_by_id(log: &RequestLog) -> BTreeMap<String, (Option<String>, String)> {
    let log = log.lock().expect("the request log is not poisoned");
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

/// Returns the lines of a golden file.
fn recorded_lines(name: &str) -> BTreeSet<String> {
    let text = std::fs::read_to_string(golden_path(name)).expect("the golden file is readable");
    text.lines().map(str::to_owned).collect()
}

/// Starts the program on a copy of a stored state folder, waits for all recorded calls and reports, and checks that there
/// are no others.
fn assert_recovers(stored_folder: &str, effect: &str, golden_file: &str) {
    let endpoints: Vec<_> = [7, 8, 9, 10, 11, 65_535, 70_000, u32::MAX]
        .map(|destination| (destination, serve(|_, _| empty_response("200 OK"))))
        .into();
    let members = endpoints
        .iter()
        .map(|(destination, (address, _))| member(*address, *destination, "Ready"));
    // The platform does not acknowledge the first completion report, so that it is repeated.
    let platform = start_platform(members.collect(), 1);
    let (_dir, state) = state_folder();
    copy_stored_state(stored_folder, &state);
    let config_text = startup_config("notice", effect, 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let _forwarder = scripted::start(PROGRAM, &state, &config_text, platform.address);
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
    let recorded = recorded_lines(golden_file);
    assert!(
        !recorded.is_empty(),
        "{golden_file}: the golden file must not be empty"
    );
    wait_until("all recorded calls and reports arrive", || {
        received_lines().is_superset(&recorded)
    });
    thread::sleep(Duration::from_millis(500));
    assert_eq!(
        received_lines(),
        recorded,
        "{golden_file}: expected the recorded calls and reports and no others"
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
