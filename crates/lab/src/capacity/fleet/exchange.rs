//! What forwarders and destinations send each other: calls, health checks, answers and gossip, unless a cut is in their way.

use super::layout::{destination_of, forwarder_zone};
use super::messages::{Incoming, Outgoing};
use super::onlooker::Arrived;
use super::receivers::Reply;
use super::{Fleet, WorldEvent};
use opalpulley::{EndpointId, Micros, Outcome};
use std::sync::Arc;

impl Fleet<'_> {
    /// An answer goes back, unless a cut is in its way.
    pub(super) fn reply(
        &mut self,
        at: Micros,
        forwarder: u32,
        target: EndpointId,
        answer: Incoming,
    ) {
        let zone = self.layout.destinations[destination_of(target) as usize].zone;
        if self.wire.cut.passes(zone, forwarder_zone(forwarder)) {
            let arrives = at + self.wire.call_delay();
            self.forwarders[forwarder as usize]
                .inbox
                .push(arrives, answer);
        } else {
            self.wire.attempts_lost += 1;
        }
    }

    /// Takes what the forwarders have sent to where it goes, in the order of their numbers.
    pub(super) fn carry(&mut self) {
        for sender in 0..self.forwarders.len() {
            let mut outbox = std::mem::take(&mut self.forwarders[sender].outbox);
            for (sent, what) in outbox.drain(..) {
                self.carry_one(sender as u32, sent, what);
            }
            self.forwarders[sender].outbox = outbox;
        }
    }

    /// What a forwarder has sent goes on its way.
    fn carry_one(&mut self, forwarder: u32, sent: Micros, what: Outgoing) {
        match what {
            Outgoing::Call {
                id,
                attempt,
                target,
            } => {
                let call = WorldEvent::Call {
                    forwarder,
                    sent,
                    id,
                    attempt,
                    target,
                };
                self.attempt(forwarder, sent, target, call);
            }
            Outgoing::Probe { target } => {
                let health_check = WorldEvent::Probe {
                    forwarder,
                    sent,
                    target,
                };
                self.attempt(forwarder, sent, target, health_check);
            }
            Outgoing::Gossip { to, message } => self.carry_gossip(forwarder, sent, to, &message),
            Outgoing::MetFailure { destination, tried } => {
                self.receivers.met(destination, forwarder, tried, sent)
            }
            Outgoing::ListInForce { revision } => {
                self.discovery.in_force(sent, forwarder, revision)
            }
        }
    }

    /// Gossip goes to one peer, or to all; a cut loses what would cross it.
    fn carry_gossip(&mut self, from: u32, sent: Micros, to: Option<u16>, message: &Arc<[u8]>) {
        self.wire.control[from as usize]
            .gossip_out
            .datagram(message.len());
        let peers = match to {
            Some(peer) => u32::from(peer)..u32::from(peer) + 1,
            None => 0..self.plan.forwarders,
        };
        for peer in peers {
            if peer == from || peer >= self.plan.forwarders {
                continue;
            }
            let zones = (forwarder_zone(from), forwarder_zone(peer));
            if !self.wire.cut.passes(zones.0, zones.1) {
                self.wire.gossip_lost += 1;
                continue;
            }
            let arrives = sent + self.wire.gossip_delay();
            self.wire.control[peer as usize]
                .gossip_in
                .datagram(message.len());
            let gossip = Incoming::Gossip {
                peer: from as u16,
                message: message.clone(),
            };
            self.forwarders[peer as usize].inbox.push(arrives, gossip);
        }
    }

    fn attempt(&mut self, forwarder: u32, sent: Micros, target: EndpointId, arrival: WorldEvent) {
        let zone = self.layout.destinations[destination_of(target) as usize].zone;
        if self.wire.cut.passes(forwarder_zone(forwarder), zone) {
            let arrives = sent + self.wire.call_delay();
            self.events.push(arrives, arrival);
        } else {
            self.wire.attempts_lost += 1;
        }
    }
}

/// A call or health check that reaches its destination now.
pub(super) fn arrived(now: Micros, forwarder: u32, sent: Micros, target: EndpointId) -> Arrived {
    Arrived {
        now,
        destination: destination_of(target),
        forwarder,
        sent,
    }
}

/// What the forwarder sees of a reply, and after how long; none where nothing comes back.
pub(super) fn outcome_of(reply: Reply) -> Option<(Micros, Outcome)> {
    match reply {
        Reply::Served(after) => Some((after, Outcome::Delivered)),
        Reply::Full { retry_after } => Some((
            0,
            Outcome::Rejected {
                retry_after: Some(retry_after),
            },
        )),
        Reply::Refused => Some((0, Outcome::NoConnection)),
        Reply::Nothing => None,
    }
}
