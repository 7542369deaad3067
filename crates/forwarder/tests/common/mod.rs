//! Helpers for the tests of the program, which runs between the scripted peers of the laboratory.

// Each test file is a crate of its own and uses only some of the helpers.
#![allow(dead_code)]

use opalpulley_lab::scripted;
pub use opalpulley_lab::scripted::*;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tempfile::TempDir;

/// Path of the program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_opalpulley-forwarder");

/// Starts the program and waits until it is ready.
pub fn start(state: &Path, config_text: &str, discovery: SocketAddr) -> Forwarder {
    scripted::start(PROGRAM, state, config_text, discovery)
}

/// Returns the command that starts the program with this configuration.
pub fn command(state: &Path, config_text: &str, listen: &str, discovery: SocketAddr) -> Command {
    scripted::command(PROGRAM, state, config_text, listen, discovery)
}

/// A forwarder between clients and one listed endpoint. Dropping it ends the process and deletes its state directory.
pub struct TestSetup {
    pub forwarder: Forwarder,
    pub platform: Platform,
    pub state: PathBuf,
    _folder: TempDir,
}

/// Starts a platform that lists `endpoint` for destination 7, and a forwarder with this configuration. Waits until the
/// forwarder is ready.
pub fn start_with_endpoint(endpoint: SocketAddr, config_text: &str) -> TestSetup {
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (folder, state) = state_folder();
    let forwarder = start(&state, config_text, platform.address);
    TestSetup {
        forwarder,
        platform,
        state,
        _folder: folder,
    }
}

/// Kills the process and waits until it has ended.
pub fn kill_and_wait(forwarder: &mut Forwarder) {
    forwarder.child.kill().expect("the process is killed");
    forwarder.child.wait().expect("the process exits");
}

/// Returns a loopback address without a listener.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener
        .local_addr()
        .expect("the socket has a local address")
}

/// Starts an endpoint that responds to each request with this status.
pub fn endpoint_responding_with(status: &'static str) -> (SocketAddr, RequestLog) {
    serve(move |_, _| empty_response(status))
}

/// Starts an endpoint that accepts requests and never responds.
pub fn silent_endpoint() -> (SocketAddr, RequestLog) {
    serve(|_, _| None)
}

/// Queues a change of the platform's list for the next watch.
pub fn push_change(platform: &Platform, change: String) {
    platform
        .pending_changes
        .lock()
        .expect("the changes are not poisoned")
        .push(change);
}

/// Waits until watches have taken all queued changes of the platform's list.
pub fn wait_until_changes_are_sent(platform: &Platform) {
    wait_until("all changes of the list are sent", || {
        platform
            .pending_changes
            .lock()
            .expect("the changes are not poisoned")
            .is_empty()
    });
}

/// Returns the bodies of the completion reports that the platform received.
pub fn report_bodies(platform: &Platform) -> Vec<String> {
    let reports = platform
        .completion_reports
        .lock()
        .expect("the reports are not poisoned");
    let bodies = reports.iter().map(|report| &report.body);
    bodies
        .map(|body| String::from_utf8_lossy(body).into_owned())
        .collect()
}

/// Returns the lines of the completion reports that the platform received.
pub fn report_lines(platform: &Platform) -> Vec<String> {
    let mut lines = Vec::new();
    for body in report_bodies(platform) {
        lines.extend(body.lines().map(str::to_owned));
    }
    lines
}

/// Writes a script that can be run in place of the program.
pub fn write_script(path: &Path, text: &str) {
    std::fs::write(path, text).expect("the script is written");
    std::fs::set_permissions(path, PermissionsExt::from_mode(0o755))
        .expect("the script is made executable");
}

/// Blocks the thread for `duration_ms` milliseconds.
pub fn sleep_ms(duration_ms: u64) {
    std::thread::sleep(Duration::from_millis(duration_ms));
}
