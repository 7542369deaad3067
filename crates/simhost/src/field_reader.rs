//! Reads the fields of a record one after the other. All numbers are little-endian.

use crate::error::{RecordErrorKind, WireError};
use opalpulley::EndpointId;

/// The bytes of one record, or of a part of a frame, and how far they are read.
pub struct FieldReader<'a> {
    record_name: &'static str,
    offset: usize,
    bytes: &'a [u8],
    position: usize,
}

impl<'a> FieldReader<'a> {
    /// A reader at the first field. `record` and `offset` name the record in errors.
    pub fn new(record_name: &'static str, offset: usize, bytes: &'a [u8]) -> Self {
        FieldReader {
            record_name,
            offset,
            bytes,
            position: 0,
        }
    }

    /// An error of this record.
    pub fn error(&self, kind: RecordErrorKind) -> WireError {
        WireError::Record {
            record: self.record_name,
            offset: self.offset,
            kind,
        }
    }

    /// How far the bytes are read.
    pub fn position(&self) -> usize {
        self.position
    }

    /// How many bytes are left.
    pub fn remaining_bytes(&self) -> usize {
        self.bytes.len() - self.position
    }

    /// From now on, errors name this offset.
    pub fn set_offset(&mut self, offset: usize) {
        self.offset = offset;
    }

    /// The next bytes.
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

    /// The next number.
    pub fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_le_bytes(self.array()?))
    }

    /// The next number.
    pub fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    /// The next number.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    /// The next number.
    pub fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    /// The next number.
    pub fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    /// The next endpoint: four bytes of its address, and its port.
    pub fn endpoint(&mut self) -> Result<EndpointId, WireError> {
        Ok(EndpointId {
            address: self.array()?,
            port: self.u16()?,
            incarnation: 0,
        })
    }
}
