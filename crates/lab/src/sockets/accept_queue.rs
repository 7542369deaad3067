//! Simulates late connections by filling the accept queue of a listener.

use super::RunContext;
use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Cycle in which the accept queue is full for a share of the time. The kernel of a client retries an attempt to connect
/// after 1 s. The cycle is longer, so that the retry doesn't find the queue full each time.
const CYCLE: Duration = Duration::from_millis(1300);
/// Backlog of the listener while the queue is open, in connections.
const OPEN_BACKLOG: i32 = 1024;
/// Timeout of an attempt to fill the queue, and the delay before the next attempt if another connection took the place.
const FILL_TIMEOUT: Duration = Duration::from_millis(10);

/// Delays the establishment of connections to one listener. On sockets only a full accept queue does so: the kernel of the
/// client retries the connection 1 s later. For a share of each cycle the queue therefore has room for one connection, and a
/// connection that the laboratory opens takes that place.
pub(super) struct AcceptQueue {
    /// Share of each cycle for which the queue is full, from 0 to 1.
    full_share: f64,
    /// Time at which the queue is filled or opened next.
    next_change_at: Instant,
    /// Connection that fills the queue; none while the queue is open.
    filler: Option<TcpStream>,
}

impl AcceptQueue {
    /// Creates an open queue with the share of late connections that the scenario sets.
    pub fn new(context: &RunContext) -> AcceptQueue {
        let late_connections = context.scenario.network.late_connections.as_ref();
        AcceptQueue {
            full_share: late_connections.map_or(0.0, |late| late.share),
            next_change_at: Instant::now() + CYCLE,
            filler: None,
        }
    }

    /// Returns whether the scenario has late connections.
    pub fn is_enabled(&self) -> bool {
        self.full_share > 0.0
    }

    /// Returns whether the queue is full.
    pub fn is_full(&self) -> bool {
        self.filler.is_some()
    }

    /// Waits until the next change is due, then fills or opens the queue. Cancel safe: if the future is dropped, the queue is
    /// unchanged or the next call repeats the change. Fails if the backlog can't be changed or the queue can't be filled.
    pub async fn toggle_when_due(&mut self, listener: &TcpListener) -> io::Result<()> {
        tokio::time::sleep_until(self.next_change_at).await;
        let is_filling = !self.is_full();
        let backlog = if is_filling { 0 } else { OPEN_BACKLOG };
        SockRef::from(listener).listen(backlog)?;
        // The listener accepts the connection that filled the queue, finds it closed and drops it.
        self.filler = None;
        if is_filling {
            let connecting = TcpStream::connect(listener.local_addr()?);
            let connected = tokio::time::timeout(FILL_TIMEOUT, connecting).await;
            self.filler = connected.ok().transpose()?;
        }
        // Another connection may have taken the only place. It is accepted first, since its call may be in transit.
        let fill_failed = is_filling && !self.is_full();
        let share = if is_filling {
            self.full_share
        } else {
            1.0 - self.full_share
        };
        let wait = if fill_failed {
            FILL_TIMEOUT
        } else {
            CYCLE.mul_f64(share)
        };
        self.next_change_at = Instant::now() + wait;
        Ok(())
    }
}
