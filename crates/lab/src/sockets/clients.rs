//! Clients of one forwarder: requests and answers on kept connections.

use super::wire::{Conn, HttpMessage};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpStream;

/// Connections that clients keep to a forwarder at most.
const MAX_KEPT: usize = 512;

/// The clients of one forwarder, and the connections that they keep to it.
pub struct ForwarderClient {
    address: SocketAddr,
    /// Clients go there: the forwarder is not known to be down.
    pub open: AtomicBool,
    idle: Mutex<Vec<Conn>>,
}

impl ForwarderClient {
    /// Clients without connections yet.
    pub fn new(address: SocketAddr) -> Arc<ForwarderClient> {
        Arc::new(ForwarderClient {
            address,
            open: AtomicBool::new(true),
            idle: Mutex::new(Vec::new()),
        })
    }

    fn take(&self) -> Option<Conn> {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop()
    }

    fn give_back(&self, conn: Conn) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_KEPT {
            idle.push(conn);
        }
    }

    /// One exchange; a kept connection that was closed meanwhile is replaced once.
    pub(super) async fn exchange(&self, request: &[u8]) -> io::Result<HttpMessage> {
        if let Some(conn) = self.take() {
            match self.exchange_on(conn, request).await {
                // The request crossed the close: it is sent once more, under the same id.
                Exchange::Closed => {}
                Exchange::Ended(answer) => return answer,
            }
        }
        let mut conn = Conn::new(TcpStream::connect(self.address).await?);
        conn.write(request).await?;
        let answer = conn.answer().await?;
        Ok(self.done(conn, answer))
    }

    async fn exchange_on(&self, mut conn: Conn, request: &[u8]) -> Exchange {
        if conn.write(request).await.is_err() {
            return Exchange::Closed;
        }
        match conn.answer().await {
            Ok(answer) => Exchange::Ended(Ok(self.done(conn, answer))),
            Err(error) if was_closed(&error) => Exchange::Closed,
            Err(error) => Exchange::Ended(Err(error)),
        }
    }

    fn done(&self, conn: Conn, answer: HttpMessage) -> HttpMessage {
        if answer.header("connection") != Some("close") {
            self.give_back(conn);
        }
        answer
    }
}

/// What became of a request on a kept connection.
enum Exchange {
    /// The connection was closed meanwhile.
    Closed,
    /// An answer, or another error.
    Ended(io::Result<HttpMessage>),
}

fn was_closed(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset
    )
}
