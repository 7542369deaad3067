//! The compact table compared with a plain one, and its memory at the expected size.

use super::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::net::SocketAddrV4;

/// Members of a long list: more than the 91,000 that the operators expect.
const MANY: u32 = 100_000;

/// Bytes a member, of the 150 that all tables beside the core may take.
const MAX_BYTES_PER_MEMBER: usize = 90;

fn names() -> Names {
    let (zones, kinds) = (vec!["a".into(), "b".into()], vec!["m".into()]);
    Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones,
        endpoint_kinds: kinds,
        reports: Vec::new(),
    }
}

/// The same by two plain maps, with whole ids and members. The compact table must not differ from it.
#[derive(Default)]
struct PlainTable {
    revision: Option<u64>,
    members: BTreeMap<String, EndpointEntry>,
    ids_by_address: BTreeMap<SocketAddrV4, String>,
    last_incarnation: u32,
}

impl PlainTable {
    fn take(
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
                .get(&member.host_port)
                .filter(|id_there| **id_there != id)
                .cloned();
            if member.phase == Phase::Gone {
                self.remove(&id);
            } else if other.is_none() || member.phase == Phase::Ready {
                let mut entry = member.listing(0, names);
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
                self.ids_by_address.insert(member.host_port, id.clone());
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

/// A document of few ids and addresses, so that they collide. Each name may be unknown.
#[derive(Clone, Debug)]
struct AnyDocument(EndpointListDocument);

impl Arbitrary for AnyDocument {
    fn arbitrary(g: &mut Gen) -> AnyDocument {
        let member = |g: &mut Gen| {
            let id = *g
                .choose(&[
                    "x",
                    "y",
                    "z",
                    "an-id-that-is-longer-than-what-lies-in-a-row",
                ])
                .expect("one");
            Member {
                id: id.into(),
                host_port: SocketAddrV4::new([10, 0, 0, 1].into(), u16::arbitrary(g) % 4),
                locality: (*g.choose(&["a", "b", "unknown-zone", ""]).expect("one")).into(),
                flavor: (*g.choose(&["m", "unknown-kind"]).expect("one")).into(),
                cell: *g.choose(&[0, 1, u32::MAX]).expect("one"),
                phase: *g
                    .choose(&[Phase::Ready, Phase::Ready, Phase::Terminating, Phase::Gone])
                    .expect("one"),
                size: *g.choose(&[0.0, 50.0, -1.0]).expect("one"),
                up_since_ms: *g.choose(&[0, 7, u64::MAX]).expect("one"),
            }
        };
        let members = (0..usize::arbitrary(g) % 6).map(|_| member(g)).collect();
        AnyDocument(EndpointListDocument {
            revision: u64::arbitrary(g) % 8,
            complete: bool::arbitrary(g),
            members,
        })
    }
}

/// Any documents give the same updates as with the plain table: ids that move, addresses that are used again, members
/// that are named twice.
#[test]
fn any_documents_give_the_updates_of_a_plain_table() {
    fn equal(documents: Vec<AnyDocument>) -> bool {
        let (mut table, mut plain) = (EndpointTable::default(), PlainTable::default());
        documents.into_iter().all(|AnyDocument(document)| {
            let update = table.take(document.clone(), &names());
            let members = &table.members;
            let sizes = [
                members.rows.len(),
                members.by_id.len(),
                members.by_address.len(),
            ];
            update == plain.take(document, &names())
                && table.revision == plain.revision
                && sizes == [plain.members.len(); 3]
        })
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(equal as fn(Vec<AnyDocument>) -> bool);
}

fn many(revision: u64, complete: bool, numbers: impl Iterator<Item = u32>) -> EndpointListDocument {
    let member = |n: u32| Member {
        id: format!("member-{n:06}").into(),
        host_port: SocketAddrV4::new((0x0a00_0000 + n).into(), 8080),
        locality: "a".into(),
        flavor: "m".into(),
        cell: n,
        phase: Phase::Ready,
        size: 50.0,
        up_since_ms: 0,
    };
    EndpointListDocument {
        revision,
        complete,
        members: numbers.map(member).collect(),
    }
}

fn complete_list(update: Option<EndpointListUpdate>) -> Vec<EndpointEntry> {
    match update {
        Some(EndpointListUpdate::Complete(entries)) => entries,
        other => panic!("not a complete list: {other:?}"),
    }
}

impl EndpointTable {
    /// The memory of the table. Ids of up to 24 bytes are stored in their rows.
    fn bytes(&self) -> usize {
        let MemberTable {
            rows,
            by_id,
            by_address,
            ..
        } = &self.members;
        rows.capacity() * std::mem::size_of::<MemberRow>()
            + by_id.allocation_size()
            + by_address.allocation_size()
    }
}

/// The memory of the table is bounded at the expected size, also where half of the members come and go.
#[test]
fn a_hundred_thousand_members_take_few_bytes_each_however_they_flap() {
    let mut table = EndpointTable::default();
    let first = complete_list(table.take(many(1, true, 0..MANY), &names()));
    assert_eq!(first.len(), MANY as usize);
    let room = table.bytes();
    assert!(
        room <= MANY as usize * MAX_BYTES_PER_MEMBER,
        "{room} bytes for {MANY} members"
    );
    for revision in 1..6 {
        let half =
            complete_list(table.take(many(2 * revision, true, (0..MANY).step_by(2)), &names()));
        assert_eq!(half.len(), MANY as usize / 2);
        let all = complete_list(table.take(many(2 * revision + 1, true, 0..MANY), &names()));
        // Members that stayed are the same endpoints; those that left and came back are new ones.
        assert!(all.iter().step_by(2).eq(first.iter().step_by(2)));
        assert!(all
            .iter()
            .zip(&first)
            .skip(1)
            .step_by(2)
            .all(|(now, then)| now.endpoint != then.endpoint));
        assert_eq!(table.bytes(), room);
    }
    for revision in 20..30 {
        let mut change = many(revision, false, (0..MANY).step_by(2));
        if revision % 2 == 0 {
            for member in &mut change.members {
                member.phase = Phase::Gone;
            }
        }
        let Some(EndpointListUpdate::Changes(entries)) = table.take(change, &names()) else {
            panic!("no changes")
        };
        assert_eq!(entries.len(), MANY as usize / 2);
        assert_eq!(table.bytes(), room);
    }
}
