//! Tests that peers which send in small writes do not take the process over its memory limit.

use crate::common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Limits of the platform on a process.
struct Limits {
    memory_mb: u64,
    descriptors: usize,
}

const SMALL_LIMITS: Limits = Limits {
    memory_mb: 32,
    descriptors: 256,
};
const MIDDLE_LIMITS: Limits = Limits {
    memory_mb: 64,
    descriptors: 672,
};
/// Bytes of each small write.
const WRITE_BYTES: usize = 64;
/// The longest body that the protocol allows, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

impl Limits {
    /// Returns a start-up configuration with these limits.
    fn startup_config(&self) -> String {
        let memory_limit = format!("\"memory_mb\":{}", self.memory_mb);
        startup_config("notice", "free", self.descriptors, 3.0)
            .replace("\"memory_mb\":192", &memory_limit)
    }

    /// Asserts that the process has not exceeded the memory limit so far.
    fn assert_kept_by(&self, forwarder: &Forwarder) {
        let peak_bytes = forwarder.peak_memory_kb() * 1024;
        assert!(
            peak_bytes <= self.memory_mb * 1_000_000,
            "expected at most {} MB of resident memory, got {peak_bytes} bytes",
            self.memory_mb
        );
    }
}

/// Guards against clients that take a read buffer for each small write of their requests: 200 of them send the longest
/// body but for its end.
#[test]
fn half_requests_in_small_writes_stay_within_the_memory_limit() {
    assert_half_requests_fit(&MIDDLE_LIMITS, 200, WRITE_BYTES);
}

/// Guards against bodies that together are longer than the memory limit allows, where there is little memory for many
/// connections: a third of the descriptors, which is as much as clients hold.
#[test]
fn half_requests_on_many_connections_stay_within_a_small_memory_limit() {
    let limits = Limits {
        descriptors: 1024,
        ..SMALL_LIMITS
    };
    assert_half_requests_fit(&limits, limits.descriptors / 3, 4096);
}

/// Has many clients send the longest body but for its end, and a usual client submit a message beside them.
fn assert_half_requests_fit(limits: &Limits, client_count: usize, write_bytes: usize) {
    // The forwarder gives up a body 0.7 s after its head.
    const SENDING_TIME: Duration = Duration::from_millis(650);
    let (endpoint, _) = endpoint_responding_with("200 OK");
    let setup = start_with_endpoint(endpoint, &limits.startup_config());
    let forwarder = &setup.forwarder;
    let connect = |_| {
        let stream = forwarder.connect().expect("the connection is established");
        stream.set_nodelay(true).expect("the option is set");
        stream
    };
    let mut clients: Vec<TcpStream> = (0..client_count).map(connect).collect();
    let started_at = Instant::now();
    for (number, client) in clients.iter_mut().enumerate() {
        let head = submission_head(&format!("half-{number}"), "notice", MAX_BODY_BYTES);
        client
            .write_all(head.as_bytes())
            .expect("the write succeeds");
    }
    let mut sent = 0;
    while sent + write_bytes < MAX_BODY_BYTES && started_at.elapsed() < SENDING_TIME {
        for client in &mut clients {
            client
                .write_all(&vec![b'y'; write_bytes])
                .expect("the write succeeds");
        }
        sent += write_bytes;
    }
    assert_eq!(forwarder.submit("usual", "notice"), 202);
    sleep_ms(50);
    limits.assert_kept_by(forwarder);
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
    let config_text = MIDDLE_LIMITS
        .startup_config()
        .replace("\"Workers\":8", &format!("\"Workers\":{MESSAGES}"));
    let forwarder = start(&state, &config_text, platform.address);
    for number in 0..MESSAGES {
        assert_eq!(forwarder.submit(&format!("m{number}"), "notice"), 202);
    }
    wait_until("all responses have begun", || {
        responses_begun.load(Ordering::Relaxed) == MESSAGES
    });
    // The forwarder reads a body for 0.5 s at most.
    sleep_ms(500);
    MIDDLE_LIMITS.assert_kept_by(&forwarder);
}

/// Guards against a platform that takes a read buffer for each small write of its endpoint list. The list is indented so
/// far that it has thousands of writes.
#[test]
fn endpoint_list_in_small_writes_stays_within_the_memory_limit() {
    const INDENTATION_BYTES: usize = 512 * 1024;
    let (endpoint, request_log) = endpoint_responding_with("200 OK");
    let list = endpoint_list(1, true, &[member(endpoint, 7, "Ready")]);
    let list = " ".repeat(INDENTATION_BYTES) + &list;
    let platform = platform_responding_in_small_writes(list);
    let (_dir, state) = state_folder();
    let forwarder = start(&state, &SMALL_LIMITS.startup_config(), platform);
    wait_until("the message is accepted", || {
        forwarder.submit("usual", "notice") == 202
    });
    wait_until("the message is delivered", || {
        count_calls(&request_log, "usual") == 1
    });
    SMALL_LIMITS.assert_kept_by(&forwarder);
}

/// Starts a platform that responds to the first request on each connection with `list`, and then falls silent.
fn platform_responding_in_small_writes(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the socket has a local address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("the connection is accepted");
            let response = ok_response(&list).expect("the response has a text");
            thread::spawn(move || {
                read_http_message(&mut stream)?;
                stream.set_nodelay(true).ok()?;
                for piece in response.as_bytes().chunks(WRITE_BYTES) {
                    stream.write_all(piece).ok()?;
                    wait_between_writes();
                }
                read_http_message(&mut stream)
            });
        }
    });
    address
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

/// Waits for so long that the forwarder reads each small write by itself.
fn wait_between_writes() {
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_micros(60) {
        std::hint::spin_loop();
    }
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
