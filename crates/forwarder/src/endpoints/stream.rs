//! The stream under a connection to an endpoint.
//!
//! It counts the bytes written, passes received bytes through the response filter, and fails on bytes that belong to no
//! request, because they must not be taken for the response to the next request.

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
    /// No request is in flight. Bytes that are received now belong to none.
    NoRequest,
    /// A request is in flight. No byte of its response has been received, apart from 1xx heads.
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
    bytes_written: AtomicU64,
    /// Number of bytes written before the current request.
    bytes_before_request: AtomicU64,
    response: watch::Sender<ResponseProgress>,
}

impl StreamState {
    fn new() -> StreamState {
        StreamState {
            bytes_written: AtomicU64::new(0),
            bytes_before_request: AtomicU64::new(0),
            response: watch::Sender::new(ResponseProgress::NoRequest),
        }
    }

    /// Returns the number of bytes of the current request that were written to the socket.
    pub fn request_bytes_written(&self) -> u64 {
        let before = self.bytes_before_request.load(Ordering::Relaxed);
        self.bytes_written.load(Ordering::Relaxed) - before
    }

    /// Returns how much of the response has been received.
    pub fn response_progress(&self) -> ResponseProgress {
        *self.response.borrow()
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

    /// Marks the current exchange as complete.
    pub fn end_exchange(&self) {
        let written = self.bytes_written.load(Ordering::Relaxed);
        self.bytes_before_request.store(written, Ordering::Relaxed);
        self.response.send_replace(ResponseProgress::NoRequest);
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
}

/// A stream to an endpoint, owned by the HTTP library.
pub struct EndpointStream {
    socket: TcpStream,
    state: Arc<StreamState>,
    filter: ResponseFilter,
}

impl EndpointStream {
    /// Wraps a new connection. Returns the stream and its shared state.
    pub fn new(socket: TcpStream) -> (EndpointStream, Arc<StreamState>) {
        let state = Arc::new(StreamState::new());
        let stream = EndpointStream {
            socket,
            state: state.clone(),
            filter: ResponseFilter::new(),
        };
        (stream, state)
    }

    /// Starts an exchange at the first byte of a request. Fails with `ConnectionReset` if the socket holds bytes that belong
    /// to no request or has ended. Reads the socket directly, because the runtime may not have noticed the bytes yet.
    fn begin_exchange(&mut self) -> io::Result<()> {
        if self.state.response_progress() != ResponseProgress::NoRequest {
            return Ok(());
        }
        match (&*SockRef::from(&self.socket)).read(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        self.state.set_response_progress(ResponseProgress::Awaited);
        self.filter.expect_response();
        Ok(())
    }

    fn count_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &written {
            self.state.add_bytes_written(*count);
        }
        written
    }

    /// Passes bytes of a response after its status line directly to the library. Fails with `InvalidData` if they belong to
    /// no request.
    fn poll_read_unfiltered(
        &mut self,
        cx: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = output.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, output))?;
        let bytes_received = output.filled().len() > before;
        if bytes_received && self.state.response_progress() == ResponseProgress::NoRequest {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Poll::Ready(Ok(()))
    }

    /// Reads until the filter passes bytes to the library, or to the end of the stream. Drops a status line that is cut off
    /// by the end of the stream.
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
            let before = output.filled().len();
            let state = &self.state;
            self.filter.push(input.filled(), output, |progress| {
                state.set_response_progress(progress);
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
            self.poll_read_unfiltered(cx, output)
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
