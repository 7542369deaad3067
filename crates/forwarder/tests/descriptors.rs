//! Tests the program under an enforced limit of file descriptors, with all kinds of connections open at once.

mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Limit of file descriptors: 8 for attempts, 32 for clients, 16 for responses that are still read after the end of their
/// attempt, 24 for the program itself.
const DESCRIPTOR_LIMIT: usize = 80;
/// Number of descriptors for attempts, and of endpoints that never respond: each keeps one attempt in flight.
const SILENT_ENDPOINT_COUNT: u16 = 8;
/// Destination of the first silent endpoint.
const FIRST_SILENT_DESTINATION: u16 = 200;
/// Time over which the open descriptors are counted, in ms. Clients whose connection is closed are back within it.
const COUNTED_TIME_MS: u64 = 1_000;
/// Name of the file with the log of the program, beside its state folder.
const LOG_FILE: &str = "log";
/// Number of endpoints that respond. Exceeds the descriptors for responses.
const ENDPOINT_COUNT: u16 = 40;
/// Number of idle clients. Exceeds the limit of file descriptors.
const IDLE_CLIENT_COUNT: usize = 120;

/// Starts the program with a limit of `DESCRIPTOR_LIMIT` file descriptors.
fn start_limited(state: &Path, config_text: &str, discovery: SocketAddr) -> Forwarder {
    let script = state
        .parent()
        .expect("the state folder has a parent")
        .join("limited.sh");
    let log = script.with_file_name(LOG_FILE);
    let script_text = format!(
        "#!/bin/sh\nulimit -n {DESCRIPTOR_LIMIT}\nexec {PROGRAM} 2> {}\n",
        log.display()
    );
    write_script(&script, &script_text);
    opalpulley_lab::scripted::start(
        script.to_str().expect("the path is UTF-8"),
        state,
        config_text,
        discovery,
    )
}

/// Ends the idle clients when it is dropped, also by a check that fails: the scope of their thread waits for them.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Counts the open descriptors of the process repeatedly during `COUNTED_TIME_MS`. Returns the largest number.
fn most_open_descriptors(forwarder: &Forwarder) -> usize {
    let started_at = Instant::now();
    let counted_time = Duration::from_millis(COUNTED_TIME_MS);
    std::iter::repeat_with(|| {
        sleep_ms(1);
        let (_, open_descriptors) = forwarder.resource_usage();
        open_descriptors
    })
    .take_while(|_| started_at.elapsed() < counted_time)
    .max()
    .expect("the descriptors are counted at least once")
}

/// Keeps clients connected that send at most one request. A client whose connection is closed reconnects at once.
fn keep_idle_clients_connected(forwarder: SocketAddr, stop: &AtomicBool) {
    let connect = |n: usize| {
        let stream = TcpStream::connect(forwarder).ok()?;
        stream.set_nonblocking(true).ok()?;
        if n.is_multiple_of(2) {
            (&stream)
                .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                .ok()?;
        }
        Some(stream)
    };
    let is_closed = |stream: &TcpStream| {
        let mut byte = [0];
        loop {
            match std::io::Read::read(&mut &*stream, &mut byte) {
                Ok(1) => {} // a byte of a response
                Ok(_) => return true,
                Err(error) => return error.kind() != std::io::ErrorKind::WouldBlock,
            }
        }
    };
    let mut streams: Vec<Option<TcpStream>> = (0..IDLE_CLIENT_COUNT).map(connect).collect();
    while !stop.load(Ordering::Relaxed) {
        for (n, stream) in streams.iter_mut().enumerate() {
            if stream.as_ref().is_none_or(is_closed) {
                *stream = connect(n);
            }
        }
        sleep_ms(1);
    }
}

/// Clients and attempts use all descriptors available to them while discovery is silent. Once discovery responds again, the
/// list must be fetched, a message delivered to an endpoint that is new in it, and a failed message reported.
#[test]
fn fetches_list_delivers_and_reports_with_all_descriptors_in_use() {
    let (endpoint, request_log) = endpoint_responding_with("200 OK");
    let silent_destinations =
        FIRST_SILENT_DESTINATION..FIRST_SILENT_DESTINATION + SILENT_ENDPOINT_COUNT;
    let silent_members = silent_destinations.clone().map(|cell| {
        let (address, _) = silent_endpoint();
        member(address, cell.into(), "Ready")
    });
    let (rejecting, rejected_request_log) = endpoint_responding_with("503 Full");
    let (endpoints, _logs): (Vec<_>, Vec<_>) = (0..ENDPOINT_COUNT)
        .map(|_| endpoint_responding_with("200 OK"))
        .unzip();
    let mut members: Vec<String> = endpoints
        .iter()
        .zip(100..)
        .map(|(endpoint, cell)| member(*endpoint, cell, "Ready"))
        .collect();
    members.extend(silent_members);
    members.push(member(rejecting, 9, "Ready"));
    let updated_members = [members.clone(), vec![member(endpoint, 7, "Ready")]].concat();
    let silent = Arc::new(AtomicBool::new(false));
    let (is_silent, list_updated) = (silent.clone(), Arc::new(AtomicBool::new(false)));
    let updated = list_updated.clone();
    let (platform, platform_requests) = serve(move |request, _| {
        if request.first_line.contains("/v1/outcomes") {
            return empty_response("204 No Content");
        }
        if request.first_line.contains("index=") && !updated.load(Ordering::Relaxed) {
            sleep_ms(100);
        }
        if is_silent.load(Ordering::Relaxed) {
            return None;
        }
        ok_response(&match updated.load(Ordering::Relaxed) {
            true => endpoint_list(2, true, &updated_members),
            false => endpoint_list(1, true, &members),
        })
    });
    let (_dir, state) = state_folder();
    let config_text = startup_config("notice", "guarded", DESCRIPTOR_LIMIT, 3.0)
        .replace("ConnIdleUs\":5000000", "ConnIdleUs\":60000000");
    let forwarder = start_limited(&state, &config_text, platform);
    let submit = |id: &str, cell: u16, time_left_ms: &str| {
        let head = submission_head(id, "notice", 4)
            .replace("dest=7", &format!("dest={cell}"))
            .replace("20000", time_left_ms);
        forwarder.request_status(&head, b"body")
    };
    // First use the descriptors for responses once each, and use up those for attempts.
    for cell in 100..100 + ENDPOINT_COUNT {
        wait_until("the message is accepted", || {
            submit(&format!("t{cell}"), cell, "20000") == 202
        });
    }
    for cell in silent_destinations {
        wait_until("the message is accepted", || {
            submit(&format!("m{cell}"), cell, "20000") == 202
        });
    }
    silent.store(true, Ordering::Relaxed);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stop_on_drop = StopOnDrop(&stop);
        scope.spawn(|| keep_idle_clients_connected(forwarder.listen, &stop));
        // The open watch times out within 7 s. Attempts to open another one fail while discovery is silent.
        sleep_ms(8_000 - COUNTED_TIME_MS);
        let open_descriptors = most_open_descriptors(&forwarder);
        println!("{open_descriptors} descriptors");
        assert!(
            open_descriptors > DESCRIPTOR_LIMIT / 2 && open_descriptors <= DESCRIPTOR_LIMIT,
            "expected more than half and at most all of {DESCRIPTOR_LIMIT} descriptors to be open, got {open_descriptors}"
        );
        list_updated.store(true, Ordering::Relaxed);
        silent.store(false, Ordering::Relaxed);
        wait_until(
            "the new list takes effect and a message is accepted",
            || submit("new", 7, "20000") == 202,
        );
        wait_until("the message is delivered", || {
            count_calls(&request_log, "new") == 1
        });
        wait_until("another message is accepted", || {
            submit("end", 9, "600") == 202
        });
        wait_until("the endpoint rejects the message", || {
            count_calls(&rejected_request_log, "end") > 0
        });
        wait_until("a completion report arrives", || {
            let platform_requests = platform_requests
                .lock()
                .expect("the request log is not poisoned");
            platform_requests
                .iter()
                .any(|request| String::from_utf8_lossy(&request.body).contains("\"end\""))
        });
    });
    let log =
        std::fs::read_to_string(state.with_file_name(LOG_FILE)).expect("the log file is readable");
    assert!(
        log.contains("discovery poll succeeded after failures; endpoint list is up to date")
            && !log.contains("Too many open files"),
        "expected the log to show the recovery of discovery and no lack of descriptors, got {log}"
    );
}
