//! The request of one poll of the endpoint list, and its timeouts.

use opalpulley::MAX_POLL_SILENCE;
use std::time::Duration;

/// Upper bound on the time that the agent waits for a change before it responds to a watch. It bounds how long a watch
/// that has fallen silent goes unnoticed.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(5);

/// Upper bound on the duration of a fetch, and on how much longer than the requested wait a watch may take. The agent
/// runs on the same machine.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Counterpart of [`MAX_WATCH_WAIT`] where discovery must be polled. The next poll comes later there, so silence must
/// be noticed sooner.
const POLLED_MAX_WATCH_WAIT: Duration = Duration::from_secs(2);

/// Counterpart of [`RESPONSE_TIMEOUT`] where discovery must be polled. The core relies on the sum of the wait and this
/// timeout, which is [`MAX_POLL_SILENCE`].
const POLLED_RESPONSE_TIMEOUT: Duration =
    Duration::from_micros(MAX_POLL_SILENCE).saturating_sub(POLLED_MAX_WATCH_WAIT);

/// The request of one poll.
pub struct PollRequest {
    /// The revision after which changes are requested, and the maximum time that the agent may wait for one. `None`
    /// requests the complete list.
    pub watch: Option<(u64, Duration)>,
    /// Upper bound on the time until the whole response is read.
    pub timeout: Duration,
}

/// The timeouts of all polls of a process.
pub struct PollTimeouts {
    /// Upper bound on the time that the agent waits for a change.
    max_watch_wait: Duration,
    /// Upper bound on how much longer than the requested wait a watch may take.
    response: Duration,
    /// Upper bound on the duration of a fetch.
    fetch: Duration,
}

impl PollTimeouts {
    /// Returns the timeouts where discovery must be polled, or where it reports changes by itself.
    pub fn new(must_be_polled: bool) -> PollTimeouts {
        if must_be_polled {
            PollTimeouts {
                max_watch_wait: POLLED_MAX_WATCH_WAIT,
                response: POLLED_RESPONSE_TIMEOUT,
                // Giving up a fetch sooner than a watch would waste its cost.
                fetch: POLLED_MAX_WATCH_WAIT + POLLED_RESPONSE_TIMEOUT,
            }
        } else {
            PollTimeouts {
                max_watch_wait: MAX_WATCH_WAIT,
                response: RESPONSE_TIMEOUT,
                fetch: RESPONSE_TIMEOUT,
            }
        }
    }

    /// Returns a request for the complete list.
    pub fn fetch(&self) -> PollRequest {
        PollRequest {
            watch: None,
            timeout: self.fetch,
        }
    }

    /// Returns a request that waits for changes after a revision.
    pub fn watch(&self, revision: u64) -> PollRequest {
        self.changes_within(revision, self.max_watch_wait)
    }

    /// Returns a request for the changes after a revision that is answered at once, even without changes.
    pub fn changes_now(&self, revision: u64) -> PollRequest {
        self.changes_within(revision, Duration::ZERO)
    }

    fn changes_within(&self, revision: u64, wait: Duration) -> PollRequest {
        PollRequest {
            watch: Some((revision, wait)),
            timeout: wait + self.response,
        }
    }
}
