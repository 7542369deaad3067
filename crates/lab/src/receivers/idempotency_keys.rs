//! Idempotency keys that the receivers know.

use crate::scenario::DeliveryClass;
use opalpulley::Micros;
use std::collections::{BTreeSet, VecDeque};

/// Keys of calls that took effect, remembered for twice the longest window or time to live.
pub(super) struct IdempotencyKeys {
    known: BTreeSet<u64>,
    /// The same keys by age, each with the time of its call.
    by_age: VecDeque<(Micros, u64)>,
    retention: Micros,
}

impl IdempotencyKeys {
    /// No key known yet.
    pub fn new(classes: &[DeliveryClass]) -> IdempotencyKeys {
        let classes = classes.iter();
        let longest = classes.map(|class| class.window.0.max(class.time_to_live.0));
        IdempotencyKeys {
            known: BTreeSet::new(),
            by_age: VecDeque::new(),
            retention: longest.max().unwrap_or(0) * 2,
        }
    }

    /// Whether a call is new to the receivers; from now on its key is known. A call without a key is always new.
    pub fn insert_if_new(&mut self, now: Micros, key: Option<u64>) -> bool {
        let Some(key) = key else { return true };
        while let Some((at, oldest_key)) = self.by_age.front().copied() {
            if at + self.retention >= now {
                break;
            }
            self.by_age.pop_front();
            self.known.remove(&oldest_key);
        }
        let new = self.known.insert(key);
        if new {
            self.by_age.push_back((now, key));
        }
        new
    }

    /// Keys that are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }
}
