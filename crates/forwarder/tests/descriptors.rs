//! The program under a limit of descriptors that the system enforces, with every kind of connection open at once.

mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

/// Descriptors: 8 go to attempts, 32 to clients, 16 to idle connections to endpoints, 24 to the program itself.
const LIMIT: usize = 80;
/// The file of the program's log, beside its state directory.
const LOG: &str = "log";
/// More than connections to endpoints may be idle.
const ENDPOINTS: u16 = 40;
/// More than descriptors.
const IDLE_CLIENTS: usize = 120;

/// Starts the program with so many descriptors and no more.
fn start_limited(state: &Path, text: &str, discovery: SocketAddr) -> Forwarder {
    let script = state
        .parent()
        .expect("a directory around it")
        .join("limited.sh");
    let log = script.with_file_name(LOG);
    let lines = format!(
        "#!/bin/sh\nulimit -n {LIMIT}\nexec {PROGRAM} 2> {}\n",
        log.display()
    );
    std::fs::write(&script, lines).expect("written");
    std::fs::set_permissions(&script, PermissionsExt::from_mode(0o755)).expect("it may run");
    opalpulley_lab::scripted::start(
        script.to_str().expect("a plain path"),
        state,
        text,
        discovery,
    )
}

/// Clients that connect, send one request at most, and then nothing. One that is closed connects again at once.
fn idle_clients(forwarder: SocketAddr, stop: &AtomicBool) {
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
    let closed = |stream: &TcpStream| {
        let mut byte = [0];
        loop {
            match std::io::Read::read(&mut &*stream, &mut byte) {
                Ok(1) => {} // an answer
                Ok(_) => return true,
                Err(problem) => return problem.kind() != std::io::ErrorKind::WouldBlock,
            }
        }
    };
    let mut streams: Vec<Option<TcpStream>> = (0..IDLE_CLIENTS).map(connect).collect();
    while !stop.load(Ordering::Relaxed) {
        for (n, stream) in streams.iter_mut().enumerate() {
            if stream.as_ref().is_none_or(closed) {
                *stream = connect(n);
            }
        }
        pause(1);
    }
}

/// Clients, idle connections to endpoints and attempts have all descriptors that they may, while discovery is silent. As it
/// comes back, the list is fetched, a message goes to an endpoint that is new in it, and a failed message is reported.
#[test]
fn with_idle_clients_on_every_descriptor_the_list_an_attempt_and_a_report_go_through() {
    let (endpoint, seen) = endpoint_with("200 OK");
    let (mute, _) = silent_endpoint();
    let (full, refused) = endpoint_with("503 Full");
    let (endpoints, _logs): (Vec<_>, Vec<_>) =
        (0..ENDPOINTS).map(|_| endpoint_with("200 OK")).unzip();
    let mut members: Vec<String> = endpoints
        .iter()
        .zip(100..)
        .map(|(endpoint, cell)| member(*endpoint, cell, "Ready"))
        .collect();
    members.extend([member(mute, 8, "Ready"), member(full, 9, "Ready")]);
    let later = [members.clone(), vec![member(endpoint, 7, "Ready")]].concat();
    let silent = Arc::new(AtomicBool::new(false));
    let (gate, back) = (silent.clone(), Arc::new(AtomicBool::new(false)));
    let returned = back.clone();
    let (platform, asked) = serve(move |m, _| {
        if m.first_line.contains("/v1/outcomes") {
            return empty_response("204 No Content");
        }
        if m.first_line.contains("index=") && !returned.load(Ordering::Relaxed) {
            pause(100);
        }
        if gate.load(Ordering::Relaxed) {
            return None;
        }
        ok_response(&match returned.load(Ordering::Relaxed) {
            true => endpoint_list(2, true, &later),
            false => endpoint_list(1, true, &members),
        })
    });
    let (_dir, state) = state_folder();
    let text = startup_config("notice", "guarded", LIMIT, 3.0)
        .replace("ConnIdleUs\":5000000", "ConnIdleUs\":60000000");
    let forwarder = start_limited(&state, &text, platform);
    let submit = |id: &str, cell: u16, time: &str| {
        let head = submission_head(id, "notice", 4)
            .replace("dest=7", &format!("dest={cell}"))
            .replace("20000", time);
        forwarder.request_status(&head, b"body")
    };
    // The descriptors of idle connections to endpoints and of attempts are taken first.
    for cell in 100..100 + ENDPOINTS {
        wait_until("it is accepted", || {
            submit(&format!("t{cell}"), cell, "20000") == 202
        });
    }
    for n in 0..8 {
        wait_until("it is accepted", || {
            submit(&format!("m{n}"), 8, "20000") == 202
        });
    }
    silent.store(true, Ordering::Relaxed);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| idle_clients(forwarder.listen, &stop));
        // A watch that was open times out within 7 s, and is opened again in vain.
        pause(8_000);
        let (_, open) = forwarder.resource_usage();
        println!("{open} descriptors");
        assert!(open > LIMIT / 2 && open <= LIMIT, "{open} descriptors");
        back.store(true, Ordering::Relaxed);
        silent.store(false, Ordering::Relaxed);
        wait_until("the new list counts and a message is accepted", || {
            submit("new", 7, "20000") == 202
        });
        wait_until("it is delivered", || count_calls(&seen, "new") == 1);
        wait_until("another is accepted", || submit("end", 9, "600") == 202);
        wait_until("it is tried", || count_calls(&refused, "end") > 0);
        wait_until("it is reported", || {
            let asked = asked.lock().expect("the log");
            asked
                .iter()
                .any(|m| String::from_utf8_lossy(&m.body).contains("\"end\""))
        });
        stop.store(true, Ordering::Relaxed);
    });
    let log = std::fs::read_to_string(state.with_file_name(LOG)).expect("its log");
    assert!(
        log.contains("endpoint list received again") && !log.contains("Too many open files"),
        "{log}"
    );
}
