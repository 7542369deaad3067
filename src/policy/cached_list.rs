//! Whether an endpoint list from before the start of the process is used before discovery has
//! responded.
//!
//! A cached list may be outdated: the address of an endpoint may belong to another destination by
//! now. It is withheld until discovery has sent a list, unless discovery is silent for
//! [`CONFIRMATION_TIMEOUT`]: a silent discovery must not stop deliveries.
//!
//! Where a large fleet polls discovery, the first polls are spread over seconds. A list that is
//! withheld would then stop nearly all deliveries of a restarted forwarder for the whole timeout,
//! and would still be unconfirmed at its end. Such a fleet uses the cached list at once. The service
//! rules allow it the notification delay for whatever discovery has.
//!
//! All times are in µs.

use super::list_polling;
use crate::model::{Config, Micros};

/// Time after the start for which a cached list is withheld while discovery has not responded.
pub const CONFIRMATION_TIMEOUT: Micros = 1_000_000;

/// Returns whether a cached list is withheld until discovery has responded: if discovery is asked
/// within the timeout.
pub fn must_be_confirmed(config: &Config) -> bool {
    list_polling::max_first_poll_delay(config) < CONFIRMATION_TIMEOUT
}

#[cfg(test)]
mod tests;
