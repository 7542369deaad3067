//! What the rule on order by key promises at its limits.

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
fn the_first_message_of_a_key_is_granted_until_it_leaves() {
    let mut queues = queues(&[1, 2]);
    assert_eq!(queues.granted(0, KEY), Some(message(1)));
    assert_eq!(queues.granted(0, KEY), Some(message(1)));
    queues.remove(KEY, MessageId(1));
    assert_eq!(queues.granted(0, KEY), Some(message(2)));
    queues.remove(KEY, MessageId(2));
    assert_eq!(queues.granted(0, KEY), None);
}

#[test]
fn a_message_that_leaves_from_the_middle_changes_no_turn() {
    let mut queues = queues(&[1, 2, 3]);
    queues.remove(KEY, MessageId(2));
    assert_eq!(queues.granted(0, KEY), Some(message(1)));
    queues.remove(KEY, MessageId(1));
    assert_eq!(queues.granted(0, KEY), Some(message(3)));
}

#[test]
fn a_paused_key_grants_nothing_and_a_pause_is_never_shortened() {
    let mut queues = queues(&[1]);
    queues.pause(KEY, 100);
    queues.pause(KEY, 50);
    assert_eq!(queues.granted(99, KEY), None);
    assert_eq!(queues.granted(100, KEY), Some(message(1)));
}

#[test]
fn keys_do_not_wait_for_each_other() {
    let mut queues = queues(&[1]);
    queues.pause(KEY, 100);
    queues.enqueue(OrderKey(8), message(2));
    assert_eq!(queues.granted(0, OrderKey(8)), Some(message(2)));
}

#[test]
fn an_unacknowledged_message_keeps_its_turn() {
    let mut queues = queues(&[1, 2]);
    queues.await_acknowledgement(KEY, MessageId(1));
    assert_eq!(queues.granted(0, KEY), Some(message(1)));
    assert_eq!(queues.acknowledge(MessageId(1)), Some(KEY));
    assert_eq!(queues.acknowledge(MessageId(1)), None);
}

#[test]
fn a_key_is_forgotten_once_it_is_empty_and_its_pause_over() {
    let mut queues = queues(&[1]);
    queues.pause(KEY, 100);
    queues.remove(KEY, MessageId(1));
    queues.forget_unused(99);
    assert!(!queues.is_empty());
    queues.forget_unused(100);
    assert!(queues.is_empty());
}

#[test]
fn an_outcome_is_unknown_where_the_endpoint_may_still_be_at_work() {
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
