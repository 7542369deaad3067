//! The layout of a run: zones of the forwarders, and the destinations with their rates, zones and shares of the traffic,
//! drawn once from the seed.

use super::plan::{Plan, ZONES_PER_REGION, ZONE_COUNT};
use crate::random::seeded_rng;
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;

/// Lower bound on the rate of a destination that is not at its limit, in calls per second.
const MIN_RATE: f64 = 5.0;
/// Rate of a destination as a multiple of the mean rate of the messages to it.
const HEADROOM: f64 = 2.5;
/// Rate of a destination at its limit as a multiple of the mean rate of the messages to it.
const HEADROOM_AT_LIMIT: f64 = 0.8;
/// The destinations at their limit are drawn from the busiest `1 / BUSIEST_DIVISOR` of all destinations, because the calls
/// to a rarely used destination would not reach a limit.
const BUSIEST_DIVISOR: usize = 10;
const HTTPS_PORT: u16 = 443;
/// First byte of all endpoint addresses; the other three hold the number of the destination.
const ADDRESS_PREFIX: u8 = 10;

/// The fixed properties of a destination, which has a single endpoint.
#[derive(Clone, Copy, Debug)]
pub struct DestinationSpec {
    pub zone: u16,
    /// Calls per second that it accepts from all forwarders together, at the start of the run.
    pub rate: f64,
}

/// All destinations, and the distribution of the messages over them.
pub struct Layout {
    /// Indexed by the destination's number.
    pub destinations: Vec<DestinationSpec>,
    /// Number of the destination at each rank of Zipf's law, the busiest first.
    destinations_by_rank: Vec<u32>,
    /// Distribution of the ranks, which start at 1. `None` if it can't be built; every message then goes to the busiest
    /// destination.
    rank_distribution: Option<Zipf<f64>>,
}

impl Layout {
    /// Draws the destinations of a plan.
    pub fn new(plan: &Plan) -> Layout {
        let mut rng = seeded_rng(plan.seed, "layout", 0);
        let mut destinations_by_rank: Vec<u32> = (0..plan.destinations).collect();
        destinations_by_rank.shuffle(&mut rng);
        let weight = |rank: usize| ((rank + 1) as f64).powf(-plan.skew);
        let sum: f64 = (0..destinations_by_rank.len()).map(weight).sum();
        let busiest = (destinations_by_rank.len() / BUSIEST_DIVISOR).max(1);
        let at_limit_probability =
            plan.at_limit_share * destinations_by_rank.len() as f64 / busiest as f64;
        let mut destinations = vec![
            DestinationSpec {
                zone: 0,
                rate: MIN_RATE
            };
            destinations_by_rank.len()
        ];
        for (rank, destination) in destinations_by_rank.iter().enumerate() {
            let sent_rate = plan.events_a_second * weight(rank) / sum;
            let is_at_limit = rank < busiest && rng.random_bool(at_limit_probability.min(1.0));
            let rate = if is_at_limit {
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

    /// Draws the destination of a message.
    pub fn draw_destination(&self, rng: &mut Pcg64Mcg) -> u32 {
        let rank = self.rank_distribution.map_or(0, |rank_distribution| {
            rank_distribution.sample(rng) as usize - 1
        });
        self.destinations_by_rank[rank.min(self.destinations_by_rank.len() - 1)]
    }

    /// Builds the endpoint list entry of a destination. `incarnation` counts its moves to another address, and `rate` is the
    /// listed rate in calls per second.
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

/// Returns the endpoint of a destination, whose address in 10.0.0.0/8 encodes the destination's number.
pub fn endpoint_of(destination: u32, incarnation: u32) -> EndpointId {
    let [_, high, middle, low] = destination.to_be_bytes();
    EndpointId {
        address: [ADDRESS_PREFIX, high, middle, low],
        port: HTTPS_PORT,
        incarnation,
    }
}

/// Returns the destination of an endpoint: the inverse of [`endpoint_of`].
pub fn destination_of(endpoint: EndpointId) -> u32 {
    let [_, high, middle, low] = endpoint.address;
    u32::from_be_bytes([0, high, middle, low])
}

/// Returns the zone of a forwarder; the forwarders are spread over the zones in turn.
pub fn forwarder_zone(forwarder: u32) -> u16 {
    (forwarder % u32::from(ZONE_COUNT)) as u16
}

/// Returns the region of a zone.
pub fn region(zone: u16) -> u16 {
    zone / ZONES_PER_REGION
}
