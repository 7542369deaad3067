//! Translates the records of an earlier run, whose settings may have had other names, to the numbers of this run.

use super::names::StoredNames;
use super::record::{Record, StoredMessage};
use opalpulley::recovery::{recovered_message, RecoveredMessage};
use std::collections::BTreeMap;

/// Number of a zone that the settings of this run do not name. It equals that of no endpoint, so that a message that may be
/// repeated only in this zone is not repeated.
const UNKNOWN_ZONE: u16 = u16::MAX;

/// A delivery class of an earlier run.
struct TranslatedClass {
    /// Number of the class in this run. `None` if the settings do not name it.
    number: Option<u16>,
    /// What becomes of its messages.
    message: RecoveredMessage,
}

/// The translation from the numbers of an earlier run to those of this run.
pub struct Translation {
    classes: Vec<TranslatedClass>,
    /// Number of each tenant in this run.
    tenants: Vec<Option<u32>>,
    /// Number of each zone in this run.
    zones: Vec<Option<u16>>,
}

impl Translation {
    /// Returns the translation from one set of names to another, or `None` if they are equal.
    pub fn new(stored: &StoredNames, current: &StoredNames) -> Option<Translation> {
        if stored == current {
            return None;
        }
        let class_positions: Vec<Option<u16>> =
            positions(&class_names(stored), &class_names(current));
        let classes = stored.classes.iter().zip(class_positions);
        let translated_classes = classes.map(|(class, position)| {
            let current_class = position.map(|position| &current.classes[usize::from(position)]);
            let is_at_most_once_now = current_class.map(|class| class.is_at_most_once);
            TranslatedClass {
                number: position,
                message: recovered_message(class.is_at_most_once, is_at_most_once_now),
            }
        });
        Some(Translation {
            classes: translated_classes.collect(),
            tenants: positions(&stored.tenants, &current.tenants),
            zones: positions(&stored.zones, &current.zones),
        })
    }

    /// Translates a record. Returns what becomes of its message if the record holds one.
    pub fn translate(&self, record: Record) -> (Record, Option<RecoveredMessage>) {
        match record {
            Record::Message(message) => self.translate_message(message),
            Record::OrderedMessage(mut message, order_key) => {
                message.order_key = Some(order_key);
                self.translate_message(message)
            }
            Record::AttemptStarted {
                serial,
                attempt_index,
                started_at,
                zone,
            } => {
                let translated = Record::AttemptStarted {
                    serial,
                    attempt_index,
                    started_at,
                    zone: self.zone(zone),
                };
                (translated, None)
            }
            Record::AttemptEnded { .. }
            | Record::PendingReport { .. }
            | Record::MessageEnded { .. } => (record, None),
        }
    }

    /// Translates the numbers in a message. A message whose class is missing no longer delays the messages of its order key.
    fn translate_message(&self, mut message: StoredMessage) -> (Record, Option<RecoveredMessage>) {
        message.tenant = message.tenant.and_then(|tenant| self.tenant(tenant));
        if let Some(effect) = &mut message.possible_effect {
            effect.zone = self.zone(effect.zone);
        }
        for attempt in &mut message.attempts_in_flight {
            attempt.zone = self.zone(attempt.zone);
        }
        let class = self.classes.get(usize::from(message.class));
        let recovered = match class.and_then(|class| Some((class.number?, class.message))) {
            Some((number, recovered)) => {
                message.class = number;
                recovered
            }
            None => {
                message.class = 0;
                message.order_key = None;
                RecoveredMessage::Fail
            }
        };
        (Record::message(message), Some(recovered))
    }

    fn tenant(&self, stored: u32) -> Option<u32> {
        self.tenants.get(stored as usize).copied().flatten()
    }

    fn zone(&self, stored: u16) -> u16 {
        let position = self.zones.get(usize::from(stored)).copied().flatten();
        position.unwrap_or(UNKNOWN_ZONE)
    }
}

fn class_names(names: &StoredNames) -> Vec<&str> {
    let classes = names.classes.iter();
    classes.map(|class| class.name.as_str()).collect()
}

/// Returns the position among `current` of each stored name. A name that stands at the same position in both is not looked
/// for elsewhere, so that names that occur more than once keep their positions.
fn positions<T, N>(stored: &[T], current: &[T]) -> Vec<Option<N>>
where
    T: AsRef<str>,
    N: TryFrom<usize>,
{
    let by_name: BTreeMap<&str, usize> = (0..current.len())
        .rev()
        .map(|position| (current[position].as_ref(), position))
        .collect();
    let position_of = |(position, name): (usize, &T)| {
        let name = name.as_ref();
        let is_in_place = current
            .get(position)
            .is_some_and(|other| other.as_ref() == name);
        let found = if is_in_place {
            Some(position)
        } else {
            by_name.get(name).copied()
        };
        found.and_then(|found| N::try_from(found).ok())
    };
    stored.iter().enumerate().map(position_of).collect()
}
