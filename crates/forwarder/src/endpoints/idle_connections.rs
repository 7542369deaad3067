//! The idle connections of one endpoint.

use super::connection::EndpointConnection;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// Time for which a connection rests before it carries the next request. An endpoint that sends bytes behind a response
/// sends them at once: they are received within this time, and the connection is then closed.
pub const SETTLE_TIME: Duration = Duration::from_millis(3);

/// A connection is retired earlier than the endpoint closes it, by the idle timeout divided by this number, because a
/// request takes time to arrive.
const RETIREMENT_MARGIN_DIVISOR: u32 = 10;

/// A connection that was taken from the idle ones to carry a request.
pub struct ReusedConnection {
    /// The open connection.
    pub connection: EndpointConnection,
    /// Time at which the last exchange on the connection ended.
    pub idle_since: Instant,
}

struct IdleConnection {
    connection: EndpointConnection,
    idle_since: Instant,
    _permit: OwnedSemaphorePermit,
}

/// The idle connections of one endpoint, ordered by the end of their last exchange, the latest at the end.
pub struct IdleConnections {
    connections: Vec<IdleConnection>,
    retire_after: Duration,
}

impl IdleConnections {
    /// Creates an empty set. The endpoint closes a connection that has been idle for `endpoint_idle_timeout`.
    pub fn new(endpoint_idle_timeout: Duration) -> IdleConnections {
        IdleConnections {
            connections: Vec::new(),
            retire_after: endpoint_idle_timeout - endpoint_idle_timeout / RETIREMENT_MARGIN_DIVISOR,
        }
    }

    /// Adds a connection whose exchange has just ended. The permit is released when the connection is removed.
    pub fn add(&mut self, connection: EndpointConnection, permit: OwnedSemaphorePermit) {
        self.connections.push(IdleConnection {
            connection,
            idle_since: Instant::now(),
            _permit: permit,
        });
    }

    /// Removes and returns the most recently used connection that has been idle for the settle time, or else the most
    /// recently used one. Drops closed connections and those due for retirement that it comes across. Returns `None` if no
    /// connection is left.
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

    /// Returns the time at which the next connection is to be retired. `None` if no connection is idle.
    pub fn next_retirement(&self) -> Option<Instant> {
        let oldest = self.connections.first()?;
        Some(oldest.idle_since + self.retire_after)
    }

    /// Closes the connections that the endpoint will soon close.
    pub fn retire_expired(&mut self) {
        let retire_after = self.retire_after;
        self.connections
            .retain(|idle| idle.idle_since.elapsed() < retire_after);
    }

    /// Closes all idle connections.
    pub fn close_all(&mut self) {
        self.connections.clear();
    }
}
