//! Tests of the order, the pauses and the acknowledgements of a key, at the limits of the rules.

use super::*;

const KEY: OrderKey = OrderKey(7);

fn message(id: u32) -> QueuedMessage {
    QueuedMessage {
        id: MessageId(id),
        destination: DestinationId(id),
    }
}

fn queues(ids: &[u32]) -> OrderedQueues {
    let mut queues = OrderedQueues::default();
    for id in ids {
        queues.enqueue(KEY, message(*id));
    }
    queues
}

#[test]
fn returns_first_message_of_key_until_removed() {
    let mut queues = queues(&[1, 2]);
    assert_eq!(queues.next_message(0, KEY), Some(message(1)));
    assert_eq!(queues.next_message(0, KEY), Some(message(1)));
    queues.remove(KEY, MessageId(1));
    assert_eq!(queues.next_message(0, KEY), Some(message(2)));
    queues.remove(KEY, MessageId(2));
    assert_eq!(queues.next_message(0, KEY), None);
}

#[test]
fn keeps_order_if_middle_message_is_removed() {
    let mut queues = queues(&[1, 2, 3]);
    queues.remove(KEY, MessageId(2));
    assert_eq!(queues.next_message(0, KEY), Some(message(1)));
    queues.remove(KEY, MessageId(1));
    assert_eq!(queues.next_message(0, KEY), Some(message(3)));
}

#[test]
fn returns_no_message_until_longest_pause_ends() {
    let mut queues = queues(&[1]);
    queues.pause(KEY, 100);
    queues.pause(KEY, 50);
    assert_eq!(queues.next_message(99, KEY), None);
    assert_eq!(queues.next_message(100, KEY), Some(message(1)));
}

#[test]
fn pause_of_one_key_leaves_other_keys_unaffected() {
    let mut queues = queues(&[1]);
    queues.pause(KEY, 100);
    queues.enqueue(OrderKey(8), message(2));
    assert_eq!(queues.next_message(0, OrderKey(8)), Some(message(2)));
}

#[test]
fn keeps_unacknowledged_message_first() {
    let mut queues = queues(&[1, 2]);
    queues.await_acknowledgement(KEY, MessageId(1));
    assert_eq!(queues.next_message(0, KEY), Some(message(1)));
    assert_eq!(queues.acknowledge(MessageId(1)), Some(KEY));
    assert_eq!(queues.acknowledge(MessageId(1)), None);
}

#[test]
fn removes_key_once_empty_and_unpaused() {
    let mut queues = queues(&[1]);
    queues.pause(KEY, 100);
    queues.remove(KEY, MessageId(1));
    queues.remove_unused_keys(99);
    assert!(!queues.is_empty());
    queues.remove_unused_keys(100);
    assert!(queues.is_empty());
}

#[test]
fn outcome_is_unknown_if_endpoint_may_still_be_processing() {
    for outcome in [
        Outcome::Timeout,
        Outcome::ConnectionReset,
        Outcome::Cancelled,
    ] {
        assert!(is_outcome_unknown(outcome));
    }
    for outcome in [Outcome::Delivered, Outcome::Error, Outcome::NoConnection] {
        assert!(!is_outcome_unknown(outcome));
    }
}
