//! Stand-in endpoints: a listener each, which takes connections while the receivers' model does.

use super::accept_queue::AcceptQueue;
use super::calls::answer;
use super::wire::{Conn, Port};
use super::Stage;
use crate::scenario::FaultKind;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time between two looks at an endpoint that flaps, or that does not listen.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What is known of one stand-in.
pub struct StandIn {
    /// Where it listens.
    pub address: SocketAddr,
    port: Port,
    /// The number of the holder of the address that answers now.
    holder: AtomicU32,
    /// Open connections.
    open: AtomicU32,
}

impl StandIn {
    /// The number of the holder of the address that answers now.
    pub fn holder(&self) -> u32 {
        self.holder.load(Ordering::Relaxed)
    }

    /// A new holder answers from now on.
    pub(crate) fn replaced(&self) {
        self.holder.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts all of them, on free ports of loopback.
pub async fn start(stage: &Arc<Stage>) -> io::Result<Vec<Arc<StandIn>>> {
    let mut stand_ins = Vec::new();
    for endpoint in 0..stage.layout.endpoints.len() {
        let port = Port::hold(0)?;
        let listener = port.listen()?;
        let stand_in = Arc::new(StandIn {
            address: port.address,
            port,
            holder: AtomicU32::new(0),
            open: AtomicU32::new(0),
        });
        stand_ins.push(stand_in.clone());
        tokio::spawn(listen(stage.clone(), endpoint, stand_in, listener));
    }
    Ok(stand_ins)
}

/// Listens while the endpoint takes connections, and not while it refuses them.
async fn listen(stage: Arc<Stage>, endpoint: usize, stand_in: Arc<StandIn>, listener: TcpListener) {
    let mut listener = Some(listener);
    let mut changed = stage.changed.subscribe();
    let mut accept_queue = AcceptQueue::new(&stage);
    let flaps = has_flapping(&stage);
    loop {
        let refuses = stage
            .lock()
            .receivers
            .refuses_connections(stage.now(), endpoint);
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
                    let conn = Conn::new(stream);
                    tokio::spawn(serve(stage.clone(), endpoint, stand_in.clone(), conn));
                }
                // Out of descriptors: some come free.
                Err(_) => tokio::time::sleep(LOOK_INTERVAL).await,
            },
            _ = changed.changed() => {}
            turned = async { accept_queue.change(listener.as_ref()?).await.ok() }, if accept_queue.is_used() => {
                if turned.is_none() {
                    // It does not listen now.
                    tokio::time::sleep(LOOK_INTERVAL).await;
                }
            }
            () = tokio::time::sleep(LOOK_INTERVAL), if flaps || listener.is_none() => {}
        }
    }
}

fn has_flapping(stage: &Stage) -> bool {
    let mut faults = stage.scenario.faults.iter();
    faults.any(|fault| matches!(fault.kind, FaultKind::Flapping { .. }))
}

/// Serves one connection to its end, unless the endpoint has too many.
async fn serve(stage: Arc<Stage>, endpoint: usize, stand_in: Arc<StandIn>, conn: Conn) {
    let group = &stage.scenario.destinations[stage.layout.endpoints[endpoint].group_index];
    let open = stand_in.open.fetch_add(1, Ordering::Relaxed) + 1;
    if group.max_connections > 0 && open > group.max_connections {
        conn.reset();
    } else {
        if group.handshake.0 > 0 {
            tokio::time::sleep(Duration::from_micros(group.handshake.0)).await;
        }
        let idle_timeout = Duration::from_micros(group.idle_timeout.0);
        answer_requests(&stage, endpoint, &stand_in, conn, idle_timeout).await;
    }
    stand_in.open.fetch_sub(1, Ordering::Relaxed);
}

/// Answers requests until the connection is closed, idle for too long, or the endpoint goes down.
async fn answer_requests(
    stage: &Arc<Stage>,
    endpoint: usize,
    stand_in: &StandIn,
    mut conn: Conn,
    idle_timeout: Duration,
) {
    let mut changed = stage.changed.subscribe();
    loop {
        let request = tokio::select! {
            request = tokio::time::timeout(idle_timeout, conn.request()) => request,
            _ = changed.changed() => {
                // An endpoint that is down holds no idle connection.
                if stage.lock().receivers.refuses_connections(stage.now(), endpoint) {
                    return;
                }
                continue;
            }
        };
        let Ok(Ok(Some(request))) = request else {
            return;
        };
        match answer(stage, endpoint, stand_in, conn, request).await {
            Some(usable) => conn = usable,
            None => return,
        }
    }
}
