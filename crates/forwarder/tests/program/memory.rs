//! Tests that peers which send in small writes do not take the process over its memory limit.

use crate::common::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The memory limit of the process, in MB, with the descriptors that go with it on the platform.
const MEMORY_MB: u64 = 64;
const DESCRIPTORS: usize = 672;
/// Bytes of each small write.
const WRITE_BYTES: usize = 64;
/// The longest body that the protocol allows, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Returns a start-up configuration with the limits of these tests.
fn config_with_memory_limit() -> String {
    let memory_limit = format!("\"memory_mb\":{MEMORY_MB}");
    startup_config("notice", "free", DESCRIPTORS, 3.0).replace("\"memory_mb\":192", &memory_limit)
}

/// Asserts that the process has not exceeded its memory limit so far.
fn assert_within_memory_limit(forwarder: &Forwarder) {
    let peak_kb = forwarder.peak_memory_kb();
    assert!(
        peak_kb <= MEMORY_MB * 1024,
        "expected at most {MEMORY_MB} MB of resident memory, got {peak_kb} kB"
    );
}

/// Guards against clients that take a read buffer for each small write of their requests: 200 of them send the longest
/// body but for its end.
#[test]
fn half_requests_in_small_writes_stay_within_the_memory_limit() {
    const CLIENTS: usize = 200;
    // The forwarder gives up a body 0.7 s after its head.
    const SENDING_TIME: Duration = Duration::from_millis(650);
    let (endpoint, _) = endpoint_responding_with("200 OK");
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let forwarder = start(&state, &config_with_memory_limit(), platform.address);
    let mut clients: Vec<TcpStream> = (0..CLIENTS)
        .map(|_| {
            let stream = forwarder.connect().expect("the connection is established");
            stream.set_nodelay(true).expect("the option is set");
            stream
        })
        .collect();
    let started_at = Instant::now();
    for (number, client) in clients.iter_mut().enumerate() {
        let head = submission_head(&format!("half-{number}"), "notice", MAX_BODY_BYTES);
        client
            .write_all(head.as_bytes())
            .expect("the write succeeds");
    }
    let mut sent = 0;
    while sent + WRITE_BYTES < MAX_BODY_BYTES && started_at.elapsed() < SENDING_TIME {
        for client in &mut clients {
            client
                .write_all(&[b'y'; WRITE_BYTES])
                .expect("the write succeeds");
        }
        sent += WRITE_BYTES;
    }
    sleep_ms(50);
    assert_within_memory_limit(&forwarder);
    assert_eq!(forwarder.submit("usual", "notice"), 202);
}
