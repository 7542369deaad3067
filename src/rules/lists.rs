//! Applies the membership list to destinations and endpoints. `Forwarder::handle` calls it with each list; it owns no
//! state. A list that names more than may be held in full is applied in chunks, and what a chunk has restored or created
//! is summarised again before the next one.

use super::idle::LIST_CHUNK;
use super::{Endpoint, Forwarder, ToDestination, ToEndpoint};
use crate::model::*;
use std::collections::BTreeSet;

impl Forwarder {
    pub(super) fn list(
        &mut self,
        now: Micros,
        news: EndpointListUpdate,
        actions: &mut Vec<Action>,
    ) {
        let (mut entries, whole) = match news {
            EndpointListUpdate::Changes(entries) => (entries, false),
            EndpointListUpdate::Complete(entries) | EndpointListUpdate::Cached(entries) => {
                (entries, true)
            }
            EndpointListUpdate::Failed => return,
        };
        let mut missing_idle = Vec::new();
        if whole {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            let missing = self.endpoints.iter().filter(|(id, _)| !named.contains(id));
            entries.extend(missing.map(|(id, t)| gone(*id, ZoneId(t.card.zone), t.destination)));
            missing_idle = self
                .idle
                .listed()
                .filter(|(id, ..)| !named.contains(id))
                .collect();
        }
        self.forget_gone(now, entries.len() + missing_idle.len());
        if !self.is_beyond_full(entries.len()) && missing_idle.is_empty() {
            return entries
                .into_iter()
                .for_each(|entry| self.restore_and_apply(now, entry));
        }
        let mut entries = entries.into_iter();
        while entries.len() > 0 {
            let chunk = entries.by_ref().take(LIST_CHUNK);
            chunk.for_each(|entry| self.restore_and_apply(now, entry));
            self.settle(now, actions);
            self.summarise_idle(now, 2 * LIST_CHUNK);
        }
        for chunk in missing_idle.chunks(LIST_CHUNK) {
            for &(endpoint, zone, destination) in chunk {
                self.restore_and_apply(now, gone(endpoint, zone, destination));
            }
            self.settle(now, actions);
            self.summarise_idle(now, 2 * LIST_CHUNK);
        }
    }

    /// Forgets the endpoints that have been gone for the warm-up time and have nothing under way.
    fn forget_gone(&mut self, now: Micros, entries: usize) {
        let idle = |t: &Endpoint| t.calls.is_empty() && now >= t.next_health_check;
        let left = self
            .endpoints
            .extract_if(.., |_, t| t.standing == EndpointStatus::Removed && idle(t));
        let notes = left.map(|(id, endpoint)| (endpoint.destination, ToDestination::Left(id)));
        self.mailboxes.destinations.extend(notes);
        self.idle.forget_gone(now, entries);
    }

    fn restore_and_apply(&mut self, now: Micros, entry: EndpointEntry) {
        if self.relist_idle(&entry) {
            return;
        }
        self.restore_endpoint(now, entry.endpoint);
        if entry.status != EndpointStatus::Removed {
            self.restore(now, entry.destination);
        }
        self.apply(now, entry);
    }

    fn apply(&mut self, now: Micros, entry: EndpointEntry) {
        let EndpointEntry {
            endpoint,
            zone,
            status: standing,
            rate,
            destination,
            kind,
            ..
        } = entry;
        let kind = self
            .config
            .endpoint_kinds
            .get(kind.0 as usize)
            .or(self.config.endpoint_kinds.last());
        let (apart, per_call) = kind.map_or((false, 1), |k| {
            (k.independent_limits, k.batch_size.max(1) as usize)
        });
        let fee = self
            .config
            .zone_costs
            .get(zone.0 as usize)
            .filter(|_| apart)
            .copied()
            .unwrap_or(0.0);
        if standing != EndpointStatus::Removed {
            let beyond = self.is_beyond_full(1);
            let d = self.destinations.entry(destination).or_default();
            if d.cards.is_empty() {
                (d.id, d.apart, d.per_call) = (destination, apart, per_call);
            }
            // Beyond what is held in full it is as one that was listed long ago: it is summarised at once.
            let answered = if beyond { 0 } else { now };
            let fresh = Endpoint {
                id: endpoint,
                destination,
                per_call,
                answered,
                ..Endpoint::default()
            };
            self.endpoints.entry(endpoint).or_insert(fresh);
            let note = ToDestination::Listed {
                endpoint,
                rate: rate.into(),
            };
            self.mailboxes.destinations.push_back((destination, note));
        }
        self.mailboxes.endpoints.push_back((
            endpoint,
            ToEndpoint::Listed {
                zone,
                standing,
                fee,
            },
        ));
    }
}

fn gone(endpoint: EndpointId, zone: ZoneId, destination: DestinationId) -> EndpointEntry {
    let (standing, kind) = (EndpointStatus::Removed, EndpointKindId(0));
    EndpointEntry {
        endpoint,
        zone,
        up_since: 0,
        status: standing,
        rate: 0.0,
        destination,
        kind,
    }
}
