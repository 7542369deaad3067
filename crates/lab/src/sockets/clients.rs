//! HTTP clients of the forwarders, which reuse idle connections.

use super::wire::{HttpConnection, HttpMessage};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpStream;

/// Upper bound on the idle connections to a forwarder that are kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// An HTTP client of one forwarder, with a pool of idle connections.
pub struct ForwarderClient {
    address: SocketAddr,
    /// Whether messages are submitted to the forwarder; false while it is known to be down.
    pub available: AtomicBool,
    idle: Mutex<Vec<HttpConnection>>,
}

impl ForwarderClient {
    /// Creates a client without connections, for an available forwarder.
    pub fn new(address: SocketAddr) -> Arc<ForwarderClient> {
        Arc::new(ForwarderClient {
            address,
            available: AtomicBool::new(true),
            idle: Mutex::new(Vec::new()),
        })
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop()
    }

    fn return_idle(&self, conn: HttpConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(conn);
        }
    }

    /// Sends a request and returns the answer. A reused connection that was closed in the meantime is replaced once. Fails if
    /// the connection can't be established or breaks, or if the answer is malformed.
    pub(super) async fn exchange(&self, request: &[u8]) -> io::Result<HttpMessage> {
        if let Some(conn) = self.take_idle() {
            match self.exchange_on(conn, request).await {
                // The forwarder closed the connection while the request was sent. The request is sent again with the same id.
                ExchangeResult::Closed => {}
                ExchangeResult::Completed(answer) => return answer,
            }
        }
        let mut conn = HttpConnection::new(TcpStream::connect(self.address).await?);
        conn.write(request).await?;
        let answer = conn.read_response().await?;
        Ok(self.keep_connection(conn, answer))
    }

    async fn exchange_on(&self, mut conn: HttpConnection, request: &[u8]) -> ExchangeResult {
        if conn.write(request).await.is_err() {
            return ExchangeResult::Closed;
        }
        match conn.read_response().await {
            Ok(answer) => ExchangeResult::Completed(Ok(self.keep_connection(conn, answer))),
            Err(error) if is_connection_closed(&error) => ExchangeResult::Closed,
            Err(error) => ExchangeResult::Completed(Err(error)),
        }
    }

    fn keep_connection(&self, conn: HttpConnection, answer: HttpMessage) -> HttpMessage {
        if answer.header("connection") != Some("close") {
            self.return_idle(conn);
        }
        answer
    }
}

/// The result of a request on a reused connection.
enum ExchangeResult {
    /// The forwarder closed the connection.
    Closed,
    /// The answer, or an error other than a closed connection.
    Completed(io::Result<HttpMessage>),
}

fn is_connection_closed(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset
    )
}
