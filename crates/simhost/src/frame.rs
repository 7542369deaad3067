//! The simulator's frames: a batch of records in, a reply of records out.

use crate::error::{RecordProblem, WireError};
use crate::field_reader::FieldReader;
use opalpulley::Micros;
use std::io::{self, Read};

/// Bytes of the header of a batch.
const BATCH_HEADER_BYTES: usize = 20;

/// The header of a batch.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct BatchHead {
    /// How many records it has.
    pub record_count: u32,
    /// How many bytes they have together.
    pub body_bytes: u32,
    /// The simulator's time, µs.
    pub clock: Micros,
    /// The number of the batch. Its reply has the same.
    pub number: u32,
}

/// A record before its fields are decoded.
pub struct RawRecord<'a> {
    /// What record it is.
    pub code: u16,
    /// Where it begins in the body of its batch, bytes.
    pub offset: usize,
    /// Its fields.
    pub fields: &'a [u8],
}

/// Reads one batch, its body into `body`. Returns nothing at a clean end of the input.
pub fn read_batch(
    input: &mut impl Read,
    body: &mut Vec<u8>,
) -> Result<Option<BatchHead>, WireError> {
    let got = read_up_to(input, BATCH_HEADER_BYTES, body)?;
    if got == 0 {
        return Ok(None);
    }
    check_length("batch header", BATCH_HEADER_BYTES, got)?;
    let mut fields = FieldReader::new("batch header", 0, body);
    let head = BatchHead {
        record_count: fields.u32()?,
        body_bytes: fields.u32()?,
        clock: fields.u64()?,
        number: fields.u32()?,
    };
    let wanted = head.body_bytes as usize;
    let got = read_up_to(input, wanted, body)?;
    check_length("batch", wanted, got)?;
    Ok(Some(head))
}

fn read_up_to(input: &mut impl Read, limit: usize, into: &mut Vec<u8>) -> io::Result<usize> {
    into.clear();
    input.by_ref().take(limit as u64).read_to_end(into)
}

fn check_length(what: &'static str, wanted: usize, got: usize) -> Result<(), WireError> {
    if got < wanted {
        return Err(WireError::CutOff { what, wanted, got });
    }
    Ok(())
}

/// Splits the body of a batch into its records, in order.
pub fn split_records(head: BatchHead, body: &[u8]) -> Result<Vec<RawRecord<'_>>, WireError> {
    let mut records = Vec::new();
    let mut reader = FieldReader::new("record", 0, body);
    for _ in 0..head.record_count {
        let offset = reader.position();
        reader.set_offset(offset);
        let code = reader.u16()?;
        let length = reader.u32()? as usize;
        let fields = reader.take(length)?;
        records.push(RawRecord {
            code,
            offset,
            fields,
        });
    }
    if reader.bytes_left() > 0 {
        return Err(reader.error(RecordProblem::TrailingBytes(reader.bytes_left())));
    }
    Ok(records)
}
