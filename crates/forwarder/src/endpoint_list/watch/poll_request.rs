//! The request of one poll of the endpoint list, and its timeouts.

use opalpulley::MAX_POLL_SILENCE;
use std::time::Duration;

/// Upper bound on the time that the agent waits for a change before it responds to a watch. It bounds how long a watch
/// that has fallen silent goes unnoticed.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(5);

/// Upper bound on the duration of a fetch, and on how much longer than the requested wait a watch may take. The agent
/// runs on the same machine.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a fetch is repeated while no list is confirmed. Deliveries wait for that list, and the agent may have
/// dropped the requests that it received while it was silent.
const UNCONFIRMED_FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Upper bound on the duration of a poll where discovery must be polled, including the time that it continues in the
/// background after its timeout. It is longer than any poll that is made meanwhile.
const LATE_POLL_TIMEOUT: Duration = Duration::from_secs(7);

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
    /// Time without a whole response after which the poll counts as failed.
    pub timeout: Duration,
    /// Upper bound on the time until the whole response is read. If it exceeds `timeout`, the poll continues in the
    /// background after it has failed.
    pub response_timeout: Duration,
}

impl PollRequest {
    /// Returns whether the poll continues in the background after its timeout.
    pub fn continues_in_background(&self) -> bool {
        self.response_timeout > self.timeout
    }
}

/// The timeouts of all polls of a process.
pub struct PollTimeouts {
    /// Upper bound on the time that the agent waits for a change.
    max_watch_wait: Duration,
    /// Upper bound on how much longer than the requested wait a watch may take.
    response: Duration,
    /// Timeout of a fetch while a confirmed list is known.
    fetch: Duration,
    /// Timeout of a poll that is answered at once, while no list is confirmed.
    unconfirmed: Duration,
    /// Lower bound on the time for which a poll may wait for its response, counted from its start.
    min_response_timeout: Duration,
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
                // Shorter polls would add to the load of a discovery that answers late.
                unconfirmed: POLLED_MAX_WATCH_WAIT + POLLED_RESPONSE_TIMEOUT,
                min_response_timeout: LATE_POLL_TIMEOUT,
            }
        } else {
            PollTimeouts {
                max_watch_wait: MAX_WATCH_WAIT,
                response: RESPONSE_TIMEOUT,
                fetch: RESPONSE_TIMEOUT,
                unconfirmed: UNCONFIRMED_FETCH_INTERVAL,
                min_response_timeout: RESPONSE_TIMEOUT,
            }
        }
    }

    /// Returns a request for the complete list. `is_confirmed`: whether a confirmed list is known.
    pub fn fetch(&self, is_confirmed: bool) -> PollRequest {
        let timeout = if is_confirmed {
            self.fetch
        } else {
            self.unconfirmed
        };
        self.request(None, timeout)
    }

    /// Returns a request that waits for changes after a revision.
    pub fn watch(&self, revision: u64) -> PollRequest {
        let wait = self.max_watch_wait;
        self.request(Some((revision, wait)), wait + self.response)
    }

    /// Returns a request for the changes after a revision that is answered at once, even without changes. It confirms a
    /// cached list.
    pub fn changes_now(&self, revision: u64) -> PollRequest {
        self.request(Some((revision, Duration::ZERO)), self.unconfirmed)
    }

    fn request(&self, watch: Option<(u64, Duration)>, timeout: Duration) -> PollRequest {
        PollRequest {
            watch,
            timeout,
            response_timeout: timeout.max(self.min_response_timeout),
        }
    }
}
