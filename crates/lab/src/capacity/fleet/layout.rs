//! Who stands where: the destinations with their rates, zones and part of the traffic, drawn once from the seed.

use super::plan::{Plan, ZONES, ZONES_A_REGION};
use crate::random::seeded_rng;
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;

/// Calls a second that the smallest destination takes.
const LEAST_RATE: f64 = 5.0;
/// What a destination takes, as a multiple of what is sent to it in the mean.
const HEADROOM: f64 = 2.5;
/// The same for one at its limit.
const HEADROOM_AT_LIMIT: f64 = 0.8;
/// One in so many destinations, the busiest, of which those at their limit are drawn: few calls meet no limit.
const BUSIEST: usize = 10;
const HTTPS: u16 = 443;
/// First byte of all addresses.
const NET: u8 = 10;

/// One destination; it has one target.
#[derive(Clone, Copy, Debug)]
pub struct DestinationPlan {
    pub zone: u16,
    /// Calls a second that it takes from all forwarders together.
    pub rate: f64,
}

/// All destinations, and how often each is drawn.
pub struct Layout {
    pub destinations: Vec<DestinationPlan>,
    /// The destination at each place of Zipf's law, the busiest first.
    by_rank: Vec<u32>,
    ranks: Option<Zipf<f64>>,
}

impl Layout {
    /// The destinations of a plan.
    pub fn new(plan: &Plan) -> Layout {
        let mut rng = seeded_rng(plan.seed, "layout", 0);
        let mut by_rank: Vec<u32> = (0..plan.destinations).collect();
        by_rank.shuffle(&mut rng);
        let weight = |rank: usize| ((rank + 1) as f64).powf(-plan.skew);
        let sum: f64 = (0..by_rank.len()).map(weight).sum();
        let busiest = (by_rank.len() / BUSIEST).max(1);
        let at_limit = plan.at_limit_share * by_rank.len() as f64 / busiest as f64;
        let mut destinations = vec![
            DestinationPlan {
                zone: 0,
                rate: LEAST_RATE
            };
            by_rank.len()
        ];
        for (rank, destination) in by_rank.iter().enumerate() {
            let sent = plan.events_a_second * weight(rank) / sum;
            let limited = rank < busiest && rng.random_bool(at_limit.min(1.0));
            let rate = if limited {
                sent * HEADROOM_AT_LIMIT
            } else {
                (sent * HEADROOM).max(LEAST_RATE)
            };
            let zone = (destination % u32::from(ZONES)) as u16;
            destinations[*destination as usize] = DestinationPlan { zone, rate };
        }
        let ranks = Zipf::new(by_rank.len() as f64, plan.skew).ok();
        Layout {
            destinations,
            by_rank,
            ranks,
        }
    }

    /// The destination of the next message.
    pub fn draw(&self, rng: &mut Pcg64Mcg) -> u32 {
        let rank = self.ranks.map_or(0, |ranks| ranks.sample(rng) as usize - 1);
        self.by_rank[rank.min(self.by_rank.len() - 1)]
    }

    /// The line of the list for a destination; `holder` counts its addresses so far, `rate` is what is told of it.
    pub fn listing(
        &self,
        destination: u32,
        holder: u32,
        rate: f64,
        standing: EndpointStatus,
    ) -> EndpointEntry {
        EndpointEntry {
            endpoint: target(destination, holder),
            zone: ZoneId(self.destinations[destination as usize].zone),
            up_since: 0,
            status: standing,
            rate: rate as f32,
            destination: DestinationId(destination),
            kind: EndpointKindId(0),
        }
    }
}

/// The target of a destination: its address, in the net 10, names the destination.
pub fn target(destination: u32, holder: u32) -> EndpointId {
    let [_, high, middle, low] = destination.to_be_bytes();
    EndpointId {
        address: [NET, high, middle, low],
        port: HTTPS,
        incarnation: holder,
    }
}

/// The destination whose target this is.
pub fn destination_of(target: EndpointId) -> u32 {
    let [_, high, middle, low] = target.address;
    u32::from_be_bytes([0, high, middle, low])
}

/// The zone of a forwarder.
pub fn forwarder_zone(forwarder: u32) -> u16 {
    (forwarder % u32::from(ZONES)) as u16
}

/// The region of a zone.
pub fn region(zone: u16) -> u16 {
    zone / ZONES_A_REGION
}
