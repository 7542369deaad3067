//! Stand-in endpoints. Each has a listener that accepts connections while the receiver model does.

use super::accept_queue::AcceptQueue;
use super::calls::respond;
use super::wire::{HttpConnection, ReservedPort};
use super::RunContext;
use crate::scenario::FaultKind;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Interval at which the state of an endpoint is polled while it flaps or does not listen.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An endpoint that the laboratory serves on a loopback port.
pub struct StandInEndpoint {
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    port: ReservedPort,
    /// Present incarnation of the endpoint, from 0.
    incarnation: AtomicU32,
    /// Number of open connections.
    open_connections: AtomicU32,
}

impl StandInEndpoint {
    /// Returns the present incarnation of the endpoint, from 0.
    pub fn incarnation(&self) -> u32 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Replaces the endpoint by its next incarnation at the same address.
    pub(crate) fn start_new_incarnation(&self) {
        self.incarnation.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts all endpoints of the layout, in its order, on free loopback ports. Fails if a port can't be reserved.
pub async fn start(context: &Arc<RunContext>) -> io::Result<Vec<Arc<StandInEndpoint>>> {
    let mut stand_ins = Vec::new();
    for endpoint_index in 0..context.layout.endpoints.len() {
        let port = ReservedPort::reserve(0)?;
        let listener = port.listen()?;
        let stand_in = Arc::new(StandInEndpoint {
            address: port.address,
            port,
            incarnation: AtomicU32::new(0),
            open_connections: AtomicU32::new(0),
        });
        stand_ins.push(stand_in.clone());
        tokio::spawn(listen(context.clone(), endpoint_index, stand_in, listener));
    }
    Ok(stand_ins)
}

/// Accepts connections of an endpoint. Closes the listener while the receiver model refuses connections.
async fn listen(
    context: Arc<RunContext>,
    endpoint_index: usize,
    stand_in: Arc<StandInEndpoint>,
    listener: TcpListener,
) {
    let mut listener = Some(listener);
    let mut changed = context.receivers_changed.subscribe();
    let mut accept_queue = AcceptQueue::new(&context);
    let polls_flapping = has_flapping_fault(&context);
    loop {
        let refuses = context
            .lock_state()
            .receivers
            .refuses_connections(context.now(), endpoint_index);
        match (refuses, &listener) {
            (true, Some(_)) => listener = None,
            (false, None) => listener = stand_in.port.listen().ok(),
            _ => {}
        }
        let accepts = !accept_queue.is_full();
        let accept = async {
            match &listener {
                Some(listener) if accepts => listener.accept().await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accept => match accepted {
                Ok((stream, _)) => {
                    let conn = HttpConnection::new(stream);
                    tokio::spawn(serve_connection(context.clone(), endpoint_index, stand_in.clone(), conn));
                }
                // The process is out of file descriptors; some become free soon.
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            },
            _ = changed.changed() => {}
            toggled = async { accept_queue.toggle_when_due(listener.as_ref()?).await.ok() }, if accept_queue.is_enabled() => {
                if toggled.is_none() {
                    // The endpoint does not listen at present.
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
            () = tokio::time::sleep(POLL_INTERVAL), if polls_flapping || listener.is_none() => {}
        }
    }
}

fn has_flapping_fault(context: &RunContext) -> bool {
    let mut faults = context.scenario.faults.iter();
    faults.any(|fault| matches!(fault.kind, FaultKind::Flapping { .. }))
}

/// Serves a connection until it is closed. Resets it if the endpoint has reached its connection limit.
async fn serve_connection(
    context: Arc<RunContext>,
    endpoint_index: usize,
    stand_in: Arc<StandInEndpoint>,
    conn: HttpConnection,
) {
    let group =
        &context.scenario.destinations[context.layout.endpoints[endpoint_index].group_index];
    let open_connections = stand_in.open_connections.fetch_add(1, Ordering::Relaxed) + 1;
    if group.max_connections > 0 && open_connections > group.max_connections {
        conn.reset();
    } else {
        if group.handshake.0 > 0 {
            tokio::time::sleep(Duration::from_micros(group.handshake.0)).await;
        }
        let idle_timeout = Duration::from_micros(group.idle_timeout.0);
        respond_to_requests(&context, endpoint_index, &stand_in, conn, idle_timeout).await;
    }
    stand_in.open_connections.fetch_sub(1, Ordering::Relaxed);
}

/// Responds to requests until the connection is closed, the idle timeout expires or the endpoint goes down.
async fn respond_to_requests(
    context: &Arc<RunContext>,
    endpoint_index: usize,
    stand_in: &StandInEndpoint,
    mut conn: HttpConnection,
    idle_timeout: Duration,
) {
    let mut changed = context.receivers_changed.subscribe();
    loop {
        let request = tokio::select! {
            request = tokio::time::timeout(idle_timeout, conn.read_request()) => request,
            _ = changed.changed() => {
                // An endpoint that goes down closes its idle connections.
                if context.lock_state().receivers.refuses_connections(context.now(), endpoint_index) {
                    return;
                }
                continue;
            }
        };
        let Ok(Ok(Some(request))) = request else {
            return;
        };
        match respond(context, endpoint_index, stand_in, conn, request).await {
            Some(reusable_conn) => conn = reusable_conn,
            None => return,
        }
    }
}
