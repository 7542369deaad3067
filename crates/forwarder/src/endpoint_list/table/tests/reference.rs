//! A simple reference table, with which the tests compare the compact [`EndpointTable`].

use super::*;

/// The reference table. It consists of two ordinary maps with whole ids and members, and its updates must equal those
/// of [`EndpointTable`].
#[derive(Default)]
pub struct ReferenceTable {
    /// Revision of the latest document.
    pub revision: Option<u64>,
    /// The members, by id.
    pub members: BTreeMap<String, EndpointEntry>,
    ids_by_address: BTreeMap<SocketAddrV4, String>,
    last_incarnation: u32,
}

impl ReferenceTable {
    /// Applies a document like [`EndpointTable::apply`].
    pub fn apply(
        &mut self,
        document: EndpointListDocument,
        names: &Names,
    ) -> Option<EndpointListUpdate> {
        if !document.complete && self.revision.is_some_and(|known| document.revision < known) {
            return None;
        }
        self.revision = Some(document.revision);
        let mut previous: BTreeMap<String, Option<EndpointEntry>> = BTreeMap::new();
        if document.complete {
            self.ids_by_address.clear();
            previous = std::mem::take(&mut self.members)
                .into_iter()
                .map(|(id, previous_entry)| (id, Some(previous_entry)))
                .collect();
        }
        for member in document.members {
            let id = member.id.to_string();
            let previous_entry = previous
                .entry(id.clone())
                .or_insert_with(|| self.members.get(&id).cloned())
                .clone();
            let id_at_address = self
                .ids_by_address
                .get(&member.address)
                .filter(|other_id| **other_id != id)
                .cloned();
            if member.phase == Phase::Gone {
                self.remove(&id);
            } else if id_at_address.is_none() || member.phase == Phase::Ready {
                let mut entry = member.to_entry(0, names);
                let same_endpoint = previous_entry.filter(|previous_entry| {
                    (Address::of(previous_entry), previous_entry.destination)
                        == (Address::of(&entry), entry.destination)
                });
                if let Some(displaced_id) = id_at_address {
                    let removed = self.remove(&displaced_id);
                    previous.entry(displaced_id).or_insert(removed);
                }
                entry.endpoint.incarnation = same_endpoint.map_or_else(
                    || {
                        self.last_incarnation += 1;
                        self.last_incarnation
                    },
                    |previous_entry| previous_entry.endpoint.incarnation,
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
        let previous_entries = previous
            .iter()
            .filter_map(|(id, previous_entry)| Some((id, previous_entry.as_ref()?)));
        let removed = previous_entries.filter(|(id, previous_entry)| {
            self.members
                .get(*id)
                .is_none_or(|current| current.endpoint != previous_entry.endpoint)
        });
        let removed = removed.map(|(_, previous_entry)| EndpointEntry {
            status: EndpointStatus::Removed,
            ..previous_entry.clone()
        });
        let changed = previous.iter().filter_map(|(id, previous_entry)| {
            self.members
                .get(id)
                .filter(|current| previous_entry.as_ref() != Some(current))
        });
        let entries: Vec<EndpointEntry> = removed.chain(changed.cloned()).collect();
        (!entries.is_empty()).then_some(EndpointListUpdate::Changes(entries))
    }

    fn remove(&mut self, id: &str) -> Option<EndpointEntry> {
        let removed = self.members.remove(id)?;
        let address = SocketAddrV4::new(removed.endpoint.address.into(), removed.endpoint.port);
        if self
            .ids_by_address
            .get(&address)
            .is_some_and(|other_id| other_id == id)
        {
            self.ids_by_address.remove(&address);
        }
        Some(removed)
    }
}
