//! The part of the memory limit that client connections may take. The journal and the messages in flight have a part of
//! their own.

use crate::protocol::READ_BUFFER_BYTES;

/// At most one in this many bytes of the memory limit is for the bodies that are being received.
const BODY_BUDGET_DIVISOR: usize = 4;
/// At most one in this many bytes of the memory limit is for the read buffers of client connections, unless
/// [`MIN_READ_BUFFER_BYTES`] for each of them are more.
const READ_BUFFERS_DIVISOR: usize = 4;
/// Number of read buffers that a connection may have at once: one that is read into, and one with a piece of a body that
/// has not been copied yet.
const READ_BUFFERS_PER_CONNECTION: usize = 2;
/// Lower bound on a read buffer, in bytes. hyper accepts no smaller one.
const MIN_READ_BUFFER_BYTES: usize = 8192;

/// Memory of the client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientMemory {
    /// Upper bound on the length of all bodies that are being received together, in bytes. Short ones are not counted.
    pub body_budget_bytes: usize,
    /// Upper bound on the bytes that a connection reads ahead, and thus on the length of a head.
    pub read_buffer_bytes: usize,
}

impl ClientMemory {
    /// Allocates the memory for up to `connections` client connections, which must be at least one.
    pub fn new(memory_limit_bytes: usize, connections: usize) -> ClientMemory {
        let all_read_buffers = memory_limit_bytes / READ_BUFFERS_DIVISOR;
        let read_buffer = all_read_buffers / (READ_BUFFERS_PER_CONNECTION * connections);
        ClientMemory {
            body_budget_bytes: memory_limit_bytes / BODY_BUDGET_DIVISOR,
            read_buffer_bytes: read_buffer.clamp(MIN_READ_BUFFER_BYTES, READ_BUFFER_BYTES),
        }
    }
}
