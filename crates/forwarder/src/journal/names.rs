//! The names behind the numbers in the records.
//!
//! Records hold delivery classes, tenants and zones by their positions in the settings, which may be others at the next
//! start. The file [`FILE_NAME`] therefore tells for each segment which names its numbers stand for. It has one entry for
//! each run that started with other names than the run before, with the number of the first segment of that run. An entry
//! is written before the first record that relies on it, and dropped once all its segments are deleted.

use super::segment::BLOCK_BYTES;
use opalpulley::{Config, DeliverySemantics};
use opalpulley_config::Names;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Name of the file in the state directory.
pub const FILE_NAME: &str = "names.json";
/// Name of the file while it is being written. It then replaces the other, so that a kill leaves either of them whole.
const NEW_FILE_NAME: &str = "names.json.new";

/// A delivery class as the journal stores it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredClass {
    /// Name of the class.
    pub name: String,
    /// Whether its messages must not take effect twice.
    pub is_at_most_once: bool,
}

/// The names that the numbers in the records of a run stand for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredNames {
    /// The delivery classes, in the order of their numbers.
    pub classes: Vec<StoredClass>,
    /// Names of the tenants, in the order of their numbers.
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
}

impl StoredNames {
    /// Returns the names in the settings.
    pub fn new(names: &Names, config: &Config) -> StoredNames {
        let classes = names.classes.iter().zip(&config.classes);
        let stored_classes = classes.map(|(name, class)| StoredClass {
            name: name.clone(),
            is_at_most_once: class.semantics == DeliverySemantics::AtMostOnce,
        });
        StoredNames {
            classes: stored_classes.collect(),
            tenants: names.tenants.clone(),
            zones: names.zones.clone(),
        }
    }
}

/// The names of the segments from `first_segment` up to the next entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct NamesEntry {
    first_segment: u64,
    names: StoredNames,
}

/// The names of all segments, owned by the journal.
pub struct NameTable {
    dir: PathBuf,
    /// The entries in the order of their segments. The last one has the names of this run.
    entries: Vec<NamesEntry>,
    /// Whether the file holds these entries.
    is_stored: bool,
}

impl NameTable {
    /// Reads the table and adds the names of this run, whose first segment is `active_segment`. Segments that are older than
    /// the file are taken to have the names of its first entry, and so are all if the file cannot be decoded. Fails if the
    /// file cannot be read.
    pub fn open(
        dir: &Path,
        names: StoredNames,
        oldest_segment: u64,
        active_segment: u64,
    ) -> io::Result<NameTable> {
        let mut entries = read_entries(dir)?;
        let stored_count = entries.len();
        if entries.last().is_none_or(|last| last.names != names) {
            entries.push(NamesEntry {
                first_segment: active_segment,
                names,
            });
        }
        let is_stored = entries.len() == stored_count;
        let outdated = entries
            .windows(2)
            .take_while(|pair| pair[1].first_segment <= oldest_segment)
            .count();
        entries.drain(..outdated);
        Ok(NameTable {
            dir: dir.to_owned(),
            entries,
            is_stored,
        })
    }

    /// Returns the names of a segment.
    pub fn names_of(&self, segment: u64) -> &StoredNames {
        let includes_segment = |entry: &&NamesEntry| entry.first_segment <= segment;
        let entry = self.entries.iter().rev().find(includes_segment);
        &entry.unwrap_or(&self.entries[0]).names
    }

    /// Returns the names of this run.
    pub fn current(&self) -> &StoredNames {
        &self.entries[self.entries.len() - 1].names
    }

    /// Writes the file, unless it holds these entries. It must be called before each record of this run is written. Fails if
    /// the file cannot be written; a later call tries again.
    pub fn store(&mut self) -> io::Result<()> {
        if self.is_stored {
            return Ok(());
        }
        let new_file = self.dir.join(NEW_FILE_NAME);
        fs::write(&new_file, self.encode()?)?;
        fs::rename(&new_file, self.dir.join(FILE_NAME))?;
        self.is_stored = true;
        Ok(())
    }

    /// Returns the space on disk that the file takes while it is replaced, in bytes.
    pub fn bytes_on_disk(&self) -> io::Result<u64> {
        let blocks = (self.encode()?.len() as u64).div_ceil(BLOCK_BYTES);
        Ok(2 * blocks * BLOCK_BYTES)
    }

    fn encode(&self) -> io::Result<Vec<u8>> {
        Ok(serde_json::to_vec(&self.entries)?)
    }
}

fn read_entries(dir: &Path) -> io::Result<Vec<NamesEntry>> {
    match fs::read(dir.join(FILE_NAME)) {
        Ok(text) => Ok(serde_json::from_slice(&text).unwrap_or_default()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error),
    }
}
