use super::*;
use quickcheck::{quickcheck, TestResult};
use std::cmp::Reverse;

/// A loss that is linear between two breakpoints, with a slope for each piece and a steep jump at
/// each breakpoint.
fn loss(objective_at: Micros, breakpoints: &[i64], slopes: &[i8]) -> i64 {
    let objective_at = objective_at as i64;
    let piece = breakpoints
        .iter()
        .filter(|breakpoint| **breakpoint < objective_at)
        .count();
    let slope = i64::from(slopes.get(piece).copied().unwrap_or(1));
    slope * objective_at + slope * 1000
}

/// Returns a message with a granted order and no backoff for each objective. Its id is the index.
fn entries_with_objectives_at(objectives: &[u8]) -> Vec<QueueEntry> {
    let entry = |(index, objective_at): (usize, &u8)| QueueEntry {
        id: MessageId(index as u32),
        objective_at: Micros::from(*objective_at),
        latest_send_at: 1000,
        is_order_granted: true,
        ..QueueEntry::default()
    };
    objectives.iter().enumerate().map(entry).collect()
}

fn queue_with(entries: &[QueueEntry]) -> DispatchQueue {
    let mut queue = DispatchQueue::default();
    for entry in entries {
        queue.insert(entry);
    }
    queue.promote_ready(0, |id| entries.get(id.0 as usize).copied());
    queue
}

quickcheck! {
    fn candidates_include_the_best_message_of_the_range(
        objectives: Vec<u8>,
        breakpoints: Vec<u8>,
        slopes: Vec<i8>,
        from: u8,
        to: u8
    ) -> TestResult {
        let entries = entries_with_objectives_at(&objectives);
        let queue = queue_with(&entries);
        let Some((_, messages)) = queue.groups().next() else {
            return TestResult::discard();
        };
        let mut breakpoints: Vec<i64> = breakpoints.into_iter().map(i64::from).collect();
        breakpoints.sort_unstable();
        let range = i64::from(from.min(to))..=i64::from(from.max(to));

        let best = |ids: Vec<MessageId>| {
            ids.into_iter().max_by_key(|id| {
                let objective_at = entries[id.0 as usize].objective_at;
                (loss(objective_at, &breakpoints, &slopes), Reverse((objective_at, *id)))
            })
        };
        let all = entries
            .iter()
            .filter(|entry| range.contains(&(entry.objective_at as i64)))
            .map(|entry| entry.id)
            .collect();
        let mut candidates = Vec::new();
        DispatchQueue::collect_best_message_candidates(
            messages,
            range.clone(),
            || breakpoints.clone(),
            &mut candidates,
        );
        TestResult::from_bool(best(all) == best(candidates))
    }
}

/// Returns a message whose backoff depends on its number. Every second message has its order
/// granted.
fn entry(number: u32) -> QueueEntry {
    QueueEntry {
        id: MessageId(number),
        latest_send_at: Micros::from(number),
        backoff_until: Micros::from(number % 7),
        is_order_granted: number.is_multiple_of(2),
        ..QueueEntry::default()
    }
}

fn order_granted_entry(number: u32) -> QueueEntry {
    QueueEntry {
        is_order_granted: true,
        ..entry(number)
    }
}

/// Adds fifty messages, of which some have their order granted and some are past their backoff, and
/// removes all of them again.
fn queue_after_removing_all_messages() -> DispatchQueue {
    let mut queue = DispatchQueue::default();
    for number in 0..50 {
        queue.insert(&entry(number));
    }
    queue.promote_ready(3, |id| Some(entry(id.0)));
    assert_eq!((queue.len(), queue.expiring_by(9).len()), (50, 10));
    queue.grant_order(&order_granted_entry(7));
    for number in 0..50 {
        queue.remove(&order_granted_entry(number));
    }
    queue
}

#[test]
fn removed_messages_leave_every_index() {
    let queue = queue_after_removing_all_messages();
    assert!(
        queue.len() == 0 && queue.groups.is_empty() && queue.backing_off.is_empty(),
        "expected an empty queue: {queue:?}"
    );
}

#[test]
fn removal_and_order_grant_ignore_a_message_that_is_not_waiting() {
    let mut queue = queue_after_removing_all_messages();
    queue.remove(&entry(3));
    queue.grant_order(&entry(3));
    assert!(
        queue.backing_off.is_empty(),
        "expected no entry for a message that is not waiting: {queue:?}"
    );
}
