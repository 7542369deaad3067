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
//! - While the agent of the list falls silent, the list stays in force: that agent has told all it
//!   had, and what it learns later counts as notified only after its return.
//!
//! Where a large fleet polls discovery, the first polls are spread over seconds, and the cached
//! list is used at once until then.
//!
//! All times are in µs.

use super::list_polling;
use crate::model::{Config, Micros};

/// Upper bound on the delay of the first poll with which the cached list is withheld until discovery
/// responds.
const MAX_WITHHELD_POLL_DELAY: Micros = 1_000_000;

/// Returns whether a cached list is withheld until discovery has responded: unless the first poll
/// may be seconds away.
pub fn must_be_confirmed(config: &Config) -> bool {
    list_polling::max_first_poll_delay(config) < MAX_WITHHELD_POLL_DELAY
}

#[cfg(test)]
mod tests;
