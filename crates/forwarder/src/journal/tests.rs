use super::record::*;
use super::segment::{path, BLOCK_BYTES};
use super::*;
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use tempfile::TempDir;

const LIMIT: u64 = 300_000; // bytes

fn message(n: u64, body: usize) -> StoredMessage {
    StoredMessage {
        serial: 0,
        request_id: format!("{n:016x}"),
        class: 1,
        tenant: (n % 7 < 3).then_some(n as u32),
        destination: if n.is_multiple_of(6) { 70_000 } else { 7 },
        deadline: 1_000_000 + n,
        idempotency_key: n.is_multiple_of(2).then(|| format!("idempotency_key-{n}")),
        resubmitted: n.is_multiple_of(3),
        from_failed_forwarder: n.is_multiple_of(5),
        body: Bytes::from(vec![n as u8; body]),
        key: n.is_multiple_of(4).then_some(n),
        attempts: 0,
        possible_effect: None,
        attempts_out: Vec::new(),
        pending_report: None,
    }
}

fn on_disk(dir: &TempDir) -> u64 {
    let files = fs::read_dir(dir.path())
        .expect("the directory")
        .map(|f| f.expect("a file").metadata());
    files
        .map(|m| m.expect("its size").len().div_ceil(BLOCK_BYTES) * BLOCK_BYTES)
        .sum()
}

fn open(dir: &TempDir) -> (Journal, Vec<StoredMessage>) {
    open_within(dir, LIMIT)
}

fn open_within(dir: &TempDir, limit: u64) -> (Journal, Vec<StoredMessage>) {
    Journal::open(dir.path(), limit).expect("the journal opens")
}

/// A kill may cut a write at any byte: the records before it are recovered, and writing goes on.
#[test]
fn a_journal_cut_at_any_byte_keeps_the_whole_records() {
    let dir = TempDir::new().expect("a directory");
    let (mut journal, _) = open(&dir);
    let file = path(dir.path(), 0);
    let size = || fs::metadata(&file).expect("the segment").len();
    // After each write: the file's length and the messages that a restart there must find.
    let mut stages = vec![(0, Vec::new())];
    let mut add_stage = |journal: &mut Journal| {
        let mut messages = journal.live.messages();
        for message in &mut messages {
            message.assume_effect_of_attempts_out();
        }
        stages.push((size(), messages));
    };
    let first = journal.accept(message(1, 40)).expect("room");
    add_stage(&mut journal);
    journal.attempt_started(first, 0, 500, 1).expect("room");
    add_stage(&mut journal);
    let second = journal.accept(message(2, 0)).expect("room");
    add_stage(&mut journal);
    journal.attempt_ended(first, 0, false).expect("room");
    add_stage(&mut journal);
    journal.attempt_started(first, 1, 900, 0).expect("room");
    add_stage(&mut journal);
    journal
        .report_pending(
            second,
            Ending::Rejected {
                retry_after: Some(9),
            },
        )
        .expect("room");
    add_stage(&mut journal);
    journal.ended(first).expect("room");
    add_stage(&mut journal);
    drop(journal);
    let whole = fs::read(&file).expect("the segment");
    for cut in 0..=whole.len() {
        let dir = TempDir::new().expect("a directory");
        fs::write(path(dir.path(), 0), &whole[..cut]).expect("written");
        let (mut journal, found) = open(&dir);
        let (_, wanted) = stages
            .iter()
            .rfind(|(end, _)| *end <= cut as u64)
            .expect("a stage");
        assert_eq!(&found, wanted, "cut at {cut}");
        let serial = journal.accept(message(9, 10)).expect("room");
        assert!(found.iter().all(|message| message.serial != serial));
        drop(journal);
        assert_eq!(open(&dir).1.len(), wanted.len() + 1, "cut at {cut}");
    }
}

/// Attempts out at the end of a run may have taken effect; those that ended without one have not.
#[test]
fn attempts_out_at_the_end_of_a_run_may_have_taken_effect() {
    let dir = TempDir::new().expect("a directory");
    let (mut journal, _) = open(&dir);
    let serial = journal.accept(message(1, 5)).expect("room");
    for (attempt, at) in [(0, 100), (1, 200), (2, 300)] {
        journal
            .attempt_started(serial, attempt, at, attempt.into())
            .expect("room");
        if attempt != 1 {
            journal.attempt_ended(serial, attempt, false).expect("room");
        }
    }
    drop(journal);
    let (_, found) = open(&dir);
    let effect = StoredEffect {
        started_at: 200,
        zone: 1,
    };
    assert_eq!(found[0].attempts, 3);
    assert_eq!(found[0].possible_effect, Some(effect));
    // A second restart finds the same.
    assert_eq!(open(&dir).1, found);
}

/// A journal with a damaged byte opens, and the messages of its other segments are recovered.
#[test]
fn a_damaged_byte_hides_only_what_follows_in_its_segment() {
    let dir = TempDir::new().expect("a directory");
    let (mut journal, _) = open(&dir);
    journal.accept(message(1, 10)).expect("room");
    journal.accept(message(2, 10)).expect("room");
    drop(journal);
    let (mut journal, _) = open(&dir); // each start creates a new segment
    journal.accept(message(3, 10)).expect("room");
    drop(journal);
    let file = path(dir.path(), 0);
    let whole = fs::read(&file).expect("the segment");
    for at in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[at] ^= 0x10;
        fs::write(&file, damaged).expect("written");
        let (_, found) = open(&dir);
        assert!(
            found
                .iter()
                .any(|message| message.request_id == format!("{:016x}", 3)),
            "byte {at}"
        );
        assert!(
            found.iter().all(|k| *k
                == StoredMessage {
                    serial: k.serial,
                    ..message(k.serial + 1, 10)
                }),
            "byte {at}"
        );
    }
}

#[derive(Clone, Debug)]
enum Step {
    Accept(u16),
    Attempt(u8),
    Report(u8),
    End(u8),
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 16 {
            0..=5 => Step::Accept(u16::arbitrary(g)),
            6..=9 => Step::Attempt(u8::arbitrary(g)),
            10 => Step::Report(u8::arbitrary(g)),
            11..=14 => Step::End(u8::arbitrary(g)),
            _ => Step::Restart,
        }
    }
}

/// The files never exceed the limit, and a message that has room at its acceptance is never lost for want of it.
#[test]
fn the_disk_limit_holds_and_no_accepted_message_is_lost() {
    fn run(steps: Vec<Step>, limit: u8) -> Result<(), String> {
        let limit = [100_000, 300_000, 900_000][usize::from(limit % 3)];
        let dir = TempDir::new().map_err(|e| e.to_string())?;
        let (mut journal, _) = open_within(&dir, limit);
        let mut wanted: BTreeMap<u64, StoredMessage> = BTreeMap::new();
        for (n, step) in steps.into_iter().enumerate() {
            let pick = |n: u8| wanted.keys().nth(n as usize % wanted.len().max(1)).copied();
            match step {
                Step::Accept(size) => {
                    let new = message(n as u64, usize::from(size));
                    if !journal.has_room(&new) {
                        continue;
                    }
                    let serial = journal
                        .accept(new.clone())
                        .map_err(|e| format!("accept: {e}"))?;
                    wanted.insert(serial, StoredMessage { serial, ..new });
                }
                Step::Attempt(n) => {
                    let Some(stored) = pick(n).and_then(|s| wanted.get_mut(&s)) else {
                        continue;
                    };
                    let attempt = stored.attempts as u8;
                    journal
                        .attempt_started(stored.serial, attempt, n.into(), 0)
                        .map_err(|e| format!("attempt: {e}"))?;
                    journal
                        .attempt_ended(stored.serial, attempt, n.is_multiple_of(2))
                        .map_err(|e| format!("attempt: {e}"))?;
                    stored.attempts += 1;
                    if n.is_multiple_of(2) {
                        stored.add_possible_effect(StoredEffect {
                            started_at: n.into(),
                            zone: 0,
                        });
                    }
                }
                Step::Report(n) => {
                    let Some(serial) = pick(n) else { continue };
                    journal
                        .report_pending(serial, Ending::Failed)
                        .map_err(|e| format!("report: {e}"))?;
                    wanted
                        .entry(serial)
                        .and_modify(|stored| stored.pending_report = Some(Ending::Failed));
                }
                Step::End(n) => {
                    let Some(serial) = pick(n) else { continue };
                    journal.ended(serial).map_err(|e| format!("end: {e}"))?;
                    wanted.remove(&serial);
                }
                Step::Restart => {
                    drop(journal);
                    let found;
                    (journal, found) = open_within(&dir, limit);
                    let all: Vec<StoredMessage> = wanted.values().cloned().collect();
                    if found != all {
                        return Err(format!(
                            "{} messages found, {} wanted",
                            found.len(),
                            all.len()
                        ));
                    }
                }
            }
            if on_disk(&dir) > limit {
                return Err(format!("{} bytes on disk after step {n}", on_disk(&dir)));
            }
        }
        Ok(())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, 20_261_201))
        .tests(120)
        .quickcheck(run as fn(Vec<Step>, u8) -> Result<(), String>);
}

/// After a restart a withdrawn attempt counts neither as an attempt nor as one that may have taken effect.
#[test]
fn a_withdrawn_attempt_leaves_no_trace() {
    let dir = TempDir::new().expect("a directory");
    let (mut journal, _) = open(&dir);
    let serial = journal.accept(message(1, 40)).expect("room");
    journal.attempt_started(serial, 0, 900, 1).expect("room");
    journal.attempt_withdrawn(serial, 0).expect("room");
    assert_eq!(
        open(&dir).1,
        [StoredMessage {
            serial,
            ..message(1, 40)
        }]
    );
}

/// The records of earlier versions, whose destinations had 16 bits. Their field names are of no weight: the format has
/// none.
mod earlier {
    use super::*;

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct StoredMessage {
        pub serial: u64,
        pub request_id: String,
        pub class: u16,
        pub tenant: Option<u32>,
        pub destination: u16,
        pub expires: Micros,
        pub idempotency_key: Option<String>,
        pub again: bool,
        pub orphan: bool,
        pub body: Bytes,
        pub attempts: u32,
        pub exposed: Option<(Micros, u16)>,
        pub out: Vec<(u8, Micros, u16)>,
        pub pending_report: Option<Ending>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum Record {
        Message(StoredMessage),
        AttemptStarted {
            serial: u64,
            attempt: u8,
            at: Micros,
            zone: u16,
        },
        AttemptEnded {
            serial: u64,
            attempt: u8,
            may_have_taken_effect: bool,
        },
        Owes {
            serial: u64,
            ending: Ending,
        },
        Ended {
            serial: u64,
        },
        Keyed(StoredMessage, u64),
    }

    pub fn of(
        stored: &super::StoredMessage,
        destination: u16,
        pending_report: Option<Ending>,
    ) -> Record {
        let stored = stored.clone();
        let effect = stored.possible_effect;
        let out = stored.attempts_out.iter();
        let old = StoredMessage {
            serial: stored.serial,
            request_id: stored.request_id,
            class: stored.class,
            tenant: stored.tenant,
            destination,
            expires: stored.deadline,
            idempotency_key: stored.idempotency_key,
            again: stored.resubmitted,
            orphan: stored.from_failed_forwarder,
            body: stored.body.clone(),
            attempts: stored.attempts,
            exposed: effect.map(|effect| (effect.started_at, effect.zone)),
            out: out
                .map(|out| (out.attempt, out.started_at, out.zone))
                .collect(),
            pending_report,
        };
        match stored.key {
            Some(key) => Record::Keyed(old, key),
            None => Record::Message(old),
        }
    }

    pub fn read(segment: &[u8]) -> Option<Record> {
        let length = u32::from_le_bytes(segment[..4].try_into().ok()?) as usize;
        postcard::from_bytes(&segment[FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length]).ok()
    }

    pub fn frame(record: &Record) -> Vec<u8> {
        let body = postcard::to_allocvec(record).expect("it has a form");
        [
            &(body.len() as u32).to_le_bytes()[..],
            &crc32fast::hash(&body).to_le_bytes(),
            &body,
        ]
        .concat()
    }
}

fn message_to(destination: u32, n: u64, pending_report: Option<Ending>) -> StoredMessage {
    StoredMessage {
        destination,
        pending_report,
        attempts: 2,
        possible_effect: Some(StoredEffect {
            started_at: 5,
            zone: 1,
        }),
        attempts_out: vec![StoredAttempt {
            attempt: 1,
            started_at: 6,
            zone: 0,
        }],
        ..message(n, 40)
    }
}

/// This version and earlier ones write the same bytes for a destination of 16 bits.
#[test]
fn destinations_of_16_bits_are_stored_as_by_earlier_versions() {
    for (destination, n) in [
        (0, 1),
        (127, 4),
        (128, 2),
        (16_384, 8),
        (65_535, 3),
        (65_535, 12),
    ] {
        for pending_report in [
            None,
            Some(Ending::Failed),
            Some(Ending::Rejected {
                retry_after: Some(9),
            }),
        ] {
            let stored = message_to(destination, n, pending_report);
            let bytes = earlier::frame(&earlier::of(&stored, destination as u16, pending_report));
            assert_eq!(
                encode(&Record::message(stored.clone())).expect("a form"),
                bytes
            );
            let dir = TempDir::new().expect("a directory");
            fs::write(path(dir.path(), 0), &bytes).expect("written");
            let mut wanted = stored;
            wanted.assume_effect_of_attempts_out();
            assert_eq!(open(&dir).1, [wanted]);
        }
    }
}

/// An earlier version that takes the directory over reports a message to a larger destination as failed.
#[test]
fn larger_destinations_are_stored_and_earlier_versions_fail_their_messages() {
    for (destination, n) in [(65_536, 1), (70_000, 2), (70_000, 4), (u32::MAX, 8)] {
        for (pending_report, theirs) in [
            (None, Ending::Failed),
            (Some(Ending::Failed), Ending::Failed),
            (
                Some(Ending::Rejected { retry_after: None }),
                Ending::Rejected { retry_after: None },
            ),
        ] {
            let dir = TempDir::new().expect("a directory");
            let (mut journal, _) = open(&dir);
            let stored = message_to(destination, n, pending_report);
            let serial = journal.accept(stored.clone()).expect("room");
            drop(journal);
            let segment = fs::read(path(dir.path(), 0)).expect("the segment");
            assert_eq!(
                earlier::read(&segment),
                Some(earlier::of(&stored, u16::MAX, Some(theirs)))
            );
            let mut wanted = StoredMessage { serial, ..stored };
            wanted.assume_effect_of_attempts_out();
            assert_eq!(open(&dir).1, [wanted.clone()]);
            // An earlier version that copies the message keeps its pending report.
            let copied = earlier::frame(&earlier::of(&wanted, u16::MAX, Some(theirs)));
            fs::write(path(dir.path(), 0), copied).expect("written");
            assert_eq!(
                open(&dir).1,
                [StoredMessage {
                    destination: MAX_DESTINATION_OF_EARLIER_VERSIONS,
                    pending_report: Some(theirs),
                    ..wanted
                }]
            );
        }
    }
}

/// Bytes after a record that are not whole make it unreadable, as damage does.
#[test]
fn the_bytes_after_a_record_are_read_whole_or_not_at_all() {
    let stored = message_to(70_000, 1, None);
    let body = encode_body(&Record::message(stored.clone())).expect("a form");
    let behind = postcard::to_allocvec(&LargeDestination {
        destination: 70_000,
        pending_report: None,
    })
    .expect("a form");
    for cut in 1..behind.len() {
        assert!(
            decode_body(&body[..body.len() - cut]).is_err(),
            "{cut} bytes cut off"
        );
    }
    assert!(matches!(decode_body(&body), Ok(Record::Message(found)) if found == stored));
}
