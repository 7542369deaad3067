//! Tests of ejection, degradation and the outcome window, at the limits of the rules.

use super::*;

const SECOND: Micros = 1_000_000;
/// Long after the time of the last response, which is 0 by default.
const NOW: Micros = 100 * SECOND;

fn context(now: Micros) -> OutcomeContext {
    OutcomeContext {
        now,
        overload_window: 2 * SECOND,
        is_share_negligible: false,
    }
}

fn rejected() -> Outcome {
    Outcome::Rejected { retry_after: None }
}

fn record_all(failures: &mut FailureAccrual, outcomes: &[Outcome]) -> Vec<Verdict> {
    let record = |outcome: &Outcome| failures.record(*outcome, context(NOW));
    outcomes.iter().map(record).collect()
}

#[test]
fn ejects_after_three_consecutive_failures() {
    let mut failures = FailureAccrual::default();
    let verdicts = record_all(&mut failures, &[Outcome::Error; 3]);
    assert_eq!(verdicts, [Verdict::Keep, Verdict::Keep, Verdict::Eject]);
}

#[test]
fn success_resets_consecutive_failures() {
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
fn ejects_after_two_failures_if_share_is_negligible() {
    let negligible_share = OutcomeContext {
        is_share_negligible: true,
        ..context(NOW)
    };
    let mut failures = FailureAccrual::default();
    assert_eq!(
        failures.record(Outcome::Error, negligible_share),
        Verdict::Keep
    );
    assert_eq!(
        failures.record(Outcome::Error, negligible_share),
        Verdict::Eject
    );
}

#[test]
fn ejects_after_five_failures_in_full_window() {
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
fn ejects_for_rejections_only_after_overload_window() {
    let mut failures = FailureAccrual::default();
    for _ in 0..20 {
        let verdict = failures.record(rejected(), context(NOW));
        assert_eq!(verdict, Verdict::Keep);
    }
    let later = context(NOW + 2 * SECOND);
    assert_eq!(failures.record(rejected(), later), Verdict::Eject);
}

#[test]
fn rejections_do_not_degrade_endpoint() {
    let mut failures = FailureAccrual::default();
    record_all(&mut failures, &[rejected(); 2]);
    assert!(!failures.is_degraded());
    record_all(&mut failures, &[Outcome::Error; 2]);
    assert!(failures.is_degraded());
}

#[test]
fn excuses_four_failed_connections_after_response() {
    let mut failures = FailureAccrual::default();
    record_all(&mut failures, &[Outcome::Delivered]);
    let refused = [Outcome::NoConnection; 4];
    assert!(!record_all(&mut failures, &refused).contains(&Verdict::Eject));
    assert_eq!(failures.window.failures(), 0);
    // The fifth failed connection counts, together with the four excused ones before it.
    assert_eq!(
        record_all(&mut failures, &[Outcome::NoConnection]),
        [Verdict::Eject]
    );
}

#[test]
fn counts_failed_connection_after_grace_period() {
    let mut failures = FailureAccrual::default();
    record_all(&mut failures, &[Outcome::Delivered]);
    let later = context(NOW + CONNECTION_GRACE);
    failures.record(Outcome::NoConnection, later);
    assert_eq!(failures.consecutive_failures, 1);
}

#[test]
fn ignores_inconclusive_outcomes() {
    let mut failures = FailureAccrual::default();
    let inconclusive = [
        Outcome::WithdrawnBeforeSend,
        Outcome::NotAttempted { no_permit: false },
        Outcome::Cancelled,
    ];
    record_all(&mut failures, &inconclusive);
    assert_eq!(failures.window.len(), 0);
    assert_eq!(failures.consecutive_failures, 0);
}

#[test]
fn counts_cancelled_attempt_if_share_is_negligible() {
    let mut failures = FailureAccrual::default();
    let negligible_share = OutcomeContext {
        is_share_negligible: true,
        ..context(NOW)
    };
    failures.record(Outcome::Cancelled, negligible_share);
    assert_eq!(failures.consecutive_failures, 1);
}

#[test]
fn window_keeps_latest_outcomes_and_round_trips_as_bits() {
    let mut window = OutcomeWindow::default();
    for index in 0..20 {
        window.record(index % 3 == 0);
    }
    assert_eq!(window.len(), OUTCOME_WINDOW_SIZE);
    let copy = OutcomeWindow::from_bits(window.to_bits(), window.len() as u8);
    assert_eq!(copy.successes, window.successes);
    assert_eq!(
        window.successes.front(),
        Some(&false),
        "the newest outcome (index 19, a failure) must be first"
    );
}

#[test]
fn is_unresponsive_after_two_unanswered_calls() {
    assert!(!is_unresponsive(1));
    assert!(is_unresponsive(2));
}

#[test]
fn retry_after_is_long_beyond_overload_window() {
    assert!(!is_long_retry_after(2 * SECOND, 2 * SECOND));
    assert!(is_long_retry_after(2 * SECOND + 1, 2 * SECOND));
}
