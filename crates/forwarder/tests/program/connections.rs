//! Connections of clients and peers, and the limit on descriptors.

use crate::common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

/// Whatever a client sends or does not, it gets an error or a close within 3 s.
#[test]
fn an_incomplete_request_is_answered_or_its_connection_closed_in_time() {
    let (endpoint, seen) = endpoint_with("200 OK");
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "free", 200, 3.0),
        platform.address,
    );
    let head = submission_head("slow", "notice", 400);
    let huge = submission_head("huge", "notice", 60_000_000);
    // What it sends at once, and what it goes on to send, bit by bit.
    let cases: [(&str, &[u8], u64, u16); 5] = [
        ("", b"", 1, 0),
        ("POST /not", b"", 1, 0),
        ("POST /notice HTTP/1.1\r\nX: ", b"x", 100, 0),
        (&head, b"b", 100, 408),
        (&huge, &[b'x'; 10_000], 1, 413),
    ];
    thread::scope(|scope| {
        for (begin, more, interval, wanted) in cases {
            let mut stream = forwarder.connect().expect("a connection");
            let mut reader = stream.try_clone().expect("the same");
            scope.spawn(move || {
                let begun = Instant::now();
                stream.write_all(begin.as_bytes()).expect("written");
                while stream.write_all(more).is_ok() && begun.elapsed() < Duration::from_secs(4) {
                    pause(interval);
                }
            });
            scope.spawn(move || {
                let begun = Instant::now();
                assert_eq!(read_status(&mut reader), wanted, "{begin}");
                assert!(begun.elapsed() < Duration::from_secs(3), "{begin}");
            });
        }
    });
    assert!(seen.lock().expect("the log").is_empty());
}

/// Rule 1 where descriptors run out: every request gets an answer, and the forwarder goes on serving.
#[test]
fn with_all_connections_taken_requests_are_rejected_and_none_is_left_unanswered() {
    let (endpoint, seen) = endpoint_with("200 OK");
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "free", 80, 3.0),
        platform.address,
    );
    // Connections with half a request: none of them is idle, so none can be closed for others.
    let mut busy: Vec<TcpStream> = (0..120)
        .map(|n| {
            let mut stream = forwarder.connect().expect("the backlog takes it");
            stream
                .write_all(submission_head(&format!("h{n}"), "notice", 4).as_bytes())
                .expect("written");
            pause(2); // its head is read before the next one comes
            stream
        })
        .collect();
    pause(100);
    let mut statuses = BTreeMap::new();
    for stream in &mut busy {
        stream.write_all(b"body").expect("it is still open");
    }
    for stream in &mut busy {
        *statuses.entry(read_status(stream)).or_insert(0) += 1;
    }
    assert_eq!(
        statuses.keys().copied().collect::<Vec<_>>(),
        [202, 503],
        "{statuses:?}"
    );
    assert!(statuses[&202] > 20, "{statuses:?}");
    // Connections without a request are closed for those with one.
    let silent: Vec<TcpStream> = (0..200)
        .map(|_| forwarder.connect().expect("accepted"))
        .collect();
    for n in 0..20 {
        let begun = Instant::now();
        assert_eq!(forwarder.submit(&format!("s{n}"), "notice"), 202);
        assert!(
            begun.elapsed() < Duration::from_millis(400),
            "{:?}",
            begun.elapsed()
        );
    }
    drop(silent);
    // Idle connections are closed for new ones.
    let _idle: Vec<TcpStream> = (0..60)
        .map(|n| {
            let mut stream = forwarder.connect().expect("accepted");
            let head = submission_head(&format!("i{n}"), "notice", 4);
            stream
                .write_all(&[head.as_bytes(), b"body"].concat())
                .expect("written");
            assert!([202, 503].contains(&read_status(&mut stream)));
            stream
        })
        .collect();
    wait_until("it accepts messages again", || {
        forwarder.submit("last", "notice") == 202
    });
    wait_until("it is delivered", || count_calls(&seen, "last") >= 1);
}

/// Clients may share a bound on connections: those that keep theirs after one request must leave some for the others.
#[test]
fn of_many_idle_connections_the_longest_idle_are_closed() {
    let (endpoint, _) = endpoint_with("200 OK");
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "free", 200, 3.0),
        platform.address,
    );
    let ask = |n: usize| {
        let mut stream = forwarder.connect().expect("accepted");
        let head = submission_head(&format!("i{n}"), "notice", 4);
        stream
            .write_all(&[head.as_bytes(), b"body"].concat())
            .expect("written");
        assert_eq!(read_status(&mut stream), 202);
        stream
    };
    let mut asked: Vec<TcpStream> = (0..60).map(ask).collect();
    pause(100);
    let mut closed = |n: usize| {
        asked[n]
            .set_read_timeout(Some(Duration::from_millis(50)))
            .expect("set");
        matches!(asked[n].read(&mut [0]), Ok(0))
    };
    assert_eq!((closed(0), closed(59)), (true, false));
}

/// The operators' fleets grow past hundreds: 1,024 forwarders and as many endpoints, in the cached list and in the complete
/// one, changed one by one, on 256 descriptors, with a list that is cut off and datagrams of unknown senders between.
#[test]
fn a_thousand_peers_and_endpoints_need_a_quarter_as_many_descriptors() {
    let (endpoints, seens): (Vec<_>, Vec<_>) = (0..300).map(|_| endpoint_with("200 OK")).unzip();
    let host = |net: usize, n: usize| format!("127.{net}.{}.{}:7946", n / 250, n % 250 + 1);
    let other = |n: usize, phase| {
        member_named(
            &format!("o-{n}"),
            host(9, n).parse().expect("an address"),
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
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let listen = UdpSocket::bind("127.0.0.1:0")
        .and_then(|free| free.local_addr())
        .expect("an address");
    let (peers, known): (Vec<_>, _) = (
        (0..1_024).map(|n| host(8, n)).collect(),
        endpoint_list(1, true, &members),
    );
    let keys = format!(
        "\"peer_listen\":\"{listen}\",\"peers\":{peers:?},\"peers_all\":{:?},\"known\":{known}",
        host(8, 0)
    );
    let forwarder = start(
        &state,
        &with_further_keys(&startup_config("notice", "guarded", 256, 3.0), &keys),
        platform.address,
    );
    for _ in 0..200 {
        unknown_sender.send_to(&[1, 1, 7, 0], listen).expect("sent");
    }
    // The last one is sent first: one that is cut off.
    let mut changes: Vec<String> = (300..1_024)
        .rev()
        .map(|n| endpoint_list(n as u64, false, &[other(n, "Gone")]))
        .collect();
    changes.push(known[..known.len() / 2].to_owned());
    *platform.pending_changes.lock().expect("the changes") = changes;
    for cell in 0..300 {
        let head = submission_head(&format!("p{cell}"), "notice", 4)
            .replace("dest=7", &format!("dest={cell}"));
        assert_eq!(forwarder.request_status(&head, b"body"), 202, "{cell}");
    }
    let delivered = || {
        seens
            .iter()
            .zip(0..)
            .all(|(seen, n): (_, u32)| count_calls(seen, &format!("p{n}")) == 1)
    };
    wait_until("each endpoint got its message, once", delivered);
    until_changes_are_sent(&platform);
    let (memory, open) = forwarder.resource_usage();
    assert!(
        memory < 64 * 1024 && open < 256,
        "{memory} kB, {open} descriptors"
    );
}
