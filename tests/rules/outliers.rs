//! Ejection of failing endpoints, health checks, and readmission.

use super::common::*;
use super::support::{deliver_for_seconds, fail_until_ejected, world_with_one_endpoint};
use opalpulley::*;

/// If the calls before the ejection used up the slow-start budget, the first health check would be
/// sent minutes late.
#[test]
fn checks_health_soon_after_ejection_that_follows_busy_period() -> CheckResult {
    let mut world = world_with_one_endpoint();
    deliver_for_seconds(&mut world, 20)?;
    fail_until_ejected(&mut world)?;
    world.advance(3_000 * MS)?;
    assert!(!world.health_checks_in_flight.is_empty());
    Ok(())
}

/// A few refused connections between responses mean that the connection table of the endpoint is
/// full. Refused connections without a response in between mean an outage, however short, and the
/// endpoint needs a slow start after it.
#[test]
fn ejects_endpoint_after_short_outage_but_not_for_full_connection_table() -> CheckResult {
    for is_outage in [true, false] {
        let mut world = world_with_one_endpoint();
        deliver_for_seconds(&mut world, 3)?;
        for number in 0..12 {
            world.submit(IDEMPOTENT, 0)?;
            world.advance(50 * MS)?;
            let responds = !is_outage && number % 3 == 2;
            let outcome = if responds {
                Outcome::Delivered
            } else {
                Outcome::NoConnection
            };
            world.end_all_attempts(outcome)?;
        }
        if world.has_ejected() != is_outage {
            let expectation =
                "expected ejection only after an outage, within 0.6 s of the last response";
            return Err(format!("outage: {is_outage}, {expectation}"));
        }
    }
    Ok(())
}

#[test]
fn readmits_ejected_endpoint_after_health_check_and_call_succeed() -> CheckResult {
    let mut world = world_with_one_endpoint();
    fail_until_ejected(&mut world)?;
    // The endpoint must stay ejected though it leaves the list and returns. Otherwise it would get
    // its full rate without a slow start.
    let entry = listed_endpoint(1, 0, 20.0);
    world.report_entry_change(with_status(entry.clone(), EndpointStatus::Removed))?;
    world.advance(100 * MS)?;
    world.report_entry_change(entry)?;
    world.advance(3_000 * MS)?;
    assert!(
        world.messages.ids_in_flight().is_empty(),
        "expected only health checks while the endpoint is ejected"
    );
    world.end_health_check(Outcome::Delivered)?;
    world.advance(2_000 * MS)?;
    let id = world.messages.ids_in_flight()[0];
    world.end_attempt(id, Outcome::Delivered)?;
    assert!(world.has_logged("endpoint readmitted"));
    Ok(())
}

/// Health checks may fail at an endpoint where calls would succeed.
#[test]
fn sends_message_to_ejected_endpoint_despite_unanswered_health_checks() -> CheckResult {
    let mut world = world_with_one_endpoint();
    fail_until_ejected(&mut world)?;
    for _ in 0..3 {
        world.advance(2_000 * MS)?;
        world.end_health_check(Outcome::Timeout)?;
    }
    world.submit(IDEMPOTENT, 0)?;
    world.advance(2_000 * MS)?;
    assert!(
        world.messages.all().any(|m| m.attempts.len() > 1),
        "expected a message to be sent again"
    );
    Ok(())
}

#[test]
fn limits_calls_to_returning_endpoint_to_forwarder_share_of_slow_start_budget() -> CheckResult {
    let mut world = world_with_one_endpoint();
    deliver_for_seconds(&mut world, 3)?;
    fail_until_ejected(&mut world)?;
    world.advance(3_000 * MS)?;
    world.end_health_check(Outcome::Delivered)?;
    let mut calls = 0;
    for _ in 0..40 {
        world.submit(IDEMPOTENT, 0)?;
        world.advance(50 * MS)?;
        calls += world.end_all_attempts(Outcome::Delivered)?;
    }
    // Two seconds at 2.0 x 0.2 x 20 calls per second, of which half belong to this forwarder, plus
    // a few calls as the endpoint warms up.
    assert!(
        (3..=10).contains(&calls),
        "{calls} calls in the first two seconds, expected 3 to 10"
    );
    Ok(())
}

#[test]
fn ejects_endpoint_that_leaves_calls_unanswered() -> CheckResult {
    let mut world = world_with_one_endpoint();
    deliver_for_seconds(&mut world, 5)?;
    world.submit_many(3, IDEMPOTENT, 0)?;
    world.advance(1_500 * MS)?;
    assert!(world.has_logged("unanswered"));
    Ok(())
}

/// The idle connections of hundreds of forwarders fill the connection table of a small endpoint.
#[test]
fn closes_idle_connections_after_refused_connection() -> CheckResult {
    let mut world = world_with_one_endpoint();
    let close_idle = Action::CloseIdleConnections {
        endpoint: endpoint(1),
    };
    for (outcome, closes) in [(Outcome::Delivered, false), (Outcome::NoConnection, true)] {
        let id = world.submit(IDEMPOTENT, 0)?;
        world.end_attempt(id, outcome)?;
        assert_eq!(world.actions.contains(&close_idle), closes);
        world.advance(2_000 * MS)?;
    }
    Ok(())
}
