//! State that restricts the calls to an endpoint is kept in the summary: retry-after pauses,
//! drains, ejections and pacing.

use super::common::*;
use super::*;

/// Returns the send time of a message that is submitted during a retry-after pause of 60 s, which
/// began before the destination became idle.
fn first_send_time_after_pause(full_destinations: Option<u32>) -> CheckResult<Option<Micros>> {
    let mut world = world_with_one_endpoint(full_destinations);
    submit_and_end_attempt(&mut world, Outcome::Delivered)?;
    let rejected = Outcome::Rejected {
        retry_after: Some(60_000 * MS),
    };
    submit_and_end_attempt(&mut world, rejected)?;
    let rejected_at = world.now;
    world.advance(9_000 * MS)?;
    wait_until_idle(&mut world)?;
    if full_destinations.is_some() {
        assert_eq!(world.forwarder.state_counts().bounds, 1);
    }
    world.advance(rejected_at + 55_000 * MS - world.now)?;
    let id = world.submit_with_time_left(IDEMPOTENT, 0, 30_000 * MS)?;
    world.advance(25_000 * MS)?;
    let sent_at = world.attempts_sent_at(id).first().copied();
    assert!(
        sent_at.is_some_and(|at| at >= rejected_at + 60_000 * MS),
        "sent at {sent_at:?}, expected at least 60 s after the rejection at {rejected_at}"
    );
    Ok(sent_at)
}

#[test]
fn keeps_retry_after_pause_while_summarised() -> CheckResult {
    assert_eq!(
        first_send_time_after_pause(HOLD_AS_SUMMARIES)?,
        first_send_time_after_pause(HOLD_IN_FULL)?
    );
    Ok(())
}

/// Returns the times of the calls that follow an ejection of the endpoint and 30 s without
/// messages.
fn call_times_after_ejection(full_destinations: Option<u32>) -> CheckResult<Vec<Micros>> {
    let mut world = world_with_one_endpoint(full_destinations);
    submit_and_end_attempt(&mut world, Outcome::Delivered)?;
    for _ in 0..4 {
        submit_and_end_attempt(&mut world, Outcome::Error)?;
    }
    world.advance(9_000 * MS)?;
    wait_until_idle(&mut world)?;
    let attempts_before = all_attempts(&world).len();
    deliver_one_by_one(&mut world, 300, 1_000 * MS)?;
    Ok(call_times_after(&world, attempts_before))
}

#[test]
fn keeps_slow_start_budget_of_ejected_endpoint_while_summarised() -> CheckResult {
    let with_summaries = call_times_after_ejection(HOLD_AS_SUMMARIES)?;
    let in_full = call_times_after_ejection(HOLD_IN_FULL)?;
    assert!(
        with_summaries.len() > 100,
        "expected the endpoint to return and get over 100 calls: {with_summaries:?}"
    );
    assert_eq!(
        with_summaries, in_full,
        "expected the same calls with summaries as in full"
    );
    Ok(())
}

#[test]
fn enforces_and_lifts_drain_that_begins_while_summarised() -> CheckResult {
    let mut world = world_with_one_endpoint(HOLD_AS_SUMMARIES);
    submit_and_end_attempt(&mut world, Outcome::Delivered)?;
    wait_until_summarised(&mut world)?;
    let entry = listed_endpoint(1, 0, 20.0);
    world.report_entry_change(with_status(entry.clone(), EndpointStatus::Draining))?;
    wait_until_summarised(&mut world)?;
    let attempts_before = all_attempts(&world).len();
    world.submit(IDEMPOTENT, 0)?;
    world.advance(9_000 * MS)?;
    assert_eq!(all_attempts(&world).len(), attempts_before);
    wait_until_summarised(&mut world)?;
    world.report_entry_change(entry)?;
    submit_and_end_attempt(&mut world, Outcome::Delivered)?;
    assert_eq!(all_attempts(&world).len(), attempts_before + 1);
    Ok(())
}

#[test]
fn sends_nothing_more_to_endpoint_replaced_while_summarised() -> CheckResult {
    let mut world = world_with_one_endpoint(HOLD_AS_SUMMARIES);
    submit_and_end_attempt(&mut world, Outcome::Delivered)?;
    wait_until_summarised(&mut world)?;
    let old_entry = listed_endpoint(1, 0, 20.0);
    let new_entry = EndpointEntry {
        endpoint: EndpointId {
            incarnation: 1,
            ..endpoint(1)
        },
        ..old_entry.clone()
    };
    let old_entry = with_status(old_entry, EndpointStatus::Removed);
    world.report_list(EndpointListUpdate::Changes(vec![
        old_entry,
        new_entry.clone(),
    ]))?;
    wait_until_summarised(&mut world)?;
    assert_eq!(
        world.forwarder.state_counts().summaries,
        2,
        "expected the replaced endpoint to be kept at first"
    );
    submit_and_end_attempt(&mut world, Outcome::Delivered)?;
    let last_endpoint = all_attempts(&world).last().map(|attempt| attempt.endpoint);
    assert_eq!(last_endpoint, Some(new_entry.endpoint));
    wait_until_summarised(&mut world)?;
    world.report_list(EndpointListUpdate::Complete(vec![new_entry]))?;
    world.advance(3_000 * MS)?;
    assert_eq!(
        world.forwarder.state_counts().summaries,
        1,
        "expected the replaced endpoint to be discarded by now"
    );
    Ok(())
}

/// Returns the times of the calls within about ten seconds after the optional gossip reached the
/// idle destination, in µs since that moment.
fn call_times_after_gossip(
    full_destinations: Option<u32>,
    gossip: Option<&[u8]>,
) -> CheckResult<Vec<Micros>> {
    let mut world = world_with_one_endpoint(full_destinations);
    submit_and_end_attempt(&mut world, Outcome::Delivered)?;
    wait_until_idle(&mut world)?;
    let restored = world.restored_destinations();
    let (start, attempts_before) = (world.now, all_attempts(&world).len());
    if let Some(payload) = gossip {
        world.receive_gossip(2, payload.to_vec())?;
    }
    if full_destinations.is_some() {
        let counts = world.forwarder.state_counts();
        assert_eq!(
            (counts.full, counts.restored, counts.bounds),
            (0, restored, usize::from(gossip.is_some()))
        );
    }
    deliver_one_by_one(&mut world, 20, 500 * MS)?;
    let sent_at = call_times_after(&world, attempts_before);
    check_pacing_restriction_ends(&mut world)?;
    Ok(sent_at.into_iter().map(|at| at - start).collect())
}

/// Delivers the remaining messages and one more, and checks that pacing no longer restricts the
/// calls in the next summary.
fn check_pacing_restriction_ends(world: &mut World) -> CheckResult {
    for _ in 0..90 {
        world.advance(100 * MS)?;
        world.end_all_attempts(Outcome::Delivered)?;
    }
    submit_and_end_attempt(world, Outcome::Delivered)?;
    if world.config.full_destinations.is_some() {
        wait_until_summarised(world)?;
        assert_eq!(world.forwarder.state_counts().bounds, 0);
    }
    Ok(())
}

/// If gossip restored the destinations that are at their limit anywhere in the fleet, this
/// forwarder would hold all of them in full.
#[test]
fn slows_calls_without_restoring_idle_destination_on_gossip() -> CheckResult {
    let (about_destination, about_unknown) = ([1, 1, 0, 0], [1, 1, 9, 0]);
    let slowed = call_times_after_gossip(HOLD_AS_SUMMARIES, Some(&about_destination))?;
    let slowed_in_full = call_times_after_gossip(HOLD_IN_FULL, Some(&about_destination))?;
    assert_eq!(slowed, slowed_in_full);
    let without_gossip = call_times_after_gossip(HOLD_AS_SUMMARIES, None)?;
    assert!(
        slowed.len() < without_gossip.len(),
        "expected fewer calls after gossip: {slowed:?}, without gossip {without_gossip:?}"
    );
    assert_eq!(
        call_times_after_gossip(HOLD_IN_FULL, Some(&about_unknown))?,
        without_gossip
    );
    Ok(())
}
