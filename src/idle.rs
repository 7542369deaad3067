//! Summaries of destinations out of use: one short record an endpoint in place of some 3 kB.
//!
//! The forwarder owns one [`IdleTable`]. Where its configuration names a number of destinations to
//! hold in full, it holds no more than these and those in use: whatever is beyond is summarised
//! once nothing is under way there and none of its timers runs, oldest first. Before an event that
//! concerns it a destination is restored. No destination is held both ways.
//!
//! Whatever binds is kept exactly ([`BindingState`]): pauses by retry-after, draining, ejection and
//! readmission, the slow-start budget, failures in a row. Estimates are rounded ([`EndpointSummary`]):
//! latencies, the pacing interval, the listed rate.
//!
//! A summary leaves as its destination is restored, or once its endpoint left the list for the
//! warm-up time. Binding state leaves with its summary, or when a sweep, two records at each
//! event, finds that it binds no more.

mod binding_state;
mod summary;
mod table;

pub(crate) use binding_state::BindingState;
pub(crate) use summary::EndpointSummary;
pub(crate) use table::IdleTable;

use crate::model::{Event, Micros};
use crate::policy::attempt_timeout::SILENCE_THRESHOLD;

/// Entries of a list that are applied at a time: they bound what a list may hold in full beyond
/// the setting for a moment, some 0.4 MB. Larger chunks cost more memory and save no time.
pub(crate) const LIST_CHUNK_ENTRIES: usize = 64;
/// Destinations summarised after an event other than a list. It restores one at most, so that a
/// backlog shrinks, at some µs each.
const SUMMARIES_PER_EVENT: usize = 8;
/// How long a destination that could not be summarised waits until it is looked at again.
pub(crate) const SUMMARY_RETRY_INTERVAL: Micros = 2 * SILENCE_THRESHOLD;

/// How many destinations may be summarised after this event.
pub(crate) fn max_summaries_after(event: &Event) -> usize {
    if matches!(event, Event::EndpointListUpdated(_)) {
        2 * LIST_CHUNK_ENTRIES
    } else {
        SUMMARIES_PER_EVENT
    }
}

/// How much is held, and what it cost so far: for tests and measurements, read only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// Destinations held in full now.
    pub full: usize,
    /// Most destinations held in full at once so far, as seen whenever one was summarised or an
    /// event ended.
    pub most_full: usize,
    /// Idle endpoints, each a summary.
    pub summaries: usize,
    /// Idle endpoints with something that binds.
    pub bounds: usize,
    /// Idle endpoints that have left the list and are not forgotten yet.
    pub gone: usize,
    /// Destinations in the queue of those that may be summarised.
    pub queued: usize,
    /// Destinations restored so far.
    pub restored: u64,
    /// Destinations summarised so far.
    pub summarised: u64,
}
