//! Checks that stored data can still be read after an update of the program. The folders under `tests/golden/` were
//! written by an earlier version. The same messages, attempts and pending completion reports must be recovered from them,
//! and the same operations must write the same bytes.
//!
//! `state-by-operations` contains the files that the operations below write. `state-by-program` is the state folder of a
//! forwarder process that was killed under load: one message was delivered; others had attempts in flight at endpoints that
//! did not respond, or waited after a 429, for the preceding message of their order key, or for a connection to an endpoint
//! that then drained; and one completion report was not acknowledged.

use super::segment::path;
use super::*;
use crate::golden_cases::{text, GoldenCases};
use bytes::Bytes;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use tempfile::TempDir;

const LIMIT_BYTES: u64 = 300_000;
/// Space that the file of the names takes beside the segments, in bytes: one block, and one more while it is replaced.
const NAMES_BYTES: u64 = 1024;
/// Deadline of all messages, in µs since the Unix epoch. It lies in the year 2100, so that no message of the golden folders
/// is past it.
const DEADLINE_IN_2100: Micros = 4_102_444_800_000_000;

fn render_ending(ending: Ending) -> Value {
    match ending {
        Ending::Failed => json!("failed"),
        Ending::Rejected { retry_after } => json!({ "rejected, retry-after us": retry_after }),
    }
}

fn render_message(message: &StoredMessage) -> Value {
    json!({
        "serial": message.serial,
        "request id": message.request_id,
        "class": message.class,
        "tenant": message.tenant,
        "destination": message.destination,
        "deadline unix us": message.deadline,
        "idempotency key": message.idempotency_key,
        "repeated by client": message.resubmitted,
        "from a forwarder that died": message.from_failed_forwarder,
        "body": text(&message.body),
        "order key": message.order_key,
        "attempts": message.attempts_started,
        "earliest attempt that may have run (started at us, zone)": message.possible_effect.map(|effect| (effect.started_at, effect.zone)),
        "attempts without outcome (number, started at us, zone)": message.attempts_in_flight.iter().map(|attempt| (attempt.attempt_index, attempt.started_at, attempt.zone)).collect::<Vec<_>>(),
        "pending completion report": message.pending_report.map(render_ending),
    })
}

/// Copies a folder under `tests/golden/` to a temporary folder, so that opening the journal does not change the
/// golden files.
fn copy_golden_folder(folder: &str) -> TempDir {
    let copy = TempDir::new().expect("a temporary folder is created");
    for file in
        fs::read_dir(crate::golden_cases::path(folder)).expect("the golden folder is readable")
    {
        let file = file.expect("the directory entry is readable");
        fs::copy(file.path(), copy.path().join(file.file_name())).expect("the file is copied");
    }
    copy
}

/// Opens the journal in a folder. The segments may take [`LIMIT_BYTES`].
fn open(folder: &Path) -> io::Result<(Journal, Vec<StoredMessage>)> {
    Journal::open(folder, LIMIT_BYTES + NAMES_BYTES, StoredNames::default())
}

/// Reads all segments in a folder. Returns their bytes by file name.
fn read_segments(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = fs::read_dir(folder)
        .expect("the folder is readable")
        .map(|file| {
            let file = file.expect("the directory entry is readable");
            let bytes = fs::read(file.path()).expect("the file is readable");
            (
                file.file_name()
                    .into_string()
                    .expect("the file name is UTF-8"),
                bytes,
            )
        });
    let mut files: BTreeMap<String, Vec<u8>> = files.collect();
    files.remove(names::FILE_NAME);
    files
}

fn message(request_id: &str, destination: u32) -> StoredMessage {
    StoredMessage {
        serial: 0,
        request_id: request_id.to_owned(),
        class: 0,
        tenant: None,
        destination,
        deadline: DEADLINE_IN_2100,
        idempotency_key: Some(format!("key-of-{request_id}")),
        resubmitted: false,
        from_failed_forwarder: false,
        body: Bytes::from(format!("body of {request_id}")),
        order_key: None,
        attempts_started: 0,
        possible_effect: None,
        attempts_in_flight: Vec::new(),
        pending_report: None,
    }
}

/// Performs the operations that wrote `tests/golden/state-by-operations`, in two runs. The second run starts a new
/// segment.
fn write_stored_messages(folder: &Path) -> Result<(), JournalError> {
    let (mut journal, _) = open(folder).map_err(JournalError::Io)?;
    journal.record_message(message("waiting", 7))?;
    journal.record_message(StoredMessage {
        tenant: Some(2),
        idempotency_key: None,
        resubmitted: true,
        from_failed_forwarder: true,
        ..message("waiting-every-flag", 65_535)
    })?;
    journal.record_message(message("waiting-wide", 70_000))?;
    journal.record_message(StoredMessage {
        order_key: Some(0x000b_832b_68ec_333d),
        ..message("keyed-first", 7)
    })?;
    journal.record_message(StoredMessage {
        order_key: Some(0x000b_832b_68ec_333d),
        ..message("keyed-second", 7)
    })?;
    journal.record_message(StoredMessage {
        order_key: Some(1),
        ..message("keyed-wide", 4_294_967_295)
    })?;
    let in_flight = journal.record_message(message("attempt-begun", 7))?;
    journal.record_attempt_start(in_flight, 0, 1_700_000_000_000_000, 0)?;
    let in_flight_wide = journal.record_message(message("attempt-begun-wide", 70_000))?;
    journal.record_attempt_start(in_flight_wide, 0, 1_700_000_000_100_000, 3)?;
    let not_attempted = journal.record_message(message("attempts-that-never-ran", 7))?;
    journal.record_attempt_start(not_attempted, 0, 1_700_000_000_200_000, 0)?;
    journal.record_attempt_end(not_attempted, 0, false)?;
    journal.record_attempt_start(not_attempted, 1, 1_700_000_000_300_000, 0)?;
    journal.record_attempt_end(not_attempted, 1, false)?;
    let possible_effect = journal.record_message(message("attempts-that-may-have-run", 7))?;
    journal.record_attempt_start(possible_effect, 0, 1_700_000_000_400_000, 1)?;
    journal.record_attempt_end(possible_effect, 0, true)?;
    journal.record_attempt_start(possible_effect, 1, 1_700_000_000_500_000, 0)?;
    journal.record_attempt_end(possible_effect, 1, true)?;
    journal.record_attempt_start(possible_effect, 2, 1_700_000_000_600_000, 0)?;
    let withdrawn = journal.record_message(message("withdrawn-before-send", 7))?;
    journal.record_attempt_start(withdrawn, 0, 1_700_000_000_700_000, 0)?;
    journal.record_attempt_end(withdrawn, 0, true)?;
    journal.record_attempt_start(withdrawn, 1, 1_700_000_000_800_000, 0)?;
    journal.record_attempt_withdrawal(withdrawn, 1)?;
    let ended = journal.record_message(message("over", 7))?;
    journal.record_attempt_start(ended, 0, 1_700_000_000_900_000, 0)?;
    journal.record_attempt_end(ended, 0, true)?;
    journal.record_message_end(ended)?;
    let ended_wide = journal.record_message(message("over-wide", 70_000))?;
    journal.record_message_end(ended_wide)?;
    drop(journal);

    let (mut journal, _) = open(folder).map_err(JournalError::Io)?;
    let failed = journal.record_message(message("report-failed", 7))?;
    journal.record_pending_report(failed, Ending::Failed)?;
    let rejected = journal.record_message(message("report-rejected", 7))?;
    journal.record_pending_report(rejected, Ending::Rejected { retry_after: None })?;
    let rejected_with_retry_after =
        journal.record_message(message("report-rejected-with-retry-after", 70_000))?;
    journal.record_pending_report(
        rejected_with_retry_after,
        Ending::Rejected {
            retry_after: Some(499_001),
        },
    )?;
    let ordered = journal.record_message(StoredMessage {
        order_key: Some(2),
        ..message("report-keyed", 7)
    })?;
    journal.record_attempt_start(ordered, 0, 1_700_000_001_000_000, 0)?;
    journal.record_attempt_end(ordered, 0, true)?;
    journal.record_pending_report(ordered, Ending::Failed)?;
    let acknowledged = journal.record_message(message("report-acknowledged", 7))?;
    journal.record_pending_report(acknowledged, Ending::Failed)?;
    journal.record_message_end(acknowledged)?;
    journal.record_attempt_start(in_flight, 1, 1_700_000_001_100_000, 2)
}

#[test]
fn recovers_golden_messages_attempts_and_pending_reports() {
    let mut golden = GoldenCases::read("stored-messages.json");
    for input in golden.inputs() {
        let folder =
            copy_golden_folder(input["folder"].as_str().expect("the input names a folder"));
        let (journal, messages) = open(folder.path()).expect("the journal opens");
        golden.compare_next(messages.iter().map(render_message).collect());
        drop(journal);
        let (_, recovered_again) = open(folder.path()).expect("the journal opens again");
        assert_eq!(
            recovered_again, messages,
            "expected the next start to recover the same messages"
        );
    }
    golden.finish();
}

#[test]
fn writes_golden_bytes_for_same_operations() {
    let folder = TempDir::new().expect("a temporary folder is created");
    write_stored_messages(folder.path()).expect("the journal has space");
    assert_eq!(
        read_segments(folder.path()),
        read_segments(&crate::golden_cases::path("state-by-operations"))
    );
}

/// Freeing a segment copies its live messages to another segment. The bytes of these copies must not change either.
#[test]
fn writes_golden_bytes_when_copying_live_messages_of_freed_segment() {
    let folder = copy_golden_folder("state-by-operations");
    let (mut journal, messages) = open(folder.path()).expect("the journal opens");
    let mut fill_count = 0;
    while path(folder.path(), 0).exists() {
        assert!(
            fill_count < 100,
            "expected the oldest segment to be freed within 100 messages"
        );
        fill_count += 1;
        let serial = journal.record_message(StoredMessage {
            body: Bytes::from(vec![b'x'; 9_000]),
            ..message("fill", 7)
        });
        journal
            .record_message_end(serial.expect("the journal has space"))
            .expect("the journal has space");
    }
    drop(journal);
    let (_, recovered) = open(folder.path()).expect("the journal opens again");
    assert_eq!(recovered, messages);
    let all_bytes: Vec<u8> = read_segments(folder.path())
        .into_values()
        .flatten()
        .collect();
    let recorded = fs::read_to_string(crate::golden_cases::path("copied-segment.crc32"))
        .expect("the golden file is readable");
    // Number of messages written until the segment was freed, size of all segments in bytes, and their checksum.
    assert_eq!(
        format!(
            "{fill_count} {} {:08x}\n",
            all_bytes.len(),
            crc32fast::hash(&all_bytes)
        ),
        recorded
    );
}
