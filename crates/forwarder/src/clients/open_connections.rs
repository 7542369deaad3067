//! The client connections that are open, and which of them is closed for others.

use super::connection::{serve_connection, ConnectionService};
use super::connection_state::{ConnectionPhase, ConnectionState};
use super::submission_service::{ConnectionMode, SubmissionService};
use slog::error;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::task::{Id, JoinError, JoinSet};

/// One connection in so many is kept to answer that all others are taken.
const REJECTING_CONNECTIONS_DIVISOR: usize = 8;
/// One connection in so many may be idle. Clients that share a bound on their connections need the others.
const IDLE_CLIENT_CONNECTIONS_DIVISOR: usize = 4;

/// The open connections, each with its task.
pub struct OpenConnections {
    submission_service: Arc<SubmissionService>,
    max_connections: usize,
    tasks: JoinSet<()>,
    /// The state of each, by its task.
    states: BTreeMap<Id, Arc<ConnectionState>>,
    /// Counts the phase changes of all connections.
    phase_changes: Arc<AtomicU64>,
}

impl OpenConnections {
    /// No connections yet.
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

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// How many more may be open.
    pub fn remaining_capacity(&self) -> usize {
        self.max_connections.saturating_sub(self.tasks.len())
    }

    /// Serves a new connection. From 7/8 of the maximum on, the least used connection is evicted for it. If none may be
    /// evicted, the new connection only rejects.
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

    /// Waits until a connection ends, and removes it. Returns nothing where none is open.
    pub async fn next_ended(&mut self) -> Option<()> {
        let ended = self.tasks.join_next_with_id().await?;
        let task = match ended {
            Ok((task, ())) => task,
            Err(error) => self.log_task_failure(&error),
        };
        self.states.remove(&task);
        Some(())
    }

    fn log_task_failure(&self, error: &JoinError) -> Id {
        error!(self.submission_service.log, "client connection task failed"; "problem" => %error);
        error.id()
    }

    /// Closes all connections that are idle.
    pub fn close_all_idle(&self) {
        for state in self.states.values() {
            if state.phase() == ConnectionPhase::Idle {
                state.request_close();
            }
        }
    }

    /// Closes the connections that have been idle longest, beyond those that may be idle. Clients that may have only so many
    /// connections together would else be locked out by those among them that keep theirs after one request.
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

    fn idle_connections(&self) -> impl Iterator<Item = &Arc<ConnectionState>> {
        self.states
            .values()
            .filter(|state| state.phase() == ConnectionPhase::Idle && !state.is_close_requested())
    }

    /// Closes the connection that has been longest without a request, else idle, else within a head. New clients would else
    /// be locked out by connections that are seldom used. Never closes one that has a whole head: its message may be accepted
    /// already (rule 1). Returns whether one is closed.
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
