//! The allocation of the file descriptors of the process. No connection may lack a descriptor.

/// Number of descriptors reserved for the program itself. It holds 14; those for health checks and opened files come
/// and go.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// Lower bound on the limit on descriptors. With fewer, hardly one client and one endpoint would fit beside the program
/// itself.
pub const MIN_DESCRIPTORS: usize = 40;

/// At most one in this many of the descriptors that are not reserved is for attempts in flight.
const ATTEMPTS_DIVISOR: usize = 2;
/// One in this many of the descriptors that are then left is for connections to endpoints whose response body is still
/// read after the end of their attempt. The others are for clients.
const BODY_CONNECTIONS_DIVISOR: usize = 3;

/// Number of descriptors for each use.
pub struct DescriptorAllocation {
    /// Descriptors for attempts in flight: the concurrency limit of the settings, lowered where descriptors are scarce.
    pub concurrency_limit: u32,
    /// Descriptors for client connections.
    pub client_connections: usize,
    /// Descriptors for connections to endpoints whose response body is still read after the end of their attempt.
    pub body_connections: usize,
}

impl DescriptorAllocation {
    /// Allocates `descriptors`, which must be at least [`MIN_DESCRIPTORS`].
    pub fn new(descriptors: usize, concurrency_limit: u32) -> DescriptorAllocation {
        let available = descriptors - RESERVED_DESCRIPTORS;
        let concurrency_limit = concurrency_limit.min((available / ATTEMPTS_DIVISOR) as u32);
        let remaining = available - concurrency_limit as usize;
        let body_connections = remaining / BODY_CONNECTIONS_DIVISOR;
        DescriptorAllocation {
            concurrency_limit,
            client_connections: remaining - body_connections,
            body_connections,
        }
    }
}
