//! Tests that peers which send in small writes do not take the process over its memory limit.

use crate::common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
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

/// Guards against endpoints that take a read buffer for each small write of their responses: 64 responses with the longest
/// body are received at once.
#[test]
fn responses_in_small_writes_stay_within_the_memory_limit() {
    const MESSAGES: usize = 64;
    let (endpoint, responses_begun) = endpoint_responding_in_small_writes();
    let listed = member(endpoint, 7, "Ready").replace("\"size\":50.0", "\"size\":10000.0");
    let platform = start_platform(vec![listed], 0);
    let (_dir, state) = state_folder();
    let config_text =
        config_with_memory_limit().replace("\"Workers\":8", &format!("\"Workers\":{MESSAGES}"));
    let forwarder = start(&state, &config_text, platform.address);
    for number in 0..MESSAGES {
        assert_eq!(forwarder.submit(&format!("m{number}"), "notice"), 202);
    }
    wait_until("all responses have begun", || {
        responses_begun.load(Ordering::Relaxed) == MESSAGES
    });
    // The forwarder reads a body for 0.5 s at most.
    sleep_ms(500);
    assert_within_memory_limit(&forwarder);
}

/// Starts an endpoint whose responses say that a message is delivered, and have a long body in small writes. Returns its
/// address and the number of responses that it has begun.
fn endpoint_responding_in_small_writes() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the socket has a local address");
    let responses_begun: Arc<AtomicUsize> = Arc::default();
    let begun = responses_begun.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("the connection is accepted");
            let begun = begun.clone();
            thread::spawn(move || respond_in_small_writes(stream, &begun));
        }
    });
    (address, responses_begun)
}

/// Writes one response, until the forwarder closes the connection.
fn respond_in_small_writes(mut stream: TcpStream, responses_begun: &AtomicUsize) {
    const WRITE_INTERVAL: Duration = Duration::from_micros(300);
    if read_http_message(&mut stream).is_none() {
        return;
    }
    stream.set_nodelay(true).expect("the option is set");
    responses_begun.fetch_add(1, Ordering::Relaxed);
    let mut piece =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n").into_bytes();
    while stream.write_all(&piece).is_ok() {
        piece = vec![b'y'; WRITE_BYTES];
        thread::sleep(WRITE_INTERVAL);
    }
}
