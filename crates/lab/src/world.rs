//! Who stands where: a scenario's groups counted out into destinations, endpoints and limiters, the same for both clocks.

use crate::random::seeded_rng;
use crate::scenario::{Destination, FaultScope, Scenario};
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use rand::Rng;

/// Endpoints stand in so many zones in turn.
const ZONE_COUNT: u32 = 2;
/// The port of every simulated endpoint.
const ENDPOINT_PORT: u16 = 80;

/// One destination: its group in the file, its number in it, its endpoints.
#[derive(Clone, Debug)]
pub struct LayoutDestination {
    /// The place of its group in the scenario.
    pub group_index: usize,
    /// Its number in the group.
    pub number: u32,
    /// Its endpoints in the layout.
    pub endpoints: std::ops::Range<usize>,
}

/// One endpoint: whose it is, its zone, and the limiter (a limit and its retry-after times) that it stands behind.
#[derive(Clone, Copy, Debug)]
pub struct LayoutEndpoint {
    /// The number of its destination.
    pub destination: u32,
    /// The place of its group in the scenario.
    pub group_index: usize,
    /// Its number in its destination.
    pub number: u32,
    /// Its zone.
    pub zone: u16,
    /// The number of its limiter.
    pub limiter_index: usize,
}

/// All destinations and endpoints of a scenario.
#[derive(Clone, Debug)]
pub struct Layout {
    /// By number.
    pub destinations: Vec<LayoutDestination>,
    /// By number.
    pub endpoints: Vec<LayoutEndpoint>,
    /// How many limiters there are.
    pub limiter_count: usize,
}

impl Layout {
    /// Counts out the groups of a scenario.
    pub fn new(scenario: &Scenario) -> Layout {
        let mut layout = Layout {
            destinations: Vec::new(),
            endpoints: Vec::new(),
            limiter_count: 0,
        };
        for (group_index, group) in scenario.destinations.iter().enumerate() {
            for number in 0..group.count {
                layout.add_destination(group_index, group, number);
            }
        }
        layout
    }

    fn add_destination(&mut self, group_index: usize, group: &Destination, number: u32) {
        let first_endpoint = self.endpoints.len();
        let destination = self.destinations.len() as u32;
        for endpoint_number in 0..group.endpoints {
            if endpoint_number == 0 || group.independent_limits {
                self.limiter_count += 1;
            }
            self.endpoints.push(LayoutEndpoint {
                destination,
                group_index,
                number: endpoint_number,
                zone: (endpoint_number % ZONE_COUNT) as u16,
                limiter_index: self.limiter_count - 1,
            });
        }
        self.destinations.push(LayoutDestination {
            group_index,
            number,
            endpoints: first_endpoint..self.endpoints.len(),
        });
    }

    /// How the list names an endpoint; a new incarnation of its address has another number.
    pub fn endpoint_id(endpoint_index: usize, incarnation: u32) -> EndpointId {
        let [_, b, c, d] = (endpoint_index as u32).to_be_bytes();
        EndpointId {
            address: [10, b, c, d],
            port: ENDPOINT_PORT,
            incarnation,
        }
    }

    /// The number of the endpoint that the list names so.
    pub fn endpoint_index(id: EndpointId) -> usize {
        let [_, b, c, d] = id.address;
        u32::from_be_bytes([0, b, c, d]) as usize
    }

    /// What the list says of an endpoint. `groups` are the scenario's.
    pub fn list_entry(
        &self,
        groups: &[Destination],
        endpoint_index: usize,
        incarnation: u32,
        status: EndpointStatus,
    ) -> EndpointEntry {
        let endpoint = self.endpoints[endpoint_index];
        let group = &groups[endpoint.group_index];
        EndpointEntry {
            endpoint: Layout::endpoint_id(endpoint_index, incarnation),
            zone: ZoneId(endpoint.zone),
            up_since: 0,
            status,
            rate: group.rate as f32,
            destination: DestinationId(endpoint.destination),
            kind: EndpointKindId(u16::from(group.independent_limits)),
        }
    }

    /// The endpoints that a fault strikes, in order. `fault` is its place in the scenario.
    pub fn affected_endpoints(
        &self,
        scenario: &Scenario,
        scope: &FaultScope,
        seed: u64,
        fault_index: usize,
    ) -> Vec<usize> {
        let endpoints = self.endpoints.iter().enumerate();
        let in_scope = endpoints.filter(|(_, endpoint)| self.in_scope(scenario, scope, endpoint));
        sample_share(in_scope.map(|(index, _)| index), scope, seed, fault_index)
    }

    /// Whether the scope names this endpoint, whatever its share.
    fn in_scope(&self, scenario: &Scenario, scope: &FaultScope, endpoint: &LayoutEndpoint) -> bool {
        let destination = &self.destinations[endpoint.destination as usize];
        let name = &scenario.destinations[endpoint.group_index].name;
        empty_or_contains(&scope.destinations, name)
            && empty_or_contains(&scope.numbers, &destination.number)
            && empty_or_contains(&scope.endpoints, &endpoint.number)
            && scope.zone.is_none_or(|zone| zone == endpoint.zone)
    }

    /// The forwarders that a fault strikes, in order. `fault` is its place in the scenario.
    pub fn affected_forwarders(
        scenario: &Scenario,
        scope: &FaultScope,
        seed: u64,
        fault_index: usize,
    ) -> Vec<u32> {
        let forwarders = 0..scenario.forwarders.count;
        let in_scope = forwarders.filter(|number| empty_or_contains(&scope.forwarders, number));
        sample_share(in_scope, scope, seed, fault_index)
    }
}

/// Whether a list names this one; an empty list names all.
fn empty_or_contains<T: PartialEq>(list: &[T], item: &T) -> bool {
    list.is_empty() || list.contains(item)
}

/// Those that the scope's share strikes, drawn one by one.
fn sample_share<T>(
    in_scope: impl Iterator<Item = T>,
    scope: &FaultScope,
    seed: u64,
    fault_index: usize,
) -> Vec<T> {
    let mut rng = seeded_rng(seed, "struck", fault_index as u64);
    let share = scope.share.unwrap_or(1.0).clamp(0.0, 1.0);
    in_scope
        .filter(|_| share >= 1.0 || rng.random_bool(share))
        .collect()
}
