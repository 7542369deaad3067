//! The replay of the segments at startup.

use super::live::LiveMessages;
use super::names::NameTable;
use super::record::{self, Record};
use super::segment::{self, Segment};
use super::translation::Translation;
use opalpulley::recovery::RecoveredMessage;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;

/// What was recovered from all segments.
pub struct Recovery {
    /// The unfinished messages.
    pub live: LiveMessages,
    /// The next serial number, higher than any that was read.
    pub next_serial: u64,
    /// Number of messages that failed because their class has changed.
    pub failed_count: usize,
}

/// The state after the replay of the segments that have been read so far.
pub struct Replay<'a> {
    live: LiveMessages,
    /// The next serial number, higher than any that was read.
    next_serial: u64,
    names: &'a NameTable,
    /// What becomes of the messages that were written with other names, by serial number.
    translated: BTreeMap<u64, RecoveredMessage>,
}

impl<'a> Replay<'a> {
    /// Returns the state before the first segment is read. The records are translated to the names of this run.
    pub fn new(names: &'a NameTable) -> Replay<'a> {
        Replay {
            live: LiveMessages::default(),
            next_serial: 0,
            names,
            translated: BTreeMap::new(),
        }
    }

    /// Applies the records of a segment. Segments must be read in the order of their numbers. Reading stops at the
    /// first record that is cut off or damaged, because the rest of the file cannot be decoded, and the file is
    /// truncated there.
    pub fn read_segment(&mut self, dir: &Path, number: u64) -> io::Result<Segment> {
        let path = segment::path(dir, number);
        let bytes = fs::read(&path)?;
        let translation = Translation::new(self.names.names_of(number), self.names.current());
        let mut valid_bytes = 0;
        while let Some((record, frame_len)) = record::decode_frame(&bytes[valid_bytes..]) {
            valid_bytes += frame_len;
            self.next_serial = self.next_serial.max(record.serial() + 1);
            let record = self.translate(translation.as_ref(), record);
            self.live.apply(record, number);
        }
        if valid_bytes < bytes.len() {
            segment::truncate(&path, valid_bytes as u64)?;
        }
        Ok(Segment {
            number,
            bytes: valid_bytes as u64,
        })
    }

    /// Translates a record to the names of this run, and notes what becomes of its message.
    fn translate(&mut self, translation: Option<&Translation>, record: Record) -> Record {
        let serial = record.serial();
        // Copies of a message have the names of the run that wrote them.
        let replaces_message = matches!(
            record,
            Record::Message(_) | Record::OrderedMessage(..) | Record::MessageEnded { .. }
        );
        let (record, recovered) = match translation {
            Some(translation) => translation.translate(record),
            None => (record, None),
        };
        if let Some(recovered) = recovered {
            self.translated.insert(serial, recovered);
        } else if replaces_message {
            self.translated.remove(&serial);
        }
        record
    }

    /// Returns what was recovered, after all segments have been read.
    pub fn finish(mut self) -> Recovery {
        let mut failed_count = 0;
        for (serial, recovered) in self.translated {
            if self.live.apply_recovered(serial, recovered) {
                failed_count += 1;
            }
        }
        Recovery {
            live: self.live,
            next_serial: self.next_serial,
            failed_count,
        }
    }
}
