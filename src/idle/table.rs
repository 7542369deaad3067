//! The table of idle endpoints. It holds summaries and decides nothing.

use super::{BindingState, StateCounts, Summary};
use crate::model::{DestinationId, EndpointId, EndpointStatus, Micros, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Bound, RangeInclusive};

/// Removed endpoints forgotten with each list, beyond one an entry: a table that outgrew a list
/// shrinks again.
const FORGOTTEN_PER_LIST: usize = 1_024;
/// Binding states looked at after each event: more than one event can add.
const SWEPT_PER_EVENT: usize = 2;

const FIRST_ENDPOINT: EndpointId = EndpointId {
    address: [0; 4],
    port: 0,
    incarnation: 0,
};
const LAST_ENDPOINT: EndpointId = EndpointId {
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

/// All idle endpoints, and the queue of destinations that may become idle.
#[derive(Default)]
pub(crate) struct IdleTable {
    summaries: BTreeMap<(DestinationId, EndpointId), Summary>,
    destinations: BTreeMap<EndpointId, DestinationId>,
    binding: BTreeMap<EndpointId, BindingState>,
    /// Endpoints that left the list, by when each is forgotten.
    removed: BTreeSet<(Micros, EndpointId)>,
    /// Full destinations that may be summarised, by when.
    queue: BTreeSet<(Micros, DestinationId)>,
    /// The last endpoint whose binding state was looked at.
    swept: Option<EndpointId>,
    most_full: usize,
    restored: u64,
    summarised: u64,
}

fn endpoints_of(id: DestinationId) -> RangeInclusive<(DestinationId, EndpointId)> {
    (id, FIRST_ENDPOINT)..=(id, LAST_ENDPOINT)
}

impl IdleTable {
    /// Whether the destination is idle.
    pub fn holds(&self, id: DestinationId) -> bool {
        self.summaries.range(endpoints_of(id)).next().is_some()
    }

    /// The endpoints of an idle destination.
    pub fn endpoints_of(&self, id: DestinationId) -> Vec<EndpointId> {
        let summaries = self.summaries.range(endpoints_of(id));
        summaries.map(|((_, endpoint), _)| *endpoint).collect()
    }

    /// The destination of an idle endpoint.
    pub fn destination_of(&self, endpoint: EndpointId) -> Option<DestinationId> {
        self.destinations.get(&endpoint).copied()
    }

    /// The summary of an endpoint.
    pub fn summary(&self, id: DestinationId, endpoint: EndpointId) -> Option<&Summary> {
        self.summaries.get(&(id, endpoint))
    }

    /// The same, to be changed.
    pub fn summary_mut(&mut self, id: DestinationId, endpoint: EndpointId) -> Option<&mut Summary> {
        self.summaries.get_mut(&(id, endpoint))
    }

    /// What binds an endpoint.
    pub fn binding(&self, endpoint: EndpointId) -> Option<&BindingState> {
        self.binding.get(&endpoint)
    }

    /// The same, to be changed; begins with nothing that binds.
    pub fn binding_mut(&mut self, endpoint: EndpointId) -> &mut BindingState {
        self.binding.entry(endpoint).or_default()
    }

    /// The summary of a destination's only endpoint, unless it has more.
    pub fn only_summary_mut(&mut self, id: DestinationId) -> Option<(EndpointId, &mut Summary)> {
        let mut summaries = self.summaries.range_mut(endpoints_of(id));
        let ((_, endpoint), summary) = summaries.next()?;
        summaries.next().is_none().then_some((*endpoint, summary))
    }

    /// All idle endpoints that have not left the list.
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

    /// Takes an endpoint in.
    pub fn insert(
        &mut self,
        id: DestinationId,
        endpoint: EndpointId,
        summary: Summary,
        binding: Option<BindingState>,
    ) {
        if summary.status == EndpointStatus::Removed {
            let remembered_until = binding.as_ref().map_or(0, |b| b.remembered_until);
            self.removed.insert((remembered_until, endpoint));
        }
        self.destinations.insert(endpoint, id);
        self.summaries.insert((id, endpoint), summary);
        if let Some(binding) = binding {
            self.binding.insert(endpoint, binding);
        }
    }

    /// Gives an endpoint away.
    pub fn remove(
        &mut self,
        id: DestinationId,
        endpoint: EndpointId,
    ) -> Option<(Summary, Option<BindingState>)> {
        let summary = self.summaries.remove(&(id, endpoint))?;
        self.destinations.remove(&endpoint);
        let binding = self.binding.remove(&endpoint);
        let remembered_until = binding.as_ref().map_or(0, |b| b.remembered_until);
        self.removed.remove(&(remembered_until, endpoint));
        Some((summary, binding))
    }

    /// Forgets endpoints that left the list long enough ago. A paused one is kept until its pause
    /// is over.
    pub fn forget_removed(&mut self, now: Micros, entries: usize) {
        for _ in 0..entries + FORGOTTEN_PER_LIST {
            let Some((at, endpoint)) = self.removed.first().copied() else {
                return;
            };
            if at > now {
                return;
            }
            self.removed.remove(&(at, endpoint));
            match self.binding.get_mut(&endpoint) {
                Some(binding) if binding.paused_until > now => {
                    binding.remembered_until = binding.paused_until;
                    self.removed.insert((binding.paused_until, endpoint));
                }
                _ => {
                    let id = self.destination_of(endpoint).unwrap_or_default();
                    self.remove(id, endpoint);
                }
            }
        }
    }

    /// Looks at the next few binding states and drops those that bind no more.
    pub fn sweep(&mut self, now: Micros, warm_up_time: Micros) {
        for _ in 0..SWEPT_PER_EVENT {
            let from = self.swept.map_or(Bound::Unbounded, Bound::Excluded);
            let next = self.binding.range((from, Bound::Unbounded)).next();
            let Some((endpoint, binding)) = next else {
                self.swept = None;
                return;
            };
            let endpoint = *endpoint;
            let is_remembered = self.removed.contains(&(binding.remembered_until, endpoint));
            let is_needed = binding.binds(now, warm_up_time) || is_remembered;
            self.swept = Some(endpoint);
            if !is_needed {
                self.binding.remove(&endpoint);
            }
        }
    }

    /// A full destination may be summarised from then on.
    pub fn enqueue(&mut self, at: Micros, id: DestinationId) {
        self.queue.insert((at, id));
    }

    /// A full destination that was queued for then is in use, or gone.
    pub fn dequeue(&mut self, at: Micros, id: DestinationId) {
        self.queue.remove(&(at, id));
    }

    /// The full destination that may be summarised and waits longest.
    pub fn next_due(&self, now: Micros) -> Option<DestinationId> {
        let (at, id) = self.queue.first().copied()?;
        (at <= now).then_some(id)
    }

    /// Counts a destination that was restored.
    pub fn count_restored(&mut self) {
        self.restored += 1;
    }

    /// Counts a destination that was summarised.
    pub fn count_summarised(&mut self) {
        self.summarised += 1;
    }

    /// Counts the destinations that are held in full.
    pub fn count_full(&mut self, full: usize) {
        self.most_full = self.most_full.max(full);
    }

    /// How much is held, beside so many full destinations.
    pub fn counts(&self, full: usize) -> StateCounts {
        StateCounts {
            full,
            most_full: self.most_full,
            summaries: self.summaries.len(),
            bounds: self.binding.len(),
            gone: self.removed.len(),
            queued: self.queue.len(),
            restored: self.restored,
            summarised: self.summarised,
        }
    }
}
