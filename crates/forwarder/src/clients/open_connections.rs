//! The open client connections, and the choice of those that are closed in favor of new ones.

use super::connection::{serve_connection, ConnectionService};
use super::connection_state::{ConnectionPhase, ConnectionState};
use super::submission_service::{ConnectionMode, SubmissionService};
use slog::error;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::task::{Id, JoinError, JoinSet};

/// One in this many connections is reserved for answering that all other connections are taken.
const REJECTING_CONNECTIONS_DIVISOR: usize = 8;
/// At most one in this many connections may be idle. Clients that share a limit on their connections need the others.
const IDLE_CLIENT_CONNECTIONS_DIVISOR: usize = 4;

/// The open client connections and their tasks, owned by the listener.
pub struct OpenConnections {
    submission_service: Arc<SubmissionService>,
    /// Upper bound on the number of open connections.
    max_connections: usize,
    tasks: JoinSet<()>,
    /// State of each connection, by the id of its task.
    states: BTreeMap<Id, Arc<ConnectionState>>,
    /// Number of phase changes of all connections.
    phase_changes: Arc<AtomicU64>,
}

impl OpenConnections {
    /// Returns an empty set of connections.
    pub fn new(
        submission_service: Arc<SubmissionService>,
        max_connections: usize,
    ) -> OpenConnections {
        OpenConnections {
            submission_service,
            max_connections,
            tasks: JoinSet::new(),
            states: BTreeMap::new(),
            phase_changes: Arc::default(),
        }
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns how many more connections may be open.
    pub fn remaining_capacity(&self) -> usize {
        self.max_connections.saturating_sub(self.tasks.len())
    }

    /// Serves a new connection. From 7/8 of the maximum on, the least used connection is evicted in its favor. If none
    /// may be evicted, the new connection only rejects submissions.
    pub fn admit(&mut self, socket: TcpStream) {
        let eviction_threshold =
            self.max_connections - self.max_connections / REJECTING_CONNECTIONS_DIVISOR;
        let mode = if self.tasks.len() < eviction_threshold || self.evict_least_used() {
            ConnectionMode::Serve
        } else {
            ConnectionMode::RejectSubmissions
        };
        self.close_excess_idle();
        let state = Arc::new(ConnectionState::new(self.phase_changes.clone()));
        let service = ConnectionService {
            submission_service: self.submission_service.clone(),
            state: state.clone(),
            mode,
        };
        let task = self.tasks.spawn(serve_connection(socket, service));
        self.states.insert(task.id(), state);
    }

    /// Waits until a connection ends, and removes it. Returns `None` if no connection is open.
    pub async fn next_ended(&mut self) -> Option<()> {
        let ended = self.tasks.join_next_with_id().await?;
        let task = match ended {
            Ok((task, ())) => task,
            Err(error) => self.log_task_failure(&error),
        };
        self.states.remove(&task);
        Some(())
    }

    /// Logs that the task of a connection failed. Returns the id of the task.
    fn log_task_failure(&self, error: &JoinError) -> Id {
        error!(self.submission_service.log, "client connection task failed"; "problem" => %error);
        error.id()
    }

    /// Requests the close of all idle connections.
    pub fn close_all_idle(&self) {
        for state in self.states.values() {
            if state.phase() == ConnectionPhase::Idle {
                state.request_close();
            }
        }
    }

    /// Requests the close of the connections that have been idle longest, beyond the number that may be idle. Otherwise
    /// clients that share a limit on their connections would be locked out by those among them that keep their
    /// connections open after one request.
    fn close_excess_idle(&self) {
        let max_idle = self.max_connections / IDLE_CLIENT_CONNECTIONS_DIVISOR;
        let idle_count = self.idle_connections().count();
        for _ in max_idle..idle_count {
            let longest_idle = self.idle_connections().min_by_key(|state| state.current());
            if let Some(state) = longest_idle {
                state.request_close();
            }
        }
    }

    /// Returns the states of the idle connections whose close has not been requested.
    fn idle_connections(&self) -> impl Iterator<Item = &Arc<ConnectionState>> {
        self.states
            .values()
            .filter(|state| state.phase() == ConnectionPhase::Idle && !state.is_close_requested())
    }

    /// Requests the close of the connection that has waited longest for its first request, or else of the one that has
    /// been idle longest, or else of the one that has been reading a head longest. Otherwise new clients would be
    /// locked out by rarely used connections. A connection that has received a whole head is never closed, because its
    /// message may already be accepted (service rule 1). Returns whether a close was requested.
    fn evict_least_used(&self) -> bool {
        let open_states = self
            .states
            .values()
            .filter(|state| !state.is_close_requested());
        let Some(least_used) = open_states.min_by_key(|state| state.current()) else {
            return false;
        };
        if least_used.phase() == ConnectionPhase::Answering {
            return false;
        }
        least_used.request_close();
        true
    }
}
