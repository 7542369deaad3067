//! The phase of one client connection, shared between its task and the listener, which may close it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// How a connection stands, in the order in which connections are closed to make room for new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// No byte has come on it yet.
    AwaitingFirstRequest,
    /// The answer to its latest request is made, and no byte has come since. That answer may not be written yet. Bytes of a
    /// further request that came before the answer was made do not count.
    Idle,
    /// The first byte of a head has come, and the head is not whole.
    ReadingHead,
    /// A whole head is in, and its answer is not made. The body may still be on its way.
    Answering,
}

/// A phase and when it began. The order of two such values is the order in which their connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PhaseChange {
    /// The phase.
    pub phase: ConnectionPhase,
    /// The number of the change to this phase, counted over all connections.
    pub change_number: u64,
}

/// The state of one connection. A request to close waits for the answer that is due.
pub struct ConnectionState {
    current: Mutex<PhaseChange>,
    close_requested: AtomicBool,
    close_notify: Notify,
    /// Counts the phase changes of all connections.
    phase_changes: Arc<AtomicU64>,
}

impl ConnectionState {
    /// The state of a new connection. `changes` is the counter of all connections.
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

    /// The phase, and since when.
    pub fn current(&self) -> PhaseChange {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The phase.
    pub fn phase(&self) -> ConnectionPhase {
        self.current().phase
    }

    /// Enters a phase.
    pub fn enter(&self, phase: ConnectionPhase) {
        let change_number = self.phase_changes.fetch_add(1, Ordering::Relaxed);
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        *current = PhaseChange {
            phase,
            change_number,
        };
    }

    /// Bytes have come. They are the beginning of a head, where no request is under way.
    pub fn record_bytes_received(&self) {
        match self.phase() {
            ConnectionPhase::AwaitingFirstRequest | ConnectionPhase::Idle => {
                self.enter(ConnectionPhase::ReadingHead);
            }
            ConnectionPhase::ReadingHead | ConnectionPhase::Answering => {}
        }
    }

    /// Asks the task of the connection to close it.
    pub fn request_close(&self) {
        self.close_requested.store(true, Ordering::Relaxed);
        self.close_notify.notify_one();
    }

    /// Whether it was asked to close.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested.load(Ordering::Relaxed)
    }

    /// Waits until it is asked to close.
    pub async fn wait_for_close_request(&self) {
        self.close_notify.notified().await;
    }
}
