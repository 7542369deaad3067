//! What the tests of the whole program share: the program between the laboratory's scripted peers.

// Each test file is a program of its own and uses a part of these.
#![allow(dead_code)]

use opalpulley_lab::scripted;
pub use opalpulley_lab::scripted::*;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_opalpulley-forwarder");

/// Starts the program and waits until it is ready.
pub fn start(state: &Path, text: &str, discovery: SocketAddr) -> Forwarder {
    scripted::start(PROGRAM, state, text, discovery)
}

/// The program with this configuration, not started yet.
pub fn command(state: &Path, text: &str, listen: &str, discovery: SocketAddr) -> Command {
    scripted::command(PROGRAM, state, text, listen, discovery)
}

/// Kills the process and waits until it is gone.
pub fn kill(forwarder: &mut Forwarder) {
    forwarder.child.kill().expect("killed");
    forwarder.child.wait().expect("ended");
}

/// An address of this machine on which nobody listens.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address")
}

/// An endpoint that answers each request with this status.
pub fn endpoint_with(status: &'static str) -> (SocketAddr, RequestLog) {
    serve(move |_, _| empty_response(status))
}

/// An endpoint that takes requests and never answers.
pub fn silent_endpoint() -> (SocketAddr, RequestLog) {
    serve(|_, _| None)
}

/// Gives the platform a change of its list, for the next watch.
pub fn push_change(platform: &Platform, change: String) {
    platform
        .pending_changes
        .lock()
        .expect("the changes")
        .push(change);
}

/// Waits until watches have taken all changes of the platform's list.
pub fn until_changes_are_sent(platform: &Platform) {
    wait_until("the change is sent", || {
        platform
            .pending_changes
            .lock()
            .expect("the changes")
            .is_empty()
    });
}

/// The bodies of the completion reports that the platform has got.
pub fn report_bodies(platform: &Platform) -> Vec<String> {
    let reports = platform.completion_reports.lock().expect("the reports");
    let bodies = reports.iter().map(|report| &report.body);
    bodies
        .map(|body| String::from_utf8_lossy(body).into_owned())
        .collect()
}

/// The lines of the completion reports that the platform has got.
pub fn report_lines(platform: &Platform) -> Vec<String> {
    let mut lines = Vec::new();
    for body in report_bodies(platform) {
        lines.extend(body.lines().map(str::to_owned));
    }
    lines
}

/// Waits so long.
pub fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}
