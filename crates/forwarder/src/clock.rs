//! Time: Unix microseconds at the start of the process, carried on by the monotonic clock. The core and the journal use
//! the same scale. A step of the wall clock while the process runs changes nothing.

use opalpulley::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock of the process.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    /// The Unix time at the start, in µs.
    started_at_unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            started_at_unix: micros(unix_time),
        }
    }

    /// The time now, in Unix µs.
    pub fn now(&self) -> Micros {
        self.started_at_unix + micros(self.started_at.elapsed())
    }

    /// The instant of a time in Unix µs. A time before the start is the start.
    pub fn at(&self, time: Micros) -> Instant {
        self.started_at + Duration::from_micros(time.saturating_sub(self.started_at_unix))
    }
}

/// A duration in whole µs.
pub fn micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
