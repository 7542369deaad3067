//! The table of idle endpoints. It holds summaries and makes no decisions.

use super::{BindingState, EndpointSummary, StateCounts};
use crate::model::{DestinationId, EndpointId, EndpointStatus, Micros, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Bound, RangeInclusive};

/// Number of removed endpoints that a list may discard beyond one per entry. A table that has grown
/// larger than the list thereby shrinks again.
const MAX_EXTRA_DISCARDS_PER_LIST: usize = 1_024;
/// Upper bound on the binding states that one sweep checks. One event can add more: it may
/// summarise several destinations or apply a peer's rejection to one, and each destination adds up
/// to one binding state per endpoint. The table never holds more than one per idle endpoint.
const BINDING_STATES_PER_SWEEP: usize = 2;

const MIN_ENDPOINT_ID: EndpointId = EndpointId {
    address: [0; 4],
    port: 0,
    incarnation: 0,
};
const MAX_ENDPOINT_ID: EndpointId = EndpointId {
    address: [u8::MAX; 4],
    port: u16::MAX,
    incarnation: u32::MAX,
};

/// An idle endpoint that has not left the list.
pub(crate) struct IdleEndpoint {
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub destination: DestinationId,
}

/// All idle endpoints, and the queue of destinations to summarise. The forwarder owns the table.
#[derive(Default)]
pub(crate) struct IdleTable {
    summaries: BTreeMap<(DestinationId, EndpointId), EndpointSummary>,
    destination_by_endpoint: BTreeMap<EndpointId, DestinationId>,
    binding_states: BTreeMap<EndpointId, BindingState>,
    /// Endpoints that left the list, by the instant in µs from which each may be discarded.
    removed: BTreeSet<(Micros, EndpointId)>,
    /// Destinations held in full, by the instant in µs from which each may be summarised.
    summary_queue: BTreeSet<(Micros, DestinationId)>,
    /// The endpoint whose binding state was checked last. `None` at the start of a sweep.
    last_swept: Option<EndpointId>,
    most_full: usize,
    restored: u64,
    summarised: u64,
}

fn summary_keys_of(id: DestinationId) -> RangeInclusive<(DestinationId, EndpointId)> {
    (id, MIN_ENDPOINT_ID)..=(id, MAX_ENDPOINT_ID)
}

impl IdleTable {
    /// Returns whether the destination is idle.
    pub fn contains(&self, id: DestinationId) -> bool {
        self.summaries.range(summary_keys_of(id)).next().is_some()
    }

    /// Returns the endpoints of an idle destination, or none if it is not idle.
    pub fn endpoints_of(&self, id: DestinationId) -> Vec<EndpointId> {
        let summaries = self.summaries.range(summary_keys_of(id));
        summaries.map(|((_, endpoint), _)| *endpoint).collect()
    }

    /// Returns the destination of an idle endpoint.
    pub fn destination_of(&self, endpoint: EndpointId) -> Option<DestinationId> {
        self.destination_by_endpoint.get(&endpoint).copied()
    }

    /// Returns the summary of an idle endpoint.
    pub fn summary(&self, id: DestinationId, endpoint: EndpointId) -> Option<&EndpointSummary> {
        self.summaries.get(&(id, endpoint))
    }

    /// Returns the summary of an idle endpoint for modification.
    pub fn summary_mut(
        &mut self,
        id: DestinationId,
        endpoint: EndpointId,
    ) -> Option<&mut EndpointSummary> {
        self.summaries.get_mut(&(id, endpoint))
    }

    /// Returns the binding state of an idle endpoint, if it has any.
    pub fn binding_state(&self, endpoint: EndpointId) -> Option<&BindingState> {
        self.binding_states.get(&endpoint)
    }

    /// Returns the binding state of an idle endpoint for modification. Creates one without
    /// restrictions if there is none.
    pub fn binding_state_mut(&mut self, endpoint: EndpointId) -> &mut BindingState {
        self.binding_states.entry(endpoint).or_default()
    }

    /// Returns the only endpoint of an idle destination, with its summary. Returns `None` if the
    /// destination has several endpoints or is not idle.
    pub fn single_summary_mut(
        &mut self,
        id: DestinationId,
    ) -> Option<(EndpointId, &mut EndpointSummary)> {
        let mut summaries = self.summaries.range_mut(summary_keys_of(id));
        let ((_, endpoint), summary) = summaries.next()?;
        summaries.next().is_none().then_some((*endpoint, summary))
    }

    /// Returns all idle endpoints that have not left the list.
    pub fn listed(&self) -> impl Iterator<Item = IdleEndpoint> + '_ {
        self.summaries
            .iter()
            .filter(|(_, summary)| summary.status != EndpointStatus::Removed)
            .map(|((destination, endpoint), summary)| IdleEndpoint {
                endpoint: *endpoint,
                zone: ZoneId(summary.zone),
                destination: *destination,
            })
    }

    /// Adds an endpoint. Its destination must not be held in full any more.
    pub fn insert(
        &mut self,
        id: DestinationId,
        endpoint: EndpointId,
        summary: EndpointSummary,
        binding_state: Option<BindingState>,
    ) {
        if summary.status == EndpointStatus::Removed {
            let retained_until = binding_state
                .as_ref()
                .map_or(0, |state| state.retained_until);
            self.removed.insert((retained_until, endpoint));
        }
        self.destination_by_endpoint.insert(endpoint, id);
        self.summaries.insert((id, endpoint), summary);
        if let Some(binding_state) = binding_state {
            self.binding_states.insert(endpoint, binding_state);
        }
    }

    /// Removes an endpoint and returns its summary and binding state. Returns `None` if the
    /// endpoint is not idle.
    pub fn remove(
        &mut self,
        id: DestinationId,
        endpoint: EndpointId,
    ) -> Option<(EndpointSummary, Option<BindingState>)> {
        let summary = self.summaries.remove(&(id, endpoint))?;
        self.destination_by_endpoint.remove(&endpoint);
        let binding_state = self.binding_states.remove(&endpoint);
        let retained_until = binding_state
            .as_ref()
            .map_or(0, |state| state.retained_until);
        self.removed.remove(&(retained_until, endpoint));
        Some((summary, binding_state))
    }

    /// Discards the endpoints whose retention has ended. A paused endpoint is retained until its
    /// pause ends. `entry_count` is the number of entries of the list that is applied.
    pub fn discard_removed(&mut self, now: Micros, entry_count: usize) {
        for _ in 0..entry_count + MAX_EXTRA_DISCARDS_PER_LIST {
            let Some((due_at, endpoint)) = self.removed.first().copied() else {
                return;
            };
            if due_at > now {
                return;
            }
            self.removed.remove(&(due_at, endpoint));
            match self.binding_states.get_mut(&endpoint) {
                Some(binding_state) if binding_state.paused_until > now => {
                    binding_state.retained_until = binding_state.paused_until;
                    self.removed.insert((binding_state.paused_until, endpoint));
                }
                _ => {
                    let id = self.destination_of(endpoint).unwrap_or_default();
                    self.remove(id, endpoint);
                }
            }
        }
    }

    /// Checks the next binding states and removes those that have no effect any more.
    pub fn sweep(&mut self, now: Micros, warm_up_time: Micros) {
        for _ in 0..BINDING_STATES_PER_SWEEP {
            let from = self.last_swept.map_or(Bound::Unbounded, Bound::Excluded);
            let next = self.binding_states.range((from, Bound::Unbounded)).next();
            let Some((endpoint, binding_state)) = next else {
                self.last_swept = None;
                return;
            };
            let endpoint = *endpoint;
            let is_retained = self
                .removed
                .contains(&(binding_state.retained_until, endpoint));
            let is_needed = binding_state.is_binding(now, warm_up_time) || is_retained;
            self.last_swept = Some(endpoint);
            if !is_needed {
                self.binding_states.remove(&endpoint);
            }
        }
    }

    /// Adds a destination that may be summarised from `due_at` on.
    pub fn enqueue(&mut self, due_at: Micros, id: DestinationId) {
        self.summary_queue.insert((due_at, id));
    }

    /// Removes a destination that was added with `due_at`.
    pub fn dequeue(&mut self, due_at: Micros, id: DestinationId) {
        self.summary_queue.remove(&(due_at, id));
    }

    /// Returns the destination that has been due for longest.
    pub fn next_due(&self, now: Micros) -> Option<DestinationId> {
        let (due_at, id) = self.summary_queue.first().copied()?;
        (due_at <= now).then_some(id)
    }

    /// Counts a destination whose summaries were turned back into full state.
    pub fn count_restored(&mut self) {
        self.restored += 1;
    }

    /// Counts a destination whose full state was reduced to summaries.
    pub fn count_summarised(&mut self) {
        self.summarised += 1;
    }

    /// Updates the maximum of the destinations held in full.
    pub fn count_full(&mut self, full_destinations: usize) {
        self.most_full = self.most_full.max(full_destinations);
    }

    /// Returns the counts of the table. `full_destinations` is the number of destinations held in
    /// full.
    pub fn counts(&self, full_destinations: usize) -> StateCounts {
        StateCounts {
            full: full_destinations,
            most_full: self.most_full,
            summaries: self.summaries.len(),
            bounds: self.binding_states.len(),
            gone: self.removed.len(),
            queued: self.summary_queue.len(),
            restored: self.restored,
            summarised: self.summarised,
        }
    }
}
