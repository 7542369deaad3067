//! Connections that come up late on sockets.

use super::RunContext;
use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// An accept queue is full for a share of each such span. It is longer than a second: clients that were kept out try again
/// after one, and must not always find it full.
const CYCLE: Duration = Duration::from_millis(1300);
/// Connections that wait to be accepted while the queue is open.
const OPEN_BACKLOG: i32 = 1024;
/// Time to fill the queue, and until the next try where another connection was first.
const FILL_TIMEOUT: Duration = Duration::from_millis(10);

/// Makes connections come up late. On sockets only a full accept queue does that: the kernel of a client that is kept out
/// tries again a second later. So for a share of each span the queue has room for one connection, which is taken.
pub(super) struct AcceptQueue {
    /// The part of each span for which the queue is full.
    full_share: f64,
    /// When it is filled or opened next.
    next_change_at: Instant,
    /// The connection that fills it.
    filler: Option<TcpStream>,
}

impl AcceptQueue {
    /// An open queue.
    pub fn new(context: &RunContext) -> AcceptQueue {
        let late_connections = context.scenario.network.late_connections.as_ref();
        AcceptQueue {
            full_share: late_connections.map_or(0.0, |late| late.share),
            next_change_at: Instant::now() + CYCLE,
            filler: None,
        }
    }

    /// Whether the scenario has late connections.
    pub fn is_enabled(&self) -> bool {
        self.full_share > 0.0
    }

    /// Whether the queue is full.
    pub fn is_full(&self) -> bool {
        self.filler.is_some()
    }

    /// Waits for its time and fills or opens the queue. Dropped before its end, it has done nothing or is done again.
    pub async fn toggle_when_due(&mut self, listener: &TcpListener) -> io::Result<()> {
        tokio::time::sleep_until(self.next_change_at).await;
        let is_filling = !self.is_full();
        let backlog = if is_filling { 0 } else { OPEN_BACKLOG };
        SockRef::from(listener).listen(backlog)?;
        // The connection that filled the queue is accepted, found closed and forgotten.
        self.filler = None;
        if is_filling {
            let connecting = TcpStream::connect(listener.local_addr()?);
            let connected = tokio::time::timeout(FILL_TIMEOUT, connecting).await;
            self.filler = connected.ok().transpose()?;
        }
        // Another connection may have the one place: it is accepted first, since its call may be on its way.
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
