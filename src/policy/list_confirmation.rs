//! Whether the endpoint list is known to be current, so that messages may be sent by it.
//!
//! A message may only be sent to an endpoint of its own destination. That an address belongs to a
//! destination is stated by discovery alone: endpoints and health checks do not name their
//! destination, and an address may pass to another one at any time. A list is therefore confirmed
//! by an answer of the agent that is in charge, given to this process. While there is none,
//! messages are accepted and wait; they are sent with the first answer.
//!
//! - At a start, the list of an earlier process is unconfirmed, however short the interruption was:
//!   the agent may have been told of changes meanwhile. Silence and failed polls confirm nothing.
//! - After a reload that names another agent, the list of the previous agent counts as current for
//!   [`NEW_AGENT_TIMEOUT`]. Then the changes that the new agent knows count as notified.
//! - While the agent of the list falls silent, the list stays in force: that agent has told all it
//!   had, and what it learns later counts as notified only after its return.
//!
//! All times are in µs.

use crate::model::{EndpointEntry, EndpointStatus, Micros};

/// Time after a reload that names another agent for which the list of the previous agent counts as
/// current. The changes that the new agent knows count as notified 4 s after the reload; the
/// difference is for a process that is held up.
pub const NEW_AGENT_TIMEOUT: Micros = 3_700_000;

/// Returns the entry with which the core holds an endpoint of a list that is no longer confirmed.
/// It gets no new attempt and no health check, attempts that are not sent yet are withdrawn, and
/// what was learned of it is kept.
pub fn suspended_entry(entry: EndpointEntry) -> EndpointEntry {
    let status = match entry.status {
        EndpointStatus::Ready => EndpointStatus::Draining,
        other => other,
    };
    EndpointEntry { status, ..entry }
}

#[cfg(test)]
mod tests;
