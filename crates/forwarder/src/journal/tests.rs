use super::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tempfile::TempDir;

const LIMIT: u64 = 300_000;

fn message(n: u64, body: usize) -> StoredMessage {
    StoredMessage {
        serial: 0,
        request_id: format!("{n:016x}"),
        class: 1,
        tenant: (n % 7 < 3).then_some(n as u32),
        destination: if n.is_multiple_of(6) { 70_000 } else { 7 },
        expires: 1_000_000 + n,
        idempotency_key: n.is_multiple_of(2).then(|| format!("idempotency_key-{n}")),
        again: n.is_multiple_of(3),
        orphan: n.is_multiple_of(5),
        body: Bytes::from(vec![n as u8; body]),
        key: n.is_multiple_of(4).then_some(n),
        attempts: 0,
        exposed: None,
        out: Vec::new(),
        pending_report: None,
    }
}

fn on_disk(dir: &TempDir) -> u64 {
    let files = fs::read_dir(dir.path())
        .expect("the folder")
        .map(|f| f.expect("a file").metadata());
    files
        .map(|m| m.expect("its size").len().div_ceil(BLOCK) * BLOCK)
        .sum()
}

fn open(dir: &TempDir) -> (Journal, Vec<StoredMessage>) {
    open_within(dir, LIMIT)
}

fn open_within(dir: &TempDir, limit: u64) -> (Journal, Vec<StoredMessage>) {
    Journal::open(dir.path(), limit).expect("the journal opens")
}

/// Guards against a kill at any moment of a write: what was whole before it is kept, and writing goes on.
#[test]
fn a_journal_cut_at_any_byte_keeps_what_was_whole() {
    let dir = TempDir::new().expect("a folder");
    let (mut journal, _) = open(&dir);
    let file = path(dir.path(), 0);
    let size = || fs::metadata(&file).expect("the segment").len();
    // After each write: the file's length and the messages that a restart there must find.
    let mut stages = vec![(0, Vec::new())];
    let mut note = |journal: &mut Journal| {
        let mut all: Vec<StoredMessage> = journal.live.values().map(|(k, _)| k.clone()).collect();
        all.iter_mut().for_each(StoredMessage::forget_out);
        stages.push((size(), all));
    };
    let first = journal.accept(message(1, 40)).expect("room");
    note(&mut journal);
    journal.attempt_started(first, 0, 500, 1).expect("room");
    note(&mut journal);
    let second = journal.accept(message(2, 0)).expect("room");
    note(&mut journal);
    journal.attempt_ended(first, 0, false).expect("room");
    note(&mut journal);
    journal.attempt_started(first, 1, 900, 0).expect("room");
    note(&mut journal);
    journal
        .owes(
            second,
            Ending::Rejected {
                retry_after: Some(9),
            },
        )
        .expect("room");
    note(&mut journal);
    journal.ended(first).expect("room");
    note(&mut journal);
    drop(journal);
    let whole = fs::read(&file).expect("the segment");
    for cut in 0..=whole.len() {
        let dir = TempDir::new().expect("a folder");
        fs::write(path(dir.path(), 0), &whole[..cut]).expect("written");
        let (mut journal, found) = open(&dir);
        let (_, wanted) = stages
            .iter()
            .rfind(|(end, _)| *end <= cut as u64)
            .expect("a stage");
        assert_eq!(&found, wanted, "cut at {cut}");
        let serial = journal.accept(message(9, 10)).expect("room");
        assert!(found.iter().all(|k| k.serial != serial));
        drop(journal);
        assert_eq!(open(&dir).1.len(), wanted.len() + 1, "cut at {cut}");
    }
}

#[test]
fn attempts_out_at_the_end_may_have_run_and_refused_ones_have_not() {
    let dir = TempDir::new().expect("a folder");
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
    assert_eq!((found[0].attempts, found[0].exposed), (3, Some((200, 1))));
    // Once more without news: the facts stay.
    assert_eq!(open(&dir).1, found);
}

/// Guards against a spoilt block: the journal opens, and messages of other segments are there.
#[test]
fn a_spoilt_byte_hides_only_what_follows_in_its_segment() {
    let dir = TempDir::new().expect("a folder");
    let (mut journal, _) = open(&dir);
    journal.accept(message(1, 10)).expect("room");
    journal.accept(message(2, 10)).expect("room");
    drop(journal);
    let (mut journal, _) = open(&dir); // a start begins a new segment
    journal.accept(message(3, 10)).expect("room");
    drop(journal);
    let file = path(dir.path(), 0);
    let whole = fs::read(&file).expect("the segment");
    for at in 0..whole.len() {
        let mut spoilt = whole.clone();
        spoilt[at] ^= 0x10;
        fs::write(&file, spoilt).expect("written");
        let (_, found) = open(&dir);
        assert!(
            found.iter().any(|k| k.request_id == format!("{:016x}", 3)),
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
    Owe(u8),
    End(u8),
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 16 {
            0..=5 => Step::Accept(u16::arbitrary(g)),
            6..=9 => Step::Attempt(u8::arbitrary(g)),
            10 => Step::Owe(u8::arbitrary(g)),
            11..=14 => Step::End(u8::arbitrary(g)),
            _ => Step::Restart,
        }
    }
}

/// Guards the platform's limit on the folder, copies included: a message that fits is never lost for want of room.
#[test]
fn the_disk_limit_holds_and_nothing_taken_on_is_lost() {
    fn run(steps: Vec<Step>, limit: u8) -> Result<(), String> {
        let limit = [100_000, 300_000, 900_000][usize::from(limit % 3)];
        let dir = TempDir::new().map_err(|e| e.to_string())?;
        let (mut journal, _) = open_within(&dir, limit);
        let mut wanted: BTreeMap<u64, StoredMessage> = BTreeMap::new();
        for (n, step) in steps.into_iter().enumerate() {
            let pick = |n: u8| wanted.keys().nth(n as usize % wanted.len().max(1)).copied();
            match step {
                Step::Accept(size) => {
                    let kept = message(n as u64, usize::from(size));
                    if !journal.has_room(&kept) {
                        continue;
                    }
                    let serial = journal
                        .accept(kept.clone())
                        .map_err(|e| format!("accept: {e}"))?;
                    wanted.insert(serial, StoredMessage { serial, ..kept });
                }
                Step::Attempt(n) => {
                    let Some(kept) = pick(n).and_then(|s| wanted.get_mut(&s)) else {
                        continue;
                    };
                    let attempt = kept.attempts as u8;
                    journal
                        .attempt_started(kept.serial, attempt, n.into(), 0)
                        .map_err(|e| format!("trip: {e}"))?;
                    journal
                        .attempt_ended(kept.serial, attempt, n.is_multiple_of(2))
                        .map_err(|e| format!("trip: {e}"))?;
                    kept.attempts += 1;
                    if n.is_multiple_of(2) {
                        kept.expose(n.into(), 0);
                    }
                }
                Step::Owe(n) => {
                    let Some(serial) = pick(n) else { continue };
                    journal
                        .owes(serial, Ending::Failed)
                        .map_err(|e| format!("owe: {e}"))?;
                    wanted
                        .entry(serial)
                        .and_modify(|k| k.pending_report = Some(Ending::Failed));
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
                            "{} packets found, {} wanted",
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

/// An attempt that was withdrawn never went: after a restart it counts neither as an attempt nor as one that may have run.
#[test]
fn a_attempt_taken_back_leaves_no_trace() {
    let dir = TempDir::new().expect("a folder");
    let (mut journal, _) = open(&dir);
    let serial = journal.accept(message(1, 40)).expect("room");
    journal.attempt_started(serial, 0, 900, 1).expect("room");
    journal.attempt_taken_back(serial, 0).expect("room");
    assert_eq!(
        open(&dir).1,
        [StoredMessage {
            serial,
            ..message(1, 40)
        }]
    );
}

/// The records as versions wrote and read them whose destinations had 16 bits.
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
        kept: &super::StoredMessage,
        destination: u16,
        pending_report: Option<Ending>,
    ) -> Record {
        let kept = kept.clone();
        let old = StoredMessage {
            serial: kept.serial,
            request_id: kept.request_id,
            class: kept.class,
            tenant: kept.tenant,
            destination,
            expires: kept.expires,
            idempotency_key: kept.idempotency_key,
            again: kept.again,
            orphan: kept.orphan,
            body: kept.body,
            attempts: kept.attempts,
            exposed: kept.exposed,
            out: kept.out,
            pending_report,
        };
        match kept.key {
            Some(key) => Record::Keyed(old, key),
            None => Record::Message(old),
        }
    }

    pub fn read(segment: &[u8]) -> Option<Record> {
        let length = u32::from_le_bytes(segment[..4].try_into().ok()?) as usize;
        postcard::from_bytes(&segment[HEADER..HEADER + length]).ok()
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

fn to(destination: u32, n: u64, pending_report: Option<Ending>) -> StoredMessage {
    StoredMessage {
        destination,
        pending_report,
        attempts: 2,
        exposed: Some((5, 1)),
        out: vec![(1, 6, 0)],
        ..message(n, 40)
    }
}

/// Guards messages over the change of versions: both write the same bytes for the destinations that both have.
#[test]
fn destinations_of_16_bits_are_kept_as_earlier_versions_keep_them() {
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
            let kept = to(destination, n, pending_report);
            let bytes = earlier::frame(&earlier::of(&kept, destination as u16, pending_report));
            assert_eq!(
                encode(&Record::message(kept.clone())).expect("a form"),
                bytes
            );
            let dir = TempDir::new().expect("a folder");
            fs::write(path(dir.path(), 0), &bytes).expect("written");
            let mut wanted = kept;
            wanted.forget_out();
            assert_eq!(open(&dir).1, [wanted]);
        }
    }
}

/// Guards rule 1 where an earlier version takes the folder over: it owes a message that it can't send its end.
#[test]
fn larger_destinations_are_kept_and_earlier_versions_write_their_messages_off() {
    for (destination, n) in [(65_536, 1), (70_000, 2), (70_000, 4), (u32::MAX, 8)] {
        for (pending_report, theirs) in [
            (None, Ending::Failed),
            (Some(Ending::Failed), Ending::Failed),
            (
                Some(Ending::Rejected { retry_after: None }),
                Ending::Rejected { retry_after: None },
            ),
        ] {
            let dir = TempDir::new().expect("a folder");
            let (mut journal, _) = open(&dir);
            let kept = to(destination, n, pending_report);
            let serial = journal.accept(kept.clone()).expect("room");
            drop(journal);
            let segment = fs::read(path(dir.path(), 0)).expect("the segment");
            assert_eq!(
                earlier::read(&segment),
                Some(earlier::of(&kept, u16::MAX, Some(theirs)))
            );
            let mut wanted = StoredMessage { serial, ..kept };
            wanted.forget_out();
            assert_eq!(open(&dir).1, [wanted.clone()]);
            // An earlier version that copies the message on keeps the end that it owes.
            let copied = earlier::frame(&earlier::of(&wanted, u16::MAX, Some(theirs)));
            fs::write(path(dir.path(), 0), copied).expect("written");
            assert_eq!(
                open(&dir).1,
                [StoredMessage {
                    destination: EARLIER_MOST,
                    pending_report: Some(theirs),
                    ..wanted
                }]
            );
        }
    }
}

/// Bytes behind a record that are none of ours end the segment, as a spoilt record does.
#[test]
fn what_stands_behind_a_record_is_read_whole_or_not_at_all() {
    let kept = to(70_000, 1, None);
    let body = encode_body(&Record::message(kept.clone())).expect("a form");
    let behind = postcard::to_allocvec(&BeyondEarlier {
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
    assert!(matches!(decode_body(&body), Ok(Record::Message(found)) if found == kept));
}
