//! Gossip between forwarders about destinations that are at their rate limit.
//!
//! Rule: the first rejection that a forwarder receives from a destination is announced to the whole
//! fleet, at most once a second for each destination. A forwarder that receives the announcement
//! slows down to an even share of the destination's rate for a while, as it does after a rejection
//! of its own.
//!
//! In a fleet of hundreds, a forwarder calls a given destination every few seconds only. Without
//! gossip, each forwarder finds a lowered limit by a rejection of its own, and the rejected calls
//! use up what the limit still allows.
//!
//! A message only slows its receiver down. A lost, late, duplicated or false message therefore
//! breaks no service rule: at worst a destination is called at even shares for a while.
//!
//! Source: our own rule, see `docs/incidents/many-forwarders.md`.

mod message;

use crate::model::{Action, Config, DestinationId, LogEvent, Micros};
use std::collections::BTreeMap;

/// µs in which a destination is announced once at most, by whichever forwarder. All forwarders have
/// received the first announcement by then.
const ANNOUNCEMENT_INTERVAL: Micros = 1_000_000;

/// µs between two log lines about unreadable messages. Bounds what a faulty peer can write to the
/// log.
const LOG_INTERVAL: Micros = 60_000_000;

/// What a forwarder knows of the announcements in the fleet.
#[derive(Debug, Default)]
pub struct Gossip {
    /// When each destination was last announced, by this forwarder or by a peer. Entries older than
    /// [`ANNOUNCEMENT_INTERVAL`] are removed on each use.
    announced_at: BTreeMap<DestinationId, Micros>,
    /// When an unreadable message was last logged.
    last_logged_at: Option<Micros>,
}

impl Gossip {
    /// The announcement to send after a call to `destination` was rejected.
    ///
    /// None if gossip is off, if there are no peers, or if the destination was announced recently.
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

    /// Reads a message from the forwarder number `sender`.
    ///
    /// Returns the destination that is at its limit, if `is_known` accepts it and it was not
    /// announced recently. An unreadable message adds a log line to `actions`, at most one in
    /// [`LOG_INTERVAL`].
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

    /// Records an announcement of the destination, unless there was one within
    /// [`ANNOUNCEMENT_INTERVAL`]. Returns whether it was recorded.
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
