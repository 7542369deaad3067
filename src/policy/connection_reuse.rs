//! Whether idle connections to endpoints are kept.
//!
//! A fleet whose forwarders each keep a connection that they seldom use can fill an endpoint's
//! connection table. So while more than 0.2% of attempts get no connection, none is kept. The rule
//! is ours.

use crate::model::Outcome;

/// Weight of an attempt in the running share: some thirty attempts count.
const ATTEMPT_WEIGHT: f64 = 0.03;
/// Share of attempts without a connection from which none is kept: one in a hundred reaches it.
const SCARCITY_THRESHOLD: f64 = 0.002;

/// The running share of attempts, over all endpoints, that got no connection.
#[derive(Debug, Default)]
pub struct ConnectionScarcity {
    no_connection_share: f64,
}

impl ConnectionScarcity {
    /// Takes the outcome of an attempt in. One that was withdrawn says nothing.
    pub fn observe(&mut self, outcome: Outcome) {
        if outcome == Outcome::WithdrawnBeforeSend {
            return;
        }
        let no_connection = f64::from(u8::from(outcome == Outcome::NoConnection));
        self.no_connection_share += ATTEMPT_WEIGHT * (no_connection - self.no_connection_share);
    }

    /// Whether idle connections are to be closed.
    pub fn is_scarce(&self) -> bool {
        self.no_connection_share > SCARCITY_THRESHOLD
    }
}

#[cfg(test)]
mod tests;
