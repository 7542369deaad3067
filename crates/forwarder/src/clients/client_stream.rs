//! The stream of a client, which notes in the state of its connection that bytes have come.

use super::connection_state::ConnectionState;
use socket2::SockRef;
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A client's stream.
///
/// It reads the socket itself where the runtime has no bytes, because the runtime polls sockets only between turns. A request
/// that lies unread in the socket must be seen before the connection is closed.
pub struct ClientStream {
    socket: TcpStream,
    connection: Arc<ConnectionState>,
}

impl ClientStream {
    /// The stream of an accepted connection.
    pub fn new(socket: TcpStream, connection: Arc<ConnectionState>) -> ClientStream {
        ClientStream { socket, connection }
    }

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
