//! Proves that stored data outlives a change of the program: the folders under `tests/golden/` were written before it. They
//! are read as the same messages, attempts and pending completion reports, and the same operations write the same bytes.
//!
//! `state-by-operations` holds what the operations below write. `state-by-program` was left by the whole program as it was
//! killed at work: one message was delivered, others were out at endpoints that did not answer, waited behind a 429, for
//! their key's turn or for a connection to an endpoint that then drained, and one completion report was not acknowledged.

use super::segment::path;
use super::*;
use crate::golden_cases::{text, GoldenCases};
use bytes::Bytes;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use tempfile::TempDir;

const LIMIT: u64 = 300_000;
const FAR: Micros = 4_102_444_800_000_000; // Unix µs, in the year 2100: no message of the folder is past its deadline

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
        "order key": message.key,
        "attempts": message.attempts,
        "earliest attempt that may have run (started at us, zone)": message.possible_effect.map(|effect| (effect.started_at, effect.zone)),
        "attempts without outcome (number, started at us, zone)": message.attempts_out.iter().map(|out| (out.attempt, out.started_at, out.zone)).collect::<Vec<_>>(),
        "pending completion report": message.pending_report.map(render_ending),
    })
}

/// The files of a folder under `tests/golden/`, copied to a folder of its own.
fn copy_of(folder: &str) -> TempDir {
    let copy = TempDir::new().expect("a folder");
    for file in fs::read_dir(crate::golden_cases::path(folder)).expect("the stored folder") {
        let file = file.expect("a file");
        fs::copy(file.path(), copy.path().join(file.file_name())).expect("copied");
    }
    copy
}

/// Each file's name and bytes.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = fs::read_dir(folder).expect("a folder").map(|file| {
        let file = file.expect("a file");
        let bytes = fs::read(file.path()).expect("its bytes");
        (file.file_name().into_string().expect("a name"), bytes)
    });
    files.collect()
}

fn message(request_id: &str, destination: u32) -> StoredMessage {
    StoredMessage {
        serial: 0,
        request_id: request_id.to_owned(),
        class: 0,
        tenant: None,
        destination,
        deadline: FAR,
        idempotency_key: Some(format!("key-of-{request_id}")),
        resubmitted: false,
        from_failed_forwarder: false,
        body: Bytes::from(format!("body of {request_id}")),
        key: None,
        attempts: 0,
        possible_effect: None,
        attempts_out: Vec::new(),
        pending_report: None,
    }
}

/// The operations that wrote `tests/golden/state-by-operations`, in two runs of which the second begins a segment.
fn write_stored_messages(folder: &Path) -> Result<(), JournalError> {
    let (mut journal, _) = Journal::open(folder, LIMIT).map_err(JournalError::Io)?;
    journal.accept(message("waiting", 7))?;
    journal.accept(StoredMessage {
        tenant: Some(2),
        idempotency_key: None,
        resubmitted: true,
        from_failed_forwarder: true,
        ..message("waiting-every-flag", 65_535)
    })?;
    journal.accept(message("waiting-wide", 70_000))?;
    journal.accept(StoredMessage {
        key: Some(0x000b_832b_68ec_333d),
        ..message("keyed-first", 7)
    })?;
    journal.accept(StoredMessage {
        key: Some(0x000b_832b_68ec_333d),
        ..message("keyed-second", 7)
    })?;
    journal.accept(StoredMessage {
        key: Some(1),
        ..message("keyed-wide", 4_294_967_295)
    })?;
    let begun = journal.accept(message("attempt-begun", 7))?;
    journal.attempt_started(begun, 0, 1_700_000_000_000_000, 0)?;
    let begun_wide = journal.accept(message("attempt-begun-wide", 70_000))?;
    journal.attempt_started(begun_wide, 0, 1_700_000_000_100_000, 3)?;
    let refused = journal.accept(message("attempts-that-never-ran", 7))?;
    journal.attempt_started(refused, 0, 1_700_000_000_200_000, 0)?;
    journal.attempt_ended(refused, 0, false)?;
    journal.attempt_started(refused, 1, 1_700_000_000_300_000, 0)?;
    journal.attempt_ended(refused, 1, false)?;
    let ran = journal.accept(message("attempts-that-may-have-run", 7))?;
    journal.attempt_started(ran, 0, 1_700_000_000_400_000, 1)?;
    journal.attempt_ended(ran, 0, true)?;
    journal.attempt_started(ran, 1, 1_700_000_000_500_000, 0)?;
    journal.attempt_ended(ran, 1, true)?;
    journal.attempt_started(ran, 2, 1_700_000_000_600_000, 0)?;
    let withdrawn = journal.accept(message("withdrawn-before-send", 7))?;
    journal.attempt_started(withdrawn, 0, 1_700_000_000_700_000, 0)?;
    journal.attempt_ended(withdrawn, 0, true)?;
    journal.attempt_started(withdrawn, 1, 1_700_000_000_800_000, 0)?;
    journal.attempt_withdrawn(withdrawn, 1)?;
    let over = journal.accept(message("over", 7))?;
    journal.attempt_started(over, 0, 1_700_000_000_900_000, 0)?;
    journal.attempt_ended(over, 0, true)?;
    journal.ended(over)?;
    let over_wide = journal.accept(message("over-wide", 70_000))?;
    journal.ended(over_wide)?;
    drop(journal);

    let (mut journal, _) = Journal::open(folder, LIMIT).map_err(JournalError::Io)?;
    let failed = journal.accept(message("report-failed", 7))?;
    journal.report_pending(failed, Ending::Failed)?;
    let rejected = journal.accept(message("report-rejected", 7))?;
    journal.report_pending(rejected, Ending::Rejected { retry_after: None })?;
    let told_when = journal.accept(message("report-rejected-with-retry-after", 70_000))?;
    journal.report_pending(
        told_when,
        Ending::Rejected {
            retry_after: Some(499_001),
        },
    )?;
    let keyed = journal.accept(StoredMessage {
        key: Some(2),
        ..message("report-keyed", 7)
    })?;
    journal.attempt_started(keyed, 0, 1_700_000_001_000_000, 0)?;
    journal.attempt_ended(keyed, 0, true)?;
    journal.report_pending(keyed, Ending::Failed)?;
    let acknowledged = journal.accept(message("report-acknowledged", 7))?;
    journal.report_pending(acknowledged, Ending::Failed)?;
    journal.ended(acknowledged)?;
    journal.attempt_started(begun, 1, 1_700_000_001_100_000, 2)
}

#[test]
fn stored_messages_attempts_and_pending_reports_are_taken_over() {
    let mut golden = GoldenCases::read("stored-messages.json");
    for input in golden.inputs() {
        let folder = copy_of(input["folder"].as_str().expect("a folder"));
        let (journal, messages) = Journal::open(folder.path(), LIMIT).expect("the journal opens");
        golden.compare_next(messages.iter().map(render_message).collect());
        drop(journal);
        let (_, again) = Journal::open(folder.path(), LIMIT).expect("the journal opens again");
        assert_eq!(
            again, messages,
            "what was taken over is there at the next start"
        );
    }
    golden.finish();
}

#[test]
fn the_same_operations_write_the_same_bytes() {
    let folder = TempDir::new().expect("a folder");
    write_stored_messages(folder.path()).expect("written");
    assert_eq!(
        files(folder.path()),
        files(&crate::golden_cases::path("state-by-operations"))
    );
}

/// Freeing a segment writes the messages that still live in it anew: those copies have the same bytes too.
#[test]
fn messages_copied_as_a_segment_is_freed_have_the_same_bytes() {
    let folder = copy_of("state-by-operations");
    let (mut journal, messages) = Journal::open(folder.path(), LIMIT).expect("the journal opens");
    let mut filled = 0;
    while path(folder.path(), 0).exists() {
        assert!(filled < 100, "the oldest segment is freed");
        filled += 1;
        let serial = journal.accept(StoredMessage {
            body: Bytes::from(vec![b'x'; 9_000]),
            ..message("fill", 7)
        });
        journal.ended(serial.expect("room")).expect("room");
    }
    drop(journal);
    let (_, after) = Journal::open(folder.path(), LIMIT).expect("the journal opens again");
    assert_eq!(after, messages);
    let all: Vec<u8> = files(folder.path()).into_values().flatten().collect();
    let recorded =
        fs::read_to_string(crate::golden_cases::path("copied-segment.crc32")).expect("recorded");
    // Messages until the segment was freed, bytes of all segments, their checksum.
    assert_eq!(
        format!("{filled} {} {:08x}\n", all.len(), crc32fast::hash(&all)),
        recorded
    );
}
