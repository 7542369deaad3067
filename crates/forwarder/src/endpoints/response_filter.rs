//! What the HTTP library sees of the bytes that an endpoint sends. No I/O.
//!
//! 1xx heads are dropped. The first line of an answer is kept back until it is whole, so that its status is known even where
//! the library takes the answer for invalid.

use super::stream::AnswerProgress;
use std::io;
use tokio::io::ReadBuf;

/// Bytes at the start of a first line that contain its status.
const STATUS_BYTES: usize = "HTTP/1.1 200 ".len();

/// Bytes of a first line that are kept back until it ends. Lines of well-behaved endpoints are shorter.
pub const MAX_FIRST_LINE_BYTES: usize = 512;

/// Bytes of 1xx heads before an answer, over what well-behaved endpoints send.
const MAX_INTERIM_BYTES: usize = 32 * 1024;

/// Line ends directly behind each other that end a head: that of its last line, and an empty line.
const LINE_ENDS_AFTER_HEAD: u8 = 2;

/// What the next byte belongs to.
enum Position {
    /// The first line, not whole yet: its bytes so far.
    FirstLine(Vec<u8>),
    /// A 1xx head: the line ends directly behind each other up to here.
    Interim { line_ends: u8 },
    /// The answer after its first line.
    PassThrough,
}

/// The filter of one connection, from answer to answer.
pub struct ResponseFilter {
    position: Position,
    /// Bytes of 1xx heads dropped before the present answer.
    interim_bytes: usize,
}

impl ResponseFilter {
    /// A filter that waits for no answer.
    pub fn new() -> ResponseFilter {
        ResponseFilter {
            position: Position::PassThrough,
            interim_bytes: 0,
        }
    }

    /// Expects the first line of an answer next.
    pub fn expect_answer(&mut self) {
        self.position = Position::first_line();
        self.interim_bytes = 0;
    }

    /// Whether all further bytes of the answer go to the library as they are.
    pub fn passes_through(&self) -> bool {
        matches!(self.position, Position::PassThrough)
    }

    /// Takes bytes in as they come. What the library may see goes to `output`, which must have room for `bytes` and a first
    /// line. `on_progress` is called at each step of the answer. Fails where 1xx heads are too long.
    pub fn push(
        &mut self,
        mut bytes: &[u8],
        output: &mut ReadBuf<'_>,
        on_progress: impl Fn(AnswerProgress),
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            match &mut self.position {
                Position::PassThrough => {
                    output.put_slice(bytes);
                    return Ok(());
                }
                Position::FirstLine(line) => {
                    if let Some(next) = push_first_line(line, &mut bytes, output, &on_progress) {
                        self.position = next;
                    }
                }
                Position::Interim { line_ends } => {
                    let head_ended = push_interim(line_ends, bytes[0]);
                    bytes = &bytes[1..];
                    self.interim_bytes += 1;
                    if head_ended {
                        self.position = Position::first_line();
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

impl Position {
    fn first_line() -> Position {
        Position::FirstLine(Vec::with_capacity(STATUS_BYTES))
    }
}

/// Takes bytes of a first line. Returns what follows the line, nothing while it is not whole. A line that is too long goes to
/// the library as it is.
fn push_first_line(
    line: &mut Vec<u8>,
    bytes: &mut &[u8],
    output: &mut ReadBuf<'_>,
    on_progress: impl Fn(AnswerProgress),
) -> Option<Position> {
    let line_ended = take_line(line, bytes);
    if !line_ended && line.len() < MAX_FIRST_LINE_BYTES {
        on_progress(AnswerProgress::Started);
        return None;
    }
    let status = if line_ended { parse_status(line) } else { None };
    if let Some(100..=199) = status {
        on_progress(AnswerProgress::Awaited);
        return Some(Position::Interim { line_ends: 1 });
    }
    on_progress(status.map_or(AnswerProgress::Started, AnswerProgress::Status));
    output.put_slice(line);
    Some(Position::PassThrough)
}

/// Takes one byte of a 1xx head. Returns whether the head has ended.
fn push_interim(line_ends: &mut u8, byte: u8) -> bool {
    match byte {
        b'\n' => *line_ends += 1,
        b'\r' => {}
        _ => *line_ends = 0,
    }
    *line_ends == LINE_ENDS_AFTER_HEAD
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
    let beginning = line.get(..STATUS_BYTES)?;
    let code = match beginning.strip_prefix(b"HTTP/1.")? {
        [b'0' | b'1', b' ', code @ .., b' ' | b'\r' | b'\n'] => code,
        _ => return None,
    };
    if !code.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(code).ok()?.parse().ok()
}
