//! The idempotency keys that the receivers remember.

use crate::scenario::DeliveryClass;
use opalpulley::Micros;
use std::collections::{BTreeSet, VecDeque};

/// The idempotency keys of calls that took effect, kept for twice the longest window or time to live of all delivery
/// classes.
pub(super) struct IdempotencyKeys {
    known: BTreeSet<u64>,
    /// The known keys in the order of their calls, each with the time of its call in µs.
    by_age: VecDeque<(Micros, u64)>,
    /// How long a key is kept, in µs.
    retention: Micros,
}

impl IdempotencyKeys {
    /// Creates an empty set of keys.
    pub fn new(classes: &[DeliveryClass]) -> IdempotencyKeys {
        let classes = classes.iter();
        let longest = classes.map(|class| class.window.0.max(class.time_to_live.0));
        IdempotencyKeys {
            known: BTreeSet::new(),
            by_age: VecDeque::new(),
            retention: longest.max().unwrap_or(0) * 2,
        }
    }

    /// Returns whether a call is new to the receivers, and remembers its key. A call without a key is always new. Removes
    /// the keys whose retention has ended.
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

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.known.len()
    }
}
