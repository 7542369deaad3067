//! The compact table against a plain one, and its room at the size that is coming.

use super::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::net::SocketAddrV4;

const MANY: u32 = 100_000; // members: over the 91,000 that the operators expect
const MOST_BYTES: usize = 90; // a member held, of the 150 that all tables beside the core may take

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

/// The same by two plain maps, each with whole ids and members: what the compact table must not differ from.
#[derive(Default)]
struct Plain {
    revision: Option<u64>,
    members: BTreeMap<String, EndpointEntry>,
    holders: BTreeMap<SocketAddrV4, String>,
    next: u32,
}

impl Plain {
    fn take(&mut self, text: EndpointListDocument, names: &Names) -> Option<EndpointListUpdate> {
        if !text.complete && self.revision.is_some_and(|r| text.revision < r) {
            return None;
        }
        self.revision = Some(text.revision);
        let mut before: BTreeMap<String, Option<EndpointEntry>> = BTreeMap::new();
        if text.complete {
            self.holders.clear();
            before = std::mem::take(&mut self.members)
                .into_iter()
                .map(|(id, old)| (id, Some(old)))
                .collect();
        }
        for member in text.members {
            let id = member.id.to_string();
            let old = before
                .entry(id.clone())
                .or_insert_with(|| self.members.get(&id).cloned())
                .clone();
            let other = self
                .holders
                .get(&member.host_port)
                .filter(|holder| **holder != id)
                .cloned();
            if member.phase == Phase::Gone {
                self.remove(&id);
            } else if other.is_none() || member.phase == Phase::Ready {
                let mut listing = member.listing(0, names);
                let same = old.filter(|old| {
                    (address(old), old.destination) == (address(&listing), listing.destination)
                });
                if let Some(other) = other {
                    let removed = self.remove(&other);
                    before.entry(other).or_insert(removed);
                }
                listing.endpoint.incarnation = same.map_or_else(
                    || {
                        self.next += 1;
                        self.next
                    },
                    |old| old.endpoint.incarnation,
                );
                self.remove(&id);
                self.holders.insert(member.host_port, id.clone());
                self.members.insert(id, listing);
            }
        }
        if text.complete {
            return Some(EndpointListUpdate::Complete(
                self.members.values().cloned().collect(),
            ));
        }
        let was = before
            .iter()
            .filter_map(|(id, old)| Some((id, old.as_ref()?)));
        let gone = was.filter(|(id, old)| {
            self.members
                .get(*id)
                .is_none_or(|n| n.endpoint != old.endpoint)
        });
        let gone = gone.map(|(_, old)| EndpointEntry {
            status: EndpointStatus::Removed,
            ..old.clone()
        });
        let told = before
            .iter()
            .filter_map(|(id, old)| self.members.get(id).filter(|now| old.as_ref() != Some(now)));
        let entries: Vec<EndpointEntry> = gone.chain(told.cloned()).collect();
        (!entries.is_empty()).then_some(EndpointListUpdate::Changes(entries))
    }

    fn remove(&mut self, id: &str) -> Option<EndpointEntry> {
        let removed = self.members.remove(id)?;
        let at = SocketAddrV4::new(removed.endpoint.address.into(), removed.endpoint.port);
        if self.holders.get(&at).is_some_and(|holder| holder == id) {
            self.holders.remove(&at);
        }
        Some(removed)
    }
}

/// A list of few ids and addresses, so that they meet; each name may be one that nobody knows.
#[derive(Clone, Debug)]
struct AnyText(EndpointListDocument);

impl Arbitrary for AnyText {
    fn arbitrary(g: &mut Gen) -> AnyText {
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
                locality: (*g.choose(&["a", "b", "nobody-knows-it", ""]).expect("one")).into(),
                flavor: (*g.choose(&["m", "nobody-knows-it-either"]).expect("one")).into(),
                cell: *g.choose(&[0, 1, u32::MAX]).expect("one"),
                phase: *g
                    .choose(&[Phase::Ready, Phase::Ready, Phase::Terminating, Phase::Gone])
                    .expect("one"),
                size: *g.choose(&[0.0, 50.0, -1.0]).expect("one"),
                up_since_ms: *g.choose(&[0, 7, u64::MAX]).expect("one"),
            }
        };
        let members = (0..usize::arbitrary(g) % 6).map(|_| member(g)).collect();
        AnyText(EndpointListDocument {
            revision: u64::arbitrary(g) % 8,
            complete: bool::arbitrary(g),
            members,
        })
    }
}

/// Guards each thing that a list can do to the next: ids that move, addresses that change hands, members told twice.
#[test]
fn any_lists_give_the_news_of_a_plain_table() {
    fn equal(texts: Vec<AnyText>) -> bool {
        let (mut held, mut plain) = (EndpointTable::default(), Plain::default());
        texts.into_iter().all(|AnyText(text)| {
            let news = held.take(text.clone(), &names());
            let table = &held.table;
            let sizes = [table.rows.len(), table.by_id.len(), table.by_address.len()];
            news == plain.take(text, &names())
                && held.revision == plain.revision
                && sizes == [plain.members.len(); 3]
        })
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(equal as fn(Vec<AnyText>) -> bool);
}

fn many(revision: u64, complete: bool, numbers: impl Iterator<Item = u32>) -> EndpointListDocument {
    let member = |n: u32| Member {
        id: format!("target-{n:06}").into(),
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

fn whole(news: Option<EndpointListUpdate>) -> Vec<EndpointEntry> {
    match news {
        Some(EndpointListUpdate::Complete(entries)) => entries,
        other => panic!("not the whole: {other:?}"),
    }
}

impl EndpointTable {
    /// What the table takes in memory; ids of up to 24 bytes lie in their rows.
    fn bytes(&self) -> usize {
        let Table {
            rows,
            by_id,
            by_address,
            ..
        } = &self.table;
        rows.capacity() * std::mem::size_of::<Row>()
            + by_id.allocation_size()
            + by_address.allocation_size()
    }
}

/// Guards memory at the size that is coming, also where half the list comes and goes each second.
#[test]
fn a_hundred_thousand_members_take_few_bytes_each_however_they_flap() {
    let mut held = EndpointTable::default();
    let first = whole(held.take(many(1, true, 0..MANY), &names()));
    assert_eq!(first.len(), MANY as usize);
    let room = held.bytes();
    assert!(
        room <= MANY as usize * MOST_BYTES,
        "{room} bytes for {MANY} members"
    );
    for revision in 1..6 {
        let half = whole(held.take(many(2 * revision, true, (0..MANY).step_by(2)), &names()));
        assert_eq!(half.len(), MANY as usize / 2);
        let all = whole(held.take(many(2 * revision + 1, true, 0..MANY), &names()));
        // Who stayed is whom it was; who went and came is new.
        assert!(all.iter().step_by(2).eq(first.iter().step_by(2)));
        assert!(all
            .iter()
            .zip(&first)
            .skip(1)
            .step_by(2)
            .all(|(now, then)| now.endpoint != then.endpoint));
        assert_eq!(held.bytes(), room);
    }
    for revision in 20..30 {
        let mut change = many(revision, false, (0..MANY).step_by(2));
        if revision % 2 == 0 {
            change
                .members
                .iter_mut()
                .for_each(|member| member.phase = Phase::Gone);
        }
        let Some(EndpointListUpdate::Changes(entries)) = held.take(change, &names()) else {
            panic!("no changes")
        };
        assert_eq!(entries.len(), MANY as usize / 2);
        assert_eq!(held.bytes(), room);
    }
}
