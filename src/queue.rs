//! The queue of a destination: its waiting messages, ordered so that the next one is found at
//! little cost however many wait. The queue decides nothing.
//!
//! A message is due when its latency objective is over. Messages that differ only in when they are
//! due form a group, ordered by that time. Within a
//! group the expected loss of waiting is a smooth function of the due time between a few turning
//! points, and rises or falls all the way from one to the next. The greatest and the least loss of
//! each piece are therefore at its ends, so that a caller who looks for the best message of a group
//! compares two messages a piece, not all ([`DispatchQueue::candidates`]).
//!
//! Invariant: every waiting message is in `by_latest_send`. It is in its group as well once it is
//! released by its order key and its backoff is over; it is in `backing_off` while only the backoff
//! is missing. It leaves all three together.

use crate::model::{MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// Messages of a group up to which comparing all is cheaper than finding the ends of its pieces.
const MAX_SMALL_GROUP: usize = 16;

/// Turning points at four moments ahead: four each, and the two times beside each.
const MAX_BREAKPOINTS: usize = 4 * 4 * 3;

/// What the messages of one group have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageGroup {
    /// The delivery class, as an index into the configured classes.
    pub class_index: usize,
    /// The bits of the priority weight, an `f64`.
    pub weight_bits: u64,
    /// µs from the due time (its latency objective) to the deadline.
    pub objective_to_deadline: i64,
    /// µs from the due time to the last moment to send.
    pub objective_to_latest_send: i64,
    /// The only zone that may receive the message, because it may have taken effect there.
    pub zone: Option<u16>,
}

/// A message as the queue sees it. Nothing but `is_order_granted` may change while it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueEntry {
    /// The message.
    pub id: MessageId,
    /// What it has in common with others.
    pub group: MessageGroup,
    /// When it is due: its latency objective is over then, in µs.
    pub objective_at: Micros,
    /// The last moment to send it, in µs.
    pub latest_send_at: Micros,
    /// When its backoff is over, in µs.
    pub backoff_until: Micros,
    /// Whether no earlier message of its order key is in the way.
    pub is_order_granted: bool,
}

/// A message and a time, ordered by the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimedMessage {
    at: Micros,
    id: MessageId,
}

impl TimedMessage {
    fn new(at: Micros, id: MessageId) -> TimedMessage {
        TimedMessage { at, id }
    }

    /// The first message that there can be at this time.
    fn lower_bound(at: Micros) -> TimedMessage {
        TimedMessage::new(at, MessageId(0))
    }

    /// The last message that there can be at this time.
    fn upper_bound(at: Micros) -> TimedMessage {
        TimedMessage::new(at, MessageId(u32::MAX))
    }
}

/// The messages of one group that may be sent, by when they are due.
pub type GroupMessages = BTreeSet<TimedMessage>;

/// The waiting messages of one destination.
#[derive(Debug, Default)]
pub struct DispatchQueue {
    /// Messages that may be sent. A group without messages is removed.
    groups: BTreeMap<MessageGroup, GroupMessages>,
    /// Released messages, by when their backoff is over.
    backing_off: BTreeSet<TimedMessage>,
    /// All waiting messages, by the last moment to send them.
    by_latest_send: BTreeSet<TimedMessage>,
}

impl DispatchQueue {
    /// How many messages wait.
    pub fn len(&self) -> usize {
        self.by_latest_send.len()
    }

    /// Adds a message.
    pub fn insert(&mut self, entry: &QueueEntry) {
        self.by_latest_send.insert(entry.by_latest_send());
        if entry.is_order_granted {
            self.backing_off.insert(entry.by_backoff_until());
        }
    }

    /// Records that no earlier message of its order key is in the way: `entry.is_released` holds
    /// from now on. Does nothing for a message that does not wait.
    pub fn grant_order(&mut self, entry: &QueueEntry) {
        let is_waiting = self.by_latest_send.contains(&entry.by_latest_send());
        if is_waiting && !self.is_in_group(entry) {
            self.backing_off.insert(entry.by_backoff_until());
        }
    }

    /// Removes a message. Does nothing for a message that does not wait.
    pub fn remove(&mut self, entry: &QueueEntry) {
        self.by_latest_send.remove(&entry.by_latest_send());
        self.backing_off.remove(&entry.by_backoff_until());
        if let Some(messages) = self.groups.get_mut(&entry.group) {
            messages.remove(&entry.by_objective());
            if messages.is_empty() {
                self.groups.remove(&entry.group);
            }
        }
    }

    /// Moves the messages whose backoff is over by `now` into their groups. `entry_of` gives the
    /// entry of a message.
    pub fn promote_ready(
        &mut self,
        now: Micros,
        entry_of: impl Fn(MessageId) -> Option<QueueEntry>,
    ) {
        while let Some(first) = self.backing_off.first().copied() {
            if first.at > now {
                return;
            }
            self.backing_off.pop_first();
            if let Some(entry) = entry_of(first.id) {
                let messages = self.groups.entry(entry.group).or_default();
                messages.insert(entry.by_objective());
            }
        }
    }

    /// The groups that have messages to send, each with these.
    pub fn groups(&self) -> impl Iterator<Item = (&MessageGroup, &GroupMessages)> {
        self.groups.iter()
    }

    /// The waiting messages whose last moment to send is at `time` or before, in the order of their
    /// ids.
    pub fn expiring_by(&self, time: Micros) -> Vec<MessageId> {
        let expiring = self
            .by_latest_send
            .range(..=TimedMessage::upper_bound(time));
        let mut ids: Vec<MessageId> = expiring.map(|message| message.id).collect();
        ids.sort_unstable();
        ids
    }

    /// Adds to `candidates` those messages of a group, due within a range, that can be the best to
    /// send next.
    ///
    /// Of each piece between two turning points these are the earliest message and the latest, at
    /// equal due times the one with the least id. A turning point is the last due time of its
    /// piece. Of a small group they are all messages in the range, and `breakpoints` is not
    /// called.
    pub fn collect_best_message_candidates(
        messages: &GroupMessages,
        objectives: RangeInclusive<i64>,
        breakpoints: impl Fn() -> Vec<i64>,
        candidates: &mut Vec<MessageId>,
    ) {
        let Ok(to) = u64::try_from(*objectives.end()) else {
            return;
        };
        let from = u64::try_from(*objectives.start()).unwrap_or(0);
        if from > to {
            return;
        }
        if messages.len() <= MAX_SMALL_GROUP {
            candidates.extend(messages_within(messages, from, to).map(|message| message.id));
            return;
        }
        let piece_ends = piece_ends_within(breakpoints(), from, to);
        let mut next = messages_within(messages, from, to).next();
        while let Some(earliest) = next {
            candidates.push(earliest.id);
            let piece_end = end_of_piece(&piece_ends, earliest.at).unwrap_or(to);
            let latest = latest_with_least_id(messages, earliest.at, piece_end);
            candidates.extend(latest.map(|message| message.id));
            next = if piece_end < to {
                messages_within(messages, piece_end + 1, to).next()
            } else {
                None
            };
        }
    }

    fn is_in_group(&self, entry: &QueueEntry) -> bool {
        match self.groups.get(&entry.group) {
            Some(messages) => messages.contains(&entry.by_objective()),
            None => false,
        }
    }
}

/// The messages due from `from` to `to`, both included, in the order of their due times and ids.
/// `from` must not be beyond `to`.
fn messages_within(
    messages: &GroupMessages,
    from: Micros,
    to: Micros,
) -> impl DoubleEndedIterator<Item = &TimedMessage> {
    messages.range(TimedMessage::lower_bound(from)..=TimedMessage::upper_bound(to))
}

/// The last due times of the pieces within the range, in ascending order, but for that of the last
/// piece, `to`.
fn piece_ends_within(breakpoints: Vec<i64>, from: Micros, to: Micros) -> Vec<Micros> {
    let mut ends = Vec::with_capacity(breakpoints.len());
    for breakpoint in breakpoints {
        match u64::try_from(breakpoint) {
            Ok(breakpoint) if (from..to).contains(&breakpoint) => ends.push(breakpoint),
            _ => {}
        }
    }
    ends.sort_unstable();
    ends
}

/// The end of the piece in which `objective_at` lies.
fn end_of_piece(piece_ends: &[Micros], objective_at: Micros) -> Option<Micros> {
    let piece = piece_ends.partition_point(|end| *end < objective_at);
    piece_ends.get(piece).copied()
}

/// The message with the least id among those due last in a piece, unless they are due at `earliest`
/// like the first.
fn latest_with_least_id(
    messages: &GroupMessages,
    earliest: Micros,
    piece_end: Micros,
) -> Option<&TimedMessage> {
    let latest = messages_within(messages, earliest, piece_end).next_back()?;
    if latest.at > earliest {
        messages_within(messages, latest.at, latest.at).next()
    } else {
        None
    }
}

impl QueueEntry {
    fn by_objective(&self) -> TimedMessage {
        TimedMessage::new(self.objective_at, self.id)
    }

    fn by_backoff_until(&self) -> TimedMessage {
        TimedMessage::new(self.backoff_until, self.id)
    }

    fn by_latest_send(&self) -> TimedMessage {
        TimedMessage::new(self.latest_send_at, self.id)
    }
}

impl MessageGroup {
    /// The due times at which the expected loss of waiting has a bend, each with the two times
    /// beside it, where rounding may put the bend.
    ///
    /// The loss is evaluated at several moments, `delays` in µs from `now`. It has a bend for a
    /// message that, sent at one of them, would be answered at its due time, at the end of the fall
    /// of its weight (`decay_time` µs after its due time) or at its deadline, and for a message whose
    /// last moment to send it is. An answer takes `mean_latency` µs.
    pub fn breakpoints(
        &self,
        now: f64,
        mean_latency: f64,
        delays: [f64; 4],
        decay_time: f64,
    ) -> Vec<i64> {
        let mut breakpoints = Vec::with_capacity(MAX_BREAKPOINTS);
        for delay in delays {
            let answered_at = now + delay + mean_latency;
            let unrounded = [
                answered_at,
                answered_at - decay_time,
                answered_at - self.objective_to_deadline as f64,
                now + delay - self.objective_to_latest_send as f64,
            ];
            for breakpoint in unrounded {
                let breakpoint = breakpoint.floor() as i64;
                breakpoints.extend([breakpoint - 1, breakpoint, breakpoint + 1]);
            }
        }
        breakpoints
    }
}

#[cfg(test)]
mod tests;
