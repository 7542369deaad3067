//! Who stands where: a scenario's groups counted out into destinations, endpoints and gates, the same for both clocks.

use crate::chance::stream;
use crate::scenario::{Destination, FaultScope, Scenario};
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use rand::Rng;

/// One destination: its group in the file, its place in it, its endpoints.
#[derive(Clone, Debug)]
pub struct DestinationPlace {
    pub group: usize,
    pub number: u32,
    pub endpoints: std::ops::Range<usize>,
}

/// One endpoint: whose it is, its zone, and the limiter (a limit and its waits) it stands behind.
#[derive(Clone, Copy, Debug)]
pub struct EndpointPlace {
    pub destination: u32,
    pub group: usize,
    pub place: u32,
    pub zone: u16,
    pub limiter: usize,
}

#[derive(Clone, Debug)]
pub struct Layout {
    pub destinations: Vec<DestinationPlace>,
    pub endpoints: Vec<EndpointPlace>,
    pub limiters: usize,
}

impl Layout {
    pub fn new(scenario: &Scenario) -> Layout {
        let mut layout = Layout {
            destinations: Vec::new(),
            endpoints: Vec::new(),
            limiters: 0,
        };
        for (group, d) in scenario.destinations.iter().enumerate() {
            for number in 0..d.count {
                let begin = layout.endpoints.len();
                let destination = layout.destinations.len() as u32;
                for place in 0..d.endpoints {
                    if place == 0 || d.independent_limits {
                        layout.limiters += 1;
                    }
                    let (zone, limiter) = ((place % 2) as u16, layout.limiters - 1);
                    layout.endpoints.push(EndpointPlace {
                        destination,
                        group,
                        place,
                        zone,
                        limiter,
                    });
                }
                layout.destinations.push(DestinationPlace {
                    group,
                    number,
                    endpoints: begin..layout.endpoints.len(),
                });
            }
        }
        layout
    }

    /// How the list names an endpoint; a new holder of its address has another number.
    pub fn id(endpoint: usize, holder: u32) -> EndpointId {
        let [_, b, c, d] = (endpoint as u32).to_be_bytes();
        EndpointId {
            address: [10, b, c, d],
            port: 80,
            incarnation: holder,
        }
    }

    pub fn endpoint(id: EndpointId) -> usize {
        let [_, b, c, d] = id.address;
        u32::from_be_bytes([0, b, c, d]) as usize
    }

    pub fn listing(
        &self,
        groups: &[Destination],
        endpoint: usize,
        holder: u32,
        status: EndpointStatus,
    ) -> EndpointEntry {
        let spot = self.endpoints[endpoint];
        let group = &groups[spot.group];
        EndpointEntry {
            endpoint: Layout::id(endpoint, holder),
            zone: ZoneId(spot.zone),
            up_since: 0,
            status,
            rate: group.rate as f32,
            destination: DestinationId(spot.destination),
            kind: EndpointKindId(u16::from(group.independent_limits)),
        }
    }

    /// The endpoints that a fault strikes, in order.
    pub fn endpoints_struck(
        &self,
        scenario: &Scenario,
        on: &FaultScope,
        seed: u64,
        fault: usize,
    ) -> Vec<usize> {
        let mut rng = stream(seed, "struck", fault as u64);
        let named = |spot: &EndpointPlace| {
            let place = &self.destinations[spot.destination as usize];
            let name = &scenario.destinations[spot.group].name;
            (on.destinations.is_empty() || on.destinations.contains(name))
                && (on.numbers.is_empty() || on.numbers.contains(&place.number))
                && (on.endpoints.is_empty() || on.endpoints.contains(&spot.place))
                && on.zone.is_none_or(|z| z == spot.zone)
        };
        let share = on.share.unwrap_or(1.0).clamp(0.0, 1.0);
        let chosen = self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, spot)| named(spot));
        chosen
            .map(|(n, _)| n)
            .filter(|_| share >= 1.0 || rng.random_bool(share))
            .collect()
    }

    pub fn forwarders_struck(
        scenario: &Scenario,
        on: &FaultScope,
        seed: u64,
        fault: usize,
    ) -> Vec<u32> {
        let mut rng = stream(seed, "struck", fault as u64);
        let share = on.share.unwrap_or(1.0).clamp(0.0, 1.0);
        let named = |n: &u32| on.forwarders.is_empty() || on.forwarders.contains(n);
        (0..scenario.forwarders.count)
            .filter(named)
            .filter(|_| share >= 1.0 || rng.random_bool(share))
            .collect()
    }
}
