//! Tests of the connections of clients and peers, and of the limit of file descriptors.

use crate::common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

/// Whatever a client sends or fails to send, it gets an error or its connection is closed within 3 s.
#[test]
fn answers_or_closes_incomplete_requests_within_3s() {
    let (endpoint, request_log) = endpoint_responding_with("200 OK");
    let setup = start_with_endpoint(endpoint, &startup_config("notice", "free", 200, 3.0));
    let forwarder = &setup.forwarder;
    let head = submission_head("slow", "notice", 400);
    let huge = submission_head("huge", "notice", 60_000_000);
    // What the client sends at once, what it then sends repeatedly, the interval in ms, and the expected status; 0 if the
    // connection is closed without an answer.
    let cases: [(&str, &[u8], u64, u16); 5] = [
        ("", b"", 1, 0),
        ("POST /not", b"", 1, 0),
        ("POST /notice HTTP/1.1\r\nX: ", b"x", 100, 0),
        (&head, b"b", 100, 408),
        (&huge, &[b'x'; 10_000], 1, 413),
    ];
    thread::scope(|scope| {
        for (first_bytes, repeated_bytes, interval_ms, expected_status) in cases {
            let mut stream = forwarder.connect().expect("the connection is established");
            let mut reader = stream.try_clone().expect("the stream can be cloned");
            scope.spawn(move || {
                let started_at = Instant::now();
                stream
                    .write_all(first_bytes.as_bytes())
                    .expect("the write succeeds");
                while stream.write_all(repeated_bytes).is_ok()
                    && started_at.elapsed() < Duration::from_secs(4)
                {
                    sleep_ms(interval_ms);
                }
            });
            scope.spawn(move || {
                let started_at = Instant::now();
                assert_eq!(
                    read_status(&mut reader),
                    expected_status,
                    "status for a request that begins with {first_bytes:?}"
                );
                assert!(
                    started_at.elapsed() < Duration::from_secs(3),
                    "expected an answer or a close within 3 s for a request that begins with {first_bytes:?}"
                );
            });
        }
    });
    assert!(request_log
        .lock()
        .expect("the request log is not poisoned")
        .is_empty());
}

/// At the limit of file descriptors, every request gets an answer, and the forwarder continues to serve.
#[test]
fn answers_every_request_at_the_connection_limit() {
    let (endpoint, request_log) = endpoint_responding_with("200 OK");
    let setup = start_with_endpoint(endpoint, &startup_config("notice", "free", 80, 3.0));
    let forwarder = &setup.forwarder;
    // Connections with a partial request are not idle, so that none can be closed in favour of others.
    let mut busy: Vec<TcpStream> = (0..120)
        .map(|n| {
            let mut stream = forwarder
                .connect()
                .expect("the backlog accepts the connection");
            stream
                .write_all(submission_head(&format!("h{n}"), "notice", 4).as_bytes())
                .expect("the write succeeds");
            sleep_ms(2); // the head is read before the next connection is opened
            stream
        })
        .collect();
    sleep_ms(100);
    let mut statuses = BTreeMap::new();
    for stream in &mut busy {
        stream
            .write_all(b"body")
            .expect("the connection is still open");
    }
    for stream in &mut busy {
        *statuses.entry(read_status(stream)).or_insert(0) += 1;
    }
    assert_eq!(
        statuses.keys().copied().collect::<Vec<_>>(),
        [202, 503],
        "expected both accepted and rejected submissions, got {statuses:?}"
    );
    assert!(
        statuses[&202] > 20,
        "expected more than 20 accepted submissions, got {statuses:?}"
    );
    // Connections without a request are closed in favour of those with one.
    let silent: Vec<TcpStream> = (0..200)
        .map(|_| forwarder.connect().expect("the connection is accepted"))
        .collect();
    for n in 0..20 {
        let started_at = Instant::now();
        assert_eq!(forwarder.submit(&format!("s{n}"), "notice"), 202);
        assert!(
            started_at.elapsed() < Duration::from_millis(400),
            "the submission was answered after {:?}, expected less than 400 ms",
            started_at.elapsed()
        );
    }
    drop(silent);
    // Idle connections are closed in favour of new ones.
    let _idle: Vec<TcpStream> = (0..60)
        .map(|n| {
            let mut stream = forwarder.connect().expect("the connection is accepted");
            let head = submission_head(&format!("i{n}"), "notice", 4);
            stream
                .write_all(&[head.as_bytes(), b"body"].concat())
                .expect("the write succeeds");
            assert!([202, 503].contains(&read_status(&mut stream)));
            stream
        })
        .collect();
    wait_until("messages are accepted again", || {
        forwarder.submit("last", "notice") == 202
    });
    wait_until("the message is delivered", || {
        count_calls(&request_log, "last") >= 1
    });
}

/// Clients share a limit of connections: those that keep their connection after a request must leave some for other clients.
#[test]
fn closes_the_longest_idle_client_connections_first() {
    let (endpoint, _) = endpoint_responding_with("200 OK");
    let setup = start_with_endpoint(endpoint, &startup_config("notice", "free", 200, 3.0));
    let forwarder = &setup.forwarder;
    let connect_and_submit = |n: usize| {
        let mut stream = forwarder.connect().expect("the connection is accepted");
        let head = submission_head(&format!("i{n}"), "notice", 4);
        stream
            .write_all(&[head.as_bytes(), b"body"].concat())
            .expect("the write succeeds");
        assert_eq!(read_status(&mut stream), 202);
        stream
    };
    let mut connections: Vec<TcpStream> = (0..60).map(connect_and_submit).collect();
    sleep_ms(100);
    let mut is_closed = |n: usize| {
        connections[n]
            .set_read_timeout(Some(Duration::from_millis(50)))
            .expect("the read timeout is set");
        matches!(connections[n].read(&mut [0]), Ok(0))
    };
    assert_eq!((is_closed(0), is_closed(59)), (true, false));
}

/// Operators run fleets of more than a few hundred forwarders. Here, 1,024 peers are configured, and 1,024 endpoints are in
/// the cached list and in the complete one, which changes entry by entry. The program has 256 descriptors, and receives a
/// truncated list and datagrams from unknown senders.
#[test]
fn serves_1024_peers_and_endpoints_with_256_descriptors() {
    let (endpoints, request_logs): (Vec<_>, Vec<_>) =
        (0..300).map(|_| endpoint_responding_with("200 OK")).unzip();
    let address = |net: usize, n: usize| format!("127.{net}.{}.{}:7946", n / 250, n % 250 + 1);
    let other = |n: usize, phase| {
        member_named(
            &format!("o-{n}"),
            address(9, n).parse().expect("the address is valid"),
            1_000 + n as u32,
            phase,
        )
    };
    let served = endpoints
        .iter()
        .zip(0..)
        .map(|(endpoint, cell)| member(*endpoint, cell, "Ready"));
    let members: Vec<String> = served
        .chain((300..1_024).map(|n| other(n, "Ready")))
        .collect();
    let platform = start_platform(members.clone(), 0);
    let (_dir, state) = state_folder();
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let listen = UdpSocket::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("a port is free");
    let (peers, known): (Vec<_>, _) = (
        (0..1_024).map(|n| address(8, n)).collect(),
        endpoint_list(1, true, &members),
    );
    let keys = format!(
        "\"peer_listen\":\"{listen}\",\"peers\":{peers:?},\"peers_all\":{:?},\"known\":{known}",
        address(8, 0)
    );
    let forwarder = start(
        &state,
        &with_further_keys(&startup_config("notice", "guarded", 256, 3.0), &keys),
        platform.address,
    );
    for _ in 0..200 {
        unknown_sender
            .send_to(&[1, 1, 7, 0], listen)
            .expect("the datagram is sent");
    }
    // Changes are sent from the end of the list. The first one to be sent is truncated.
    let mut changes: Vec<String> = (300..1_024)
        .rev()
        .map(|n| endpoint_list(n as u64, false, &[other(n, "Gone")]))
        .collect();
    changes.push(known[..known.len() / 2].to_owned());
    *platform
        .pending_changes
        .lock()
        .expect("the changes are not poisoned") = changes;
    for cell in 0..300 {
        let head = submission_head(&format!("p{cell}"), "notice", 4)
            .replace("dest=7", &format!("dest={cell}"));
        assert_eq!(
            forwarder.request_status(&head, b"body"),
            202,
            "status of the submission to destination {cell}"
        );
    }
    let delivered = || {
        request_logs
            .iter()
            .zip(0..)
            .all(|(request_log, n): (_, u32)| count_calls(request_log, &format!("p{n}")) == 1)
    };
    wait_until("each endpoint receives its message once", delivered);
    wait_until_changes_are_sent(&platform);
    let (memory_kb, open_descriptors) = forwarder.resource_usage();
    assert!(
        memory_kb < 64 * 1024 && open_descriptors < 256,
        "expected less than 65536 kB and 256 descriptors, got {memory_kb} kB and {open_descriptors}"
    );
}
