//! Gossip between forwarders about destinations that are at their rate limit.
//!
//! The first rejection that a forwarder receives from a destination is announced to the whole
//! fleet, at most once per second for each destination. A forwarder that receives the announcement
//! temporarily slows down to an even share of the destination's rate, as it does after a rejection
//! of its own calls.
//!
//! In a fleet of hundreds, a forwarder calls a given destination only every few seconds. Without
//! gossip, each forwarder would discover a lowered limit by a rejection of its own call, and the
//! rejected calls would use up the calls that the limit still allows.
//!
//! A gossip message can only slow its receiver down. A lost, late, duplicated or false message
//! therefore breaks no service rule: in the worst case a destination is temporarily called at even
//! shares.
//!
//! See `docs/incidents/many-forwarders.md`.

mod message;

use crate::model::{Action, Config, DestinationId, LogEvent, Micros};
use std::collections::BTreeMap;

/// Minimum time between two announcements of a destination by any forwarders, in µs. All forwarders
/// have received the first announcement by the end of this time.
const ANNOUNCEMENT_INTERVAL: Micros = 1_000_000;

/// Minimum time between two log lines about unreadable gossip messages, in µs. Bounds the log
/// volume that a faulty peer can cause.
const LOG_INTERVAL: Micros = 60_000_000;

/// Tracks the recent announcements in the fleet. Owned by the forwarder.
#[derive(Debug, Default)]
pub struct Gossip {
    /// When each destination was last announced, by this forwarder or by a peer. Entries older than
    /// [`ANNOUNCEMENT_INTERVAL`] are removed on each use.
    announced_at: BTreeMap<DestinationId, Micros>,
    /// When an unreadable gossip message was last logged.
    last_logged_at: Option<Micros>,
}

impl Gossip {
    /// Returns the announcement to send after a call to `destination` was rejected.
    ///
    /// Returns `None` if gossip is off, if there are no peers, or if the destination was announced
    /// within [`ANNOUNCEMENT_INTERVAL`].
    pub fn announce_rejection(
        &mut self,
        now: Micros,
        destination: DestinationId,
        config: &Config,
    ) -> Option<Action> {
        if !config.may_gossip || config.fleet_size <= 1 {
            return None;
        }
        if !self.record_announcement(now, destination) {
            return None;
        }
        Some(Action::SendGossip {
            peer: None,
            payload: message::encode(destination),
        })
    }

    /// Handles a gossip message from the forwarder with the number `sender`.
    ///
    /// Returns the destination that is at its rate limit, if `is_known` accepts it and it was not
    /// announced within [`ANNOUNCEMENT_INTERVAL`]. An unreadable message adds a log line to
    /// `actions`, at most one per [`LOG_INTERVAL`].
    pub fn receive(
        &mut self,
        now: Micros,
        sender: u16,
        payload: &[u8],
        is_known: impl Fn(DestinationId) -> bool,
        actions: &mut Vec<Action>,
    ) -> Option<DestinationId> {
        match message::decode(payload) {
            Ok(destination) => {
                let is_accepted =
                    is_known(destination) && self.record_announcement(now, destination);
                is_accepted.then_some(destination)
            }
            Err(error) => {
                self.log_unreadable(now, sender, error, actions);
                None
            }
        }
    }

    /// Logs an unreadable gossip message, unless one was logged within [`LOG_INTERVAL`].
    fn log_unreadable(
        &mut self,
        now: Micros,
        sender: u16,
        error: message::GossipError,
        actions: &mut Vec<Action>,
    ) {
        let logged_recently = self
            .last_logged_at
            .is_some_and(|at| now < at + LOG_INTERVAL);
        if logged_recently {
            return;
        }
        self.last_logged_at = Some(now);
        actions.push(Action::Log(LogEvent::GossipIgnored {
            peer: sender,
            problem: error.to_string(),
        }));
    }

    /// Records an announcement of the destination, unless the destination was announced within
    /// [`ANNOUNCEMENT_INTERVAL`]. Returns whether the announcement was recorded.
    fn record_announcement(&mut self, now: Micros, destination: DestinationId) -> bool {
        self.announced_at
            .retain(|_, announced_at| now < *announced_at + ANNOUNCEMENT_INTERVAL);
        if self.announced_at.contains_key(&destination) {
            return false;
        }
        self.announced_at.insert(destination, now);
        true
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod golden_tests;
