//! The byte stream of a client connection, which records in the connection's state that bytes have been received.

use super::connection_state::ConnectionState;
use socket2::SockRef;
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The byte stream of an accepted client connection, owned by the task that serves the connection.
///
/// Where the runtime reports no bytes, the stream reads the socket itself, because the runtime polls sockets only
/// between turns of its event loop. A request that is unread in the socket must be seen before the connection is
/// closed.
pub struct ClientStream {
    socket: TcpStream,
    connection: Arc<ConnectionState>,
}

impl ClientStream {
    /// Wraps the socket of an accepted connection. `connection` is the state of the connection.
    pub fn new(socket: TcpStream, connection: Arc<ConnectionState>) -> ClientStream {
        ClientStream { socket, connection }
    }

    /// Reads the socket without waiting for the runtime's readiness event. Returns `Pending` if the socket has no
    /// bytes.
    fn read_socket(&self, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match (&*SockRef::from(&self.socket)).read(buffer.initialize_unfilled()) {
            Ok(count) => {
                buffer.advance(count);
                Poll::Ready(Ok(()))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(error) => Poll::Ready(Err(error)),
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = match Pin::new(&mut self.socket).poll_read(cx, buffer) {
            Poll::Pending => self.read_socket(buffer),
            ready => ready,
        };
        if buffer.filled().len() > filled_before {
            self.connection.record_bytes_received();
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
