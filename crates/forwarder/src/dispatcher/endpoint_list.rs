//! The dispatcher's table of the endpoints in the latest list. A cached list is withheld from the core after a start, until
//! discovery has confirmed it.

use super::Dispatcher;
use opalpulley::list_confirmation::suspended_entry;
use opalpulley::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointListUpdate, EndpointStatus,
    Event, Micros, ZoneId,
};
use slog::warn;
use std::collections::btree_map::Entry;

/// The entry of an endpoint in the latest list without the endpoint's id, which is the key in the dispatcher's table. The
/// table holds one for each listed endpoint, so its size matters.
pub struct ListedEndpoint {
    /// Zone in which the endpoint runs.
    pub zone: ZoneId,
    kind: EndpointKindId,
    status: EndpointStatus,
    rate: f32,
    destination: DestinationId,
    up_since: Micros,
}

impl ListedEndpoint {
    /// Returns the entry of the list from which this value was created.
    pub fn to_entry(&self, endpoint: EndpointId) -> EndpointEntry {
        EndpointEntry {
            endpoint,
            zone: self.zone,
            up_since: self.up_since,
            status: self.status,
            rate: self.rate,
            destination: self.destination,
            kind: self.kind,
        }
    }
}

impl From<&EndpointEntry> for ListedEndpoint {
    fn from(entry: &EndpointEntry) -> ListedEndpoint {
        ListedEndpoint {
            zone: entry.zone,
            kind: entry.kind,
            status: entry.status,
            rate: entry.rate,
            destination: entry.destination,
            up_since: entry.up_since,
        }
    }
}

impl Dispatcher {
    /// Withholds the list of an earlier process from the core, which gets a list only from discovery. Clients may submit
    /// messages to the destinations of the withheld list meanwhile, but nothing is sent to its endpoints.
    pub fn withhold_cached_list(&mut self, entries: &[EndpointEntry]) {
        // The core schedules its first poll on its first event.
        let empty_list = EndpointListUpdate::Cached(Vec::new());
        self.handle_event(Event::EndpointListUpdated(empty_list));
        self.add_known_destinations(entries);
    }

    /// Applies an update from discovery to the table of endpoints and passes it to the core. Then submits the messages of a
    /// previous run if they still wait for a list; a failed update ends the wait too.
    pub(super) fn update_endpoint_list(&mut self, update: EndpointListUpdate) {
        match &update {
            EndpointListUpdate::Complete(entries) | EndpointListUpdate::Cached(entries) => {
                self.replace_list(entries);
            }
            EndpointListUpdate::Changes(entries) => self.apply_list_changes(entries),
            EndpointListUpdate::Failed => {}
        }
        self.handle_event(Event::EndpointListUpdated(update));
        self.submit_recovered_messages();
    }

    /// Stops attempts and health checks by the list in force until the next complete list.
    pub(super) fn suspend_endpoint_list(&mut self) {
        let ready = self
            .listed_endpoints
            .iter()
            .filter(|(_, listed)| listed.status == EndpointStatus::Ready);
        let suspended: Vec<EndpointEntry> = ready
            .map(|(endpoint, listed)| suspended_entry(listed.to_entry(*endpoint)))
            .collect();
        warn!(self.log, "endpoint list suspended: the new platform agent has sent no list";
            "endpoints" => suspended.len());
        self.update_endpoint_list(EndpointListUpdate::Changes(suspended));
    }

    fn add_known_destinations(&mut self, entries: &[EndpointEntry]) {
        let mut destinations = entries.iter().map(|entry| entry.destination).collect();
        self.known_destinations.append(&mut destinations);
    }

    /// Replaces the table by a complete list. Endpoints that are no longer listed stay as removed endpoints while they
    /// have outstanding attempts.
    ///
    /// Both maps are built from the complete sorted list, which fills their nodes. Inserting one entry at a time would
    /// take twice the memory.
    fn replace_list(&mut self, entries: &[EndpointEntry]) {
        self.add_known_destinations(entries);
        let current = entries
            .iter()
            .map(|entry| (entry.endpoint, ListedEndpoint::from(entry)))
            .collect();
        let previous = std::mem::replace(&mut self.listed_endpoints, current);
        for (endpoint, listed) in previous {
            if let Entry::Vacant(vacant) = self.listed_endpoints.entry(endpoint) {
                vacant.insert(ListedEndpoint {
                    status: EndpointStatus::Removed,
                    ..listed
                });
                self.purge_if_removed(endpoint);
            }
        }
        for entry in entries {
            self.purge_if_removed(entry.endpoint);
        }
    }

    /// Applies changed entries to the table. The work is proportional to the changes, not to the list.
    fn apply_list_changes(&mut self, entries: &[EndpointEntry]) {
        for entry in entries {
            self.known_destinations.insert(entry.destination);
            self.listed_endpoints.insert(entry.endpoint, entry.into());
            self.purge_if_removed(entry.endpoint);
        }
    }

    /// Drops an endpoint and its actor if the endpoint was removed from the list and has no outstanding attempt.
    pub(super) fn purge_if_removed(&mut self, endpoint: EndpointId) {
        let removed = self
            .listed_endpoints
            .get(&endpoint)
            .is_some_and(|listed| listed.status == EndpointStatus::Removed);
        if removed && self.endpoint_actors.outstanding_attempt_count(endpoint) == 0 {
            self.listed_endpoints.remove(&endpoint);
            self.endpoint_actors.stop(endpoint);
        }
    }
}
