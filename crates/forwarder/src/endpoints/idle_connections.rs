//! The open connections of one endpoint that carry no request.

use super::connection::EndpointConnection;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// How long a connection rests before it carries the next request. Bytes that belong to no request arrive directly behind
/// an answer: they show in this time, and the connection is then closed.
pub const SETTLE_TIME: Duration = Duration::from_millis(3);

/// The connection is retired this part of its idle time early, because a request takes time to arrive.
const RETIREMENT_MARGIN_DIVISOR: u32 = 10;

/// A connection taken out of the pool for a request.
pub struct ReusedConnection {
    /// The connection.
    pub connection: EndpointConnection,
    /// Since when it has carried no request.
    pub idle_since: Instant,
}

struct IdleConnection {
    connection: EndpointConnection,
    idle_since: Instant,
    _permit: OwnedSemaphorePermit,
}

/// The idle connections of one endpoint, the one used last at the end.
pub struct IdleConnections {
    connections: Vec<IdleConnection>,
    retire_after: Duration,
}

impl IdleConnections {
    /// `closed_after`: the endpoint closes a connection that has been idle for so long.
    pub fn new(endpoint_idle_timeout: Duration) -> IdleConnections {
        IdleConnections {
            connections: Vec::new(),
            retire_after: endpoint_idle_timeout - endpoint_idle_timeout / RETIREMENT_MARGIN_DIVISOR,
        }
    }

    /// Adds a connection that has just ended its exchange. The permit is given back when the connection leaves.
    pub fn add(&mut self, connection: EndpointConnection, permit: OwnedSemaphorePermit) {
        self.connections.push(IdleConnection {
            connection,
            idle_since: Instant::now(),
            _permit: permit,
        });
    }

    /// Takes the connection used last that has rested for the settle time. Where none has, takes the one used last.
    /// Connections that are closed or due to be retired are dropped on the way.
    pub fn take(&mut self) -> Option<ReusedConnection> {
        while !self.connections.is_empty() {
            let last_index = self.connections.len() - 1;
            let chosen_index = self.last_settled_index().unwrap_or(last_index);
            let idle = self.connections.remove(chosen_index);
            if idle.idle_since.elapsed() < self.retire_after && !idle.connection.is_closed() {
                return Some(ReusedConnection {
                    connection: idle.connection,
                    idle_since: idle.idle_since,
                });
            }
        }
        None
    }

    fn last_settled_index(&self) -> Option<usize> {
        self.connections
            .iter()
            .rposition(|idle| idle.idle_since.elapsed() >= SETTLE_TIME)
    }

    /// When the next connection is to be retired.
    pub fn next_retirement(&self) -> Option<Instant> {
        let oldest = self.connections.first()?;
        Some(oldest.idle_since + self.retire_after)
    }

    /// Closes the connections that the endpoint is about to close.
    pub fn retire_expired(&mut self) {
        let retire_after = self.retire_after;
        self.connections
            .retain(|idle| idle.idle_since.elapsed() < retire_after);
    }

    /// Closes all.
    pub fn close_all(&mut self) {
        self.connections.clear();
    }
}
