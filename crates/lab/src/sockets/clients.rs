//! Clients of one forwarder: requests and answers on kept connections.

use super::wire::{HttpConnection, HttpMessage};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpStream;

/// Connections that clients keep to a forwarder at most.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// The clients of one forwarder, and the connections that they keep to it.
pub struct ForwarderClient {
    address: SocketAddr,
    /// Clients go there: the forwarder is not known to be down.
    pub available: AtomicBool,
    idle: Mutex<Vec<HttpConnection>>,
}

impl ForwarderClient {
    /// Clients without connections yet.
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

    /// One exchange; a kept connection that was closed meanwhile is replaced once.
    pub(super) async fn exchange(&self, request: &[u8]) -> io::Result<HttpMessage> {
        if let Some(conn) = self.take_idle() {
            match self.exchange_on(conn, request).await {
                // The request crossed the close: it is sent once more, under the same id.
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

/// What became of a request on a kept connection.
enum ExchangeResult {
    /// The connection was closed meanwhile.
    Closed,
    /// An answer, or another error.
    Completed(io::Result<HttpMessage>),
}

fn is_connection_closed(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset
    )
}
