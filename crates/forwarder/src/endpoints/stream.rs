//! The stream under a connection to an endpoint.
//!
//! It counts the bytes written, passes received bytes through the response filter, and fails on a response that is received
//! before the request is written whole: it can't be the response to that request.

use super::response_filter::{ResponseFilter, MAX_STATUS_LINE_BYTES};
use socket2::SockRef;
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Upper bound on the bytes read at once while a status line is awaited. Most responses fit.
const READ_CHUNK_BYTES: usize = 2048;

/// How much of the response to the current request has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseProgress {
    /// No byte of the request has been written. Bytes that are received now are no response to it.
    NoRequest,
    /// Writing the request has begun. No byte of its response has been received, apart from 1xx heads.
    Awaited,
    /// The first bytes of the response have been received.
    Started,
    /// The status line has been received and has this status. The rest of the response may still be invalid.
    Status(u16),
}

impl ResponseProgress {
    fn has_started(self) -> bool {
        matches!(
            self,
            ResponseProgress::Started | ResponseProgress::Status(_)
        )
    }
}

/// State of a stream, shared between the stream and the attempt that uses its connection.
pub struct StreamState {
    /// Number of bytes that the request takes on the connection.
    request_bytes: u64,
    bytes_written: AtomicU64,
    response: watch::Sender<ResponseProgress>,
    /// Its only receiver belongs to the stream and is dropped after the socket.
    open: watch::Sender<()>,
}

impl StreamState {
    fn new(request_bytes: u64) -> StreamState {
        StreamState {
            request_bytes,
            bytes_written: AtomicU64::new(0),
            response: watch::Sender::new(ResponseProgress::NoRequest),
            open: watch::Sender::new(()),
        }
    }

    /// Returns the number of bytes that were written to the socket.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Relaxed)
    }

    /// Returns whether all bytes of the request were written to the socket.
    pub fn request_fully_written(&self) -> bool {
        self.bytes_written() >= self.request_bytes
    }

    /// Returns how much of the response has been received.
    pub fn response_progress(&self) -> ResponseProgress {
        *self.response.borrow()
    }

    /// Waits until the socket is closed. The caller must have dropped the connection.
    pub async fn wait_until_closed(&self) {
        self.open.closed().await;
    }

    /// Waits until a response has been in progress for `timeout`. The caller must drop this future when the response head is
    /// complete. A 1xx head restarts the wait.
    pub async fn wait_for_stalled_head(&self, timeout: Duration) {
        let mut response = self.response.subscribe();
        while response
            .wait_for(|current| current.has_started())
            .await
            .is_ok()
        {
            let restarted = response.wait_for(|current| !current.has_started());
            if tokio::time::timeout(timeout, restarted).await.is_err() {
                return;
            }
        }
    }

    fn add_bytes_written(&self, count: usize) {
        self.bytes_written
            .fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Records the progress of the response. Further bytes of a status line that has already started do not wake waiters.
    fn set_response_progress(&self, progress: ResponseProgress) {
        self.response.send_if_modified(|current| {
            let unchanged = *current == progress && progress == ResponseProgress::Started;
            *current = progress;
            !unchanged
        });
    }

    /// Records progress that received bytes have made. Fails with `InvalidData` on a status before the request is written
    /// whole.
    fn record_response(&self, progress: ResponseProgress) -> io::Result<()> {
        if matches!(progress, ResponseProgress::Status(_)) && !self.request_fully_written() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.set_response_progress(progress);
        Ok(())
    }
}

/// A stream to an endpoint, owned by the HTTP library.
pub struct EndpointStream {
    socket: TcpStream,
    state: Arc<StreamState>,
    filter: ResponseFilter,
    /// Declared after the socket, so that it is dropped once the socket is closed.
    _open: watch::Receiver<()>,
}

impl EndpointStream {
    /// Wraps a new connection that will carry a request of `request_bytes` bytes. Returns the stream and its shared state.
    pub fn new(socket: TcpStream, request_bytes: u64) -> (EndpointStream, Arc<StreamState>) {
        let state = Arc::new(StreamState::new(request_bytes));
        let stream = EndpointStream {
            socket,
            state: state.clone(),
            filter: ResponseFilter::new(),
            _open: state.open.subscribe(),
        };
        (stream, state)
    }

    /// Starts the exchange at the first byte of the request. Fails with `ConnectionReset` if the socket already holds bytes
    /// or has ended. Reads the socket directly, because the runtime may not have noticed the bytes yet.
    fn begin_exchange(&mut self) -> io::Result<()> {
        if self.state.response_progress() != ResponseProgress::NoRequest {
            return Ok(());
        }
        match (&*SockRef::from(&self.socket)).read(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        self.state.set_response_progress(ResponseProgress::Awaited);
        Ok(())
    }

    fn count_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &written {
            self.state.add_bytes_written(*count);
        }
        written
    }

    /// Reads until the filter passes bytes to the library, or to the end of the stream. Drops a status line that is cut off
    /// by the end of the stream. Fails with `InvalidData` on bytes before the request has begun.
    fn poll_read_filtered(
        &mut self,
        cx: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            // The withheld bytes of a status line must fit into `output` in addition to the bytes read now.
            let read_limit = output.remaining().saturating_sub(MAX_STATUS_LINE_BYTES);
            let mut buffer = [0; READ_CHUNK_BYTES];
            let mut input = ReadBuf::new(&mut buffer[..read_limit.clamp(1, READ_CHUNK_BYTES)]);
            ready!(Pin::new(&mut self.socket).poll_read(cx, &mut input))?;
            if input.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            if self.state.response_progress() == ResponseProgress::NoRequest {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            let before = output.filled().len();
            let state = &self.state;
            self.filter.push(input.filled(), output, |progress| {
                state.record_response(progress)
            })?;
            if output.filled().len() > before {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.filter.passes_through() {
            Pin::new(&mut self.socket).poll_read(cx, output)
        } else {
            self.poll_read_filtered(cx, output)
        }
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_exchange()?;
        let written = Pin::new(&mut self.socket).poll_write(cx, bytes);
        self.count_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_exchange()?;
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, slices);
        self.count_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
