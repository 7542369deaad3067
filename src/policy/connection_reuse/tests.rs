//! What the rule on idle connections promises at its limits.

use super::*;

#[test]
fn connections_are_kept_until_one_attempt_gets_none() {
    let mut scarcity = ConnectionScarcity::default();
    for _ in 0..1_000 {
        scarcity.observe(Outcome::Delivered);
        scarcity.observe(Outcome::Timeout);
    }
    assert!(!scarcity.is_scarce());
    scarcity.observe(Outcome::NoConnection);
    assert!(scarcity.is_scarce());
}

#[test]
fn a_refused_connection_is_forgotten_after_some_hundred_attempts() {
    let mut scarcity = ConnectionScarcity::default();
    scarcity.observe(Outcome::NoConnection);
    for _ in 0..50 {
        scarcity.observe(Outcome::Delivered);
    }
    assert!(scarcity.is_scarce());
    for _ in 0..50 {
        scarcity.observe(Outcome::Delivered);
    }
    assert!(!scarcity.is_scarce());
}

#[test]
fn a_withdrawn_attempt_says_nothing() {
    let mut scarcity = ConnectionScarcity::default();
    scarcity.observe(Outcome::NoConnection);
    for _ in 0..1_000 {
        scarcity.observe(Outcome::WithdrawnBeforeSend);
    }
    assert!(scarcity.is_scarce());
}
