//! The load on a measured forwarder: messages that a few clients submit at a constant rate.

use crate::sockets::wire::HttpConnection;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Delivery class of all messages.
pub const DELIVERY_CLASS: &str = "notice";
/// Number of connections on which messages are submitted; small compared with the descriptor limit of the forwarder.
const CLIENT_COUNT: u32 = 16;
/// Size of the body of a message, in bytes.
const BODY_BYTES: usize = 512;

/// Returns the HTTP request that submits a message with this id; its idempotency key is derived from the id.
pub fn submission_request(id: &str, destination: u32, time_to_live: Duration) -> String {
    let time_to_live_ms = time_to_live.as_millis();
    format!(
        "POST /{DELIVERY_CLASS} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {DELIVERY_CLASS}\r\n\
         Request-Timeout-Ms: {time_to_live_ms}\r\nIdempotency-Key: k-{id}\r\nEnvelope: dest={destination}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n{:b<BODY_BYTES$}",
        ""
    )
}

/// The messages to submit to one forwarder.
#[derive(Clone)]
pub struct MessageLoad {
    /// Destination of each message, in the order of submission.
    pub destinations: Arc<[u32]>,
    /// Messages submitted per second by all clients together.
    pub rate: u64,
    /// Time to live of each message.
    pub time_to_live: Duration,
}

/// Submits the messages at a constant rate and adds the number of accepted messages to `accepted`. Returns when each
/// message has been answered or has failed.
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
        // A client that panics submits fewer messages, which shows in the count of accepted messages.
        let _ = client.await;
    }
}

/// A client that submits every message that no other client has taken yet.
struct Client {
    messages: MessageLoad,
    listen: SocketAddr,
    /// Index of the next message to submit, shared by all clients.
    next_index: Arc<AtomicUsize>,
    /// Number of accepted messages, shared by all clients.
    accepted: Arc<AtomicU64>,
    /// The open connection between two requests; `None` before the first one and after an error.
    idle_connection: Option<HttpConnection>,
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
            // A failed request is not reported: its message counts as not accepted.
            if matches!(self.submit(&request).await, Ok(202)) {
                self.accepted.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Sends a request on the idle connection or a new one, and returns the status of the answer.
    async fn submit(&mut self, request: &str) -> io::Result<u16> {
        let mut conn = match self.idle_connection.take() {
            Some(conn) => conn,
            None => HttpConnection::new(TcpStream::connect(self.listen).await?),
        };
        conn.write(request.as_bytes()).await?;
        let answer = conn.read_response().await?;
        self.idle_connection = Some(conn);
        Ok(answer.status)
    }
}
