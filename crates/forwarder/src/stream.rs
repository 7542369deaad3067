//! The stream under a connection to an endpoint. It counts what is written, keeps 1xx heads from the HTTP library,
//! remembers the first line of the answer, and lets no byte through that belongs to no call.

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

const STATUS: usize = "HTTP/1.1 200 ".len(); // bytes of a first line that tell its status
const MOST_LINE: usize = 512; // bytes of a first line that are kept back until it ends: any that is meant well is shorter
const READ: usize = 2048; // bytes read at once while a first line is awaited: most answers whole
const MOST_INTERIM: usize = 32 * 1024; // bytes of 1xx heads before an answer: over any that are meant well

/// How far the answer to the call that is out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProgress {
    /// No call is out: bytes that come now belong to none.
    Unasked,
    Awaited,
    /// Its first bytes are in.
    Begun,
    /// Its first line tells this status; what follows may still be spoilt.
    Says(u16),
}

/// What the stream shows to those who use the connection.
pub struct StreamState {
    written: AtomicU64,
    before: AtomicU64, // written before the call that is out
    answer: watch::Sender<AnswerProgress>,
}

impl StreamState {
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Bytes written of the call that is out.
    pub fn sent(&self) -> u64 {
        self.written() - self.before.load(Ordering::Relaxed)
    }

    pub fn answer(&self) -> AnswerProgress {
        *self.answer.borrow()
    }

    /// Waits until an answer has begun and its head has not ended for so long; 1xx heads before it do not count.
    pub async fn stuck(&self, within: Duration) {
        let mut answer = self.answer.subscribe();
        let begun =
            |a: &AnswerProgress| matches!(a, AnswerProgress::Begun | AnswerProgress::Says(_));
        while answer.wait_for(begun).await.is_ok() {
            if tokio::time::timeout(within, answer.wait_for(|a| !begun(a)))
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// The answer is in to its last byte.
    pub fn rest(&self) {
        self.before.store(self.written(), Ordering::Relaxed);
        self.answer.send_replace(AnswerProgress::Unasked);
    }
}

enum Reading {
    /// The first line is not known yet; its bytes are kept back.
    FirstLine(Vec<u8>),
    /// A 1xx head, dropped to its empty line: line ends seen with nothing between them.
    Interim { line_ends: u8 },
    /// The answer itself.
    Through,
}

pub struct Stream {
    stream: TcpStream,
    stream_state: Arc<StreamState>,
    reading: Reading,
    dropped: usize, // bytes of 1xx heads before the answer to this call
}

impl Stream {
    pub fn new(stream: TcpStream) -> (Stream, Arc<StreamState>) {
        let [written, before] = [0, 0].map(AtomicU64::new);
        let stream_state = Arc::new(StreamState {
            written,
            before,
            answer: watch::Sender::new(AnswerProgress::Unasked),
        });
        (
            Stream {
                stream,
                stream_state: stream_state.clone(),
                reading: Reading::Through,
                dropped: 0,
            },
            stream_state,
        )
    }

    /// Guards the next call against bytes behind the last answer: they must not answer it. Asked of the socket
    /// itself, for the runtime may not have heard of them yet.
    fn begin(&mut self) -> io::Result<()> {
        if self.stream_state.answer() != AnswerProgress::Unasked {
            return Ok(());
        }
        match (&*SockRef::from(&self.stream)).read(&mut [0]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        self.stream_state
            .answer
            .send_replace(AnswerProgress::Awaited);
        self.reading = Reading::FirstLine(Vec::with_capacity(STATUS));
        self.dropped = 0;
        Ok(())
    }

    fn count(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &poll {
            self.stream_state
                .written
                .fetch_add(*n as u64, Ordering::Relaxed);
        }
        poll
    }

    /// Takes bytes in as they come; what the library may see goes to `out`.
    fn take(&mut self, mut bytes: &[u8], out: &mut ReadBuf<'_>) -> io::Result<()> {
        while !bytes.is_empty() {
            match &mut self.reading {
                Reading::Through => {
                    out.put_slice(bytes);
                    return Ok(());
                }
                Reading::FirstLine(line) => {
                    let end = bytes
                        .iter()
                        .position(|byte| *byte == b'\n')
                        .map(|at| at + 1);
                    let (more, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
                    line.extend(more);
                    bytes = rest;
                    if end.is_none() && line.len() < MOST_LINE {
                        self.stream_state.answer.send_if_modified(|a| {
                            std::mem::replace(a, AnswerProgress::Begun) != AnswerProgress::Begun
                        });
                        return Ok(());
                    }
                    // Guards rule 1 against half a line: whatever it begins with, only a whole one is true.
                    let status = end.and_then(|_| status(line.get(..STATUS)?));
                    if let Some(100..=199) = status {
                        self.stream_state
                            .answer
                            .send_replace(AnswerProgress::Awaited);
                        self.reading = Reading::Interim { line_ends: 1 };
                        continue;
                    }
                    let said = status.map_or(AnswerProgress::Begun, AnswerProgress::Says);
                    self.stream_state.answer.send_replace(said);
                    out.put_slice(line);
                    self.reading = Reading::Through;
                }
                Reading::Interim { line_ends } => {
                    let byte = bytes[0];
                    bytes = &bytes[1..];
                    self.dropped += 1;
                    match byte {
                        b'\n' => *line_ends += 1,
                        b'\r' => {}
                        _ => *line_ends = 0,
                    }
                    if *line_ends == 2 {
                        self.reading = Reading::FirstLine(Vec::with_capacity(STATUS));
                    }
                    if self.dropped > MOST_INTERIM {
                        return Err(io::ErrorKind::InvalidData.into());
                    }
                }
            }
        }
        Ok(())
    }
}

/// The status that a first line tells, by its beginning.
fn status(line: &[u8]) -> Option<u16> {
    let (version, rest) = line.split_at_checked("HTTP/1.".len())?;
    match rest {
        [b'0' | b'1', b' ', code @ .., b' ' | b'\r' | b'\n'] if version == b"HTTP/1." => {
            let digits = code.iter().all(u8::is_ascii_digit);
            std::str::from_utf8(code)
                .ok()
                .filter(|_| digits)?
                .parse()
                .ok()
        }
        _ => None,
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if matches!(this.reading, Reading::Through) {
            let before = buf.filled().len();
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
            let received_at = buf.filled().len() > before;
            return Poll::Ready(
                match received_at && this.stream_state.answer() == AnswerProgress::Unasked {
                    true => Err(io::ErrorKind::InvalidData.into()),
                    false => Ok(()),
                },
            );
        }
        loop {
            // What was kept back of a first line must fit beside what comes now.
            let room = buf.remaining().saturating_sub(MOST_LINE).min(READ);
            let mut bytes = [0; READ];
            let mut come = ReadBuf::new(&mut bytes[..room.max(1)]);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut come))?;
            if come.filled().is_empty() {
                return Poll::Ready(Ok(())); // the end; a first line that was cut off tells nothing
            }
            let before = buf.filled().len();
            this.take(come.filled(), buf)?;
            if buf.filled().len() > before {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin()?;
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin()?;
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
