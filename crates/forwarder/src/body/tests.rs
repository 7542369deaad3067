//! Tests of the body readers with bodies that count the pieces that are held.

use super::*;
use hyper::body::Frame;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

const PIECE: &[u8] = b"0123456789abcdef";
const LIMIT: usize = 64 * PIECE.len();

/// The number of pieces that are held now, and at most so far.
#[derive(Default)]
struct PieceCount {
    held: AtomicUsize,
    most: AtomicUsize,
}

/// The buffer of one read. Counts as held until it is dropped.
struct ReadBuffer(Arc<PieceCount>);

impl ReadBuffer {
    fn new(count: Arc<PieceCount>) -> ReadBuffer {
        let held = count.held.fetch_add(1, Ordering::Relaxed) + 1;
        count.most.fetch_max(held, Ordering::Relaxed);
        ReadBuffer(count)
    }
}

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        PIECE
    }
}

impl Drop for ReadBuffer {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body of unknown length in pieces, each of which is a read buffer.
struct PiecewiseBody {
    pieces_left: usize,
    count: Arc<PieceCount>,
}

impl Body for PiecewiseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(pieces_left) = self.pieces_left.checked_sub(1) else {
            return Poll::Ready(None);
        };
        self.pieces_left = pieces_left;
        let buffer = ReadBuffer::new(self.count.clone());
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(buffer)))))
    }
}

fn body_of(pieces: usize) -> (PiecewiseBody, Arc<PieceCount>) {
    let count: Arc<PieceCount> = Arc::default();
    let body = PiecewiseBody {
        pieces_left: pieces,
        count: count.clone(),
    };
    (body, count)
}

/// Guards against a body in small writes that takes a read buffer of memory for each of them.
#[tokio::test]
async fn holds_one_piece_at_a_time() {
    let (body, read_count) = body_of(64);
    let content = read_body(body, LIMIT).await.expect("the body is complete");
    assert_eq!(content, PIECE.repeat(64));
    let (body, discarded_count) = body_of(64);
    discard_body(body, LIMIT)
        .await
        .expect("the body is complete");
    for count in [read_count, discarded_count] {
        assert_eq!(count.most.load(Ordering::Relaxed), 1, "pieces held at once");
        assert_eq!(count.held.load(Ordering::Relaxed), 0, "pieces left");
    }
}

#[tokio::test]
async fn fails_beyond_the_limit() {
    let (body, _) = body_of(65);
    let error = read_body(body, LIMIT).await;
    assert!(matches!(error, Err(BodyError::TooLong { limit: LIMIT })));
    let (body, _) = body_of(65);
    let error = discard_body(body, LIMIT).await;
    assert!(matches!(error, Err(BodyError::TooLong { limit: LIMIT })));
}
