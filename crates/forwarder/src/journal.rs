//! What outlives the process: a ring of small segments in the lasting folder. Each record is framed by its length
//! and a checksum. The oldest segment is freed by writing the messages that still live in it anew at the end, so
//! both copies are within the limit. Writes go to the page cache, which outlives the process; no sync is needed.

use crate::protocol::Ending;
use bytes::Bytes;
use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const BLOCK: u64 = 512; // bytes, in which the platform counts files
const SEGMENTS: u64 = 16; // in the limit: freeing one copies a sixteenth at most
const LARGEST: u64 = 8; // a message takes a part of the limit like this at most, so that copying one always fits
const LIVE: f64 = 0.75; // of what is not kept free may live: a segment that is freed is copied by that much in the mean
const HEADER: usize = 8; // bytes before a record: its length and its checksum
const FULL: u64 = 67_000; // bytes, over any message that the protocol lets in
const EARLIER_MOST: u32 = 65_535; // the largest number of a destination in earlier versions: they had 16 bits
const SMALL: u64 = 256; // bytes, over any record but a message's own: room that later records of it need

/// A message as the journal keeps it. A destination of 16 bits is written as by earlier versions, byte by byte; of a larger
/// one see [`BeyondEarlier`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredMessage {
    pub serial: u64,
    pub request_id: String,
    pub class: u16,
    pub tenant: Option<u32>,
    pub destination: u32,
    /// Unix µs.
    pub expires: Micros,
    pub idempotency_key: Option<String>,
    pub again: bool,
    pub orphan: bool,
    pub body: Bytes,
    /// By which it keeps its order. Records of earlier versions have none, so it is written beside them.
    #[serde(skip)]
    pub key: Option<u64>,
    pub attempts: u32,
    /// The earliest attempt that may have run: when it began, and in which zone.
    pub exposed: Option<(Micros, u16)>,
    /// Attempts without an outcome: number, start, zone.
    pub out: Vec<(u8, Micros, u16)>,
    /// Decided, and not yet heard by the platform.
    pub pending_report: Option<Ending>,
}

impl StoredMessage {
    fn expose(&mut self, at: Micros, zone: u16) {
        if self.exposed.is_none_or(|(first, _)| at < first) {
            self.exposed = Some((at, zone));
        }
    }

    /// After a restart nobody hears how these went: each may have run.
    fn forget_out(&mut self) {
        for (_, at, zone) in std::mem::take(&mut self.out) {
            self.expose(at, zone);
        }
    }

    fn apply(&mut self, record: &Record) {
        match record {
            Record::AttemptStarted {
                attempt, at, zone, ..
            } => {
                self.attempts = self.attempts.max(u32::from(*attempt) + 1);
                self.out.push((*attempt, *at, *zone));
            }
            Record::AttemptEnded {
                attempt,
                may_have_taken_effect,
                ..
            } => {
                if let Some(place) = self.out.iter().position(|(t, ..)| t == attempt) {
                    let (_, at, zone) = self.out.remove(place);
                    if *may_have_taken_effect {
                        self.expose(at, zone);
                    }
                }
            }
            Record::PendingReport { ending, .. } => self.pending_report = Some(*ending),
            Record::Message(_) | Record::Keyed(..) | Record::Ended { .. } => {}
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
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
    PendingReport {
        serial: u64,
        ending: Ending,
    },
    Ended {
        serial: u64,
    },
    /// A message with the key by which it keeps its order.
    Keyed(StoredMessage, u64),
}

impl Record {
    fn message(kept: StoredMessage) -> Record {
        match kept.key {
            Some(key) => Record::Keyed(kept, key),
            None => Record::Message(kept),
        }
    }

    fn serial(&self) -> u64 {
        match self {
            Record::Message(kept) | Record::Keyed(kept, _) => kept.serial,
            Record::AttemptStarted { serial, .. }
            | Record::AttemptEnded { serial, .. }
            | Record::PendingReport { serial, .. }
            | Record::Ended { serial } => *serial,
        }
    }
}

/// What stands behind a message's record whose destination earlier versions can't name. They know the record as one of a
/// message that is failed and owed its notice, so each message gets its end from whichever version reads it, and what
/// follows in the segment is not hidden. They pass over the bytes behind it, where this one finds what is true.
#[derive(Debug, Serialize, Deserialize)]
struct BeyondEarlier {
    destination: u32,
    pending_report: Option<Ending>,
}

impl BeyondEarlier {
    /// A record as earlier versions are to read it, and what stands behind it; none where they read it as it is.
    fn split(record: &Record) -> Option<(Record, BeyondEarlier)> {
        let (Record::Message(kept) | Record::Keyed(kept, _)) = record else {
            return None;
        };
        if kept.destination <= EARLIER_MOST {
            return None;
        }
        let beyond = BeyondEarlier {
            destination: kept.destination,
            pending_report: kept.pending_report,
        };
        let mut earlier = record.clone();
        let written_off = BeyondEarlier {
            destination: EARLIER_MOST,
            pending_report: kept.pending_report.or(Some(Ending::Failed)),
        };
        written_off.put_back(&mut earlier);
        Some((earlier, beyond))
    }

    fn put_back(self, record: &mut Record) {
        if let Record::Message(kept) | Record::Keyed(kept, _) = record {
            (kept.destination, kept.pending_report) = (self.destination, self.pending_report);
        }
    }
}

struct Segment {
    number: u64,
    bytes: u64,
}

pub struct Journal {
    dir: PathBuf,
    limit: u64,
    segments: VecDeque<Segment>,
    active: File,
    live: BTreeMap<u64, (StoredMessage, u64)>, // with the number of the segment of its copy; each leaves as it ends
    live_bytes: u64,
    next_serial: u64,
}

fn path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{number:012}.journal"))
}

fn weight(kept: &StoredMessage) -> u64 {
    let texts = kept.request_id.len()
        + kept.idempotency_key.as_ref().map_or(0, String::len)
        + kept.body.len();
    texts as u64 + SMALL
}

fn encode(record: &Record) -> io::Result<Vec<u8>> {
    let body = encode_body(record).map_err(io::Error::other)?;
    let mut out = Vec::with_capacity(HEADER + body.len());
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    Ok(out)
}

fn encode_body(record: &Record) -> postcard::Result<Vec<u8>> {
    match BeyondEarlier::split(record) {
        Some((earlier, beyond)) => postcard::to_extend(&beyond, postcard::to_allocvec(&earlier)?),
        None => postcard::to_allocvec(record),
    }
}

fn decode_body(body: &[u8]) -> postcard::Result<Record> {
    let (mut record, rest) = postcard::take_from_bytes::<Record>(body)?;
    if !rest.is_empty() {
        postcard::from_bytes::<BeyondEarlier>(rest)?.put_back(&mut record);
    }
    Ok(record)
}

/// The first record of some bytes and what it takes, or nothing where they are cut off or spoilt.
fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let len = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(bytes.get(4..HEADER)?.try_into().ok()?);
    let body = bytes.get(HEADER..HEADER.checked_add(len)?)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    Some((decode_body(body).ok()?, HEADER + len))
}

impl Journal {
    /// Opens the folder and gives the messages that are not over, in the order in which they were taken.
    pub fn open(dir: &Path, limit: u64) -> io::Result<(Journal, Vec<StoredMessage>)> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(dir)? {
            let name = entry?.file_name();
            let number = name
                .to_str()
                .and_then(|n| n.strip_suffix(".journal"))
                .and_then(|n| n.parse::<u64>().ok());
            numbers.extend(number);
        }
        numbers.sort_unstable();
        let next = numbers.last().map_or(0, |n: &u64| n + 1);
        let mut journal = Journal {
            dir: dir.to_owned(),
            limit,
            segments: VecDeque::new(),
            active: File::open(dir)?,
            live: BTreeMap::new(),
            live_bytes: 0,
            next_serial: 0,
        };
        for number in numbers {
            journal.replay(number)?;
        }
        journal.begin(next)?;
        let kept = journal.after_restart();
        Ok((journal, kept))
    }

    /// The messages that are not over, as they stand once nobody hears of their attempts any more.
    pub fn after_restart(&mut self) -> Vec<StoredMessage> {
        self.live
            .values_mut()
            .for_each(|(kept, _)| kept.forget_out());
        self.live.values().map(|(kept, _)| kept.clone()).collect()
    }

    fn replay(&mut self, number: u64) -> io::Result<()> {
        let file = path(&self.dir, number);
        let bytes = fs::read(&file)?;
        self.segments.push_back(Segment { number, bytes: 0 });
        let mut at = 0;
        while let Some((record, len)) = decode(&bytes[at..]) {
            at += len;
            self.next_serial = self.next_serial.max(record.serial() + 1);
            self.note(record, number);
        }
        if let Some(segment) = self.segments.back_mut() {
            segment.bytes = at as u64;
        }
        if at < bytes.len() {
            OpenOptions::new()
                .write(true)
                .open(&file)?
                .set_len(at as u64)?;
        }
        Ok(())
    }

    /// Carries a record over into memory.
    fn note(&mut self, record: Record, number: u64) {
        match record {
            Record::Keyed(kept, key) => self.note(
                Record::Message(StoredMessage {
                    key: Some(key),
                    ..kept
                }),
                number,
            ),
            Record::Message(kept) => {
                self.forget(kept.serial);
                self.live_bytes += weight(&kept);
                self.live.insert(kept.serial, (kept, number));
            }
            Record::Ended { serial } => self.forget(serial),
            other => {
                if let Some((kept, _)) = self.live.get_mut(&other.serial()) {
                    kept.apply(&other);
                }
            }
        }
    }

    fn forget(&mut self, serial: u64) {
        if let Some((kept, _)) = self.live.remove(&serial) {
            self.live_bytes -= weight(&kept);
        }
    }

    fn begin(&mut self, number: u64) -> io::Result<()> {
        self.active = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path(&self.dir, number))?;
        self.segments.push_back(Segment { number, bytes: 0 });
        Ok(())
    }

    fn used(&self) -> u64 {
        self.segments
            .iter()
            .map(|s| s.bytes.div_ceil(BLOCK) * BLOCK)
            .sum()
    }

    fn segment_size(&self) -> u64 {
        self.limit / SEGMENTS
    }

    fn largest(&self) -> u64 {
        (self.limit / LARGEST).min(FULL)
    }

    /// Kept free: a segment that is being filled while another, or one large message, is copied.
    fn spare(&self) -> u64 {
        self.segment_size() + self.segment_size().max(self.largest())
    }

    /// Whether a message of that size can be kept to its end, with a second copy while segments are freed.
    pub fn has_room(&self, kept: &StoredMessage) -> bool {
        let own = weight(kept);
        let ring = self.limit - self.spare() - self.segment_size();
        own <= self.largest() && (self.live_bytes + own) as f64 <= LIVE * ring as f64
    }

    fn append(&mut self, record: Record) -> io::Result<()> {
        let bytes = encode(&record)?;
        self.make_room(bytes.len() as u64)?;
        self.put(&bytes, record)
    }

    fn put(&mut self, bytes: &[u8], record: Record) -> io::Result<()> {
        let full = self
            .segments
            .back()
            .is_none_or(|s| s.bytes > 0 && s.bytes + bytes.len() as u64 > self.segment_size());
        if full {
            let next = self.segments.back().map_or(0, |s| s.number + 1);
            self.begin(next)?;
        }
        let Some(segment) = self.segments.back_mut() else {
            return Err(io::Error::other("no segment"));
        };
        let (number, before) = (segment.number, segment.bytes);
        if let Err(problem) = self.active.write_all(bytes) {
            // Half a record would hide all that follow it.
            self.active.set_len(before)?;
            return Err(problem);
        }
        segment.bytes += bytes.len() as u64;
        self.note(record, number);
        Ok(())
    }

    /// Frees the oldest segments until so many bytes fit, the largest copy that freeing makes included.
    fn make_room(&mut self, bytes: u64) -> io::Result<()> {
        let spare = self.spare();
        for _ in 0..2 * SEGMENTS + self.segments.len() as u64 {
            if self.used() + bytes + spare <= self.limit || self.segments.len() < 2 {
                return Ok(());
            }
            let Some(oldest) = self.segments.front() else {
                return Ok(());
            };
            let number = oldest.number;
            let here = self.live.values().filter(|(_, copy)| *copy == number);
            let records: Vec<Record> = here
                .map(|(kept, _)| Record::message(kept.clone()))
                .collect();
            for record in records {
                self.put(&encode(&record)?, record)?;
            }
            self.segments.pop_front();
            fs::remove_file(path(&self.dir, number))?;
        }
        match self.used() + bytes <= self.limit {
            true => Ok(()),
            false => Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the journal is full",
            )),
        }
    }

    /// Writes that a message is taken on, and gives its serial number.
    pub fn accept(&mut self, mut kept: StoredMessage) -> io::Result<u64> {
        kept.serial = self.next_serial;
        self.next_serial += 1;
        let serial = kept.serial;
        self.append(Record::message(kept))?;
        Ok(serial)
    }

    pub fn attempt_started(
        &mut self,
        serial: u64,
        attempt: u8,
        at: Micros,
        zone: u16,
    ) -> io::Result<()> {
        self.append(Record::AttemptStarted {
            serial,
            attempt,
            at,
            zone,
        })
    }

    pub fn attempt_ended(
        &mut self,
        serial: u64,
        attempt: u8,
        may_have_taken_effect: bool,
    ) -> io::Result<()> {
        self.append(Record::AttemptEnded {
            serial,
            attempt,
            may_have_taken_effect,
        })
    }

    /// The attempt never went: its number is free again. The message is written anew as it stood before, for earlier versions
    /// read this journal too.
    pub fn attempt_taken_back(&mut self, serial: u64, attempt: u8) -> io::Result<()> {
        let Some((mut kept, _)) = self.live.get(&serial).cloned() else {
            return Ok(());
        };
        kept.out.retain(|(t, ..)| *t != attempt);
        kept.attempts = u32::from(attempt);
        self.append(Record::message(kept))
    }

    /// The message's end is decided; the platform has still to hear of it.
    pub fn owes(&mut self, serial: u64, ending: Ending) -> io::Result<()> {
        self.append(Record::PendingReport { serial, ending })
    }

    /// Nothing more is owed.
    pub fn ended(&mut self, serial: u64) -> io::Result<()> {
        match self.live.contains_key(&serial) {
            true => self.append(Record::Ended { serial }),
            false => Ok(()),
        }
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
