//! Who stands where: a scenario's groups counted out into destinations, endpoints and limiters, the same for both clocks.

use crate::chance::stream;
use crate::scenario::{Destination, FaultScope, Scenario};
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use rand::Rng;

/// Endpoints stand in so many zones in turn.
const ZONES: u32 = 2;
/// The port of every simulated endpoint.
const ENDPOINT_PORT: u16 = 80;

/// One destination: its group in the file, its number in it, its endpoints.
#[derive(Clone, Debug)]
pub struct DestinationPlace {
    /// The place of its group in the scenario.
    pub group: usize,
    /// Its number in the group.
    pub number: u32,
    /// Its endpoints in the layout.
    pub endpoints: std::ops::Range<usize>,
}

/// One endpoint: whose it is, its zone, and the limiter (a limit and its retry-after times) that it stands behind.
#[derive(Clone, Copy, Debug)]
pub struct EndpointPlace {
    /// The number of its destination.
    pub destination: u32,
    /// The place of its group in the scenario.
    pub group: usize,
    /// Its number in its destination.
    pub place: u32,
    /// Its zone.
    pub zone: u16,
    /// The number of its limiter.
    pub limiter: usize,
}

/// All destinations and endpoints of a scenario.
#[derive(Clone, Debug)]
pub struct Layout {
    /// By number.
    pub destinations: Vec<DestinationPlace>,
    /// By number.
    pub endpoints: Vec<EndpointPlace>,
    /// How many limiters there are.
    pub limiters: usize,
}

impl Layout {
    /// Counts out the groups of a scenario.
    pub fn new(scenario: &Scenario) -> Layout {
        let mut layout = Layout {
            destinations: Vec::new(),
            endpoints: Vec::new(),
            limiters: 0,
        };
        for (index, group) in scenario.destinations.iter().enumerate() {
            for number in 0..group.count {
                layout.add_destination(index, group, number);
            }
        }
        layout
    }

    fn add_destination(&mut self, group_index: usize, group: &Destination, number: u32) {
        let first_endpoint = self.endpoints.len();
        let destination = self.destinations.len() as u32;
        for place in 0..group.endpoints {
            if place == 0 || group.independent_limits {
                self.limiters += 1;
            }
            self.endpoints.push(EndpointPlace {
                destination,
                group: group_index,
                place,
                zone: (place % ZONES) as u16,
                limiter: self.limiters - 1,
            });
        }
        self.destinations.push(DestinationPlace {
            group: group_index,
            number,
            endpoints: first_endpoint..self.endpoints.len(),
        });
    }

    /// How the list names an endpoint; a new holder of its address has another number.
    pub fn id(endpoint: usize, holder: u32) -> EndpointId {
        let [_, b, c, d] = (endpoint as u32).to_be_bytes();
        EndpointId {
            address: [10, b, c, d],
            port: ENDPOINT_PORT,
            incarnation: holder,
        }
    }

    /// The number of the endpoint that the list names so.
    pub fn endpoint_index(id: EndpointId) -> usize {
        let [_, b, c, d] = id.address;
        u32::from_be_bytes([0, b, c, d]) as usize
    }

    /// What the list says of an endpoint. `groups` are the scenario's.
    pub fn listing(
        &self,
        groups: &[Destination],
        endpoint: usize,
        holder: u32,
        status: EndpointStatus,
    ) -> EndpointEntry {
        let place = self.endpoints[endpoint];
        let group = &groups[place.group];
        EndpointEntry {
            endpoint: Layout::id(endpoint, holder),
            zone: ZoneId(place.zone),
            up_since: 0,
            status,
            rate: group.rate as f32,
            destination: DestinationId(place.destination),
            kind: EndpointKindId(u16::from(group.independent_limits)),
        }
    }

    /// The endpoints that a fault strikes, in order. `fault` is its place in the scenario.
    pub fn endpoints_struck(
        &self,
        scenario: &Scenario,
        scope: &FaultScope,
        seed: u64,
        fault: usize,
    ) -> Vec<usize> {
        let endpoints = self.endpoints.iter().enumerate();
        let named = endpoints.filter(|(_, place)| self.is_named(scenario, scope, place));
        draw_share(named.map(|(index, _)| index), scope, seed, fault)
    }

    /// Whether the scope names this endpoint, whatever its share.
    fn is_named(&self, scenario: &Scenario, scope: &FaultScope, place: &EndpointPlace) -> bool {
        let destination = &self.destinations[place.destination as usize];
        let name = &scenario.destinations[place.group].name;
        all_or_contains(&scope.destinations, name)
            && all_or_contains(&scope.numbers, &destination.number)
            && all_or_contains(&scope.endpoints, &place.place)
            && scope.zone.is_none_or(|zone| zone == place.zone)
    }

    /// The forwarders that a fault strikes, in order. `fault` is its place in the scenario.
    pub fn forwarders_struck(
        scenario: &Scenario,
        scope: &FaultScope,
        seed: u64,
        fault: usize,
    ) -> Vec<u32> {
        let forwarders = 0..scenario.forwarders.count;
        let named = forwarders.filter(|number| all_or_contains(&scope.forwarders, number));
        draw_share(named, scope, seed, fault)
    }
}

/// Whether a list names this one; an empty list names all.
fn all_or_contains<T: PartialEq>(list: &[T], one: &T) -> bool {
    list.is_empty() || list.contains(one)
}

/// Those that the scope's share strikes, drawn one by one.
fn draw_share<T>(
    named: impl Iterator<Item = T>,
    scope: &FaultScope,
    seed: u64,
    fault: usize,
) -> Vec<T> {
    let mut chance = stream(seed, "struck", fault as u64);
    let share = scope.share.unwrap_or(1.0).clamp(0.0, 1.0);
    named
        .filter(|_| share >= 1.0 || chance.random_bool(share))
        .collect()
}
