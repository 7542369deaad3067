//! Tests of reserved ports.

use super::*;
use std::collections::BTreeSet;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Number of ports that are reserved while processes are started.
const PORTS: usize = 2_000;

/// Ends the threads that start processes when it is dropped, also by a check that fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Guards against runs that fail because their port counts as in use: a process that is being started elsewhere holds a copy
/// of each open socket until its program is loaded, and a copy that listens keeps others from listening on the port.
#[tokio::test]
async fn reserved_port_can_be_listened_on_while_processes_are_started() {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stop_on_drop = StopOnDrop(&stop);
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let status = Command::new("true").status();
                    assert!(status.expect("the process starts").success());
                }
            });
        }
        for number in 0..PORTS {
            let port = ReservedPort::reserve(0).expect("a port is free");
            let listener = port.listen();
            assert!(
                listener.is_ok(),
                "expected port {number} to be free, got {listener:?}"
            );
        }
    });
}

/// Two runs at the same time must not share a port.
#[tokio::test]
async fn reserved_ports_differ() {
    let ports: Vec<ReservedPort> = (0..500)
        .map(|_| ReservedPort::reserve(0).expect("a port is free"))
        .collect();
    let addresses: BTreeSet<SocketAddr> = ports.iter().map(|port| port.address).collect();
    assert_eq!(addresses.len(), ports.len());
}

/// A port that another listener uses is not given out.
#[tokio::test]
async fn used_port_is_not_reserved() {
    let first = ReservedPort::reserve(0).expect("a port is free");
    let _listener = first.listen().expect("the port is free");
    let second = ReservedPort::reserve(first.address.port());
    assert_eq!(
        second.err().map(|error| error.kind()),
        Some(io::ErrorKind::AddrInUse)
    );
}
