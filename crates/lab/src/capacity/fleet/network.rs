//! The in-memory network: delays, network partitions, and the control traffic that each forwarder sends and receives.

use super::layout::region;
use crate::random::seeded_rng;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::ops::Range;

/// Lower bound on the one-way delay between any two nodes, in µs. The time steps of a run are shorter.
pub const MIN_DELAY: Micros = 5_000;
/// Range of the one-way delay of calls, their responses and the responses of discovery, in µs.
const CALL_DELAY: Range<Micros> = MIN_DELAY..15_000;
/// Range of the one-way delay of gossip, in µs.
const GOSSIP_DELAY: Range<Micros> = MIN_DELAY..28_000;
/// Size of the UDP and IPv4 headers of a datagram, in bytes.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Size of the TCP and IPv4 headers of a segment without options, in bytes. Segments that only acknowledge are not counted.
const SEGMENT_HEADER_BYTES: u64 = 40;
/// Payload of a full TCP segment, in bytes.
const MAX_SEGMENT_PAYLOAD_BYTES: u64 = 1_460;

/// A network partition: which zones can't reach each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Partition {
    #[default]
    None,
    /// This zone is isolated from all other zones.
    Zone(u16),
    /// The two regions can't reach each other.
    Regions,
}

impl Partition {
    /// Returns whether traffic passes from one zone to another.
    pub fn connects(self, from_zone: u16, to_zone: u16) -> bool {
        match self {
            Partition::None => true,
            Partition::Zone(zone) => (from_zone == zone) == (to_zone == zone),
            Partition::Regions => region(from_zone) == region(to_zone),
        }
    }
}

/// Number and size of the datagrams or HTTP messages of one kind in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Datagrams or HTTP messages.
    pub messages: u64,
    /// Bytes of UDP payload or of HTTP heads and bodies.
    pub payload_bytes: u64,
    /// Payload bytes plus the UDP or TCP headers and the IPv4 headers.
    pub wire_bytes: u64,
}

impl Traffic {
    /// Counts one datagram with its headers.
    pub fn add_datagram(&mut self, payload_bytes: usize) {
        let payload_bytes = payload_bytes as u64;
        self.add(payload_bytes, payload_bytes + DATAGRAM_HEADER_BYTES);
    }

    /// Counts one HTTP message; `payload_bytes` is the size of its head and body.
    pub fn add_http_message(&mut self, payload_bytes: u64) {
        self.add(
            payload_bytes,
            payload_bytes
                + SEGMENT_HEADER_BYTES * payload_bytes.div_ceil(MAX_SEGMENT_PAYLOAD_BYTES),
        );
    }

    fn add(&mut self, payload_bytes: u64, wire_bytes: u64) {
        self.messages += 1;
        self.payload_bytes += payload_bytes;
        self.wire_bytes += wire_bytes;
    }
}

impl std::ops::AddAssign for Traffic {
    fn add_assign(&mut self, other: Traffic) {
        self.messages += other.messages;
        self.payload_bytes += other.payload_bytes;
        self.wire_bytes += other.wire_bytes;
    }
}

/// Control traffic of a forwarder by kind and direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ControlTraffic {
    /// Datagrams as sent: a datagram to all peers goes to one multicast address and counts once.
    pub gossip_out: Traffic,
    /// Datagrams that arrived.
    pub gossip_in: Traffic,
    /// Requests for the endpoint list.
    pub list_out: Traffic,
    /// Responses of discovery after the start, with or without changes.
    pub list_in: Traffic,
    /// The response with the complete list at the start.
    pub first_list_in: Traffic,
}

impl ControlTraffic {
    /// Returns the bytes on the wire in both directions, without the complete list at the start.
    pub fn bytes_after_start(&self) -> u64 {
        [self.gossip_out, self.gossip_in, self.list_out, self.list_in]
            .iter()
            .map(|t| t.wire_bytes)
            .sum()
    }
}

impl std::ops::AddAssign for ControlTraffic {
    fn add_assign(&mut self, other: ControlTraffic) {
        self.gossip_out += other.gossip_out;
        self.gossip_in += other.gossip_in;
        self.list_out += other.list_out;
        self.list_in += other.list_in;
        self.first_list_in += other.first_list_in;
    }
}

/// The network between forwarders, destinations and discovery.
pub struct Network {
    /// The partition in force; an incident sets it.
    pub partition: Partition,
    /// Indexed by the forwarder's number.
    pub control: Vec<ControlTraffic>,
    /// Calls, health checks and their responses that a partition lost.
    pub attempts_lost: u64,
    /// Datagrams that a partition lost, counted once for each peer.
    pub gossip_lost: u64,
    rng: Pcg64Mcg,
}

impl Network {
    /// Creates a network without a partition.
    pub fn new(seed: u64, forwarders: u32) -> Network {
        Network {
            partition: Partition::None,
            control: vec![ControlTraffic::default(); forwarders as usize],
            attempts_lost: 0,
            gossip_lost: 0,
            rng: seeded_rng(seed, "wire", 0),
        }
    }

    /// Draws the one-way delay of a call or a response, in µs.
    pub fn call_delay(&mut self) -> Micros {
        self.rng.random_range(CALL_DELAY)
    }

    /// Draws the one-way delay of a gossip datagram, in µs.
    pub fn gossip_delay(&mut self) -> Micros {
        self.rng.random_range(GOSSIP_DELAY)
    }
}
