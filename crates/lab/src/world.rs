//! The layout of a scenario: its groups expanded into numbered destinations, endpoints and rate limiters. The simulated
//! clock and sockets use the same layout.

use crate::random::seeded_rng;
use crate::scenario::{Destination, FaultScope, Scenario};
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use rand::Rng;

/// Number of zones. The endpoints of a destination are assigned to them in rotation.
const ZONE_COUNT: u32 = 2;
/// Port of every simulated endpoint.
const ENDPOINT_PORT: u16 = 80;

/// The position of a destination in the layout.
#[derive(Clone, Debug)]
pub struct LayoutDestination {
    /// Index of the destination's group in the scenario.
    pub group_index: usize,
    /// Number of the destination in its group, from 0.
    pub number: u32,
    /// Indices of the destination's endpoints in the layout.
    pub endpoints: std::ops::Range<usize>,
}

/// The position of an endpoint in the layout: its destination, its zone, and the rate limiter that its calls pass.
#[derive(Clone, Copy, Debug)]
pub struct LayoutEndpoint {
    /// Index of the endpoint's destination in the layout.
    pub destination: u32,
    /// Index of the destination's group in the scenario.
    pub group_index: usize,
    /// Number of the endpoint in its destination, from 0.
    pub number: u32,
    /// Zone of the endpoint, 0 or 1.
    pub zone: u16,
    /// Index of the endpoint's rate limiter. Endpoints without independent limits share the limiter of their destination.
    pub limiter_index: usize,
}

/// All destinations and endpoints of a scenario. The layout doesn't change during a run.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Destinations, by their index.
    pub destinations: Vec<LayoutDestination>,
    /// Endpoints, by their index.
    pub endpoints: Vec<LayoutEndpoint>,
    /// Number of rate limiters.
    pub limiter_count: usize,
}

impl Layout {
    /// Expands the groups of a scenario, in the order of the file.
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

    /// Returns the ID of an endpoint in the endpoint list. The index is encoded in the address and must be below 2^24;
    /// endpoints that use the same address one after the other differ in `incarnation`.
    pub fn endpoint_id(endpoint_index: usize, incarnation: u32) -> EndpointId {
        let [_, b, c, d] = (endpoint_index as u32).to_be_bytes();
        EndpointId {
            address: [10, b, c, d],
            port: ENDPOINT_PORT,
            incarnation,
        }
    }

    /// Returns the index of the endpoint with this ID.
    pub fn endpoint_index(id: EndpointId) -> usize {
        let [_, b, c, d] = id.address;
        u32::from_be_bytes([0, b, c, d]) as usize
    }

    /// Returns the entry of an endpoint in the endpoint list. `groups` must be the groups of the scenario of this layout.
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

    /// Returns the indices of the endpoints that a fault affects, in ascending order. `fault_index` is the index of the
    /// fault in the scenario; equal arguments give the same endpoints.
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

    /// Whether all criteria of the scope but `share` admit the endpoint.
    fn in_scope(&self, scenario: &Scenario, scope: &FaultScope, endpoint: &LayoutEndpoint) -> bool {
        let destination = &self.destinations[endpoint.destination as usize];
        let name = &scenario.destinations[endpoint.group_index].name;
        empty_or_contains(&scope.destinations, name)
            && empty_or_contains(&scope.numbers, &destination.number)
            && empty_or_contains(&scope.endpoints, &endpoint.number)
            && scope.zone.is_none_or(|zone| zone == endpoint.zone)
    }

    /// Returns the numbers of the forwarders that a fault affects, in ascending order. `fault_index` is the index of the
    /// fault in the scenario; equal arguments give the same forwarders.
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

/// Whether a criterion admits the item: an empty list admits all.
fn empty_or_contains<T: PartialEq>(list: &[T], item: &T) -> bool {
    list.is_empty() || list.contains(item)
}

/// Returns the items that are affected, each drawn independently with the probability `share` of the scope.
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
