//! The dispatch queue of a destination: messages that wait there, ordered so that finding the next costs little however many wait.
//! It decides nothing. Messages that are alike in all that decides what is lost by waiting, but for when they were due, form
//! a rank, ordered by that time. Within a rank the loss is a smooth curve of the due time between a few cuts, and rises or
//! falls all the way from one cut to the next: the greatest and the least of each piece stand at its ends. So whoever looks
//! for the best of a rank needs to weigh two messages a piece, not all (`DispatchQueue::ends`).
//!
//! Invariant: a message that waits is in `expiring`; it is in its rank as well once it is its turn and its rest is over, in
//! `resting` while only the rest is missing. It leaves all of them as it leaves the queue.

use crate::model::{MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// In a rank of so many a look at each is cheaper than looking for the ends.
const FEW: usize = 16;

/// What messages of one rank have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    pub class: usize,
    /// The bits of what one is weight.
    pub weight: u64,
    /// From when it is due to when it expires, µs.
    pub span: i64,
    /// From when it is due to when it can be sent last, µs.
    pub last: i64,
    /// The zone in which it may have run, where only that one may have it again.
    pub zone: Option<u16>,
}

/// One message as the queue sees it. It must not change while the message waits, but for `turn`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entry {
    pub id: MessageId,
    pub rank: Rank,
    pub due: Micros,
    /// When it can be sent last.
    pub last_send: Micros,
    pub ready_at: Micros,
    pub turn: bool,
}

pub type Ranked = BTreeSet<(Micros, MessageId)>;

#[derive(Debug, Default)]
pub struct DispatchQueue {
    ranks: BTreeMap<Rank, Ranked>, // emptied of ranks without messages
    resting: BTreeSet<(Micros, MessageId)>, // by the end of their rest
    expiring: BTreeSet<(Micros, MessageId)>, // all that wait, by when they can be sent last
}

impl DispatchQueue {
    pub fn len(&self) -> usize {
        self.expiring.len()
    }

    /// A message begins to wait.
    pub fn join(&mut self, entry: &Entry) {
        self.expiring.insert((entry.last_send, entry.id));
        if entry.turn {
            self.resting.insert((entry.ready_at, entry.id));
        }
    }

    /// It is the message's turn: from now on `entry.turn` holds.
    pub fn turn(&mut self, entry: &Entry) {
        if self.expiring.contains(&(entry.last_send, entry.id)) && !self.ranked(entry) {
            self.resting.insert((entry.ready_at, entry.id));
        }
    }

    fn ranked(&self, entry: &Entry) -> bool {
        self.ranks
            .get(&entry.rank)
            .is_some_and(|r| r.contains(&(entry.due, entry.id)))
    }

    /// A message waits no more. One that did not wait changes nothing.
    pub fn leave(&mut self, entry: &Entry) {
        self.expiring.remove(&(entry.last_send, entry.id));
        self.resting.remove(&(entry.ready_at, entry.id));
        if let Some(rank) = self.ranks.get_mut(&entry.rank) {
            rank.remove(&(entry.due, entry.id));
            if rank.is_empty() {
                self.ranks.remove(&entry.rank);
            }
        }
    }

    /// Those whose rest is over by now go to their ranks.
    pub fn wake(&mut self, now: Micros, entry: impl Fn(MessageId) -> Option<Entry>) {
        while let Some((_, id)) = self.resting.first().copied().filter(|(at, _)| *at <= now) {
            self.resting.pop_first();
            if let Some(Entry { rank, due, .. }) = entry(id) {
                self.ranks.entry(rank).or_default().insert((due, id));
            }
        }
    }

    pub fn ranks(&self) -> impl Iterator<Item = (&Rank, &Ranked)> {
        self.ranks.iter()
    }

    /// All that can't be sent any more from this time on, in the order of their ids.
    pub fn expiring_by(&self, time: Micros) -> Vec<MessageId> {
        let mut ids: Vec<MessageId> = self
            .expiring
            .range(..=(time, MessageId(u32::MAX)))
            .map(|(_, id)| *id)
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Of a rank, those due within a span: for each piece between the cuts the first (of the earliest due the least id) and
    /// that of the latest due with the least id. A cut is the last time of its piece. Of a few, all.
    pub fn ends(
        ranked: &Ranked,
        due: RangeInclusive<i64>,
        cuts: impl Fn() -> Vec<i64>,
        ends: &mut Vec<MessageId>,
    ) {
        let (Ok(to), from) = (
            u64::try_from(*due.end()),
            u64::try_from(*due.start()).unwrap_or(0),
        ) else {
            return;
        };
        if from > to {
            return;
        }
        let last = (to, MessageId(u32::MAX));
        if ranked.len() <= FEW {
            return ends.extend(ranked.range((from, MessageId(0))..=last).map(|(_, id)| *id));
        }
        let mut cuts: Vec<u64> = cuts()
            .into_iter()
            .filter_map(|c| u64::try_from(c).ok())
            .filter(|c| (from..to).contains(c))
            .collect();
        cuts.sort_unstable();
        let mut next = ranked.range((from, MessageId(0))..=last).next();
        while let Some(&(due, id)) = next {
            ends.push(id);
            let piece = cuts
                .get(cuts.partition_point(|c| *c < due))
                .copied()
                .unwrap_or(to);
            let until = (piece, MessageId(u32::MAX));
            if let Some(&(latest, _)) = ranked
                .range((due, id)..=until)
                .next_back()
                .filter(|(d, _)| *d > due)
            {
                ends.extend(
                    ranked
                        .range((latest, MessageId(0))..)
                        .next()
                        .map(|(_, id)| *id),
                );
            }
            next = match piece < to {
                true => ranked.range((piece + 1, MessageId(0))..=last).next(),
                false => None,
            };
        }
    }
}

impl Rank {
    /// Due times at which the loss turns: where one of the looks ahead (µs from now) finds a message due, at its late share,
    /// expired, or too late to be sent. `fade` is how long after its due time the weight falls, µs. A turn lies between two
    /// times; what rounding may have moved stands in pieces of its own.
    pub fn cuts(&self, now: f64, answer_time: f64, looks: [f64; 4], fade: f64) -> Vec<i64> {
        let turns = looks.iter().flat_map(|t| {
            let answered = now + t + answer_time;
            [
                answered,
                answered - fade,
                answered - self.span as f64,
                now + t - self.last as f64,
            ]
        });
        turns
            .flat_map(|turn| [-1, 0, 1].map(|near| turn.floor() as i64 + near))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{quickcheck, TestResult};

    /// A curve that rises or falls from cut to cut, in whole numbers: its steps at the cuts are drawn, too.
    fn value(due: u64, cuts: &[i64], steps: &[i8]) -> i64 {
        let piece = cuts.iter().filter(|c| **c < due as i64).count();
        let slope = i64::from(steps.get(piece).copied().unwrap_or(1));
        slope * due as i64 + slope * 1000
    }

    quickcheck! {
        fn the_best_of_the_ends_is_the_best_of_all(dues: Vec<u8>, cuts: Vec<u8>, steps: Vec<i8>, from: u8, to: u8) -> TestResult {
            let mut queue = DispatchQueue::default();
            let entry = |(n, due): (usize, &u8)| {
                let (id, due) = (MessageId(n as u32), u64::from(*due));
                Entry { id, due, last_send: 1000, turn: true, ..Entry::default() }
            };
            let entries: Vec<Entry> = dues.iter().enumerate().map(entry).collect();
            entries.iter().for_each(|e| queue.join(e));
            queue.wake(0, |id| entries.get(id.0 as usize).copied());
            let mut cuts: Vec<i64> = cuts.into_iter().map(i64::from).collect();
            cuts.sort_unstable();
            let (from, to) = (i64::from(from.min(to)), i64::from(from.max(to)));
            let Some((_, ranked)) = queue.ranks().next() else { return TestResult::discard() };
            let best = |ids: Vec<MessageId>| {
                let of = |id: MessageId| entries[id.0 as usize].due;
                let order = |id: &MessageId| (value(of(*id), &cuts, &steps), std::cmp::Reverse((of(*id), *id)));
                ids.into_iter().max_by_key(order)
            };
            let within = |e: &&Entry| (from..=to).contains(&(e.due as i64));
            let all = entries.iter().filter(within).map(|e| e.id).collect();
            let mut ends = Vec::new();
            DispatchQueue::ends(ranked, from..=to, || cuts.clone(), &mut ends);
            TestResult::from_bool(best(all) == best(ends))
        }
    }

    #[test]
    fn what_leaves_is_in_none_of_its_tables() {
        let mut queue = DispatchQueue::default();
        let entry = |n: u32| Entry {
            id: MessageId(n),
            last_send: u64::from(n),
            ready_at: u64::from(n % 7),
            turn: n.is_multiple_of(2),
            ..Entry::default()
        };
        (0..50).for_each(|n| queue.join(&entry(n)));
        queue.wake(3, |id| Some(entry(id.0)));
        assert_eq!((queue.len(), queue.expiring_by(9).len()), (50, 10));
        queue.turn(&Entry {
            turn: true,
            ..entry(7)
        });
        (0..50).for_each(|n| {
            queue.leave(&Entry {
                turn: true,
                ..entry(n)
            })
        });
        assert!(
            queue.len() == 0 && queue.ranks.is_empty() && queue.resting.is_empty(),
            "{queue:?}"
        );
        queue.leave(&entry(3));
        queue.turn(&entry(3));
        assert!(queue.resting.is_empty(), "it does not wait");
    }
}
