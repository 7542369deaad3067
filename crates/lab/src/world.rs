//! Who stands where: a scenario's groups counted out into destinations, targets and gates, the same for both clocks.

use crate::chance::stream;
use crate::scenario::{Destination, Scenario, Where};
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use rand::Rng;

/// One destination: its group in the file, its place in it, its targets.
#[derive(Clone, Debug)]
pub struct Place {
    pub group: usize,
    pub number: u32,
    pub targets: std::ops::Range<usize>,
}

/// One target: whose it is, its zone, and the gate (a limit and its waits) it stands behind.
#[derive(Clone, Copy, Debug)]
pub struct Spot {
    pub destination: u32,
    pub group: usize,
    pub place: u32,
    pub zone: u16,
    pub gate: usize,
}

#[derive(Clone, Debug)]
pub struct Layout {
    pub destinations: Vec<Place>,
    pub targets: Vec<Spot>,
    pub gates: usize,
}

impl Layout {
    pub fn new(scenario: &Scenario) -> Layout {
        let mut layout = Layout {
            destinations: Vec::new(),
            targets: Vec::new(),
            gates: 0,
        };
        for (group, d) in scenario.destinations.iter().enumerate() {
            for number in 0..d.count {
                let begin = layout.targets.len();
                let destination = layout.destinations.len() as u32;
                for place in 0..d.targets {
                    if place == 0 || d.routes_apart {
                        layout.gates += 1;
                    }
                    let (zone, gate) = ((place % 2) as u16, layout.gates - 1);
                    layout.targets.push(Spot {
                        destination,
                        group,
                        place,
                        zone,
                        gate,
                    });
                }
                layout.destinations.push(Place {
                    group,
                    number,
                    targets: begin..layout.targets.len(),
                });
            }
        }
        layout
    }

    /// How the list names a target; a new holder of its address has another number.
    pub fn id(target: usize, holder: u32) -> EndpointId {
        let [_, b, c, d] = (target as u32).to_be_bytes();
        EndpointId {
            address: [10, b, c, d],
            port: 80,
            incarnation: holder,
        }
    }

    pub fn target(id: EndpointId) -> usize {
        let [_, b, c, d] = id.address;
        u32::from_be_bytes([0, b, c, d]) as usize
    }

    pub fn listing(
        &self,
        groups: &[Destination],
        target: usize,
        holder: u32,
        standing: EndpointStatus,
    ) -> EndpointEntry {
        let spot = self.targets[target];
        let group = &groups[spot.group];
        EndpointEntry {
            endpoint: Layout::id(target, holder),
            zone: ZoneId(spot.zone),
            up_since: 0,
            status: standing,
            rate: group.rate as f32,
            destination: DestinationId(spot.destination),
            kind: EndpointKindId(u16::from(group.routes_apart)),
        }
    }

    /// The targets that a trouble strikes, in order.
    pub fn struck(&self, scenario: &Scenario, on: &Where, seed: u64, trouble: usize) -> Vec<usize> {
        let mut rng = stream(seed, "struck", trouble as u64);
        let named = |spot: &Spot| {
            let place = &self.destinations[spot.destination as usize];
            let name = &scenario.destinations[spot.group].name;
            (on.destinations.is_empty() || on.destinations.contains(name))
                && (on.numbers.is_empty() || on.numbers.contains(&place.number))
                && (on.targets.is_empty() || on.targets.contains(&spot.place))
                && on.zone.is_none_or(|z| z == spot.zone)
        };
        let share = on.share.unwrap_or(1.0).clamp(0.0, 1.0);
        let chosen = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, spot)| named(spot));
        chosen
            .map(|(n, _)| n)
            .filter(|_| share >= 1.0 || rng.random_bool(share))
            .collect()
    }

    pub fn struck_forwarders(
        scenario: &Scenario,
        on: &Where,
        seed: u64,
        trouble: usize,
    ) -> Vec<u32> {
        let mut rng = stream(seed, "struck", trouble as u64);
        let share = on.share.unwrap_or(1.0).clamp(0.0, 1.0);
        let named = |n: &u32| on.forwarders.is_empty() || on.forwarders.contains(n);
        (0..scenario.forwarders.count)
            .filter(named)
            .filter(|_| share >= 1.0 || rng.random_bool(share))
            .collect()
    }
}
