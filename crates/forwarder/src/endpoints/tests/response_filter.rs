//! Tests of the response filter without a socket: the bytes passed to the HTTP library and the progress reported.

use crate::endpoints::response_filter::{ResponseFilter, MAX_STATUS_LINE_BYTES};
use crate::endpoints::stream::ResponseProgress;
use std::cell::RefCell;
use std::io;
use tokio::io::ReadBuf;

const BUFFER_BYTES: usize = 64 * 1024;

/// The result of filtering the parts of one response.
struct Filtered {
    output: Vec<u8>,
    progress: Vec<ResponseProgress>,
    result: io::Result<()>,
}

/// Passes parts of a response to a new filter, up to the first error.
fn filter(parts: &[&[u8]]) -> Filtered {
    let mut filter = ResponseFilter::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut output = ReadBuf::new(&mut buffer);
    let progress = RefCell::new(Vec::new());
    let mut result = Ok(());
    for part in parts {
        let record = |step| {
            progress.borrow_mut().push(step);
            Ok(())
        };
        result = filter.push(part, &mut output, record);
        if result.is_err() {
            break;
        }
    }
    Filtered {
        output: output.filled().to_vec(),
        progress: progress.into_inner(),
        result,
    }
}

#[test]
fn withholds_a_status_line_until_it_is_complete() {
    let incomplete = filter(&[b"HTTP/1.1 200 OK\r"]);
    assert_eq!(incomplete.output, b"");
    assert_eq!(incomplete.progress, [ResponseProgress::Started]);
    let complete = filter(&[b"HTTP/1.1 200 OK\r", b"\nX: y"]);
    assert_eq!(complete.output, b"HTTP/1.1 200 OK\r\nX: y");
    assert_eq!(
        complete.progress,
        [ResponseProgress::Started, ResponseProgress::Status(200)]
    );
}

#[test]
fn drops_1xx_heads_split_at_any_byte() {
    let text = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 101 Up\n\nHTTP/1.0 503 Full\r\nX: y\r\n\r\n";
    for cut in 0..text.len() {
        let (first, second) = text.split_at(cut);
        let filtered = filter(&[first, second]);
        assert_eq!(
            filtered.output, b"HTTP/1.0 503 Full\r\nX: y\r\n\r\n",
            "output for a response split at byte {cut}"
        );
        assert_eq!(
            filtered.progress.last(),
            Some(&ResponseProgress::Status(503)),
            "last progress for a response split at byte {cut}"
        );
    }
}

#[test]
fn passes_through_a_line_without_a_valid_status_or_a_line_end() {
    let endless = vec![b'x'; MAX_STATUS_LINE_BYTES];
    let lines: [&[u8]; 5] = [
        b"HTTP/1.1 2000 OK\r\n",
        b"HTTP/1.1 +20 OK\r\n",
        b"HTTP/2.0 200 OK\r\n",
        b"noise\n",
        &endless,
    ];
    for line in lines {
        let filtered = filter(&[line]);
        assert_eq!(filtered.output, line);
        assert_eq!(filtered.progress, [ResponseProgress::Started]);
    }
}

#[test]
fn rejects_1xx_heads_without_an_end() {
    let part = vec![b'x'; 33 * 1024];
    let filtered = filter(&[b"HTTP/1.1 100 Continue\r\n", &part]);
    let error = filtered.result.expect_err("the 1xx heads are too long");
    assert_eq!(error.kind(), io::ErrorKind::InvalidData);
    assert_eq!(filtered.output, b"");
}
