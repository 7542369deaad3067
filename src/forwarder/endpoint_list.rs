//! Applies the endpoint list to destinations and endpoints.
//!
//! A list with more entries than destinations may be held in full is applied in chunks. The
//! destinations that a chunk restored or created are summarised before the next chunk.

use super::mailbox::{DestinationEvent, EndpointEvent};
use super::Forwarder;
use crate::endpoint::Endpoint;
use crate::idle::LIST_CHUNK_ENTRIES;
use crate::model::{
    Action, DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointListUpdate,
    EndpointStatus, Micros, ZoneId,
};
use std::collections::BTreeSet;

/// Number of destinations that an entry of the list may restore or create: the destination of the
/// entry, and the one to which the endpoint belonged before.
const DESTINATIONS_PER_ENTRY: usize = 2;

/// The properties of an endpoint that follow from its kind.
struct KindProperties {
    has_independent_limits: bool,
    batch_size: usize,
}

impl Forwarder {
    /// Applies an update of the endpoint list. The state stays unchanged if the update failed.
    pub(super) fn apply_list_update(
        &mut self,
        now: Micros,
        update: EndpointListUpdate,
        actions: &mut Vec<Action>,
    ) {
        let (mut entries, is_complete) = match update {
            EndpointListUpdate::Changes(entries) => (entries, false),
            EndpointListUpdate::Complete(entries) | EndpointListUpdate::Cached(entries) => {
                (entries, true)
            }
            EndpointListUpdate::Failed => return,
        };
        let mut missing_idle_entries = Vec::new();
        if is_complete {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
            entries.extend(self.missing_endpoints(&listed));
            missing_idle_entries = self.missing_idle_endpoints(&listed);
        }
        self.discard_removed(now, entries.len() + missing_idle_entries.len());
        if !self.exceeds_full_limit(entries.len()) && missing_idle_entries.is_empty() {
            for entry in entries {
                self.restore_and_apply_entry(now, entry);
            }
            return;
        }
        self.apply_in_chunks(now, entries, actions);
        self.apply_in_chunks(now, missing_idle_entries, actions);
    }

    /// Returns entries that remove the endpoints held in full that are not in `listed`.
    fn missing_endpoints(&self, listed: &BTreeSet<EndpointId>) -> Vec<EndpointEntry> {
        self.endpoints
            .iter()
            .filter(|(id, _)| !listed.contains(id))
            .map(|(id, e)| removed_entry(*id, ZoneId(e.snapshot.zone), e.destination))
            .collect()
    }

    /// Returns entries that remove the idle endpoints that are not in `listed`.
    fn missing_idle_endpoints(&self, listed: &BTreeSet<EndpointId>) -> Vec<EndpointEntry> {
        self.idle
            .listed()
            .filter(|idle| !listed.contains(&idle.endpoint))
            .map(|idle| removed_entry(idle.endpoint, idle.zone, idle.destination))
            .collect()
    }

    fn apply_in_chunks(
        &mut self,
        now: Micros,
        entries: Vec<EndpointEntry>,
        actions: &mut Vec<Action>,
    ) {
        let mut entries = entries.into_iter();
        while entries.len() > 0 {
            for entry in entries.by_ref().take(LIST_CHUNK_ENTRIES) {
                self.restore_and_apply_entry(now, entry);
            }
            self.drain_mailboxes(now, actions);
            self.summarise_idle_destinations(now, DESTINATIONS_PER_ENTRY * LIST_CHUNK_ENTRIES);
        }
    }

    /// Discards the endpoints that left the list at least the warm-up time ago and have no calls in
    /// flight. `entry_count` is the number of entries of the list that is applied.
    fn discard_removed(&mut self, now: Micros, entry_count: usize) {
        let discarded = self
            .endpoints
            .extract_if(.., |_, endpoint| endpoint.is_discardable(now));
        for (id, endpoint) in discarded {
            let event = DestinationEvent::EndpointDiscarded(id);
            self.mailboxes
                .send_to_destination(endpoint.destination, event);
        }
        self.idle.discard_removed(now, entry_count);
    }

    fn restore_and_apply_entry(&mut self, now: Micros, entry: EndpointEntry) {
        if self.apply_entry_to_summary(&entry) {
            return;
        }
        self.restore_destination_of(now, entry.endpoint);
        if entry.status != EndpointStatus::Removed {
            self.restore_destination(now, entry.destination);
        }
        self.apply_entry(now, entry);
    }

    fn apply_entry(&mut self, now: Micros, entry: EndpointEntry) {
        let kind = self.kind_properties(entry.kind);
        let cost = self.message_cost(entry.zone, kind.has_independent_limits);
        if entry.status != EndpointStatus::Removed {
            self.create_if_new(now, &entry, &kind);
            let event = DestinationEvent::EndpointListed {
                endpoint: entry.endpoint,
                rate: entry.rate.into(),
            };
            self.mailboxes.send_to_destination(entry.destination, event);
        }
        let event = EndpointEvent::Listed {
            zone: entry.zone,
            status: entry.status,
            cost,
        };
        self.mailboxes.send_to_endpoint(entry.endpoint, event);
    }

    /// Returns the properties of a kind. An unknown kind has the properties of the last configured
    /// one.
    fn kind_properties(&self, kind: EndpointKindId) -> KindProperties {
        let kinds = &self.config.endpoint_kinds;
        match kinds.get(kind.0 as usize).or(kinds.last()) {
            Some(kind) => KindProperties {
                has_independent_limits: kind.has_independent_limits,
                batch_size: kind.max_batch_size.max(1) as usize,
            },
            None => KindProperties {
                has_independent_limits: false,
                batch_size: 1,
            },
        }
    }

    /// Returns the cost of a message to an endpoint in the zone. Only endpoints with limits of
    /// their own have a cost.
    pub(super) fn message_cost(&self, zone: ZoneId, has_independent_limits: bool) -> f64 {
        if !has_independent_limits {
            return 0.0;
        }
        let cost = self.config.zone_costs.get(usize::from(zone.0));
        cost.copied().unwrap_or(0.0)
    }

    fn create_if_new(&mut self, now: Micros, entry: &EndpointEntry, kind: &KindProperties) {
        let exceeds_full_limit = self.exceeds_full_limit(1);
        let destination = self.destinations.entry(entry.destination).or_default();
        if destination.endpoints.is_empty() {
            destination.id = entry.destination;
            destination.has_independent_limits = kind.has_independent_limits;
            destination.batch_size = kind.batch_size;
        }
        // A new endpoint gets the same grace period for failed connections as one that has just
        // responded. Beyond the limit of destinations held in full there is no grace period, so
        // that the endpoint can be summarised at once.
        let last_response_at = if exceeds_full_limit { 0 } else { now };
        self.endpoints.entry(entry.endpoint).or_insert_with(|| {
            let mut endpoint = Endpoint::new(entry.endpoint, entry.destination, kind.batch_size);
            endpoint.failures.last_response_at = last_response_at;
            endpoint
        });
    }
}

fn removed_entry(endpoint: EndpointId, zone: ZoneId, destination: DestinationId) -> EndpointEntry {
    EndpointEntry {
        endpoint,
        zone,
        up_since: 0,
        status: EndpointStatus::Removed,
        rate: 0.0,
        destination,
        kind: EndpointKindId(0),
    }
}
