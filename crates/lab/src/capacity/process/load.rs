//! Messages that a measured forwarder gets, at an even pace from a few clients.

use crate::sockets::wire::HttpConnection;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The delivery class of the messages.
pub const CLASS: &str = "notice";
/// Connections that messages are submitted on: few beside the forwarder's descriptors.
const CLIENTS: u32 = 16;
/// Bytes of a message.
const BODY_BYTES: usize = 512;

/// The request that submits a message.
pub fn submission(id: &str, destination: u32, time_to_live: Duration) -> String {
    let time = time_to_live.as_millis();
    format!(
        "POST /{CLASS} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {CLASS}\r\n\
         Request-Timeout-Ms: {time}\r\nIdempotency-Key: k-{id}\r\nEnvelope: dest={destination}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n{:b<BODY_BYTES$}",
        ""
    )
}

/// Messages that are submitted.
#[derive(Clone)]
pub struct Load {
    /// Their destinations, in order.
    pub draws: Arc<[u32]>,
    /// How many a second.
    pub rate: u64,
    /// The time to live of each.
    pub time: Duration,
}

/// Submits the messages at an even pace; counts those that were accepted.
pub async fn load(messages: Load, listen: SocketAddr, accepted: Arc<AtomicU64>) {
    let next = Arc::new(AtomicUsize::new(0));
    let begin = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let client = Client {
                messages: messages.clone(),
                listen,
                next: next.clone(),
                accepted: accepted.clone(),
                kept: None,
            };
            tokio::spawn(client.run(begin))
        })
        .collect();
    for client in clients {
        // One that panics has submitted less, which the count of those accepted shows.
        let _ = client.await;
    }
}

/// One client, with the connection that it keeps.
struct Client {
    messages: Load,
    listen: SocketAddr,
    /// The number of the next message of all clients.
    next: Arc<AtomicUsize>,
    accepted: Arc<AtomicU64>,
    kept: Option<HttpConnection>,
}

impl Client {
    async fn run(mut self, begin: Instant) {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let Some(destination) = self.messages.draws.get(number).copied() else {
                return;
            };
            let after = number as f64 / self.messages.rate as f64;
            tokio::time::sleep_until(begin + Duration::from_secs_f64(after)).await;
            let request = submission(&format!("m{number}"), destination, self.messages.time);
            // One that fails is a message that was not accepted: it is counted as that.
            if matches!(self.submit(&request).await, Ok(202)) {
                self.accepted.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// The status of the answer.
    async fn submit(&mut self, request: &str) -> io::Result<u16> {
        let mut conn = match self.kept.take() {
            Some(conn) => conn,
            None => HttpConnection::new(TcpStream::connect(self.listen).await?),
        };
        conn.write(request.as_bytes()).await?;
        let answer = conn.read_response().await?;
        self.kept = Some(conn);
        Ok(answer.status)
    }
}
