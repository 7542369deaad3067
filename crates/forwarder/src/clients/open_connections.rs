//! The client connections that are open, and which of them is closed for others.

use super::connection::{serve_connection, ConnectionService};
use super::connection_state::{ConnectionPhase, ConnectionState};
use super::submission_service::{ConnectionUse, SubmissionService};
use slog::error;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::task::{Id, JoinError, JoinSet};

/// One connection in so many is kept to answer that all others are taken.
const REJECTING_DIVISOR: usize = 8;
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
    changes: Arc<AtomicU64>,
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
            changes: Arc::default(),
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
        let eviction_threshold = self.max_connections - self.max_connections / REJECTING_DIVISOR;
        let connection_use = if self.tasks.len() < eviction_threshold || self.close_least_used() {
            ConnectionUse::Serve
        } else {
            ConnectionUse::RejectSubmissions
        };
        self.close_surplus_idle();
        let state = Arc::new(ConnectionState::new(self.changes.clone()));
        let service = ConnectionService {
            submission_service: self.submission_service.clone(),
            state: state.clone(),
            connection_use,
        };
        let task = self.tasks.spawn(serve_connection(socket, service));
        self.states.insert(task.id(), state);
    }

    /// Waits until a connection ends, and removes it. Returns nothing where none is open.
    pub async fn next_ended(&mut self) -> Option<()> {
        let ended = self.tasks.join_next_with_id().await?;
        let task = match ended {
            Ok((task, ())) => task,
            Err(problem) => self.task_failed(&problem),
        };
        self.states.remove(&task);
        Some(())
    }

    fn task_failed(&self, problem: &JoinError) -> Id {
        error!(self.submission_service.log, "client connection task failed"; "problem" => %problem);
        problem.id()
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
    fn close_surplus_idle(&self) {
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
            .filter(|state| state.phase() == ConnectionPhase::Idle && !state.close_requested())
    }

    /// Closes the connection that has been longest without a request, else idle, else within a head. New clients would else
    /// be locked out by connections that are seldom used. Never closes one that has a whole head: its message may be accepted
    /// already (rule 1). Returns whether one is closed.
    fn close_least_used(&self) -> bool {
        let open = self
            .states
            .values()
            .filter(|state| !state.close_requested());
        let Some(least_used) = open.min_by_key(|state| state.current()) else {
            return false;
        };
        if least_used.phase() == ConnectionPhase::Answering {
            return false;
        }
        least_used.request_close();
        true
    }
}
