//! Runs the program with a library that makes accept fail for a moment again and again, as Linux documents it.

mod common;

use common::*;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// The connection was aborted before it was accepted.
const ECONNABORTED: i32 = 103;
/// The network protocol of the connection failed.
const EPROTO: i32 = 71;
/// Number of clients that connect one after the other.
const CLIENTS: usize = 150;
/// Time between two connections: 250 a second.
const CLIENT_INTERVAL: Duration = Duration::from_millis(4);
/// Time within which each client must have its answer.
const ANSWERED_WITHIN: Duration = Duration::from_millis(400);

/// Time after SIGTERM for which the platform goes on opening connections.
const CONNECTIONS_AFTER_SIGTERM: Duration = Duration::from_millis(400);

/// Compiles the library into `folder`, with the C compiler that links the program.
fn compile_library(folder: &Path) -> PathBuf {
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shims/failing_accept.c");
    let library = folder.join("failing_accept.so");
    let status = Command::new("cc")
        .args(["-shared", "-fPIC", "-o"])
        .arg(&library)
        .arg(source)
        .status();
    assert!(status.expect("the C compiler runs").success());
    library
}

/// Writes a script that starts the program with the library.
fn program_with_failing_accept(folder: &Path, error: i32) -> PathBuf {
    let library = compile_library(folder);
    let script = folder.join("failing_accept.sh");
    let text = format!(
        "#!/bin/sh\nACCEPT_ERRNO={error} LD_PRELOAD={} exec {PROGRAM}\n",
        library.display()
    );
    write_script(&script, &text);
    script
}

/// Starts a forwarder whose accept fails. `folder` holds the library and the state.
fn start_with_failing_accept(state: &Path, error: i32, platform: &Platform) -> Forwarder {
    let folder = state.parent().expect("the state folder has a parent");
    let script = program_with_failing_accept(folder, error);
    opalpulley_lab::scripted::start(
        script.to_str().expect("the path is UTF-8"),
        state,
        &startup_config("notice", "free", 400, 3.0),
        platform.address,
    )
}

/// Guards against clients without an answer because each failed accept holds up all connections behind it: errors that
/// concern one connection are passed over at once.
#[test]
fn answers_each_client_in_time_although_every_second_accept_fails() {
    for error in [ECONNABORTED, EPROTO] {
        let (endpoint, _) = endpoint_responding_with("200 OK");
        let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = state_folder();
        let forwarder = start_with_failing_accept(&state, error, &platform);
        let answered_after: Vec<Duration> = thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENTS)
                .map(|number| {
                    thread::sleep(CLIENT_INTERVAL);
                    let forwarder = &forwarder;
                    scope.spawn(move || {
                        let connected_at = Instant::now();
                        assert_eq!(forwarder.submit(&format!("m{number}"), "notice"), 202);
                        connected_at.elapsed()
                    })
                })
                .collect();
            let join = |client: thread::ScopedJoinHandle<Duration>| {
                client.join().expect("the client gets its answer")
            };
            clients.into_iter().map(join).collect()
        });
        let late_count = answered_after
            .iter()
            .filter(|after| **after > ANSWERED_WITHIN)
            .count();
        assert_eq!(
            late_count, 0,
            "with error {error}, answers after {answered_after:?}"
        );
    }
}

/// Guards against requests that are reset at the shutdown because connections wait in the backlog behind failed accepts, and
/// one more failure ends the taking over of the backlog.
#[test]
fn answers_clients_during_the_shutdown_although_every_second_accept_fails() {
    let (endpoint, _) = endpoint_responding_with("200 OK");
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let mut forwarder = start_with_failing_accept(&state, ECONNABORTED, &platform);
    forwarder.signal("-TERM");
    let mut answers = Vec::new();
    let started_at = Instant::now();
    while started_at.elapsed() < CONNECTIONS_AFTER_SIGTERM {
        let stream = forwarder.connect().expect("the listener is open");
        answers.push(thread::spawn(move || answer_status(stream)));
        sleep_ms(1);
    }
    let answers: Vec<u16> = answers
        .into_iter()
        .map(|client| client.join().expect("the client ends"))
        .collect();
    let unanswered = answers.iter().filter(|status| **status == 0).count();
    assert!(answers.len() > 20, "{} clients connected", answers.len());
    assert_eq!(unanswered, 0, "of {} clients", answers.len());
    forwarder.child.wait().expect("the process exits");
}

/// Sends `GET /up` and returns the status of the answer; 0 if there is none.
fn answer_status(mut stream: std::net::TcpStream) -> u16 {
    let request = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    if std::io::Write::write_all(&mut stream, request).is_err() {
        return 0;
    }
    read_status(&mut stream)
}
