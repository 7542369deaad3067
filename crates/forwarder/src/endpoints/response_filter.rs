//! Filters the bytes of responses before the HTTP library parses them. Performs no I/O.
//!
//! 1xx heads are dropped. The status line of a response is withheld until it is complete, so that its status is known even
//! if the library considers the response invalid.

use super::stream::ResponseProgress;
use std::io;
use tokio::io::ReadBuf;

/// Length of the start of a status line that contains the status, in bytes.
const STATUS_PREFIX_BYTES: usize = "HTTP/1.1 200 ".len();

/// Upper bound on the bytes of a status line that are withheld until its end. Correct endpoints send shorter ones.
pub const MAX_STATUS_LINE_BYTES: usize = 512;

/// Upper bound on the bytes of 1xx heads before a response. Correct endpoints send fewer.
const MAX_INTERIM_BYTES: usize = 32 * 1024;

/// Number of consecutive line ends at the end of a head: the one of its last line and the one of the empty line.
const LINE_ENDS_AT_HEAD_END: u8 = 2;

/// The part of a response that the next byte belongs to.
enum FilterState {
    /// An incomplete status line, with its bytes so far.
    StatusLine(Vec<u8>),
    /// A 1xx head, with the number of consecutive line ends just before the next byte.
    Interim { line_ends: u8 },
    /// The part of a response after its status line.
    PassThrough,
}

/// Filters the response on one connection. Owned by its stream.
pub struct ResponseFilter {
    state: FilterState,
    /// Number of bytes of 1xx heads dropped so far.
    interim_bytes: usize,
}

impl ResponseFilter {
    /// Creates a filter that expects the status line of the response.
    pub fn new() -> ResponseFilter {
        ResponseFilter {
            state: FilterState::status_line(),
            interim_bytes: 0,
        }
    }

    /// Returns whether all further bytes of the response are passed through unchanged.
    pub fn passes_through(&self) -> bool {
        matches!(self.state, FilterState::PassThrough)
    }

    /// Filters received bytes into `output`, which must have space for `bytes` and a status line. Calls `on_progress` for
    /// each step of the response. Fails if `on_progress` fails, and with `InvalidData` if the 1xx heads are too long.
    pub fn push(
        &mut self,
        mut bytes: &[u8],
        output: &mut ReadBuf<'_>,
        on_progress: impl Fn(ResponseProgress) -> io::Result<()>,
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            match &mut self.state {
                FilterState::PassThrough => {
                    output.put_slice(bytes);
                    return Ok(());
                }
                FilterState::StatusLine(line) => {
                    if let Some(next_state) =
                        push_status_line(line, &mut bytes, output, &on_progress)?
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

/// Consumes bytes of a status line. Returns the next state, or `None` while the line is incomplete. A line that is too long
/// is passed through unchanged. Fails if `on_progress` fails.
fn push_status_line(
    line: &mut Vec<u8>,
    bytes: &mut &[u8],
    output: &mut ReadBuf<'_>,
    on_progress: impl Fn(ResponseProgress) -> io::Result<()>,
) -> io::Result<Option<FilterState>> {
    let line_ended = take_line(line, bytes);
    if !line_ended && line.len() < MAX_STATUS_LINE_BYTES {
        on_progress(ResponseProgress::Started)?;
        return Ok(None);
    }
    let status = if line_ended { parse_status(line) } else { None };
    if let Some(100..=199) = status {
        on_progress(ResponseProgress::Awaited)?;
        return Ok(Some(FilterState::Interim { line_ends: 1 }));
    }
    on_progress(status.map_or(ResponseProgress::Started, ResponseProgress::Status))?;
    output.put_slice(line);
    Ok(Some(FilterState::PassThrough))
}

/// Consumes one byte of a 1xx head. Returns whether the head has ended.
fn push_interim(line_ends: &mut u8, byte: u8) -> bool {
    match byte {
        b'\n' => *line_ends += 1,
        b'\r' => {}
        _ => *line_ends = 0,
    }
    *line_ends == LINE_ENDS_AT_HEAD_END
}

/// Moves bytes up to and including the line end to `line`. Returns whether the line has ended.
fn take_line(line: &mut Vec<u8>, bytes: &mut &[u8]) -> bool {
    let line_end = bytes.iter().position(|byte| *byte == b'\n');
    let length = line_end.map_or(bytes.len(), |at| at + 1);
    let (taken, rest) = bytes.split_at(length);
    line.extend(taken);
    *bytes = rest;
    line_end.is_some()
}

/// Parses the status at the start of a complete status line (RFC 9112 section 4). Returns `None` unless the version is
/// HTTP/1.0 or HTTP/1.1 and the status is three digits.
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
