//! Reads the simulator's frames. A frame of input is a batch: a header and a body of records.

use crate::error::{RecordErrorKind, WireError};
use crate::field_reader::FieldReader;
use opalpulley::Micros;
use std::io::{self, Read};

/// Size of the header of a batch, in bytes.
const BATCH_HEADER_BYTES: usize = 20;

/// The header of a batch.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct BatchHeader {
    /// Number of records in the batch.
    pub record_count: u32,
    /// Size of the body, in bytes.
    pub body_bytes: u32,
    /// Time of the simulated clock, in µs.
    pub now: Micros,
    /// Number of the batch. The reply repeats it.
    pub batch_number: u32,
}

/// A record before its fields are decoded.
pub struct RawRecord<'a> {
    /// Code of the record's kind.
    pub code: u16,
    /// Offset of the record in the body of its batch, in bytes.
    pub offset: usize,
    /// The encoded fields.
    pub fields: &'a [u8],
}

/// Reads the next batch. Replaces the content of `body` by the body of the batch and returns the header, or `None` if
/// the input ended after a whole batch. Fails if the input ends inside a batch.
pub fn read_batch(
    input: &mut impl Read,
    body: &mut Vec<u8>,
) -> Result<Option<BatchHeader>, WireError> {
    let actual_bytes = read_up_to(input, BATCH_HEADER_BYTES, body)?;
    if actual_bytes == 0 {
        return Ok(None);
    }
    check_length("batch header", BATCH_HEADER_BYTES, actual_bytes)?;
    let mut fields = FieldReader::new("batch header", 0, body);
    let header = BatchHeader {
        record_count: fields.u32()?,
        body_bytes: fields.u32()?,
        now: fields.u64()?,
        batch_number: fields.u32()?,
    };
    let expected_bytes = header.body_bytes as usize;
    let actual_bytes = read_up_to(input, expected_bytes, body)?;
    check_length("batch", expected_bytes, actual_bytes)?;
    Ok(Some(header))
}

/// Replaces the content of `buffer` by the next `max_bytes` bytes of the input, or by fewer if the input ends before.
/// Returns their number.
fn read_up_to(input: &mut impl Read, max_bytes: usize, buffer: &mut Vec<u8>) -> io::Result<usize> {
    buffer.clear();
    input.by_ref().take(max_bytes as u64).read_to_end(buffer)
}

fn check_length(
    part: &'static str,
    expected_bytes: usize,
    actual_bytes: usize,
) -> Result<(), WireError> {
    if actual_bytes < expected_bytes {
        return Err(WireError::Truncated {
            part,
            expected_bytes,
            actual_bytes,
        });
    }
    Ok(())
}

/// Splits the body of a batch into its records, in order. Fails if a record exceeds the body or bytes follow the last
/// record.
pub fn split_records(header: BatchHeader, body: &[u8]) -> Result<Vec<RawRecord<'_>>, WireError> {
    let mut records = Vec::new();
    let mut reader = FieldReader::new("record", 0, body);
    for _ in 0..header.record_count {
        let offset = reader.position();
        reader.set_offset(offset);
        let code = reader.u16()?;
        let byte_count = reader.u32()? as usize;
        let fields = reader.bytes(byte_count)?;
        records.push(RawRecord {
            code,
            offset,
            fields,
        });
    }
    if reader.remaining_bytes() > 0 {
        return Err(reader.error(RecordErrorKind::TrailingBytes(reader.remaining_bytes())));
    }
    Ok(records)
}
