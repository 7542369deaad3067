use super::*;
use quickcheck::{quickcheck, TestResult};
use std::cmp::Reverse;

/// A loss that is linear between two turning points, with a slope of its own in each piece. A steep
/// jump lies at each turning point.
fn loss(due: Micros, turning_points: &[i64], slopes: &[i8]) -> i64 {
    let due = due as i64;
    let piece = turning_points.iter().filter(|point| **point < due).count();
    let slope = i64::from(slopes.get(piece).copied().unwrap_or(1));
    slope * due + slope * 1000
}

/// A released message without backoff for each due time, with its index as the id.
fn entries_due_at(dues: &[u8]) -> Vec<QueueEntry> {
    let entry = |(index, due): (usize, &u8)| QueueEntry {
        id: MessageId(index as u32),
        due: Micros::from(*due),
        last_send: 1000,
        is_released: true,
        ..QueueEntry::default()
    };
    dues.iter().enumerate().map(entry).collect()
}

fn queue_of(entries: &[QueueEntry]) -> DispatchQueue {
    let mut queue = DispatchQueue::default();
    for entry in entries {
        queue.insert(entry);
    }
    queue.promote_ready(0, |id| entries.get(id.0 as usize).copied());
    queue
}

quickcheck! {
    fn the_best_candidate_is_the_best_of_all_messages(
        dues: Vec<u8>,
        turning_points: Vec<u8>,
        slopes: Vec<i8>,
        from: u8,
        to: u8
    ) -> TestResult {
        let entries = entries_due_at(&dues);
        let queue = queue_of(&entries);
        let Some((_, messages)) = queue.groups().next() else {
            return TestResult::discard();
        };
        let mut turning_points: Vec<i64> = turning_points.into_iter().map(i64::from).collect();
        turning_points.sort_unstable();
        let range = i64::from(from.min(to))..=i64::from(from.max(to));

        let best = |ids: Vec<MessageId>| {
            ids.into_iter().max_by_key(|id| {
                let due = entries[id.0 as usize].due;
                (loss(due, &turning_points, &slopes), Reverse((due, *id)))
            })
        };
        let all = entries
            .iter()
            .filter(|entry| range.contains(&(entry.due as i64)))
            .map(|entry| entry.id)
            .collect();
        let mut candidates = Vec::new();
        DispatchQueue::candidates(messages, range.clone(), || turning_points.clone(), &mut candidates);
        TestResult::from_bool(best(all) == best(candidates))
    }
}

/// A message that becomes ready at a time of its own; every second one is released at once.
fn entry(number: u32) -> QueueEntry {
    QueueEntry {
        id: MessageId(number),
        last_send: Micros::from(number),
        ready_at: Micros::from(number % 7),
        is_released: number.is_multiple_of(2),
        ..QueueEntry::default()
    }
}

fn released(number: u32) -> QueueEntry {
    QueueEntry {
        is_released: true,
        ..entry(number)
    }
}

/// A queue of fifty messages, some of them released and some ready, from which all are removed
/// again.
fn queue_after_all_are_removed() -> DispatchQueue {
    let mut queue = DispatchQueue::default();
    for number in 0..50 {
        queue.insert(&entry(number));
    }
    queue.promote_ready(3, |id| Some(entry(id.0)));
    assert_eq!((queue.len(), queue.expiring_by(9).len()), (50, 10));
    queue.release(&released(7));
    for number in 0..50 {
        queue.remove(&released(number));
    }
    queue
}

#[test]
fn a_removed_message_is_in_none_of_the_tables() {
    let queue = queue_after_all_are_removed();
    assert!(
        queue.len() == 0 && queue.groups.is_empty() && queue.backing_off.is_empty(),
        "{queue:?}"
    );
}

#[test]
fn a_message_that_does_not_wait_is_neither_removed_nor_released() {
    let mut queue = queue_after_all_are_removed();
    queue.remove(&entry(3));
    queue.release(&entry(3));
    assert!(queue.backing_off.is_empty(), "it does not wait");
}
