//! Connections that come up late on sockets.

use super::Stage;
use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// An accept queue is full for a share of each such span. It is longer than a second: clients that were kept out try again
/// after one, and must not always find it full.
const SPAN: Duration = Duration::from_millis(1300);
/// Connections that wait to be accepted while the queue is open.
const OPEN_LENGTH: i32 = 1024;
/// Time to fill the queue, and until the next try where another connection was first.
const FILL_TIME: Duration = Duration::from_millis(10);

/// Makes connections come up late. On sockets only a full accept queue does that: the kernel of a client that is kept out
/// tries again a second later. So for a share of each span the queue has room for one connection, which is taken.
pub(super) struct AcceptQueue {
    /// The part of each span for which the queue is full.
    share: f64,
    /// When it is filled or opened next.
    changes_at: Instant,
    /// The connection that fills it.
    filler: Option<TcpStream>,
}

impl AcceptQueue {
    /// An open queue.
    pub fn new(stage: &Stage) -> AcceptQueue {
        let late = stage.scenario.network.late_connections.as_ref();
        AcceptQueue {
            share: late.map_or(0.0, |late| late.share),
            changes_at: Instant::now() + SPAN,
            filler: None,
        }
    }

    /// Whether the scenario has late connections.
    pub fn is_used(&self) -> bool {
        self.share > 0.0
    }

    /// Whether the queue is full.
    pub fn is_full(&self) -> bool {
        self.filler.is_some()
    }

    /// Waits for its time and fills or opens the queue. Dropped before its end, it has done nothing or is done again.
    pub async fn change(&mut self, listener: &TcpListener) -> io::Result<()> {
        tokio::time::sleep_until(self.changes_at).await;
        let fills = !self.is_full();
        let length = if fills { 0 } else { OPEN_LENGTH };
        SockRef::from(listener).listen(length)?;
        // The connection that filled the queue is accepted, found closed and forgotten.
        self.filler = None;
        if fills {
            let filler = TcpStream::connect(listener.local_addr()?);
            let filled = tokio::time::timeout(FILL_TIME, filler).await;
            self.filler = filled.ok().transpose()?;
        }
        // Another connection may have the one place: it is accepted first, since its call may be on its way.
        let missed = fills && !self.is_full();
        let share = if fills { self.share } else { 1.0 - self.share };
        let wait = if missed {
            FILL_TIME
        } else {
            SPAN.mul_f64(share)
        };
        self.changes_at = Instant::now() + wait;
        Ok(())
    }
}
