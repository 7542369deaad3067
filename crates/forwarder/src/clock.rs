//! Time: Unix microseconds at the start of the process, carried on by the monotonic clock. One scale serves the
//! core and the journal; a step of the wall clock while the process runs moves nothing.

use opalpulley::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    wall: Micros,
}

impl Clock {
    pub fn start() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            origin: Instant::now(),
            wall: micros(wall),
        }
    }

    pub fn now(&self) -> Micros {
        self.wall + micros(self.origin.elapsed())
    }

    pub fn at(&self, time: Micros) -> Instant {
        self.origin + Duration::from_micros(time.saturating_sub(self.wall))
    }
}

pub fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
