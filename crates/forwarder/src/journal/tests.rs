use super::record::*;
use super::segment::{path, BLOCK_BYTES};
use super::*;
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use tempfile::TempDir;

const LIMIT_BYTES: u64 = 300_000;

fn message(seed: u64, body_bytes: usize) -> StoredMessage {
    StoredMessage {
        serial: 0,
        request_id: format!("{seed:016x}"),
        class: 1,
        tenant: (seed % 7 < 3).then_some(seed as u32),
        destination: if seed.is_multiple_of(6) { 70_000 } else { 7 },
        deadline: 1_000_000 + seed,
        idempotency_key: seed
            .is_multiple_of(2)
            .then(|| format!("idempotency_key-{seed}")),
        resubmitted: seed.is_multiple_of(3),
        from_failed_forwarder: seed.is_multiple_of(5),
        body: Bytes::from(vec![seed as u8; body_bytes]),
        order_key: seed.is_multiple_of(4).then_some(seed),
        attempts_started: 0,
        possible_effect: None,
        attempts_in_flight: Vec::new(),
        pending_report: None,
    }
}

fn bytes_on_disk(dir: &TempDir) -> u64 {
    let files = fs::read_dir(dir.path())
        .expect("the directory is readable")
        .map(|file| file.expect("the directory entry is readable").metadata());
    files
        .map(|metadata| {
            metadata
                .expect("the file has metadata")
                .len()
                .div_ceil(BLOCK_BYTES)
                * BLOCK_BYTES
        })
        .sum()
}

fn open(dir: &TempDir) -> (Journal, Vec<StoredMessage>) {
    open_with_limit(dir, LIMIT_BYTES)
}

fn open_with_limit(dir: &TempDir, limit_bytes: u64) -> (Journal, Vec<StoredMessage>) {
    Journal::open(dir.path(), limit_bytes, StoredNames::default()).expect("the journal opens")
}

/// Guards against the loss of records when the process is killed during a write, which can cut the segment off at any
/// byte: the whole records before the cut are recovered, and new records can be written.
#[test]
fn recovers_whole_records_of_segment_truncated_at_any_byte() {
    let dir = TempDir::new().expect("a temporary directory is created");
    let (mut journal, _) = open(&dir);
    let file = path(dir.path(), 0);
    let segment_len = || fs::metadata(&file).expect("the segment file exists").len();
    // For each write: the length of the file after it, and the messages that a restart at this length must recover.
    let mut stages = vec![(0, Vec::new())];
    let mut add_stage = |journal: &mut Journal| {
        let mut messages = journal.live.messages();
        for message in &mut messages {
            message.assume_effect_of_attempts_in_flight();
        }
        stages.push((segment_len(), messages));
    };
    let first = journal
        .record_message(message(1, 40))
        .expect("the journal has space");
    add_stage(&mut journal);
    journal
        .record_attempt_start(first, 0, 500, 1)
        .expect("the journal has space");
    add_stage(&mut journal);
    let second = journal
        .record_message(message(2, 0))
        .expect("the journal has space");
    add_stage(&mut journal);
    journal
        .record_attempt_end(first, 0, false)
        .expect("the journal has space");
    add_stage(&mut journal);
    journal
        .record_attempt_start(first, 1, 900, 0)
        .expect("the journal has space");
    add_stage(&mut journal);
    journal
        .record_pending_report(
            second,
            Ending::Rejected {
                retry_after: Some(9),
            },
        )
        .expect("the journal has space");
    add_stage(&mut journal);
    journal
        .record_message_end(first)
        .expect("the journal has space");
    add_stage(&mut journal);
    drop(journal);
    let segment_bytes = fs::read(&file).expect("the segment file exists");
    for cut in 0..=segment_bytes.len() {
        let dir = TempDir::new().expect("a temporary directory is created");
        fs::write(path(dir.path(), 0), &segment_bytes[..cut]).expect("the file is written");
        let (mut journal, recovered) = open(&dir);
        let (_, expected) = stages
            .iter()
            .rfind(|(len, _)| *len <= cut as u64)
            .expect("the first stage has length 0");
        assert_eq!(
            &recovered, expected,
            "messages recovered from the segment truncated to {cut} bytes"
        );
        let serial = journal
            .record_message(message(9, 10))
            .expect("the journal has space");
        assert!(recovered.iter().all(|message| message.serial != serial));
        drop(journal);
        assert_eq!(
            open(&dir).1.len(),
            expected.len() + 1,
            "number of messages recovered after another one was recorded, with the segment truncated to {cut} bytes"
        );
    }
}

/// Attempts in flight at the end of a run may have taken effect. Attempts that were recorded as ended without effect
/// have not.
#[test]
fn recovers_attempts_without_outcome_as_possible_effects() {
    let dir = TempDir::new().expect("a temporary directory is created");
    let (mut journal, _) = open(&dir);
    let serial = journal
        .record_message(message(1, 5))
        .expect("the journal has space");
    for (attempt_index, started_at) in [(0, 100), (1, 200), (2, 300)] {
        journal
            .record_attempt_start(serial, attempt_index, started_at, attempt_index.into())
            .expect("the journal has space");
        if attempt_index != 1 {
            journal
                .record_attempt_end(serial, attempt_index, false)
                .expect("the journal has space");
        }
    }
    drop(journal);
    let (_, recovered) = open(&dir);
    let effect = StoredEffect {
        started_at: 200,
        zone: 1,
    };
    assert_eq!(recovered[0].attempts_started, 3);
    assert_eq!(recovered[0].possible_effect, Some(effect));
    // A second restart recovers the same messages.
    assert_eq!(open(&dir).1, recovered);
}

/// A journal with a corrupted byte can be opened. The messages of its other segments are recovered, and no recovered
/// message differs from the original.
#[test]
fn corrupted_byte_loses_only_records_of_its_segment() {
    let dir = TempDir::new().expect("a temporary directory is created");
    let (mut journal, _) = open(&dir);
    journal
        .record_message(message(1, 10))
        .expect("the journal has space");
    journal
        .record_message(message(2, 10))
        .expect("the journal has space");
    drop(journal);
    let (mut journal, _) = open(&dir); // each start creates a segment
    journal
        .record_message(message(3, 10))
        .expect("the journal has space");
    drop(journal);
    let file = path(dir.path(), 0);
    let segment_bytes = fs::read(&file).expect("the segment file exists");
    for index in 0..segment_bytes.len() {
        let mut corrupted = segment_bytes.clone();
        corrupted[index] ^= 0x10;
        fs::write(&file, corrupted).expect("the file is written");
        let (_, recovered) = open(&dir);
        assert!(
            recovered
                .iter()
                .any(|message| message.request_id == format!("{:016x}", 3)),
            "expected the message of the second segment despite corrupted byte {index} of the first"
        );
        assert!(
            recovered.iter().all(|recovered_message| *recovered_message
                == StoredMessage {
                    serial: recovered_message.serial,
                    ..message(recovered_message.serial + 1, 10)
                }),
            "expected recovered messages to equal the originals despite corrupted byte {index}"
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

/// The files never exceed the size limit, and a message that the journal had space for when it was accepted is never
/// lost for lack of space.
#[test]
fn stays_within_disk_limit_and_recovers_every_accepted_message() {
    fn run(steps: Vec<Step>, limit_choice: u8) -> Result<(), String> {
        let limit_bytes = [100_000, 300_000, 900_000][usize::from(limit_choice % 3)];
        let dir = TempDir::new().map_err(|e| e.to_string())?;
        let (mut journal, _) = open_with_limit(&dir, limit_bytes);
        let mut expected: BTreeMap<u64, StoredMessage> = BTreeMap::new();
        for (step_index, step) in steps.into_iter().enumerate() {
            let pick = |choice: u8| {
                expected
                    .keys()
                    .nth(choice as usize % expected.len().max(1))
                    .copied()
            };
            match step {
                Step::Accept(body_bytes) => {
                    let new_message = message(step_index as u64, usize::from(body_bytes));
                    if !journal.has_space_for(&new_message) {
                        continue;
                    }
                    let serial = journal
                        .record_message(new_message.clone())
                        .map_err(|e| format!("cannot record the message: {e}"))?;
                    expected.insert(
                        serial,
                        StoredMessage {
                            serial,
                            ..new_message
                        },
                    );
                }
                Step::Attempt(choice) => {
                    let Some(stored) = pick(choice).and_then(|serial| expected.get_mut(&serial))
                    else {
                        continue;
                    };
                    let attempt_index = stored.attempts_started as u8;
                    journal
                        .record_attempt_start(stored.serial, attempt_index, choice.into(), 0)
                        .map_err(|e| format!("cannot record the start of the attempt: {e}"))?;
                    journal
                        .record_attempt_end(stored.serial, attempt_index, choice.is_multiple_of(2))
                        .map_err(|e| format!("cannot record the end of the attempt: {e}"))?;
                    stored.attempts_started += 1;
                    if choice.is_multiple_of(2) {
                        stored.add_possible_effect(StoredEffect {
                            started_at: choice.into(),
                            zone: 0,
                        });
                    }
                }
                Step::Report(choice) => {
                    let Some(serial) = pick(choice) else { continue };
                    journal
                        .record_pending_report(serial, Ending::Failed)
                        .map_err(|e| format!("cannot record the pending report: {e}"))?;
                    expected
                        .entry(serial)
                        .and_modify(|stored| stored.pending_report = Some(Ending::Failed));
                }
                Step::End(choice) => {
                    let Some(serial) = pick(choice) else { continue };
                    journal
                        .record_message_end(serial)
                        .map_err(|e| format!("cannot record the end of the message: {e}"))?;
                    expected.remove(&serial);
                }
                Step::Restart => {
                    drop(journal);
                    let recovered;
                    (journal, recovered) = open_with_limit(&dir, limit_bytes);
                    let all_expected: Vec<StoredMessage> = expected.values().cloned().collect();
                    if recovered != all_expected {
                        return Err(format!(
                            "recovered {} messages, expected {}",
                            recovered.len(),
                            all_expected.len()
                        ));
                    }
                }
            }
            if bytes_on_disk(&dir) > limit_bytes {
                return Err(format!(
                    "{} bytes on disk after step {step_index} exceed the limit",
                    bytes_on_disk(&dir)
                ));
            }
        }
        Ok(())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, 20_261_201))
        .tests(120)
        .quickcheck(run as fn(Vec<Step>, u8) -> Result<(), String>);
}

/// After a restart, a withdrawn attempt counts neither as an attempt nor as one that may have taken effect.
#[test]
fn does_not_count_withdrawn_attempt_after_restart() {
    let dir = TempDir::new().expect("a temporary directory is created");
    let (mut journal, _) = open(&dir);
    let serial = journal
        .record_message(message(1, 40))
        .expect("the journal has space");
    journal
        .record_attempt_start(serial, 0, 900, 1)
        .expect("the journal has space");
    journal
        .record_attempt_withdrawal(serial, 0)
        .expect("the journal has space");
    assert_eq!(
        open(&dir).1,
        [StoredMessage {
            serial,
            ..message(1, 40)
        }]
    );
}

/// The records of earlier versions, which stored destinations with 16 bits. The names of the fields may differ, because
/// the format contains no field names.
mod earlier_version {
    use super::*;

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct StoredMessage {
        pub serial: u64,
        pub request_id: String,
        pub class: u16,
        pub tenant: Option<u32>,
        pub destination: u16,
        pub deadline: Micros,
        pub idempotency_key: Option<String>,
        pub resubmitted: bool,
        pub from_failed_forwarder: bool,
        pub body: Bytes,
        pub attempts_started: u32,
        pub possible_effect: Option<(Micros, u16)>,
        pub attempts_in_flight: Vec<(u8, Micros, u16)>,
        pub pending_report: Option<Ending>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum Record {
        Message(StoredMessage),
        AttemptStarted {
            serial: u64,
            attempt_index: u8,
            started_at: Micros,
            zone: u16,
        },
        AttemptEnded {
            serial: u64,
            attempt_index: u8,
            may_have_taken_effect: bool,
        },
        PendingReport {
            serial: u64,
            ending: Ending,
        },
        MessageEnded {
            serial: u64,
        },
        OrderedMessage(StoredMessage, u64),
    }

    pub fn record_of(
        stored: &super::StoredMessage,
        destination: u16,
        pending_report: Option<Ending>,
    ) -> Record {
        let stored = stored.clone();
        let effect = stored.possible_effect;
        let attempts = stored.attempts_in_flight.iter();
        let message = StoredMessage {
            serial: stored.serial,
            request_id: stored.request_id,
            class: stored.class,
            tenant: stored.tenant,
            destination,
            deadline: stored.deadline,
            idempotency_key: stored.idempotency_key,
            resubmitted: stored.resubmitted,
            from_failed_forwarder: stored.from_failed_forwarder,
            body: stored.body.clone(),
            attempts_started: stored.attempts_started,
            possible_effect: effect.map(|effect| (effect.started_at, effect.zone)),
            attempts_in_flight: attempts
                .map(|attempt| (attempt.attempt_index, attempt.started_at, attempt.zone))
                .collect(),
            pending_report,
        };
        match stored.order_key {
            Some(order_key) => Record::OrderedMessage(message, order_key),
            None => Record::Message(message),
        }
    }

    pub fn decode_frame(segment: &[u8]) -> Option<Record> {
        let payload_len = u32::from_le_bytes(segment[..4].try_into().ok()?) as usize;
        postcard::from_bytes(&segment[FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + payload_len]).ok()
    }

    pub fn encode_frame(record: &Record) -> Vec<u8> {
        let payload = postcard::to_allocvec(record).expect("the record is encoded");
        [
            &(payload.len() as u32).to_le_bytes()[..],
            &crc32fast::hash(&payload).to_le_bytes(),
            &payload,
        ]
        .concat()
    }
}

fn message_to(destination: u32, seed: u64, pending_report: Option<Ending>) -> StoredMessage {
    StoredMessage {
        destination,
        pending_report,
        attempts_started: 2,
        possible_effect: Some(StoredEffect {
            started_at: 5,
            zone: 1,
        }),
        attempts_in_flight: vec![StoredAttempt {
            attempt_index: 1,
            started_at: 6,
            zone: 0,
        }],
        ..message(seed, 40)
    }
}

/// This version and earlier versions write the same bytes for a destination that fits in 16 bits.
#[test]
fn writes_same_bytes_as_earlier_versions_for_16_bit_destinations() {
    for (destination, seed) in [
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
            let stored = message_to(destination, seed, pending_report);
            let bytes = earlier_version::encode_frame(&earlier_version::record_of(
                &stored,
                destination as u16,
                pending_report,
            ));
            assert_eq!(
                encode_frame(&Record::message(stored.clone())).expect("the record is encoded"),
                bytes
            );
            let dir = TempDir::new().expect("a temporary directory is created");
            fs::write(path(dir.path(), 0), &bytes).expect("the file is written");
            let mut expected = stored;
            expected.assume_effect_of_attempts_in_flight();
            assert_eq!(open(&dir).1, [expected]);
        }
    }
}

/// An earlier version that opens the directory reports a message to a destination above 16 bits as failed.
#[test]
fn stores_larger_destinations_so_that_earlier_versions_fail_their_messages() {
    for (destination, seed) in [(65_536, 1), (70_000, 2), (70_000, 4), (u32::MAX, 8)] {
        for (pending_report, reported_by_earlier) in [
            (None, Ending::Failed),
            (Some(Ending::Failed), Ending::Failed),
            (
                Some(Ending::Rejected { retry_after: None }),
                Ending::Rejected { retry_after: None },
            ),
        ] {
            let dir = TempDir::new().expect("a temporary directory is created");
            let (mut journal, _) = open(&dir);
            let stored = message_to(destination, seed, pending_report);
            let serial = journal
                .record_message(stored.clone())
                .expect("the journal has space");
            drop(journal);
            let segment = fs::read(path(dir.path(), 0)).expect("the segment file exists");
            assert_eq!(
                earlier_version::decode_frame(&segment),
                Some(earlier_version::record_of(
                    &stored,
                    u16::MAX,
                    Some(reported_by_earlier)
                ))
            );
            let mut expected = StoredMessage { serial, ..stored };
            expected.assume_effect_of_attempts_in_flight();
            assert_eq!(open(&dir).1, [expected.clone()]);
            // An earlier version that copies the message keeps its pending report.
            let copied_frame = earlier_version::encode_frame(&earlier_version::record_of(
                &expected,
                u16::MAX,
                Some(reported_by_earlier),
            ));
            fs::write(path(dir.path(), 0), copied_frame).expect("the file is written");
            assert_eq!(
                open(&dir).1,
                [StoredMessage {
                    destination: MAX_DESTINATION_OF_EARLIER_VERSIONS,
                    pending_report: Some(reported_by_earlier),
                    ..expected
                }]
            );
        }
    }
}

/// A record with a truncated trailer cannot be decoded, like any other corrupted record.
#[test]
fn rejects_record_with_truncated_trailer() {
    let stored = message_to(70_000, 1, None);
    let payload = encode_payload(&Record::message(stored.clone())).expect("the record is encoded");
    let trailer = postcard::to_allocvec(&LargeDestinationTrailer {
        destination: 70_000,
        pending_report: None,
    })
    .expect("the trailer is encoded");
    for cut in 1..trailer.len() {
        assert!(
            decode_payload(&payload[..payload.len() - cut]).is_err(),
            "expected an error with the trailer shortened by {cut} bytes"
        );
    }
    assert!(
        matches!(decode_payload(&payload), Ok(Record::Message(recovered)) if recovered == stored)
    );
}
