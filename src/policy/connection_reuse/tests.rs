//! Tests of when idle connections are closed, at the limits of the rules.

use super::*;

#[test]
fn is_scarce_after_one_attempt_without_connection() {
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
fn is_not_scarce_100_attempts_after_failed_connection() {
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
fn ignores_withdrawn_attempts() {
    let mut scarcity = ConnectionScarcity::default();
    scarcity.observe(Outcome::NoConnection);
    for _ in 0..1_000 {
        scarcity.observe(Outcome::WithdrawnBeforeSend);
    }
    assert!(scarcity.is_scarce());
}
