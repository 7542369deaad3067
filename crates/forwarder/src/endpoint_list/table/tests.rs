//! Tests that compare the endpoint table with a simple reference table and check the bound on its memory.

mod reference;

use super::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use reference::ReferenceTable;
use std::net::SocketAddrV4;

/// Number of members of a long list: more than the 91,000 that the operators expect.
const MEMBER_COUNT: u32 = 100_000;

/// Upper bound on the memory per member, in bytes. All tables outside the core may take 150 bytes per member together.
const MAX_BYTES_PER_MEMBER: usize = 90;

fn names() -> Names {
    let (zones, kinds) = (vec!["a".into(), "b".into()], vec!["m".into()]);
    Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones,
        endpoint_kinds: kinds,
        load_metrics: Vec::new(),
    }
}

fn document(revision: u64, complete: bool, members: &[(&str, u16, Phase)]) -> EndpointListDocument {
    let member = |(id, port, phase): &(&str, u16, Phase)| Member {
        id: (*id).into(),
        address: format!("10.0.0.1:{port}")
            .parse()
            .expect("the address is valid"),
        zone_name: "a".into(),
        kind_name: "m".into(),
        destination: 3,
        phase: *phase,
        listed_rate: 1.0,
        up_since_ms: 0,
    };
    EndpointListDocument {
        revision,
        complete,
        members: members.iter().map(member).collect(),
    }
}

/// Returns the status of each endpoint in an update with its key, in the order of the keys.
fn statuses_by<K: Ord>(
    key: fn(&EndpointEntry) -> K,
    update: Option<EndpointListUpdate>,
) -> Vec<(K, EndpointStatus)> {
    let (EndpointListUpdate::Changes(entries)
    | EndpointListUpdate::Complete(entries)
    | EndpointListUpdate::Cached(entries)) = update.expect("the document changes the list")
    else {
        panic!("expected an update with entries")
    };
    let mut statuses: Vec<_> = entries
        .iter()
        .map(|entry| (key(entry), entry.status))
        .collect();
    statuses.sort_by(|(a, _), (b, _)| a.cmp(b));
    statuses
}

fn by_port(update: Option<EndpointListUpdate>) -> Vec<(u16, EndpointStatus)> {
    statuses_by(|entry| entry.endpoint.port, update)
}

fn by_incarnation(update: Option<EndpointListUpdate>) -> Vec<(u32, EndpointStatus)> {
    statuses_by(|entry| entry.endpoint.incarnation, update)
}

/// Guards against a cached list that stays in force in part: the first document of discovery, even one without changes,
/// leads to the complete list. A document of an older revision confirms nothing.
#[test]
fn first_document_after_an_unconfirmed_list_leads_to_the_complete_list() {
    let cached = || document(5, true, &[("x", 1, Phase::Ready), ("y", 2, Phase::Ready)]);
    let unchanged = vec![(1, EndpointStatus::Ready), (2, EndpointStatus::Ready)];
    let changed = vec![(2, EndpointStatus::Ready), (3, EndpointStatus::Ready)];
    let changes = [("x", 1, Phase::Gone), ("z", 3, Phase::Ready)];
    for (first_document, expected) in [
        (document(5, false, &[]), unchanged),
        (document(6, false, &changes), changed),
    ] {
        let mut table = EndpointTable::default();
        assert_eq!(table.restore(cached(), &names()).len(), 2);
        assert_eq!(table.apply(document(4, false, &[]), &names()), None);
        assert!(table.is_unconfirmed());
        let update = table.apply(first_document, &names());
        assert!(matches!(update, Some(EndpointListUpdate::Complete(_))));
        assert_eq!(by_port(update), expected);
        assert!(!table.is_unconfirmed());
        assert_eq!(table.apply(document(6, false, &[]), &names()), None);
    }
}

#[test]
fn applies_changes_and_ignores_those_of_older_revisions() {
    let mut table = EndpointTable::default();
    let complete = document(5, true, &[("x", 1, Phase::Ready), ("y", 2, Phase::Ready)]);
    assert_eq!(
        by_port(table.apply(complete, &names())),
        [(1, EndpointStatus::Ready), (2, EndpointStatus::Ready)]
    );
    let change = document(6, false, &[("y", 2, Phase::Terminating)]);
    assert_eq!(
        by_port(table.apply(change, &names())),
        [(2, EndpointStatus::Draining)]
    );
    assert!(table
        .apply(document(4, false, &[("y", 2, Phase::Ready)]), &names())
        .is_none());
    assert!(table.apply(document(7, false, &[]), &names()).is_none());
    assert_eq!(table.revision, Some(7));
}

/// Members that use the same address one after the other are different endpoints: neither the status, the health nor
/// the destination of the first applies to the second.
#[test]
fn treats_reused_address_or_changed_destination_as_new_endpoint() {
    let mut table = EndpointTable::default();
    table.apply(document(1, true, &[("x", 1, Phase::Ready)]), &names());
    let moved = table.apply(document(2, false, &[("x", 2, Phase::Ready)]), &names());
    assert_eq!(
        by_port(moved),
        [(1, EndpointStatus::Removed), (2, EndpointStatus::Ready)]
    );
    // Another member takes over the address: the first endpoint is removed, and the second is a new one.
    let displaced = table.apply(document(3, false, &[("z", 2, Phase::Ready)]), &names());
    assert_eq!(
        by_incarnation(displaced),
        [(2, EndpointStatus::Removed), (3, EndpointStatus::Ready)]
    );
    // Late changes of the first member do not apply to the second.
    assert!(table
        .apply(
            document(4, false, &[("x", 2, Phase::Terminating)]),
            &names()
        )
        .is_none());
    assert!(table
        .apply(document(5, false, &[("x", 2, Phase::Gone)]), &names())
        .is_none());
    let both = &[("x", 2, Phase::Terminating), ("z", 2, Phase::Ready)];
    assert_eq!(
        by_incarnation(table.apply(document(6, true, both), &names())),
        [(3, EndpointStatus::Ready)]
    );
    // The same address with another destination is another endpoint.
    let mut other_destination = document(7, false, &[("z", 2, Phase::Ready)]);
    other_destination.members[0].destination = 4;
    assert_eq!(
        by_incarnation(table.apply(other_destination, &names())),
        [(3, EndpointStatus::Removed), (5, EndpointStatus::Ready)]
    );
    // The table keeps no entry for a removed member.
    table.apply(document(8, false, &[("z", 2, Phase::Gone)]), &names());
    assert!(table.is_empty());
}

/// The time to apply a change does not grow with the length of the list, and neither does the time to apply one member of a
/// complete list.
#[test]
fn applies_thousands_of_members_and_changes_within_two_seconds() {
    let mut table = EndpointTable::default();
    let ids: Vec<String> = (0..4_096).map(|n| format!("s-{n}")).collect();
    let complete: Vec<_> = ids
        .iter()
        .zip(1..)
        .map(|(id, port)| (id.as_str(), port, Phase::Ready))
        .collect();
    let started_at = std::time::Instant::now();
    assert_eq!(
        by_port(table.apply(document(1, true, &complete), &names())).len(),
        ids.len()
    );
    for (id, port, _) in complete {
        let update = table.apply(
            document(2, false, &[(id, port, Phase::Terminating)]),
            &names(),
        );
        assert_eq!(by_port(update), [(port, EndpointStatus::Draining)]);
    }
    // A table that scans all members for each change takes 25 s.
    assert!(
        started_at.elapsed() < std::time::Duration::from_secs(2),
        "expected less than 2 s, took {:?}",
        started_at.elapsed()
    );
    // If a document lists a member twice, the last entry counts. A member with the address of another displaces it.
    let members = [
        ("s-0", 1, Phase::Gone),
        ("s-0", 1, Phase::Ready),
        ("new", 2, Phase::Ready),
    ];
    let update = by_incarnation(table.apply(document(3, false, &members), &names()));
    assert_eq!(
        update,
        [
            (1, EndpointStatus::Ready),
            (2, EndpointStatus::Removed),
            (4_097, EndpointStatus::Ready)
        ]
    );
}

/// A document with few different ids and addresses, so that they collide. Names of zones and kinds may be unknown.
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
                .expect("the choices are not empty");
            Member {
                id: id.into(),
                address: SocketAddrV4::new([10, 0, 0, 1].into(), u16::arbitrary(g) % 4),
                zone_name: (*g
                    .choose(&["a", "b", "unknown-zone", ""])
                    .expect("the choices are not empty"))
                .into(),
                kind_name: (*g
                    .choose(&["m", "unknown-kind"])
                    .expect("the choices are not empty"))
                .into(),
                destination: *g
                    .choose(&[0, 1, u32::MAX])
                    .expect("the choices are not empty"),
                phase: *g
                    .choose(&[Phase::Ready, Phase::Ready, Phase::Terminating, Phase::Gone])
                    .expect("the choices are not empty"),
                listed_rate: *g
                    .choose(&[0.0, 50.0, -1.0])
                    .expect("the choices are not empty"),
                up_since_ms: *g
                    .choose(&[0, 7, u64::MAX])
                    .expect("the choices are not empty"),
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

/// Covers ids that move to another address, addresses that are reused, and members that a document lists twice.
#[test]
fn returns_same_updates_as_reference_table_for_any_documents() {
    fn updates_are_equal(documents: Vec<AnyDocument>) -> bool {
        let (mut table, mut reference) = (EndpointTable::default(), ReferenceTable::default());
        documents.into_iter().all(|AnyDocument(document)| {
            let update = table.apply(document.clone(), &names());
            let members = &table.members;
            let sizes = [
                members.rows.len(),
                members.by_id.len(),
                members.by_address.len(),
            ];
            update == reference.apply(document, &names())
                && table.revision == reference.revision
                && sizes == [reference.members.len(); 3]
        })
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(updates_are_equal as fn(Vec<AnyDocument>) -> bool);
}

fn numbered_members(
    revision: u64,
    complete: bool,
    numbers: impl Iterator<Item = u32>,
) -> EndpointListDocument {
    let member = |n: u32| Member {
        id: format!("member-{n:06}").into(),
        address: SocketAddrV4::new((0x0a00_0000 + n).into(), 8080),
        zone_name: "a".into(),
        kind_name: "m".into(),
        destination: n,
        phase: Phase::Ready,
        listed_rate: 50.0,
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
        other => panic!("expected a complete list, got {other:?}"),
    }
}

impl EndpointTable {
    /// Returns the memory that the table allocates, in bytes. Ids of up to 24 bytes are stored inside their rows.
    fn allocated_bytes(&self) -> usize {
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

/// The memory of the table is bounded at the expected size, even if half of the members leave and return repeatedly.
#[test]
fn memory_stays_bounded_for_100_000_flapping_members() {
    let mut table = EndpointTable::default();
    let first = complete_list(table.apply(numbered_members(1, true, 0..MEMBER_COUNT), &names()));
    assert_eq!(first.len(), MEMBER_COUNT as usize);
    let initial_bytes = table.allocated_bytes();
    assert!(
        initial_bytes <= MEMBER_COUNT as usize * MAX_BYTES_PER_MEMBER,
        "expected at most {MAX_BYTES_PER_MEMBER} bytes per member, got {initial_bytes} bytes for {MEMBER_COUNT} members"
    );
    for revision in 1..6 {
        let every_second = complete_list(table.apply(
            numbered_members(2 * revision, true, (0..MEMBER_COUNT).step_by(2)),
            &names(),
        ));
        assert_eq!(every_second.len(), MEMBER_COUNT as usize / 2);
        let all = complete_list(table.apply(
            numbered_members(2 * revision + 1, true, 0..MEMBER_COUNT),
            &names(),
        ));
        // Members that stayed are the same endpoints. Members that left and returned are new endpoints.
        assert!(all.iter().step_by(2).eq(first.iter().step_by(2)));
        assert!(all
            .iter()
            .zip(&first)
            .skip(1)
            .step_by(2)
            .all(|(current, previous)| current.endpoint != previous.endpoint));
        assert_eq!(table.allocated_bytes(), initial_bytes);
    }
    for revision in 20..30 {
        let mut change = numbered_members(revision, false, (0..MEMBER_COUNT).step_by(2));
        if revision % 2 == 0 {
            for member in &mut change.members {
                member.phase = Phase::Gone;
            }
        }
        let Some(EndpointListUpdate::Changes(entries)) = table.apply(change, &names()) else {
            panic!("expected an update with changes")
        };
        assert_eq!(entries.len(), MEMBER_COUNT as usize / 2);
        assert_eq!(table.allocated_bytes(), initial_bytes);
    }
}
