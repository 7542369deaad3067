//! Transport between forwarders and destinations: calls, health checks, their responses and gossip, each of which is
//! delayed, or lost to a network partition.

use super::forwarder_io::{ForwarderInput, ForwarderOutput};
use super::layout::{destination_of, forwarder_zone};
use super::observer::Arrival;
use super::receivers::ReceiverResponse;
use super::{ExternalEvent, Fleet};
use opalpulley::{EndpointId, Micros, Outcome};
use std::sync::Arc;

impl Fleet<'_> {
    /// Sends a response of an endpoint to a forwarder at `at`, unless a partition loses it.
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

    /// Transmits the outputs of all forwarders, in the order of the forwarders' numbers, and empties their outboxes.
    pub(super) fn transmit_outboxes(&mut self) {
        for sender in 0..self.forwarders.len() {
            let mut outbox = std::mem::take(&mut self.forwarders[sender].outbox);
            for (sent_at, output) in outbox.drain(..) {
                self.transmit(sender as u32, sent_at, output);
            }
            self.forwarders[sender].outbox = outbox;
        }
    }

    /// Transmits one output of a forwarder, or hands it to the observer.
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

    /// Sends a gossip datagram to one peer, or to all if `to` is `None`. A partition loses the copies that would cross it.
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

    /// Schedules the arrival of a call or health check at its endpoint, unless a partition loses it.
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

/// Builds the arrival of a call or health check that reaches its destination now.
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

/// Returns the outcome that the forwarder sees of a response, and the delay of the response in µs; `None` if no response
/// is sent.
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
