//! What the rule on outliers promises at its limits.

use super::*;

const SECOND: Micros = 1_000_000;
/// Long after any answer.
const NOW: Micros = 100 * SECOND;

fn circumstances(now: Micros) -> Circumstances {
    Circumstances {
        now,
        overload_window: 2 * SECOND,
        is_budget_scant: false,
    }
}

fn rejected() -> Outcome {
    Outcome::Rejected { retry_after: None }
}

fn record_all(failures: &mut FailureAccrual, outcomes: &[Outcome]) -> Vec<Verdict> {
    let record = |outcome: &Outcome| failures.record(*outcome, circumstances(NOW));
    outcomes.iter().map(record).collect()
}

#[test]
fn the_third_failure_in_a_row_ejects() {
    let mut failures = FailureAccrual::default();
    let verdicts = record_all(&mut failures, &[Outcome::Error; 3]);
    assert_eq!(verdicts, [Verdict::Keep, Verdict::Keep, Verdict::Eject]);
}

#[test]
fn a_success_begins_a_new_row() {
    let mut failures = FailureAccrual::default();
    let outcomes = [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Delivered,
        Outcome::ConnectionReset,
        Outcome::Error,
    ];
    assert!(!record_all(&mut failures, &outcomes).contains(&Verdict::Eject));
}

#[test]
fn two_failures_eject_where_the_budget_is_scant() {
    let scant = Circumstances {
        is_budget_scant: true,
        ..circumstances(NOW)
    };
    let mut failures = FailureAccrual::default();
    assert_eq!(failures.record(Outcome::Error, scant), Verdict::Keep);
    assert_eq!(failures.record(Outcome::Error, scant), Verdict::Eject);
}

#[test]
fn five_failures_in_a_full_window_eject() {
    let mut failures = FailureAccrual::default();
    let mixed = [
        Outcome::Delivered,
        Outcome::Error,
        Outcome::Error,
        Outcome::Delivered,
        Outcome::Error,
        Outcome::Error,
        Outcome::Delivered,
    ];
    assert!(!record_all(&mut failures, &mixed).contains(&Verdict::Eject));
    assert_eq!(
        record_all(&mut failures, &[Outcome::Error]),
        [Verdict::Eject]
    );
}

#[test]
fn rejections_eject_only_over_a_time_longer_than_an_overload() {
    let mut failures = FailureAccrual::default();
    for _ in 0..20 {
        let verdict = failures.record(rejected(), circumstances(NOW));
        assert_eq!(verdict, Verdict::Keep);
    }
    let later = circumstances(NOW + 2 * SECOND);
    assert_eq!(failures.record(rejected(), later), Verdict::Eject);
}

#[test]
fn rejections_do_not_make_an_endpoint_degraded() {
    let mut failures = FailureAccrual::default();
    record_all(&mut failures, &[rejected(); 2]);
    assert!(!failures.is_degraded());
    record_all(&mut failures, &[Outcome::Error; 2]);
    assert!(failures.is_degraded());
}

#[test]
fn failed_connections_prove_nothing_right_after_an_answer() {
    let mut failures = FailureAccrual::default();
    record_all(&mut failures, &[Outcome::Delivered]);
    let refused = [Outcome::NoConnection; 4];
    assert!(!record_all(&mut failures, &refused).contains(&Verdict::Eject));
    assert_eq!(failures.window.failures(), 0);
    // The fifth counts, and the four before it with it.
    assert_eq!(
        record_all(&mut failures, &[Outcome::NoConnection]),
        [Verdict::Eject]
    );
}

#[test]
fn failed_connections_count_once_the_last_answer_is_old() {
    let mut failures = FailureAccrual::default();
    record_all(&mut failures, &[Outcome::Delivered]);
    let later = circumstances(NOW + CONNECTION_GRACE);
    failures.record(Outcome::NoConnection, later);
    assert_eq!(failures.consecutive_failures, 1);
}

#[test]
fn outcomes_that_say_nothing_change_nothing() {
    let mut failures = FailureAccrual::default();
    let silent = [
        Outcome::WithdrawnBeforeSend,
        Outcome::NotAttempted { no_permit: false },
        Outcome::Cancelled,
    ];
    record_all(&mut failures, &silent);
    assert_eq!(failures.window.len(), 0);
    assert_eq!(failures.consecutive_failures, 0);
}

#[test]
fn a_cancelled_attempt_counts_where_the_budget_is_scant() {
    let mut failures = FailureAccrual::default();
    let scant = Circumstances {
        is_budget_scant: true,
        ..circumstances(NOW)
    };
    failures.record(Outcome::Cancelled, scant);
    assert_eq!(failures.consecutive_failures, 1);
}

#[test]
fn the_window_holds_the_latest_outcomes_and_survives_as_bits() {
    let mut window = OutcomeWindow::default();
    for place in 0..20 {
        window.record(place % 3 == 0);
    }
    assert_eq!(window.len(), WINDOW);
    let copy = OutcomeWindow::from_bits(window.to_bits(), window.len() as u8);
    assert_eq!(copy.successes, window.successes);
    assert_eq!(window.successes.front(), Some(&false), "19 is not a third");
}

#[test]
fn two_silent_calls_eject() {
    assert!(!is_silent(1));
    assert!(is_silent(2));
}

#[test]
fn a_retry_after_is_long_beyond_the_overload_window() {
    assert!(!is_long_retry_after(2 * SECOND, 2 * SECOND));
    assert!(is_long_retry_after(2 * SECOND + 1, 2 * SECOND));
}
