//! The time scale of the core and the journal: µs since the Unix epoch, read from the wall clock at the start of the
//! process and advanced by the monotonic clock. A step of the wall clock while the process runs has no effect.

use opalpulley::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock of the process. Its copies agree.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    /// Unix time at the start, in µs.
    started_at_unix: Micros,
}

impl Clock {
    /// Returns a clock that starts now.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            started_at_unix: micros(unix_time),
        }
    }

    /// Returns the current Unix time, in µs.
    pub fn now(&self) -> Micros {
        self.started_at_unix + micros(self.started_at.elapsed())
    }

    /// Returns the instant of a Unix time in µs. For a time before the start, returns the start.
    pub fn at(&self, time: Micros) -> Instant {
        self.started_at + Duration::from_micros(time.saturating_sub(self.started_at_unix))
    }
}

/// Converts a duration to whole µs.
pub fn micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Sleeps until the deadline. Never returns if there is none.
pub async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
