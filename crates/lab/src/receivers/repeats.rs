//! Idempotency keys that the receivers know.

use crate::scenario::DeliveryClass;
use opalpulley::Micros;
use std::collections::{BTreeSet, VecDeque};

/// Keys of calls that took effect, remembered for twice the longest window or time to live.
pub(super) struct Repeats {
    known: BTreeSet<u64>,
    /// The same keys by age, each with the time of its call.
    by_age: VecDeque<(Micros, u64)>,
    memory: Micros,
}

impl Repeats {
    /// No key known yet.
    pub fn new(classes: &[DeliveryClass]) -> Repeats {
        let times = classes.iter();
        let longest = times.map(|class| class.window.0.max(class.time_to_live.0));
        Repeats {
            known: BTreeSet::new(),
            by_age: VecDeque::new(),
            memory: longest.max().unwrap_or(0) * 2,
        }
    }

    /// Whether a call is new to the receivers; from now on its key is known. A call without a key is always new.
    pub fn is_new(&mut self, now: Micros, key: Option<u64>) -> bool {
        let Some(key) = key else { return true };
        while let Some((at, old)) = self.by_age.front().copied() {
            if at + self.memory >= now {
                break;
            }
            self.by_age.pop_front();
            self.known.remove(&old);
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
