//! Tests of journals that are read with other names in the settings than they were written with.

use super::*;
use bytes::Bytes;
use names::{StoredClass, FILE_NAME};
use std::fs;
use tempfile::TempDir;

const LIMIT_BYTES: u64 = 300_000;

/// Returns names with these delivery classes, each with whether it is at-most-once.
fn names(classes: &[(&str, bool)], tenants: &[&str], zones: &[&str]) -> StoredNames {
    let classes = classes.iter().map(|(name, is_at_most_once)| StoredClass {
        name: (*name).to_owned(),
        is_at_most_once: *is_at_most_once,
    });
    StoredNames {
        classes: classes.collect(),
        tenants: tenants.iter().map(|name| (*name).to_owned()).collect(),
        zones: zones.iter().map(|name| (*name).to_owned()).collect(),
    }
}

fn first_names() -> StoredNames {
    names(
        &[("charge", true), ("record", false)],
        &["x", "y"],
        &["a", "b"],
    )
}

/// Returns names in which each of the first names but tenant `x` stands at another position.
fn moved_names() -> StoredNames {
    let classes = [("status", false), ("charge", true), ("record", false)];
    names(&classes, &["y"], &["b", "a"])
}

fn message(class: u16, tenant: Option<u32>) -> StoredMessage {
    StoredMessage {
        serial: 0,
        request_id: "id".to_owned(),
        class,
        tenant,
        destination: 7,
        deadline: 4_102_444_800_000_000,
        idempotency_key: None,
        resubmitted: false,
        from_failed_forwarder: false,
        body: Bytes::from_static(b"body"),
        order_key: None,
        attempts_started: 0,
        possible_effect: None,
        attempts_in_flight: Vec::new(),
        pending_report: None,
    }
}

fn open(dir: &TempDir, names: StoredNames) -> (Journal, Vec<StoredMessage>) {
    Journal::open(dir.path(), LIMIT_BYTES, names).expect("the journal opens")
}

/// Writes a tried message of `charge` and tenant `y`, whose attempt was in zone `b`, and an untried one of `record`.
fn write_first_run(dir: &TempDir) {
    let (mut journal, _) = open(dir, first_names());
    let tried = journal.record_message(message(0, Some(1)));
    let tried = tried.expect("the message is recorded");
    journal
        .record_attempt_start(tried, 0, 1_000, 1)
        .expect("the attempt is recorded");
    journal
        .record_message(message(1, Some(0)))
        .expect("the message is recorded");
}

/// Writes a message that takes half a segment, and its end.
fn write_and_end_large_message(journal: &mut Journal) {
    let large = StoredMessage {
        body: Bytes::from(vec![b'x'; 9_000]),
        ..message(0, None)
    };
    let serial = journal.record_message(large);
    journal
        .record_message_end(serial.expect("the journal has space"))
        .expect("the journal has space");
}

/// What a recovered message has been translated to.
#[derive(Debug, Default, PartialEq)]
struct Summary {
    class: u16,
    tenant: Option<u32>,
    /// Zone of the attempt that may have taken effect.
    zone: Option<u16>,
    ending: Option<Ending>,
}

fn summaries(messages: &[StoredMessage]) -> Vec<Summary> {
    let summary = |message: &StoredMessage| Summary {
        class: message.class,
        tenant: message.tenant,
        zone: message.possible_effect.map(|effect| effect.zone),
        ending: message.pending_report,
    };
    messages.iter().map(summary).collect()
}

/// Returns the messages of the first run as they are recovered with [`first_names`].
fn first_summaries() -> [Summary; 2] {
    let tried = Summary {
        tenant: Some(1),
        zone: Some(1),
        ..Summary::default()
    };
    let untried = Summary {
        class: 1,
        tenant: Some(0),
        ..Summary::default()
    };
    [tried, untried]
}

/// Returns the messages of the first run as they are recovered with [`moved_names`].
fn moved_summaries() -> [Summary; 2] {
    let tried = Summary {
        class: 1,
        tenant: Some(0),
        zone: Some(0),
        ..Summary::default()
    };
    let untried = Summary {
        class: 2,
        ..Summary::default()
    };
    [tried, untried]
}

/// Guards against messages that are taken for messages of another class, tenant or zone after a restart with other settings:
/// at-most-once messages took effect twice. Each further restart must read the same, whether its settings changed or not.
#[test]
fn recovers_messages_by_the_names_in_the_settings() {
    let dir = TempDir::new().expect("a temporary directory is created");
    write_first_run(&dir);
    for _ in 0..2 {
        let (_, messages) = open(&dir, moved_names());
        assert_eq!(summaries(&messages), moved_summaries());
    }
    let (mut journal, _) = open(&dir, moved_names());
    journal
        .record_message(message(0, Some(0)))
        .expect("the message is recorded");
    drop(journal);
    let (_, messages) = open(&dir, first_names());
    let summaries = summaries(&messages);
    assert_eq!(summaries[..2], first_summaries());
    let class_is_missing = Summary {
        tenant: Some(1),
        ending: Some(Ending::Failed),
        ..Summary::default()
    };
    assert_eq!(summaries[2], class_is_missing);
}

/// Copies of messages are written with the numbers of the present run, and must be read as such.
#[test]
fn recovers_copied_messages_by_the_names_in_the_settings() {
    let dir = TempDir::new().expect("a temporary directory is created");
    write_first_run(&dir);
    let (mut journal, before) = open(&dir, moved_names());
    while segment::path(dir.path(), 0).exists() {
        write_and_end_large_message(&mut journal);
    }
    drop(journal);
    let (_, messages) = open(&dir, moved_names());
    assert_eq!(summaries(&messages), summaries(&before));
}

/// Guards against a file that grows with each change of the settings.
#[test]
fn drops_names_whose_segments_are_deleted() {
    let dir = TempDir::new().expect("a temporary directory is created");
    for run in 0..20 {
        let class = format!("class-{run}");
        let (mut journal, _) = open(&dir, names(&[(&class, false)], &[], &[]));
        for _ in 0..4 {
            write_and_end_large_message(&mut journal);
        }
    }
    let text = fs::read_to_string(dir.path().join(FILE_NAME)).expect("the file is readable");
    assert!(text.contains("class-19"), "{text}");
    assert!(!text.contains("class-0\""), "{text}");
}

/// Guards against an at-most-once message that takes effect twice because its class may be repeated since the restart.
#[test]
fn fails_tried_at_most_once_message_whose_class_may_be_repeated_now() {
    let dir = TempDir::new().expect("a temporary directory is created");
    write_first_run(&dir);
    let (mut journal, _) = open(&dir, first_names());
    journal
        .record_message(message(0, None))
        .expect("the message is recorded");
    drop(journal);
    let repeatable = names(
        &[("charge", false), ("record", false)],
        &["x", "y"],
        &["a", "b"],
    );
    let (journal, messages) = open(&dir, repeatable);
    assert_eq!(journal.failed_count(), 1);
    let endings: Vec<Option<Ending>> = messages
        .iter()
        .map(|message| message.pending_report)
        .collect();
    assert_eq!(endings, [Some(Ending::Failed), None, None]);
}

/// A message whose class, or the zone of whose earlier attempt, is missing must not be taken for one of another.
#[test]
fn missing_names_stand_for_no_other() {
    let dir = TempDir::new().expect("a temporary directory is created");
    write_first_run(&dir);
    let (_, messages) = open(&dir, names(&[("charge", true)], &[], &["a"]));
    let zone_is_missing = Summary {
        zone: Some(u16::MAX),
        ..Summary::default()
    };
    let class_is_missing = Summary {
        ending: Some(Ending::Failed),
        ..Summary::default()
    };
    assert_eq!(summaries(&messages), [zone_is_missing, class_is_missing]);
}

/// Earlier versions stored no names.
#[test]
fn recovers_journal_without_names_by_the_numbers() {
    let dir = TempDir::new().expect("a temporary directory is created");
    write_first_run(&dir);
    fs::remove_file(dir.path().join(FILE_NAME)).expect("the file is removed");
    let (_, messages) = open(&dir, moved_names());
    assert_eq!(messages[0].class, 0);
}

/// Guards against records that rely on names that could not be stored: such a record is not written, and the next one is
/// once the names can be stored.
#[test]
fn writes_no_record_before_its_names_are_stored() {
    let dir = TempDir::new().expect("a temporary directory is created");
    write_first_run(&dir);
    let obstacle = dir.path().join("names.json.new");
    fs::create_dir(&obstacle).expect("the directory is created");
    let (mut journal, _) = open(&dir, moved_names());
    assert!(matches!(
        journal.record_message(message(0, None)),
        Err(JournalError::Io(_))
    ));
    fs::remove_dir(&obstacle).expect("the directory is removed");
    journal
        .record_message(message(0, None))
        .expect("the message is recorded");
    drop(journal);
    let (_, messages) = open(&dir, moved_names());
    assert_eq!(messages.len(), 3);
    assert_eq!(messages[2].class, 0);
}

#[test]
fn writes_names_as_earlier_versions() {
    let dir = TempDir::new().expect("a temporary directory is created");
    let (mut journal, _) = open(&dir, names(&[("charge", true)], &["x"], &["a"]));
    assert!(!dir.path().join(FILE_NAME).exists());
    journal
        .record_message(message(0, None))
        .expect("the message is recorded");
    let text = fs::read_to_string(dir.path().join(FILE_NAME)).expect("the file is readable");
    assert_eq!(
        text,
        r#"[{"first_segment":0,"names":{"classes":[{"name":"charge","is_at_most_once":true}],"tenants":["x"],"zones":["a"]}}]"#
    );
}
