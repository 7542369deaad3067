//! Messages that a measured forwarder gets, at an even pace from a few clients.

use crate::sockets::wire::Conn;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The delivery class of the messages.
pub const DELIVERY_CLASS: &str = "notice";
/// Connections that messages are submitted on: few beside the forwarder's descriptors.
const CLIENT_COUNT: u32 = 16;
/// Bytes of a message.
const BODY_BYTES: usize = 512;

/// The request that submits a message.
pub fn submission_request(id: &str, destination: u32, time_to_live: Duration) -> String {
    let time_to_live_ms = time_to_live.as_millis();
    format!(
        "POST /{DELIVERY_CLASS} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {DELIVERY_CLASS}\r\n\
         Request-Timeout-Ms: {time_to_live_ms}\r\nIdempotency-Key: k-{id}\r\nEnvelope: dest={destination}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n{:b<BODY_BYTES$}",
        ""
    )
}

/// Messages that are submitted.
#[derive(Clone)]
pub struct MessageLoad {
    /// Their destinations, in order.
    pub destinations: Arc<[u32]>,
    /// How many a second.
    pub rate: u64,
    /// The time to live of each.
    pub time_to_live: Duration,
}

/// Submits the messages at an even pace; counts those that were accepted.
pub async fn submit_all(messages: MessageLoad, listen: SocketAddr, accepted: Arc<AtomicU64>) {
    let next_index = Arc::new(AtomicUsize::new(0));
    let load_start = Instant::now();
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|_| {
            let client = Client {
                messages: messages.clone(),
                listen,
                next_index: next_index.clone(),
                accepted: accepted.clone(),
                idle_connection: None,
            };
            tokio::spawn(client.run(load_start))
        })
        .collect();
    for client in clients {
        // One that panics has submitted less, which the count of those accepted shows.
        let _ = client.await;
    }
}

/// One client, with the connection that it keeps.
struct Client {
    messages: MessageLoad,
    listen: SocketAddr,
    /// The number of the next message of all clients.
    next_index: Arc<AtomicUsize>,
    accepted: Arc<AtomicU64>,
    idle_connection: Option<Conn>,
}

impl Client {
    async fn run(mut self, load_start: Instant) {
        loop {
            let index = self.next_index.fetch_add(1, Ordering::Relaxed);
            let Some(destination) = self.messages.destinations.get(index).copied() else {
                return;
            };
            let offset_s = index as f64 / self.messages.rate as f64;
            tokio::time::sleep_until(load_start + Duration::from_secs_f64(offset_s)).await;
            let request = submission_request(
                &format!("m{index}"),
                destination,
                self.messages.time_to_live,
            );
            // One that fails is a message that was not accepted: it is counted as that.
            if matches!(self.submit(&request).await, Ok(202)) {
                self.accepted.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// The status of the answer.
    async fn submit(&mut self, request: &str) -> io::Result<u16> {
        let mut conn = match self.idle_connection.take() {
            Some(conn) => conn,
            None => Conn::new(TcpStream::connect(self.listen).await?),
        };
        conn.write(request.as_bytes()).await?;
        let answer = conn.answer().await?;
        self.idle_connection = Some(conn);
        Ok(answer.status)
    }
}
