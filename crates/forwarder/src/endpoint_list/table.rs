//! The list of endpoints as last held: each member once, with what the core is told of it, found by id and by address.

use crate::protocol::{EndpointListDocument, Member, Phase};
use compact_str::CompactString;
use hashbrown::HashTable;
use opalpulley::{EndpointEntry, EndpointListUpdate, EndpointStatus};
use opalpulley_config::Names;
use slab::Slab;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};

/// The list as last held. Each member leaves as it goes.
#[derive(Default)]
pub struct EndpointTable {
    /// Of the last news; none until some are in.
    pub(super) revision: Option<u64>,
    table: Table,
    /// The number of the next member that is new. It comes round after four thousand million of them.
    next: u32,
}

impl EndpointTable {
    /// Takes news in and gives them in the core's terms; nothing where they are of before. The work follows what is
    /// told, not what is held.
    pub fn take(
        &mut self,
        text: EndpointListDocument,
        names: &Names,
    ) -> Option<EndpointListUpdate> {
        if !text.complete && self.revision.is_some_and(|r| text.revision < r) {
            return None;
        }
        self.revision = Some(text.revision);
        match text.complete {
            true => Some(self.take_whole(text.members, names)),
            false => self.take_changes(text.members, names),
        }
    }

    fn take_whole(&mut self, members: Vec<Member>, names: &Names) -> EndpointListUpdate {
        let before = std::mem::replace(&mut self.table, Table::with_room(members.len()));
        for member in members {
            let old = before.get(&member.id).cloned();
            self.take_member(member, old.as_ref(), names);
        }
        let mut rows: Vec<&Row> = self.table.rows.iter().map(|(_, row)| row).collect();
        rows.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        EndpointListUpdate::Complete(rows.into_iter().map(|row| row.listing.clone()).collect())
    }

    fn take_changes(&mut self, members: Vec<Member>, names: &Names) -> Option<EndpointListUpdate> {
        // Those that are told of, as they stood before.
        let mut before: BTreeMap<CompactString, Option<EndpointEntry>> = BTreeMap::new();
        for member in members {
            let old = before.entry(member.id.clone());
            let old = old
                .or_insert_with(|| self.table.get(&member.id).cloned())
                .clone();
            if let Some(sent_off) = self.take_member(member, old.as_ref(), names) {
                before.entry(sent_off.id).or_insert(Some(sent_off.listing));
            }
        }
        let now = |id: &CompactString| self.table.get(id);
        let was = before
            .iter()
            .filter_map(|(id, old)| Some((id, old.as_ref()?)));
        let gone = was.filter(|(id, old)| {
            now(id).is_none_or(|n| n.endpoint.incarnation != old.endpoint.incarnation)
        });
        let gone = gone.map(|(_, old)| EndpointEntry {
            status: EndpointStatus::Removed,
            ..old.clone()
        });
        let told = before
            .iter()
            .filter_map(|(id, old)| now(id).filter(|now| old.as_ref() != Some(now)));
        let entries: Vec<EndpointEntry> = gone.chain(told.cloned()).collect();
        (!entries.is_empty()).then_some(EndpointListUpdate::Changes(entries))
    }

    /// Takes one line in, whose member stood as `old` before these news. Gives the one that it sends off its address.
    fn take_member(
        &mut self,
        member: Member,
        old: Option<&EndpointEntry>,
        names: &Names,
    ) -> Option<Row> {
        if member.phase == Phase::Gone {
            self.table.remove(&member.id);
            return None;
        }
        let mut listing = member.listing(0, names);
        let other = self
            .table
            .holder(address(&listing))
            .filter(|row| row.id != member.id);
        let other = other.map(|row| row.id.clone());
        // Guards an address that another holds by now against what is told late of the one before.
        if other.is_some() && member.phase != Phase::Ready {
            return None;
        }
        let sent_off = other.and_then(|id| self.table.remove(&id));
        // Guards a new member against what was learned of another that had its address, or of itself elsewhere.
        let place = |l: &EndpointEntry| (address(l), l.destination);
        let same = old
            .filter(|old| place(old) == place(&listing))
            .map(|old| old.endpoint.incarnation);
        listing.endpoint.incarnation = same.unwrap_or_else(|| self.new_number());
        self.table.remove(&member.id);
        self.table.insert(Row {
            id: member.id,
            listing,
        });
        sent_off
    }

    fn new_number(&mut self) -> u32 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.table.rows.is_empty()
            && self.table.by_id.is_empty()
            && self.table.by_address.is_empty()
    }
}

/// Where an endpoint listens: address and port.
type Address = ([u8; 4], u16);

fn address(listing: &EndpointEntry) -> Address {
    (listing.endpoint.address, listing.endpoint.port)
}

/// A member as held.
struct Row {
    id: CompactString,
    listing: EndpointEntry,
}

/// Members, with two ways to find one. Each has an id and an address of its own. A row leaves with its member; the room
/// of the rows is that of the longest list since the last whole one.
#[derive(Default)]
struct Table {
    rows: Slab<Row>,
    by_id: HashTable<u32>,      // the place of each row
    by_address: HashTable<u32>, // the same
    hasher: RandomState,
}

impl Table {
    fn with_room(rows: usize) -> Table {
        Table {
            rows: Slab::with_capacity(rows),
            by_id: HashTable::with_capacity(rows),
            by_address: HashTable::with_capacity(rows),
            hasher: RandomState::new(),
        }
    }

    fn get(&self, id: &str) -> Option<&EndpointEntry> {
        let place = self.by_id.find(self.hasher.hash_one(id), |place| {
            self.rows[*place as usize].id == id
        })?;
        Some(&self.rows[*place as usize].listing)
    }

    fn holder(&self, wanted: Address) -> Option<&Row> {
        let is = |place: &u32| address(&self.rows[*place as usize].listing) == wanted;
        let place = self.by_address.find(self.hasher.hash_one(wanted), is)?;
        Some(&self.rows[*place as usize])
    }

    /// Takes a row whose id and address no other has.
    fn insert(&mut self, row: Row) {
        let (id, at) = (
            self.hasher.hash_one(row.id.as_str()),
            self.hasher.hash_one(address(&row.listing)),
        );
        let place = self.rows.insert(row) as u32;
        let (rows, hasher) = (&self.rows, &self.hasher);
        self.by_id.insert_unique(id, place, |p| {
            hasher.hash_one(rows[*p as usize].id.as_str())
        });
        self.by_address.insert_unique(at, place, |p| {
            hasher.hash_one(address(&rows[*p as usize].listing))
        });
    }

    fn remove(&mut self, id: &str) -> Option<Row> {
        let is = |place: &u32| self.rows[*place as usize].id == id;
        let (place, _) = self
            .by_id
            .find_entry(self.hasher.hash_one(id), is)
            .ok()?
            .remove();
        let row = self.rows.remove(place as usize);
        let at = self.hasher.hash_one(address(&row.listing));
        if let Ok(found) = self.by_address.find_entry(at, |p| *p == place) {
            found.remove();
        }
        Some(row)
    }
}

#[cfg(test)]
mod tests;
