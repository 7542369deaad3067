//! Whether idle connections to endpoints are kept open.
//!
//! If each forwarder of a fleet keeps a connection that it seldom uses, the connections can fill an
//! endpoint's connection table. Idle connections are therefore closed while more than 0.2% of
//! attempts fail to get a connection.
//!
//! This applies where each outcome names its message, as in the simulator. On sockets a response
//! names nothing, and no connection is used again: see `docs/design/proof-of-responses.md`.

use crate::model::Outcome;

/// Weight of an attempt in the running share, which thus spans about thirty attempts.
const ATTEMPT_WEIGHT: f64 = 0.03;
/// Share of attempts without a connection above which idle connections are closed. One such attempt
/// in a hundred exceeds it.
const SCARCITY_THRESHOLD: f64 = 0.002;

/// Tracks the share of attempts, over all endpoints, that got no connection.
#[derive(Debug, Default)]
pub struct ConnectionScarcity {
    /// Exponentially weighted share, from 0 to 1.
    no_connection_share: f64,
}

impl ConnectionScarcity {
    /// Records the outcome of an attempt. A withdrawn attempt is ignored, because it is no evidence
    /// of whether a connection was available.
    pub fn observe(&mut self, outcome: Outcome) {
        if outcome == Outcome::WithdrawnBeforeSend {
            return;
        }
        let no_connection = f64::from(u8::from(outcome == Outcome::NoConnection));
        self.no_connection_share += ATTEMPT_WEIGHT * (no_connection - self.no_connection_share);
    }

    /// Returns whether idle connections must be closed.
    pub fn is_scarce(&self) -> bool {
        self.no_connection_share > SCARCITY_THRESHOLD
    }
}

#[cfg(test)]
mod tests;
