//! The wire in memory: how long things are under way, what a cut keeps from passing, and the bytes of control that each
//! forwarder sends and receives.

use super::layout::region;
use crate::random::seeded_rng;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::ops::Range;

/// One way, between any two; nothing is faster. Time windows of the run are shorter than that.
pub const MIN_DELAY: Micros = 5_000;
/// One way of calls and of discovery's answers.
const CALL_DELAY: Range<Micros> = MIN_DELAY..15_000;
/// One way of gossip.
const GOSSIP_DELAY: Range<Micros> = MIN_DELAY..28_000;
/// UDP and IPv4 headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// TCP and IPv4 headers of a segment without options; acknowledgements alone are not counted.
const SEGMENT_HEADER_BYTES: u64 = 40;
/// Payload of a full segment.
const MAX_SEGMENT_PAYLOAD_BYTES: u64 = 1_460;

/// What does not pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Partition {
    #[default]
    None,
    /// This zone is alone.
    Zone(u16),
    /// The regions are apart.
    Regions,
}

impl Partition {
    /// Whether something gets from one zone to another.
    pub fn connects(self, from_zone: u16, to_zone: u16) -> bool {
        match self {
            Partition::None => true,
            Partition::Zone(zone) => (from_zone == zone) == (to_zone == zone),
            Partition::Regions => region(from_zone) == region(to_zone),
        }
    }
}

/// Messages of one kind in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    pub messages: u64,
    pub payload_bytes: u64,
    /// With the headers below the payload.
    pub wire_bytes: u64,
}

impl Traffic {
    /// Counts one datagram.
    pub fn add_datagram(&mut self, payload_bytes: usize) {
        let payload_bytes = payload_bytes as u64;
        self.add(payload_bytes, payload_bytes + DATAGRAM_HEADER_BYTES);
    }

    /// Counts one HTTP message, head and body.
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

/// What a forwarder spends on control, by kind and direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ControlTraffic {
    /// As sent: one datagram to the address of all, or to one peer.
    pub gossip_out: Traffic,
    pub gossip_in: Traffic,
    /// Requests for the list.
    pub list_out: Traffic,
    /// Answers with changes, and empty ones.
    pub list_in: Traffic,
    /// The whole list at the start.
    pub first_list_in: Traffic,
}

impl ControlTraffic {
    /// Bytes on the wire after the start, both directions.
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

/// The ways between forwarders, destinations and discovery.
pub struct Network {
    pub partition: Partition,
    /// By forwarder.
    pub control: Vec<ControlTraffic>,
    /// Calls and probes that a cut kept from arriving.
    pub attempts_lost: u64,
    /// Datagrams that a cut kept from arriving.
    pub gossip_lost: u64,
    rng: Pcg64Mcg,
}

impl Network {
    /// Ways without a cut.
    pub fn new(seed: u64, forwarders: u32) -> Network {
        Network {
            partition: Partition::None,
            control: vec![ControlTraffic::default(); forwarders as usize],
            attempts_lost: 0,
            gossip_lost: 0,
            rng: seeded_rng(seed, "wire", 0),
        }
    }

    /// How long a call or its answer is under way, µs.
    pub fn call_delay(&mut self) -> Micros {
        self.rng.random_range(CALL_DELAY)
    }

    /// How long gossip is under way, µs.
    pub fn gossip_delay(&mut self) -> Micros {
        self.rng.random_range(GOSSIP_DELAY)
    }
}
