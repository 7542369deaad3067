//! The known endpoint list. It holds each member once, indexed by id and by address.

use crate::protocol::{EndpointListDocument, Member, Phase};
use compact_str::CompactString;
use hashbrown::HashTable;
use opalpulley::{EndpointEntry, EndpointListUpdate, EndpointStatus};
use opalpulley_config::Names;
use slab::Slab;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};

/// The known endpoint list, owned by the actor that watches it.
#[derive(Default)]
pub struct EndpointTable {
    /// Revision of the latest document. `None` before the first one, and after the address of the agent changed.
    pub(super) revision: Option<u64>,
    members: MemberTable,
    /// Whether the members come from a cached list that discovery has not confirmed yet.
    is_unconfirmed: bool,
    /// Incarnation that was assigned to the latest new endpoint. It wraps after 2³² new endpoints.
    last_incarnation: u32,
}

/// The members before a document was applied, by id. `None` for an id that was not known.
type PreviousMembers = BTreeMap<CompactString, Option<EndpointEntry>>;

impl EndpointTable {
    /// Applies the list that an earlier process had, and returns its entries. The list is unconfirmed: the core does not have
    /// it, so that the update for the next document is the complete list.
    pub fn restore(&mut self, document: EndpointListDocument, names: &Names) -> Vec<EndpointEntry> {
        self.revision = Some(document.revision);
        self.is_unconfirmed = true;
        self.apply_complete_list(document.members, names)
    }

    /// Returns whether the restored list waits for a document of discovery.
    pub fn is_unconfirmed(&self) -> bool {
        self.is_unconfirmed
    }

    /// Returns whether the agent at its present address has sent a document to this process.
    pub fn is_confirmed(&self) -> bool {
        self.revision.is_some() && !self.is_unconfirmed
    }

    /// Applies a document and returns the update for the core. Returns `None` if the document is older than the known
    /// list or changes nothing. The update that confirms a list is always the complete list.
    pub fn apply(
        &mut self,
        document: EndpointListDocument,
        names: &Names,
    ) -> Option<EndpointListUpdate> {
        let is_older = self.revision.is_some_and(|known| document.revision < known);
        if !document.complete && is_older {
            return None;
        }
        self.revision = Some(document.revision);
        let was_unconfirmed = std::mem::take(&mut self.is_unconfirmed);
        if document.complete {
            let entries = self.apply_complete_list(document.members, names);
            return Some(EndpointListUpdate::Complete(entries));
        }
        let changes = self.apply_changes(document.members, names);
        if was_unconfirmed {
            Some(EndpointListUpdate::Complete(self.entries()))
        } else {
            changes
        }
    }

    /// Replaces all members, and returns their entries in the order of the members' ids.
    fn apply_complete_list(&mut self, members: Vec<Member>, names: &Names) -> Vec<EndpointEntry> {
        let new_members = MemberTable::with_capacity(members.len());
        let previous = std::mem::replace(&mut self.members, new_members);
        for member in members {
            let previous_entry = previous.get_by_id(&member.id).cloned();
            self.apply_member(member, previous_entry.as_ref(), names);
        }
        self.entries()
    }

    /// Returns the entries of all members, in the order of the members' ids.
    fn entries(&self) -> Vec<EndpointEntry> {
        let mut rows: Vec<&MemberRow> = self.members.rows.iter().map(|(_, row)| row).collect();
        rows.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        rows.into_iter().map(|row| row.entry.clone()).collect()
    }

    /// Applies a document of changes. The work is proportional to the number of changes, not to the length of the list.
    fn apply_changes(&mut self, members: Vec<Member>, names: &Names) -> Option<EndpointListUpdate> {
        let mut previous = PreviousMembers::new();
        for member in members {
            let previous_entry = previous
                .entry(member.id.clone())
                .or_insert_with(|| self.members.get_by_id(&member.id).cloned())
                .clone();
            if let Some(displaced) = self.apply_member(member, previous_entry.as_ref(), names) {
                previous
                    .entry(displaced.id)
                    .or_insert(Some(displaced.entry));
            }
        }
        let mut entries = self.removed_endpoints(&previous);
        entries.extend(self.changed_members(&previous));
        if entries.is_empty() {
            None
        } else {
            Some(EndpointListUpdate::Changes(entries))
        }
    }

    /// Returns the endpoints that members had before the document and no longer have, in the order of the members' ids.
    fn removed_endpoints(&self, previous: &PreviousMembers) -> Vec<EndpointEntry> {
        let mut removed = Vec::new();
        for (id, previous_entry) in previous {
            let Some(previous_entry) = previous_entry else {
                continue;
            };
            let is_same_endpoint = |current: &EndpointEntry| {
                current.endpoint.incarnation == previous_entry.endpoint.incarnation
            };
            if !self.members.get_by_id(id).is_some_and(is_same_endpoint) {
                removed.push(EndpointEntry {
                    status: EndpointStatus::Removed,
                    ..previous_entry.clone()
                });
            }
        }
        removed
    }

    /// Returns the members that are new or have changed since before the document, in the order of their ids.
    fn changed_members(&self, previous: &PreviousMembers) -> Vec<EndpointEntry> {
        let mut changed = Vec::new();
        for (id, previous_entry) in previous {
            let Some(current) = self.members.get_by_id(id) else {
                continue;
            };
            if previous_entry.as_ref() != Some(current) {
                changed.push(current.clone());
            }
        }
        changed
    }

    /// Applies one member of a document. `previous_entry` is the entry that the member had before the document. Returns
    /// the member that it displaces from its address, if any.
    fn apply_member(
        &mut self,
        member: Member,
        previous_entry: Option<&EndpointEntry>,
        names: &Names,
    ) -> Option<MemberRow> {
        if member.phase == Phase::Gone {
            self.members.remove_by_id(&member.id);
            return None;
        }
        let mut entry = member.to_entry(0, names);
        let id_at_address = self
            .members
            .get_by_address(Address::of(&entry))
            .filter(|row| row.id != member.id)
            .map(|row| row.id.clone());
        // Another member has taken over the address. A late change of a member that drains there must not affect it.
        if id_at_address.is_some() && member.phase != Phase::Ready {
            return None;
        }
        let displaced = id_at_address.and_then(|id| self.members.remove_by_id(&id));
        // A member with a new address or destination is a new endpoint: nothing learned about the previous endpoint
        // applies to it.
        let same_endpoint =
            previous_entry.filter(|previous| has_same_address_and_destination(previous, &entry));
        entry.endpoint.incarnation = match same_endpoint {
            Some(same) => same.endpoint.incarnation,
            None => self.next_incarnation(),
        };
        self.members.remove_by_id(&member.id);
        let id = member.id;
        self.members.insert(MemberRow { id, entry });
        displaced
    }

    fn next_incarnation(&mut self) -> u32 {
        self.last_incarnation = self.last_incarnation.wrapping_add(1);
        self.last_incarnation
    }

    /// Returns whether the table and both of its indexes hold no member.
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.members.rows.is_empty()
            && self.members.by_id.is_empty()
            && self.members.by_address.is_empty()
    }
}

fn has_same_address_and_destination(a: &EndpointEntry, b: &EndpointEntry) -> bool {
    Address::of(a) == Address::of(b) && a.destination == b.destination
}

/// The address that an endpoint listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Address {
    /// IPv4 address, in network byte order.
    ip: [u8; 4],
    port: u16,
}

impl Address {
    fn of(entry: &EndpointEntry) -> Address {
        Address {
            ip: entry.endpoint.address,
            port: entry.endpoint.port,
        }
    }
}

/// A member and its id in the platform's list.
struct MemberRow {
    id: CompactString,
    entry: EndpointEntry,
}

/// The members, with one index by id and one by address. Both ids and addresses are unique. The rows keep the capacity
/// for the longest list since the latest complete one.
#[derive(Default)]
struct MemberTable {
    rows: Slab<MemberRow>,
    /// Keys of the rows in the slab, hashed by member id.
    by_id: HashTable<u32>,
    /// Keys of the rows in the slab, hashed by address.
    by_address: HashTable<u32>,
    hasher: RandomState,
}

impl MemberTable {
    fn with_capacity(capacity: usize) -> MemberTable {
        MemberTable {
            rows: Slab::with_capacity(capacity),
            by_id: HashTable::with_capacity(capacity),
            by_address: HashTable::with_capacity(capacity),
            hasher: RandomState::new(),
        }
    }

    fn get_by_id(&self, id: &str) -> Option<&EndpointEntry> {
        let hash = self.hasher.hash_one(id);
        let has_id = |row_key: &u32| self.rows[*row_key as usize].id == id;
        let row_key = self.by_id.find(hash, has_id)?;
        Some(&self.rows[*row_key as usize].entry)
    }

    fn get_by_address(&self, address: Address) -> Option<&MemberRow> {
        let hash = self.hasher.hash_one(address);
        let has_address =
            |row_key: &u32| Address::of(&self.rows[*row_key as usize].entry) == address;
        let row_key = self.by_address.find(hash, has_address)?;
        Some(&self.rows[*row_key as usize])
    }

    /// Adds a member. No other member may have its id or its address.
    fn insert(&mut self, row: MemberRow) {
        let id_hash = self.hasher.hash_one(row.id.as_str());
        let address_hash = self.hasher.hash_one(Address::of(&row.entry));
        let row_key = self.rows.insert(row) as u32;
        let (rows, hasher) = (&self.rows, &self.hasher);
        self.by_id.insert_unique(id_hash, row_key, |row_key| {
            hasher.hash_one(rows[*row_key as usize].id.as_str())
        });
        self.by_address
            .insert_unique(address_hash, row_key, |row_key| {
                hasher.hash_one(Address::of(&rows[*row_key as usize].entry))
            });
    }

    fn remove_by_id(&mut self, id: &str) -> Option<MemberRow> {
        let id_hash = self.hasher.hash_one(id);
        let has_id = |row_key: &u32| self.rows[*row_key as usize].id == id;
        let (row_key, _) = self.by_id.find_entry(id_hash, has_id).ok()?.remove();
        let row = self.rows.remove(row_key as usize);
        let address_hash = self.hasher.hash_one(Address::of(&row.entry));
        if let Ok(occupied) = self
            .by_address
            .find_entry(address_hash, |other_key| *other_key == row_key)
        {
            occupied.remove();
        }
        Some(row)
    }
}

#[cfg(test)]
mod tests;
