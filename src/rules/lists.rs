//! Applies the membership list to destinations and targets. `Forwarder::handle` calls it with each list; it owns no
//! state. A list that names more than may be held in full is applied in chunks, and what a chunk has restored or created
//! is summarised again before the next one.

use super::idle::LIST_CHUNK;
use super::{Forwarder, Target, ToDestination, ToTarget};
use crate::interface::*;
use std::collections::BTreeSet;

impl Forwarder {
    pub(super) fn list(&mut self, now: Micros, news: ListNews, actions: &mut Vec<Action>) {
        let (mut entries, whole) = match news {
            ListNews::Changes(entries) => (entries, false),
            ListNews::Whole(entries) | ListNews::Cached(entries) => (entries, true),
            ListNews::Failed => return,
        };
        let mut missing_idle = Vec::new();
        if whole {
            let named: BTreeSet<TargetId> = entries.iter().map(|e| e.target).collect();
            let missing = self.targets.iter().filter(|(id, _)| !named.contains(id));
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
            for &(target, zone, destination) in chunk {
                self.restore_and_apply(now, gone(target, zone, destination));
            }
            self.settle(now, actions);
            self.summarise_idle(now, 2 * LIST_CHUNK);
        }
    }

    /// Forgets the targets that have been gone for the warm-up time and have nothing under way.
    fn forget_gone(&mut self, now: Micros, entries: usize) {
        let idle = |t: &Target| t.calls.is_empty() && now >= t.next_probe;
        let left = self
            .targets
            .extract_if(.., |_, t| t.standing == Standing::Gone && idle(t));
        let notes = left.map(|(id, target)| (target.destination, ToDestination::Left(id)));
        self.mailboxes.destinations.extend(notes);
        self.idle.forget_gone(now, entries);
    }

    fn restore_and_apply(&mut self, now: Micros, entry: Listing) {
        if self.relist_idle(&entry) {
            return;
        }
        self.restore_target(now, entry.target);
        if entry.standing != Standing::Gone {
            self.restore(now, entry.destination);
        }
        self.apply(now, entry);
    }

    fn apply(&mut self, now: Micros, entry: Listing) {
        let Listing {
            target,
            zone,
            standing,
            rate,
            destination,
            kind,
            ..
        } = entry;
        let kind = self
            .config
            .kinds
            .get(kind.0 as usize)
            .or(self.config.kinds.last());
        let (apart, per_call) =
            kind.map_or((false, 1), |k| (k.routes_apart, k.per_call.max(1) as usize));
        let fee = self
            .config
            .zone_fees
            .get(zone.0 as usize)
            .filter(|_| apart)
            .copied()
            .unwrap_or(0.0);
        if standing != Standing::Gone {
            let beyond = self.is_beyond_full(1);
            let d = self.destinations.entry(destination).or_default();
            if d.cards.is_empty() {
                (d.id, d.apart, d.per_call) = (destination, apart, per_call);
            }
            // Beyond what is held in full it is as one that was listed long ago: it is summarised at once.
            let answered = if beyond { 0 } else { now };
            let fresh = Target {
                id: target,
                destination,
                per_call,
                answered,
                ..Target::default()
            };
            self.targets.entry(target).or_insert(fresh);
            let note = ToDestination::Listed {
                target,
                rate: rate.into(),
            };
            self.mailboxes.destinations.push_back((destination, note));
        }
        self.mailboxes.targets.push_back((
            target,
            ToTarget::Listed {
                zone,
                standing,
                fee,
            },
        ));
    }
}

fn gone(target: TargetId, zone: ZoneId, destination: DestinationId) -> Listing {
    let (standing, kind) = (Standing::Gone, KindId(0));
    Listing {
        target,
        zone,
        since: 0,
        standing,
        rate: 0.0,
        destination,
        kind,
    }
}
