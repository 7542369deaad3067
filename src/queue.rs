//! The dispatch queue of a destination. It orders the waiting messages so that the next one is
//! found without comparing all of them, and makes no decisions.
//!
//! Messages that differ only in their latency objective form a group, ordered by that objective.
//! Within a group, the expected loss of waiting is a function of the objective that is smooth
//! between a small number of breakpoints and monotonic within each such piece. The extreme losses
//! of a piece are therefore at its ends, and a caller that looks for the best message of a group
//! compares two messages per piece ([`DispatchQueue::collect_best_message_candidates`]).
//!
//! Invariant: every waiting message is in `by_latest_send`. Once its order key has granted the
//! message its turn, it is in `backing_off` until its backoff is over, and in its group after that.
//! A message is removed from all indexes together.

use crate::model::{MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// Number of messages up to which comparing all messages of a group is cheaper than finding the
/// ends of its pieces.
const MAX_SMALL_GROUP: usize = 16;

/// Upper bound on the breakpoints of a group: four for each of four delays, each with the two
/// instants beside it.
const MAX_BREAKPOINTS: usize = 4 * 4 * 3;

/// The properties that all messages of a group share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageGroup {
    /// Index of the delivery class in the configuration.
    pub class_index: usize,
    /// The bits of the priority weight, an `f64`.
    pub weight_bits: u64,
    /// Time in µs from the latency objective to the deadline.
    pub objective_to_deadline: i64,
    /// Time in µs from the latency objective to the latest instant to send. Negative if that
    /// instant is first.
    pub objective_to_latest_send: i64,
    /// The only zone to which the message may be sent, because an earlier attempt may have taken
    /// effect there.
    pub zone: Option<u16>,
}

/// The queue's view of a message. Only `is_order_granted` may change while the message waits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueEntry {
    pub id: MessageId,
    pub group: MessageGroup,
    /// The instant of the latency objective, in µs.
    pub objective_at: Micros,
    /// The latest instant to send the message, in µs.
    pub latest_send_at: Micros,
    /// The instant at which the backoff ends, in µs.
    pub backoff_until: Micros,
    /// Whether no earlier message of the same order key is pending.
    pub is_order_granted: bool,
}

/// A message with an instant, ordered by the instant and then by the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimedMessage {
    at: Micros,
    id: MessageId,
}

impl TimedMessage {
    fn new(at: Micros, id: MessageId) -> TimedMessage {
        TimedMessage { at, id }
    }

    /// Returns the lower bound of all messages at an instant.
    fn lower_bound(at: Micros) -> TimedMessage {
        TimedMessage::new(at, MessageId(0))
    }

    /// Returns the upper bound of all messages at an instant.
    fn upper_bound(at: Micros) -> TimedMessage {
        TimedMessage::new(at, MessageId(u32::MAX))
    }
}

/// The messages of a group that may be sent, ordered by latency objective.
pub type GroupMessages = BTreeSet<TimedMessage>;

/// The waiting messages of a destination, which owns the queue.
#[derive(Debug, Default)]
pub struct DispatchQueue {
    /// The messages that may be sent. A group is removed with its last message.
    groups: BTreeMap<MessageGroup, GroupMessages>,
    /// Messages that have their turn in the order, by the end of their backoff.
    backing_off: BTreeSet<TimedMessage>,
    /// All waiting messages, by the latest instant to send.
    by_latest_send: BTreeSet<TimedMessage>,
}

impl DispatchQueue {
    /// Returns the number of waiting messages.
    pub fn len(&self) -> usize {
        self.by_latest_send.len()
    }

    /// Adds a message. The message must not be waiting already.
    pub fn insert(&mut self, entry: &QueueEntry) {
        self.by_latest_send.insert(entry.by_latest_send());
        if entry.is_order_granted {
            self.backing_off.insert(entry.by_backoff_until());
        }
    }

    /// Records that no earlier message of the order key is pending: `entry.is_order_granted` is
    /// true from now on. Does nothing if the message is not waiting.
    pub fn grant_order(&mut self, entry: &QueueEntry) {
        let is_waiting = self.by_latest_send.contains(&entry.by_latest_send());
        if is_waiting && !self.is_in_group(entry) {
            self.backing_off.insert(entry.by_backoff_until());
        }
    }

    /// Removes a message. Does nothing if the message is not waiting.
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

    /// Moves the messages whose backoff is over at `now` to their groups. `entry_of` must return
    /// the entry of each waiting message.
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

    /// Returns the groups that have messages to send, with these messages.
    pub fn groups(&self) -> impl Iterator<Item = (&MessageGroup, &GroupMessages)> {
        self.groups.iter()
    }

    /// Returns the waiting messages whose latest instant to send is not after `time`, ordered by
    /// id.
    pub fn expiring_by(&self, time: Micros) -> Vec<MessageId> {
        let expiring = self
            .by_latest_send
            .range(..=TimedMessage::upper_bound(time));
        let mut ids: Vec<MessageId> = expiring.map(|message| message.id).collect();
        ids.sort_unstable();
        ids
    }

    /// Adds the messages of a group that can be the best to send next to `candidates`. Only
    /// messages with a latency objective within `objectives` are considered.
    ///
    /// The candidates are the first and the last message of each piece between two breakpoints;
    /// among equal objectives, the message with the lowest id. A breakpoint is the last objective
    /// of its piece. For a small group, all messages in the range are candidates, and `breakpoints`
    /// is not called.
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

/// Returns the messages with an objective from `from` to `to` inclusive, ordered by objective and
/// id. `from` must not be greater than `to`.
fn messages_within(
    messages: &GroupMessages,
    from: Micros,
    to: Micros,
) -> impl DoubleEndedIterator<Item = &TimedMessage> {
    messages.range(TimedMessage::lower_bound(from)..=TimedMessage::upper_bound(to))
}

/// Returns the last objective of each piece within the range in ascending order, except for `to`,
/// the end of the last piece.
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

/// Returns the end of the piece that contains `objective_at`, or `None` for the last piece.
fn end_of_piece(piece_ends: &[Micros], objective_at: Micros) -> Option<Micros> {
    let piece = piece_ends.partition_point(|end| *end < objective_at);
    piece_ends.get(piece).copied()
}

/// Returns the message with the lowest id among those with the last objective of a piece. Returns
/// `None` if that objective is `earliest`, whose message is a candidate already.
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
    /// Returns the objectives at which the expected loss of waiting has a breakpoint. Each comes
    /// with the two instants beside it, because rounding may move the breakpoint there.
    ///
    /// The loss is evaluated for a message that is sent at `now` plus each of `delays` (µs) and
    /// gets a response after `mean_latency` µs. The breakpoints are at the objectives for which the
    /// response arrives at the objective, `decay_time` µs after it (when the weight has decayed),
    /// or at the deadline, and for which the message is sent at the latest instant to send.
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
