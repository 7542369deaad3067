//! What forwarders and destinations send each other: calls, health checks, answers and gossip, unless a cut is in their way.

use super::forwarder_io::{ForwarderInput, ForwarderOutput};
use super::layout::{destination_of, forwarder_zone};
use super::observer::Arrival;
use super::receivers::ReceiverResponse;
use super::{ExternalEvent, Fleet};
use opalpulley::{EndpointId, Micros, Outcome};
use std::sync::Arc;

impl Fleet<'_> {
    /// An answer goes back, unless a cut is in its way.
    pub(super) fn send_response(
        &mut self,
        at: Micros,
        forwarder: u32,
        endpoint: EndpointId,
        input: ForwarderInput,
    ) {
        let zone = self.layout.destinations[destination_of(endpoint) as usize].zone;
        if self
            .network
            .partition
            .connects(zone, forwarder_zone(forwarder))
        {
            let arrives_at = at + self.network.call_delay();
            self.forwarders[forwarder as usize]
                .inbox
                .push(arrives_at, input);
        } else {
            self.network.attempts_lost += 1;
        }
    }

    /// Takes what the forwarders have sent to where it goes, in the order of their numbers.
    pub(super) fn transmit_outboxes(&mut self) {
        for sender in 0..self.forwarders.len() {
            let mut outbox = std::mem::take(&mut self.forwarders[sender].outbox);
            for (sent_at, output) in outbox.drain(..) {
                self.transmit(sender as u32, sent_at, output);
            }
            self.forwarders[sender].outbox = outbox;
        }
    }

    /// What a forwarder has sent goes on its way.
    fn transmit(&mut self, forwarder: u32, sent_at: Micros, output: ForwarderOutput) {
        match output {
            ForwarderOutput::Call {
                id,
                attempt,
                endpoint,
            } => {
                let call = ExternalEvent::Call {
                    forwarder,
                    sent_at,
                    id,
                    attempt,
                    endpoint,
                };
                self.transmit_attempt(forwarder, sent_at, endpoint, call);
            }
            ForwarderOutput::HealthCheck { endpoint } => {
                let health_check = ExternalEvent::HealthCheck {
                    forwarder,
                    sent_at,
                    endpoint,
                };
                self.transmit_attempt(forwarder, sent_at, endpoint, health_check);
            }
            ForwarderOutput::Gossip { to, payload } => {
                self.transmit_gossip(forwarder, sent_at, to, &payload)
            }
            ForwarderOutput::FailureSeen {
                destination,
                attempt_sent_at,
            } => self.receivers.record_failed_attempt(
                destination,
                forwarder,
                attempt_sent_at,
                sent_at,
            ),
            ForwarderOutput::ListInForce { revision } => {
                self.discovery.mark_in_force(sent_at, forwarder, revision)
            }
        }
    }

    /// Gossip goes to one peer, or to all; a cut loses what would cross it.
    fn transmit_gossip(
        &mut self,
        from: u32,
        sent_at: Micros,
        to: Option<u16>,
        payload: &Arc<[u8]>,
    ) {
        self.network.control[from as usize]
            .gossip_out
            .add_datagram(payload.len());
        let peers = match to {
            Some(peer) => u32::from(peer)..u32::from(peer) + 1,
            None => 0..self.plan.forwarders,
        };
        for peer in peers {
            if peer == from || peer >= self.plan.forwarders {
                continue;
            }
            let zones = (forwarder_zone(from), forwarder_zone(peer));
            if !self.network.partition.connects(zones.0, zones.1) {
                self.network.gossip_lost += 1;
                continue;
            }
            let arrives_at = sent_at + self.network.gossip_delay();
            self.network.control[peer as usize]
                .gossip_in
                .add_datagram(payload.len());
            let gossip = ForwarderInput::Gossip {
                peer: from as u16,
                payload: payload.clone(),
            };
            self.forwarders[peer as usize]
                .inbox
                .push(arrives_at, gossip);
        }
    }

    fn transmit_attempt(
        &mut self,
        forwarder: u32,
        sent_at: Micros,
        endpoint: EndpointId,
        arrival: ExternalEvent,
    ) {
        let zone = self.layout.destinations[destination_of(endpoint) as usize].zone;
        if self
            .network
            .partition
            .connects(forwarder_zone(forwarder), zone)
        {
            let arrives_at = sent_at + self.network.call_delay();
            self.events.push(arrives_at, arrival);
        } else {
            self.network.attempts_lost += 1;
        }
    }
}

/// A call or health check that reaches its destination now.
pub(super) fn new_arrival(
    now: Micros,
    forwarder: u32,
    sent_at: Micros,
    endpoint: EndpointId,
) -> Arrival {
    Arrival {
        now,
        destination: destination_of(endpoint),
        forwarder,
        sent_at,
    }
}

/// What the forwarder sees of a reply, and after how long; none where nothing comes back.
pub(super) fn response_outcome(response: ReceiverResponse) -> Option<(Micros, Outcome)> {
    match response {
        ReceiverResponse::Served(after) => Some((after, Outcome::Delivered)),
        ReceiverResponse::RateLimited { retry_after } => Some((
            0,
            Outcome::Rejected {
                retry_after: Some(retry_after),
            },
        )),
        ReceiverResponse::Refused => Some((0, Outcome::NoConnection)),
        ReceiverResponse::NoResponse => None,
    }
}
