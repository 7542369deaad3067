//! Mock servers around the measured forwarder: targets that respond with 200, and a discovery server with one fixed
//! list. All of them listen on loopback addresses only.

use crate::sockets::wire::HttpConnection;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Backlog of connections not yet accepted at one target; one forwarder opens only a few.
const LISTEN_BACKLOG: u32 = 64;
/// Upper bound on the time for which discovery holds a watch request open, in ms.
const MAX_WATCH_MS: u64 = 60_000;
/// Listed rate of each destination, in calls per second.
const LISTED_RATE: f64 = 50.0;

/// An endpoint list in which each target has a loopback address of its own, the same port, and the destination whose
/// number is the index of the target.
#[derive(Clone, Copy, Debug)]
pub struct EndpointList {
    /// Number of targets.
    pub target_count: u32,
    /// Port of all targets.
    pub port: u16,
}

impl EndpointList {
    /// Returns the address of a target. The addresses start at 127.1.0.0: the first 65,536 loopback addresses are
    /// reserved for the other peers of the laboratory.
    pub fn address(&self, target: u32) -> SocketAddrV4 {
        let [_, b, c, d] = (target + (1 << 16)).to_be_bytes();
        SocketAddrV4::new(Ipv4Addr::new(127, b, c, d), self.port)
    }

    /// Returns the list in the format of the platform's discovery protocol.
    pub fn to_json(&self) -> Value {
        let entry = |n| {
            json!({"id": format!("t{n}"), "host_port": self.address(n).to_string(), "locality": "a", "flavor": "m",
                "cell": n, "phase": "Ready", "size": LISTED_RATE, "up_since_ms": 0})
        };
        json!({"revision": 1, "complete": true, "members": (0..self.target_count).map(entry).collect::<Vec<_>>()})
    }
}

/// Listens at an address that may have been in use shortly before.
fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Listens at the targets with these indices and responds to each call with 200. Returns the count of calls, which
/// grows while the runtime lives. Fails if an address can't be bound.
pub fn start_targets(
    list: EndpointList,
    called_targets: &BTreeSet<u32>,
) -> io::Result<Arc<AtomicU64>> {
    let calls = Arc::new(AtomicU64::new(0));
    for target in called_targets {
        let (listener, calls) = (bind_listener(list.address(*target).into())?, calls.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (mut conn, calls) = (HttpConnection::new(stream), calls.clone());
                tokio::spawn(async move {
                    while let Ok(Some(_)) = conn.read_request().await {
                        calls.fetch_add(1, Ordering::Relaxed);
                        if conn.respond("200 OK", "", "").await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    Ok(calls)
}

/// Starts a discovery server that returns `list` to each list request, an empty update to each watch request after its
/// waiting time, and 204 to each completion report. Returns its address and the count of completion reports, which
/// grows while the runtime lives.
pub async fn start_discovery(list: String) -> io::Result<(SocketAddr, Arc<AtomicU64>)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let list: Arc<str> = list.into();
    let completion_reports = Arc::new(AtomicU64::new(0));
    let report_count = completion_reports.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (mut conn, list, completion_reports) = (
                HttpConnection::new(stream),
                list.clone(),
                report_count.clone(),
            );
            tokio::spawn(async move {
                while let Ok(Some(request)) = conn.read_request().await {
                    let wait_ms = request
                        .path
                        .split_once("wait=")
                        .map(|(_, wait_ms)| wait_ms.parse::<u64>());
                    let written = match wait_ms {
                        _ if request.method == "POST" => {
                            completion_reports.fetch_add(1, Ordering::Relaxed);
                            conn.respond("204 No Content", "", "").await
                        }
                        Some(wait_ms) => {
                            let wait_ms = wait_ms.unwrap_or(0).min(MAX_WATCH_MS);
                            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                            let no_changes = r#"{"revision":1,"complete":false,"members":[]}"#;
                            conn.respond("200 OK", "", no_changes).await
                        }
                        None => conn.respond("200 OK", "", &list).await,
                    };
                    if written.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok((address, completion_reports))
}

/// Returns a loopback address at which no process listens, chosen by binding a port and releasing it.
pub async fn unused_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await?
        .local_addr()
}
