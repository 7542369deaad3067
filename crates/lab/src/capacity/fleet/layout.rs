//! Who stands where: the destinations with their rates, zones and part of the traffic, drawn once from the seed.

use super::plan::{Plan, ZONES_PER_REGION, ZONE_COUNT};
use crate::random::seeded_rng;
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;

/// Calls a second that the smallest destination takes.
const MIN_RATE: f64 = 5.0;
/// What a destination takes, as a multiple of what is sent to it in the mean.
const HEADROOM: f64 = 2.5;
/// The same for one at its limit.
const HEADROOM_AT_LIMIT: f64 = 0.8;
/// One in so many destinations, the busiest, of which those at their limit are drawn: few calls meet no limit.
const BUSIEST_DIVISOR: usize = 10;
const HTTPS_PORT: u16 = 443;
/// First byte of all addresses.
const ADDRESS_PREFIX: u8 = 10;

/// One destination; it has one target.
#[derive(Clone, Copy, Debug)]
pub struct DestinationSpec {
    pub zone: u16,
    /// Calls a second that it takes from all forwarders together.
    pub rate: f64,
}

/// All destinations, and how often each is drawn.
pub struct Layout {
    pub destinations: Vec<DestinationSpec>,
    /// The destination at each place of Zipf's law, the busiest first.
    destinations_by_rank: Vec<u32>,
    rank_distribution: Option<Zipf<f64>>,
}

impl Layout {
    /// The destinations of a plan.
    pub fn new(plan: &Plan) -> Layout {
        let mut rng = seeded_rng(plan.seed, "layout", 0);
        let mut destinations_by_rank: Vec<u32> = (0..plan.destinations).collect();
        destinations_by_rank.shuffle(&mut rng);
        let weight = |rank: usize| ((rank + 1) as f64).powf(-plan.skew);
        let sum: f64 = (0..destinations_by_rank.len()).map(weight).sum();
        let busiest = (destinations_by_rank.len() / BUSIEST_DIVISOR).max(1);
        let at_limit = plan.at_limit_share * destinations_by_rank.len() as f64 / busiest as f64;
        let mut destinations = vec![
            DestinationSpec {
                zone: 0,
                rate: MIN_RATE
            };
            destinations_by_rank.len()
        ];
        for (rank, destination) in destinations_by_rank.iter().enumerate() {
            let sent_rate = plan.events_a_second * weight(rank) / sum;
            let limited = rank < busiest && rng.random_bool(at_limit.min(1.0));
            let rate = if limited {
                sent_rate * HEADROOM_AT_LIMIT
            } else {
                (sent_rate * HEADROOM).max(MIN_RATE)
            };
            let zone = (destination % u32::from(ZONE_COUNT)) as u16;
            destinations[*destination as usize] = DestinationSpec { zone, rate };
        }
        let rank_distribution = Zipf::new(destinations_by_rank.len() as f64, plan.skew).ok();
        Layout {
            destinations,
            destinations_by_rank,
            rank_distribution,
        }
    }

    /// The destination of the next message.
    pub fn draw_destination(&self, rng: &mut Pcg64Mcg) -> u32 {
        let rank = self.rank_distribution.map_or(0, |rank_distribution| {
            rank_distribution.sample(rng) as usize - 1
        });
        self.destinations_by_rank[rank.min(self.destinations_by_rank.len() - 1)]
    }

    /// The line of the list for a destination; `holder` counts its addresses so far, `rate` is what is told of it.
    pub fn list_entry(
        &self,
        destination: u32,
        incarnation: u32,
        rate: f64,
        status: EndpointStatus,
    ) -> EndpointEntry {
        EndpointEntry {
            endpoint: endpoint_of(destination, incarnation),
            zone: ZoneId(self.destinations[destination as usize].zone),
            up_since: 0,
            status,
            rate: rate as f32,
            destination: DestinationId(destination),
            kind: EndpointKindId(0),
        }
    }
}

/// The target of a destination: its address, in the net 10, names the destination.
pub fn endpoint_of(destination: u32, incarnation: u32) -> EndpointId {
    let [_, high, middle, low] = destination.to_be_bytes();
    EndpointId {
        address: [ADDRESS_PREFIX, high, middle, low],
        port: HTTPS_PORT,
        incarnation,
    }
}

/// The destination whose target this is.
pub fn destination_of(endpoint: EndpointId) -> u32 {
    let [_, high, middle, low] = endpoint.address;
    u32::from_be_bytes([0, high, middle, low])
}

/// The zone of a forwarder.
pub fn forwarder_zone(forwarder: u32) -> u16 {
    (forwarder % u32::from(ZONE_COUNT)) as u16
}

/// The region of a zone.
pub fn region(zone: u16) -> u16 {
    zone / ZONES_PER_REGION
}
