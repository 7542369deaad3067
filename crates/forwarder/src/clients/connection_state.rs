//! The state of one client connection, shared between the connection's task and the listener, which may close the
//! connection.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// The phase of a connection. The order of the variants is the order in which connections are closed to make room for
/// new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// No byte has been received on the connection.
    AwaitingFirstRequest,
    /// The answer to the latest request is ready, and no byte has been received since. The answer may not be written
    /// yet. Bytes of a further request that were received before the answer was ready do not count.
    Idle,
    /// The first byte of a head has been received, but not the whole head.
    ReadingHead,
    /// A whole head has been received and its answer is not ready. The body may still be on its way.
    Answering,
}

/// A phase and when it began. The order of two values is the order in which their connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PhaseChange {
    /// The phase that was entered.
    pub phase: ConnectionPhase,
    /// Serial number of the change, counted over all connections.
    pub change_number: u64,
}

/// The state of one connection. A requested close takes effect after the answer that is due.
pub struct ConnectionState {
    /// The current phase and the number of the change to it.
    current: Mutex<PhaseChange>,
    /// Whether a close has been requested. Never cleared.
    close_requested: AtomicBool,
    /// Wakes the connection's task when a close is requested.
    close_notify: Notify,
    /// Number of phase changes of all connections, whose states share the counter.
    phase_changes: Arc<AtomicU64>,
}

impl ConnectionState {
    /// Returns the state of a connection on which no byte has been received. `phase_changes` is the counter that all
    /// connections share.
    pub fn new(phase_changes: Arc<AtomicU64>) -> ConnectionState {
        let initial = PhaseChange {
            phase: ConnectionPhase::AwaitingFirstRequest,
            change_number: phase_changes.fetch_add(1, Ordering::Relaxed),
        };
        ConnectionState {
            current: Mutex::new(initial),
            close_requested: AtomicBool::new(false),
            close_notify: Notify::new(),
            phase_changes,
        }
    }

    /// Returns the phase and the number of the change to it.
    pub fn current(&self) -> PhaseChange {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the phase.
    pub fn phase(&self) -> ConnectionPhase {
        self.current().phase
    }

    /// Enters a phase and assigns the next number to the change.
    pub fn enter(&self, phase: ConnectionPhase) {
        let change_number = self.phase_changes.fetch_add(1, Ordering::Relaxed);
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        *current = PhaseChange {
            phase,
            change_number,
        };
    }

    /// Records that bytes have been received. They begin a head unless a request is already in progress.
    pub fn record_bytes_received(&self) {
        match self.phase() {
            ConnectionPhase::AwaitingFirstRequest | ConnectionPhase::Idle => {
                self.enter(ConnectionPhase::ReadingHead);
            }
            ConnectionPhase::ReadingHead | ConnectionPhase::Answering => {}
        }
    }

    /// Requests that the connection's task close the connection.
    pub fn request_close(&self) {
        self.close_requested.store(true, Ordering::Relaxed);
        self.close_notify.notify_one();
    }

    /// Returns whether a close has been requested.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested.load(Ordering::Relaxed)
    }

    /// Waits until a close is requested.
    pub async fn wait_for_close_request(&self) {
        self.close_notify.notified().await;
    }
}
