//! What the HTTP library sees of the bytes that an endpoint sends. No I/O.
//!
//! 1xx heads are dropped. The first line of an answer is kept back until it is whole, so that its status is known even where
//! the library takes the answer for invalid.

use super::stream::ResponseProgress;
use std::io;
use tokio::io::ReadBuf;

/// Bytes at the start of a first line that contain its status.
const STATUS_PREFIX_BYTES: usize = "HTTP/1.1 200 ".len();

/// Bytes of a first line that are kept back until it ends. Lines of well-behaved endpoints are shorter.
pub const MAX_STATUS_LINE_BYTES: usize = 512;

/// Bytes of 1xx heads before an answer, over what well-behaved endpoints send.
const MAX_INTERIM_BYTES: usize = 32 * 1024;

/// Line ends directly behind each other that end a head: that of its last line, and an empty line.
const LINE_ENDS_AT_HEAD_END: u8 = 2;

/// What the next byte belongs to.
enum FilterState {
    /// The first line, not whole yet: its bytes so far.
    StatusLine(Vec<u8>),
    /// A 1xx head: the line ends directly behind each other up to here.
    Interim { line_ends: u8 },
    /// The answer after its first line.
    PassThrough,
}

/// The filter of one connection, from answer to answer.
pub struct ResponseFilter {
    state: FilterState,
    /// Bytes of 1xx heads dropped before the present answer.
    interim_bytes: usize,
}

impl ResponseFilter {
    /// A filter that waits for no answer.
    pub fn new() -> ResponseFilter {
        ResponseFilter {
            state: FilterState::PassThrough,
            interim_bytes: 0,
        }
    }

    /// Expects the first line of an answer next.
    pub fn expect_response(&mut self) {
        self.state = FilterState::status_line();
        self.interim_bytes = 0;
    }

    /// Whether all further bytes of the answer go to the library as they are.
    pub fn passes_through(&self) -> bool {
        matches!(self.state, FilterState::PassThrough)
    }

    /// Takes bytes in as they come. What the library may see goes to `output`, which must have room for `bytes` and a first
    /// line. `on_progress` is called at each step of the answer. Fails where 1xx heads are too long.
    pub fn push(
        &mut self,
        mut bytes: &[u8],
        output: &mut ReadBuf<'_>,
        on_progress: impl Fn(ResponseProgress),
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            match &mut self.state {
                FilterState::PassThrough => {
                    output.put_slice(bytes);
                    return Ok(());
                }
                FilterState::StatusLine(line) => {
                    if let Some(next_state) =
                        push_status_line(line, &mut bytes, output, &on_progress)
                    {
                        self.state = next_state;
                    }
                }
                FilterState::Interim { line_ends } => {
                    let head_ended = push_interim(line_ends, bytes[0]);
                    bytes = &bytes[1..];
                    self.interim_bytes += 1;
                    if head_ended {
                        self.state = FilterState::status_line();
                    }
                    if self.interim_bytes > MAX_INTERIM_BYTES {
                        return Err(io::ErrorKind::InvalidData.into());
                    }
                }
            }
        }
        Ok(())
    }
}

impl FilterState {
    fn status_line() -> FilterState {
        FilterState::StatusLine(Vec::with_capacity(STATUS_PREFIX_BYTES))
    }
}

/// Takes bytes of a first line. Returns what follows the line, nothing while it is not whole. A line that is too long goes to
/// the library as it is.
fn push_status_line(
    line: &mut Vec<u8>,
    bytes: &mut &[u8],
    output: &mut ReadBuf<'_>,
    on_progress: impl Fn(ResponseProgress),
) -> Option<FilterState> {
    let line_ended = take_line(line, bytes);
    if !line_ended && line.len() < MAX_STATUS_LINE_BYTES {
        on_progress(ResponseProgress::Started);
        return None;
    }
    let status = if line_ended { parse_status(line) } else { None };
    if let Some(100..=199) = status {
        on_progress(ResponseProgress::Awaited);
        return Some(FilterState::Interim { line_ends: 1 });
    }
    on_progress(status.map_or(ResponseProgress::Started, ResponseProgress::Status));
    output.put_slice(line);
    Some(FilterState::PassThrough)
}

/// Takes one byte of a 1xx head. Returns whether the head has ended.
fn push_interim(line_ends: &mut u8, byte: u8) -> bool {
    match byte {
        b'\n' => *line_ends += 1,
        b'\r' => {}
        _ => *line_ends = 0,
    }
    *line_ends == LINE_ENDS_AT_HEAD_END
}

/// Moves bytes to `line` up to and with the line end. Returns whether the line has ended.
fn take_line(line: &mut Vec<u8>, bytes: &mut &[u8]) -> bool {
    let line_end = bytes.iter().position(|byte| *byte == b'\n');
    let length = line_end.map_or(bytes.len(), |at| at + 1);
    let (taken, rest) = bytes.split_at(length);
    line.extend(taken);
    *bytes = rest;
    line_end.is_some()
}

/// The status of a whole first line (RFC 9112 section 4), by its beginning. HTTP/1.0 and HTTP/1.1 only.
fn parse_status(line: &[u8]) -> Option<u16> {
    let prefix = line.get(..STATUS_PREFIX_BYTES)?;
    let code = match prefix.strip_prefix(b"HTTP/1.")? {
        [b'0' | b'1', b' ', code @ .., b' ' | b'\r' | b'\n'] => code,
        _ => return None,
    };
    if !code.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(code).ok()?.parse().ok()
}
