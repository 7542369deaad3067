//! Gossip between forwarders about destinations at their limit: decided without I/O or clock, and only where the configuration
//! allow it. The `Forwarder` owns one [`Gossip`]; its table holds the destinations of the list that were spoken of
//! within the last second, and is emptied of the others as it is used.
//!
//! A forwarder of hundreds meets a destination every few seconds. Alone, each learns of a lowered limit or of a clump by
//! a refusal of its own, and refused calls use up what the limit still allows. So the first refusal is told to all.
//!
//! A message moves a belief only: whoever hears it goes no faster than an even share for a while, as after a refusal of its
//! own. So a message that is lost, late, doubled or false breaks no rule: at worst a destination gets its even shares.

mod message;

use crate::interface::{Action, Config, DestinationId, Micros};
use std::collections::BTreeMap;

const AGAIN: Micros = 1_000_000; // µs between two messages on a destination, whoever tells: all have heard the first by then
const LOG_AGAIN: Micros = 60_000_000; // µs between two log lines on messages that can't be used: a bad peer fills no disk

#[derive(Debug, Default)]
pub struct Gossip {
    spoken: BTreeMap<DestinationId, Micros>, // when last told or heard
    logged: Option<Micros>,
}

impl Gossip {
    /// A call there was refused: the message to all, unless one went round within the last second.
    pub fn refused(&mut self, now: Micros, at: DestinationId, config: &Config) -> Option<Action> {
        let sends = config.may_gossip && config.forwarders > 1 && self.news(now, at);
        sends.then(|| Action::SendGossip { peer: None, message: message::encode(at) })
    }

    /// Reads a message: the destination that is at its limit, if it is news and `known`. Adds a line for the
    /// log to the actions where it can't be used, once a minute at most.
    pub fn heard(
        &mut self,
        now: Micros,
        from: u16,
        message: &[u8],
        known: impl Fn(DestinationId) -> bool,
        actions: &mut Vec<Action>,
    ) -> Option<DestinationId> {
        match message::decode(message) {
            Ok(at) => return (known(at) && self.news(now, at)).then_some(at),
            Err(_) if self.logged.is_some_and(|l| now < l + LOG_AGAIN) => {}
            Err(problem) => {
                self.logged = Some(now);
                actions.push(Action::Log(format!("a note of forwarder {from} is passed over: {problem}")));
            }
        }
        None
    }

    fn news(&mut self, now: Micros, at: DestinationId) -> bool {
        self.spoken.retain(|_, spoken| now < *spoken + AGAIN);
        let news = !self.spoken.contains_key(&at);
        if news {
            self.spoken.insert(at, now);
        }
        news
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
