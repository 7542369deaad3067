//! Summaries of idle destinations: one short record per endpoint in place of about 3 kB of state.
//!
//! The forwarder owns one [`IdleTable`]. If its configuration limits the number of destinations
//! that are held in full, a destination beyond the limit is summarised once it has no messages,
//! calls and running timers, in the order in which the destinations become due. A destination is
//! restored before an event that concerns it is applied. It is never held both in full and as a
//! summary.
//!
//! State that restricts calls is kept exactly ([`BindingState`]): pauses by retry-after, draining,
//! ejection and readmission, the slow-start budget and consecutive failures. Estimates are rounded
//! ([`EndpointSummary`]): latencies, the pacing interval and the listed rate.
//!
//! A summary is removed when its destination is restored, or once its endpoint has been off the
//! list for the warm-up time. Binding state is removed with its summary, or when a sweep finds that
//! it has no effect any more. A sweep checks at most two binding states; it runs after each event
//! and each chunk of a list.

mod binding_state;
mod summary;
mod table;

pub(crate) use binding_state::BindingState;
pub(crate) use summary::EndpointSummary;
pub(crate) use table::IdleTable;

use crate::model::{Event, Micros};
use crate::policy::attempt_timeout::SILENCE_THRESHOLD;

/// Number of entries of a list that are applied at a time. It bounds the memory that a list holds
/// in full beyond the configured limit, about 0.4 MB. Larger chunks cost more memory and save no
/// time.
pub(crate) const LIST_CHUNK_ENTRIES: usize = 64;
/// Upper bound on the destinations that are summarised after an event other than a list. Such an
/// event restores at most one destination, so that a backlog shrinks. A summary takes a few µs.
const SUMMARIES_PER_EVENT: usize = 8;
/// Delay in µs until the summary of a destination is tried again after it failed.
pub(crate) const SUMMARY_RETRY_INTERVAL: Micros = 2 * SILENCE_THRESHOLD;

/// Returns the upper bound on the destinations that are summarised after the event.
pub(crate) fn max_summaries_after(event: &Event) -> usize {
    if matches!(event, Event::EndpointListUpdated(_)) {
        2 * LIST_CHUNK_ENTRIES
    } else {
        SUMMARIES_PER_EVENT
    }
}

/// Numbers of destinations and endpoints held, for tests and measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// Destinations that are held in full now.
    pub full: usize,
    /// Maximum of the destinations held in full at once. It is updated after each event and each
    /// chunk of a list, before destinations are summarised; 0 if `full_destinations` is not set.
    pub most_full: usize,
    /// Idle endpoints, each of which has a summary.
    pub summaries: usize,
    /// Idle endpoints that have binding state.
    pub bounds: usize,
    /// Idle endpoints that have left the list and are not yet discarded.
    pub gone: usize,
    /// Destinations held in full whose summary is scheduled.
    pub queued: usize,
    /// Number of times that a destination was restored.
    pub restored: u64,
    /// Number of times that a destination was summarised.
    pub summarised: u64,
}
