//! How the file descriptors of the process are shared out. No connection may lack one.

/// Descriptors of the program itself. It holds 14. Health checks and opened files come and go.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// Fewest descriptors to start with. Under this hardly a client and an endpoint fit beside the program itself.
pub const MIN_DESCRIPTORS: usize = 40;

/// One descriptor in so many of the others goes to attempts in flight at most.
const ATTEMPTS_DIVISOR: usize = 2;
/// One in so many of what is left goes to idle connections to endpoints, the others to clients.
const IDLE_ENDPOINT_CONNECTIONS_DIVISOR: usize = 3;

/// The descriptors of each use.
pub struct DescriptorAllocation {
    /// For attempts in flight: the settings' concurrency limit, lowered where descriptors lack.
    pub concurrency_limit: u32,
    /// For connections of clients.
    pub client_connections: usize,
    /// For idle connections to endpoints.
    pub idle_endpoint_connections: usize,
}

impl DescriptorAllocation {
    /// Shares out `descriptors`, at least `MIN_DESCRIPTORS`.
    pub fn new(descriptors: usize, concurrency_limit: u32) -> DescriptorAllocation {
        let available = descriptors - RESERVED_DESCRIPTORS;
        let concurrency_limit = concurrency_limit.min((available / ATTEMPTS_DIVISOR) as u32);
        let remaining = available - concurrency_limit as usize;
        let idle_endpoint_connections = remaining / IDLE_ENDPOINT_CONNECTIONS_DIVISOR;
        DescriptorAllocation {
            concurrency_limit,
            client_connections: remaining - idle_endpoint_connections,
            idle_endpoint_connections,
        }
    }
}
