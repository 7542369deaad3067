//! Reads the fields of a record in order. All numbers are little-endian.

use crate::error::{RecordErrorKind, WireError};
use opalpulley::EndpointId;

/// Reads from the bytes of one record or of another part of a frame, and keeps the position of the next field.
pub struct FieldReader<'a> {
    record_name: &'static str,
    offset: usize,
    bytes: &'a [u8],
    position: usize,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader at the first field. Errors contain `record_name` and `offset`, the position of the record in
    /// its batch in bytes.
    pub fn new(record_name: &'static str, offset: usize, bytes: &'a [u8]) -> Self {
        FieldReader {
            record_name,
            offset,
            bytes,
            position: 0,
        }
    }

    /// Returns an error that names this record as its source.
    pub fn error(&self, kind: RecordErrorKind) -> WireError {
        WireError::Record {
            record: self.record_name,
            offset: self.offset,
            kind,
        }
    }

    /// Returns the number of bytes that have been read.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Returns the number of bytes that have not been read.
    pub fn remaining_bytes(&self) -> usize {
        self.bytes.len() - self.position
    }

    /// Sets the offset that later errors contain, in bytes.
    pub fn set_offset(&mut self, offset: usize) {
        self.offset = offset;
    }

    /// Reads the next `length` bytes. Fails without reading if fewer bytes remain.
    pub fn bytes(&mut self, length: usize) -> Result<&'a [u8], WireError> {
        let remaining = &self.bytes[self.position..];
        if remaining.len() < length {
            return Err(self.error(RecordErrorKind::TooShort {
                field_bytes: length,
                position: self.position,
                remaining_bytes: remaining.len(),
            }));
        }
        self.position += length;
        Ok(&remaining[..length])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.bytes(N)?);
        Ok(bytes)
    }

    /// Reads one byte as a number. Fails if no byte remains.
    pub fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_le_bytes(self.array()?))
    }

    /// Reads a number of 2 bytes. Fails if fewer bytes remain.
    pub fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    /// Reads a number of 4 bytes. Fails if fewer bytes remain.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    /// Reads a number of 8 bytes. Fails if fewer bytes remain.
    pub fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    /// Reads a floating-point number of 4 bytes. Fails if fewer bytes remain.
    pub fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    /// Reads an endpoint: the 4 bytes of its IPv4 address, then its port. The protocol has no incarnation, so it is 0.
    pub fn endpoint(&mut self) -> Result<EndpointId, WireError> {
        Ok(EndpointId {
            address: self.array()?,
            port: self.u16()?,
            incarnation: 0,
        })
    }
}
