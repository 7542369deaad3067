//! The endpoint list as it is known: each member once, found by its id and by its address.

use crate::protocol::{EndpointListDocument, Member, Phase};
use compact_str::CompactString;
use hashbrown::HashTable;
use opalpulley::{EndpointEntry, EndpointListUpdate, EndpointStatus};
use opalpulley_config::Names;
use slab::Slab;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};

/// The endpoint list as it is known.
#[derive(Default)]
pub struct EndpointTable {
    /// The revision of the latest document; none before the first.
    pub(super) revision: Option<u64>,
    members: MemberTable,
    /// The incarnation of the latest endpoint that was new. It wraps after 2³² of them.
    last_incarnation: u32,
}

/// Members as they were before a document, by id; none for one that was not known.
type MembersBefore = BTreeMap<CompactString, Option<EndpointEntry>>;

impl EndpointTable {
    /// Applies a document and returns what it says in the core's terms: nothing where it is older than the list that is
    /// known, or changes nothing.
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
        if document.complete {
            Some(self.replace_members(document.members, names))
        } else {
            self.change_members(document.members, names)
        }
    }

    fn replace_members(&mut self, members: Vec<Member>, names: &Names) -> EndpointListUpdate {
        let new_table = MemberTable::with_capacity(members.len());
        let before = std::mem::replace(&mut self.members, new_table);
        for member in members {
            let old = before.get(&member.id).cloned();
            self.apply_member(member, old.as_ref(), names);
        }
        let mut rows: Vec<&MemberRow> = self.members.rows.iter().map(|(_, row)| row).collect();
        rows.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        let entries = rows.into_iter().map(|row| row.entry.clone()).collect();
        EndpointListUpdate::Complete(entries)
    }

    /// The work is proportional to the changes, not to the list.
    fn change_members(
        &mut self,
        members: Vec<Member>,
        names: &Names,
    ) -> Option<EndpointListUpdate> {
        let mut before = MembersBefore::new();
        for member in members {
            let old = before
                .entry(member.id.clone())
                .or_insert_with(|| self.members.get(&member.id).cloned())
                .clone();
            if let Some(displaced) = self.apply_member(member, old.as_ref(), names) {
                before.entry(displaced.id).or_insert(Some(displaced.entry));
            }
        }
        let mut entries = self.removed_endpoints(&before);
        entries.extend(self.changed_members(&before));
        if entries.is_empty() {
            None
        } else {
            Some(EndpointListUpdate::Changes(entries))
        }
    }

    /// The endpoints that members had before and have no more, in the order of the members' ids.
    fn removed_endpoints(&self, before: &MembersBefore) -> Vec<EndpointEntry> {
        let mut removed = Vec::new();
        for (id, old) in before {
            let Some(old) = old else { continue };
            let is_same =
                |now: &EndpointEntry| now.endpoint.incarnation == old.endpoint.incarnation;
            if !self.members.get(id).is_some_and(is_same) {
                removed.push(EndpointEntry {
                    status: EndpointStatus::Removed,
                    ..old.clone()
                });
            }
        }
        removed
    }

    /// The members that are new or differ from what they were before, in the order of their ids.
    fn changed_members(&self, before: &MembersBefore) -> Vec<EndpointEntry> {
        let mut changed = Vec::new();
        for (id, old) in before {
            let Some(now) = self.members.get(id) else {
                continue;
            };
            if old.as_ref() != Some(now) {
                changed.push(now.clone());
            }
        }
        changed
    }

    /// Applies one line of a document, whose member was `old` before the document. Returns the member that it displaces
    /// from its address.
    fn apply_member(
        &mut self,
        member: Member,
        old: Option<&EndpointEntry>,
        names: &Names,
    ) -> Option<MemberRow> {
        if member.phase == Phase::Gone {
            self.members.remove(&member.id);
            return None;
        }
        let mut entry = member.to_entry(0, names);
        let other_id = self
            .members
            .at_address(Address::of(&entry))
            .filter(|row| row.id != member.id)
            .map(|row| row.id.clone());
        // Another member has the address by now: a late change of one that drains there must not touch it.
        if other_id.is_some() && member.phase != Phase::Ready {
            return None;
        }
        let displaced = other_id.and_then(|id| self.members.remove(&id));
        // An endpoint with another address or destination is a new one: nothing learned of the old one applies to it.
        let same_endpoint = old.filter(|old| has_same_place(old, &entry));
        entry.endpoint.incarnation = match same_endpoint {
            Some(old) => old.endpoint.incarnation,
            None => self.new_incarnation(),
        };
        self.members.remove(&member.id);
        let id = member.id;
        self.members.insert(MemberRow { id, entry });
        displaced
    }

    fn new_incarnation(&mut self) -> u32 {
        self.last_incarnation = self.last_incarnation.wrapping_add(1);
        self.last_incarnation
    }

    /// Whether nothing is kept of any member.
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.members.rows.is_empty()
            && self.members.by_id.is_empty()
            && self.members.by_address.is_empty()
    }
}

fn has_same_place(a: &EndpointEntry, b: &EndpointEntry) -> bool {
    Address::of(a) == Address::of(b) && a.destination == b.destination
}

/// Where an endpoint listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Address {
    /// IPv4, in network order.
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

/// A member with its id in the platform's list.
struct MemberRow {
    id: CompactString,
    entry: EndpointEntry,
}

/// The members, with an index by id and one by address: both are unique. The capacity of the rows is that of the longest
/// list since the latest complete one.
#[derive(Default)]
struct MemberTable {
    rows: Slab<MemberRow>,
    /// The keys of the rows in the slab.
    by_id: HashTable<u32>,
    /// The same.
    by_address: HashTable<u32>,
    hasher: RandomState,
}

impl MemberTable {
    fn with_capacity(rows: usize) -> MemberTable {
        MemberTable {
            rows: Slab::with_capacity(rows),
            by_id: HashTable::with_capacity(rows),
            by_address: HashTable::with_capacity(rows),
            hasher: RandomState::new(),
        }
    }

    fn get(&self, id: &str) -> Option<&EndpointEntry> {
        let hash = self.hasher.hash_one(id);
        let is_it = |key: &u32| self.rows[*key as usize].id == id;
        let key = self.by_id.find(hash, is_it)?;
        Some(&self.rows[*key as usize].entry)
    }

    fn at_address(&self, address: Address) -> Option<&MemberRow> {
        let hash = self.hasher.hash_one(address);
        let is_it = |key: &u32| Address::of(&self.rows[*key as usize].entry) == address;
        let key = self.by_address.find(hash, is_it)?;
        Some(&self.rows[*key as usize])
    }

    /// Adds a member whose id and address no other has.
    fn insert(&mut self, row: MemberRow) {
        let id_hash = self.hasher.hash_one(row.id.as_str());
        let address_hash = self.hasher.hash_one(Address::of(&row.entry));
        let key = self.rows.insert(row) as u32;
        let (rows, hasher) = (&self.rows, &self.hasher);
        self.by_id.insert_unique(id_hash, key, |key| {
            hasher.hash_one(rows[*key as usize].id.as_str())
        });
        self.by_address.insert_unique(address_hash, key, |key| {
            hasher.hash_one(Address::of(&rows[*key as usize].entry))
        });
    }

    fn remove(&mut self, id: &str) -> Option<MemberRow> {
        let id_hash = self.hasher.hash_one(id);
        let is_it = |key: &u32| self.rows[*key as usize].id == id;
        let (key, _) = self.by_id.find_entry(id_hash, is_it).ok()?.remove();
        let row = self.rows.remove(key as usize);
        let address_hash = self.hasher.hash_one(Address::of(&row.entry));
        if let Ok(found) = self
            .by_address
            .find_entry(address_hash, |other| *other == key)
        {
            found.remove();
        }
        Some(row)
    }
}

#[cfg(test)]
mod tests;
