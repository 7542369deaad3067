//! Shutdown and restart of the process, and its suspension.

use super::common::*;
use super::support::world_with_one_endpoint;
use opalpulley::*;

/// An attempt that is in flight when the process ends may have taken effect.
#[test]
fn repeats_only_repeatable_messages_after_restart() -> CheckResult {
    let mut world = world_with_one_endpoint();
    let idempotent = world.submit(IDEMPOTENT, 0)?;
    let keyed = world.submit(IDEMPOTENCY_KEYED, 0)?;
    let at_most_once = world.submit(AT_MOST_ONCE, 0)?;
    world.advance(300 * MS)?;
    assert_eq!(world.messages.ids_in_flight().len(), 3);
    world.restart_with_journal()?;
    assert!(world.has_failed(at_most_once));
    world.advance(500 * MS)?;
    for id in [idempotent, keyed] {
        assert_eq!(world.attempt_count(id), 2);
    }
    // The process is down for longer than the deduplication window of the keyed message.
    world.now += 3_000 * MS;
    world.restart_with_journal()?;
    assert!(world.has_failed(keyed) && !world.has_failed(idempotent));
    // The process is down until after every deadline.
    world.now += 5_000 * MS;
    world.restart_with_journal()?;
    assert!(world.has_failed(idempotent));
    Ok(())
}

#[test]
fn counts_attempts_of_previous_run() -> CheckResult {
    let config = Config {
        max_attempts: 1,
        ..config()
    };
    let mut world = World::new(config, vec![listed_endpoint(1, 0, 20.0)]);
    let id = world.submit(IDEMPOTENT, 0)?;
    world.advance(300 * MS)?;
    assert_eq!(world.messages.ids_in_flight(), [id]);
    world.restart_with_journal()?;
    world.advance(50 * MS)?;
    assert!(world.messages[id].completed);
    Ok(())
}

#[test]
fn sends_nothing_after_shutdown_begins() -> CheckResult {
    let mut world = world_with_one_endpoint();
    let first = world.submit(IDEMPOTENT, 0)?;
    world.advance(300 * MS)?;
    world.handle(Event::ShuttingDown)?;
    let second = world.submit(IDEMPOTENT, 0)?;
    world.end_attempt(first, Outcome::Error)?;
    world.advance(2_000 * MS)?;
    assert_eq!(
        (world.attempt_count(first), world.attempt_count(second)),
        (1, 0)
    );
    Ok(())
}

/// Endpoints may have drained while the process was suspended. The waiting events must be handled
/// before anything is sent.
#[test]
fn handles_waiting_events_before_sending_after_suspension() -> CheckResult {
    let list = vec![listed_endpoint(1, 0, 200.0), listed_endpoint(2, 0, 200.0)];
    let mut world = World::new(config(), list);
    world.submit(IDEMPOTENT, 0)?;
    world.now += 3_000 * MS;
    let id = world.submit(IDEMPOTENT, 0)?;
    assert_eq!(
        world.attempt_count(id),
        0,
        "expected no attempt before the waiting events are handled"
    );
    let entry = listed_endpoint(1, 0, 200.0);
    world.report_entry_change(with_status(entry, EndpointStatus::Draining))?;
    world.advance(100 * MS)?;
    let attempts = world.messages[id].attempts.iter();
    let endpoints: Vec<EndpointId> = attempts.map(|attempt| attempt.endpoint).collect();
    assert_eq!(endpoints, [endpoint(2)]);
    Ok(())
}
