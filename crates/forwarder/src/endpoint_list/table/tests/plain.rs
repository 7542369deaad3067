//! A plain table that the compact one is compared with.

use super::*;

/// The same by two plain maps, with whole ids and members. The compact table must not differ from it.
#[derive(Default)]
pub struct PlainTable {
    /// The revision of the latest document.
    pub revision: Option<u64>,
    /// The members, by id.
    pub members: BTreeMap<String, EndpointEntry>,
    ids_by_address: BTreeMap<SocketAddrV4, String>,
    last_incarnation: u32,
}

impl PlainTable {
    /// The same as [`EndpointTable::take`].
    pub fn apply(
        &mut self,
        document: EndpointListDocument,
        names: &Names,
    ) -> Option<EndpointListUpdate> {
        if !document.complete && self.revision.is_some_and(|r| document.revision < r) {
            return None;
        }
        self.revision = Some(document.revision);
        let mut before: BTreeMap<String, Option<EndpointEntry>> = BTreeMap::new();
        if document.complete {
            self.ids_by_address.clear();
            before = std::mem::take(&mut self.members)
                .into_iter()
                .map(|(id, old)| (id, Some(old)))
                .collect();
        }
        for member in document.members {
            let id = member.id.to_string();
            let old = before
                .entry(id.clone())
                .or_insert_with(|| self.members.get(&id).cloned())
                .clone();
            let other = self
                .ids_by_address
                .get(&member.address)
                .filter(|id_there| **id_there != id)
                .cloned();
            if member.phase == Phase::Gone {
                self.remove(&id);
            } else if other.is_none() || member.phase == Phase::Ready {
                let mut entry = member.to_entry(0, names);
                let same = old.filter(|old| {
                    (Address::of(old), old.destination) == (Address::of(&entry), entry.destination)
                });
                if let Some(other) = other {
                    let removed = self.remove(&other);
                    before.entry(other).or_insert(removed);
                }
                entry.endpoint.incarnation = same.map_or_else(
                    || {
                        self.last_incarnation += 1;
                        self.last_incarnation
                    },
                    |old| old.endpoint.incarnation,
                );
                self.remove(&id);
                self.ids_by_address.insert(member.address, id.clone());
                self.members.insert(id, entry);
            }
        }
        if document.complete {
            return Some(EndpointListUpdate::Complete(
                self.members.values().cloned().collect(),
            ));
        }
        let was = before
            .iter()
            .filter_map(|(id, old)| Some((id, old.as_ref()?)));
        let removed = was.filter(|(id, old)| {
            self.members
                .get(*id)
                .is_none_or(|n| n.endpoint != old.endpoint)
        });
        let removed = removed.map(|(_, old)| EndpointEntry {
            status: EndpointStatus::Removed,
            ..old.clone()
        });
        let changed = before
            .iter()
            .filter_map(|(id, old)| self.members.get(id).filter(|now| old.as_ref() != Some(now)));
        let entries: Vec<EndpointEntry> = removed.chain(changed.cloned()).collect();
        (!entries.is_empty()).then_some(EndpointListUpdate::Changes(entries))
    }

    fn remove(&mut self, id: &str) -> Option<EndpointEntry> {
        let removed = self.members.remove(id)?;
        let at = SocketAddrV4::new(removed.endpoint.address.into(), removed.endpoint.port);
        if self
            .ids_by_address
            .get(&at)
            .is_some_and(|id_there| id_there == id)
        {
            self.ids_by_address.remove(&at);
        }
        Some(removed)
    }
}
