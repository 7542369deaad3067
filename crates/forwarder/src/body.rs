//! Reads the bodies of requests and responses.
//!
//! hyper passes a body on in pieces, one for each read from the socket. A piece of a few bytes keeps the whole buffer of
//! its read in memory, some KB. The functions here therefore hold no piece after they have copied or counted it: the
//! memory that a body takes follows its length, not the number of writes in which its sender splits it.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::fmt;
use std::pin::pin;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// The body is longer than the limit of its reader, in bytes.
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The connection failed within the body, or the body is invalid.
    Connection(hyper::Error),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLong { limit } => write!(f, "it is longer than {limit} bytes"),
            BodyError::Connection(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Returns the length that a body has at least, in bytes. It is the whole length if the head announces one. Fails if it
/// exceeds `limit`.
pub fn announced_length(body: &impl Body, limit: usize) -> Result<usize, BodyError> {
    match usize::try_from(body.size_hint().lower()) {
        Ok(length) if length <= limit => Ok(length),
        _ => Err(BodyError::TooLong { limit }),
    }
}

/// Reads a body of at most `limit` bytes to its end and returns it. Fails as soon as the length is known to exceed the
/// limit, or if the connection fails.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    // The system provides the memory as it is filled, so an announced length takes none by itself.
    let mut content = Vec::with_capacity(announced_length(&body, limit)?);
    read_pieces(body, limit, |piece| content.extend_from_slice(piece)).await?;
    Ok(Bytes::from(content.into_boxed_slice()))
}

/// Reads a body of at most `limit` bytes to its end and drops it. Fails as soon as more bytes have been received, or if the
/// connection fails.
pub async fn discard_body<B>(body: B, limit: usize) -> Result<(), BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    read_pieces(body, limit, |_| ()).await
}

/// Passes each piece of a body to `handle_piece`, and drops it before the next one is read.
async fn read_pieces<B>(
    body: B,
    limit: usize,
    mut handle_piece: impl FnMut(&[u8]),
) -> Result<(), BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let mut body = pin!(body);
    let mut remaining = limit;
    while let Some(frame) = body.frame().await {
        // Frames other than data are trailers, which have no meaning in the protocol.
        let Ok(piece) = frame.map_err(BodyError::Connection)?.into_data() else {
            continue;
        };
        remaining = remaining
            .checked_sub(piece.len())
            .ok_or(BodyError::TooLong { limit })?;
        handle_piece(&piece);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
