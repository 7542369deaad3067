//! What binds the forwarder at an endpoint outlasts the summary: pauses, drains, ejections and
//! paces.

use super::common::*;
use super::*;

/// When the message is sent that is submitted within a pause of a minute, which began before the
/// destination became idle.
fn sent_at_after_pause(full_destinations: Option<u32>) -> Checked<Option<Micros>> {
    let mut world = one_endpoint(full_destinations);
    send_one(&mut world, Outcome::Delivered)?;
    let rejected = Outcome::Rejected {
        retry_after: Some(60_000 * MS),
    };
    send_one(&mut world, rejected)?;
    let rejected_at = world.now;
    world.advance(9_000 * MS)?;
    pause(&mut world)?;
    if full_destinations.is_some() {
        assert_eq!(world.forwarder.state_counts().bounds, 1);
    }
    world.advance(rejected_at + 55_000 * MS - world.now)?;
    let id = world.submit_with_time_left(IDEMPOTENT, 0, 30_000 * MS)?;
    world.advance(25_000 * MS)?;
    let sent_at = world.sent_at(id).first().copied();
    assert!(
        sent_at.is_some_and(|at| at >= rejected_at + 60_000 * MS),
        "sent at {sent_at:?}, rejected at {rejected_at}"
    );
    Ok(sent_at)
}

#[test]
fn a_retry_after_pause_outlasts_the_summary() -> Checked {
    assert_eq!(sent_at_after_pause(SUMMARIES)?, sent_at_after_pause(FULL)?);
    Ok(())
}

/// When the calls are sent that follow the ejection of the endpoint and half a minute without
/// messages.
fn calls_after_ejection(full_destinations: Option<u32>) -> Checked<Vec<Micros>> {
    let mut world = one_endpoint(full_destinations);
    send_one(&mut world, Outcome::Delivered)?;
    for _ in 0..4 {
        send_one(&mut world, Outcome::Error)?;
    }
    world.advance(9_000 * MS)?;
    pause(&mut world)?;
    let before = attempts(&world).len();
    deliver_one_by_one(&mut world, 300, 1_000 * MS)?;
    Ok(sent_at_after(&world, before))
}

#[test]
fn an_endpoint_ejected_before_it_is_summarised_returns_within_its_slow_start_budget() -> Checked {
    let with = calls_after_ejection(SUMMARIES)?;
    let without = calls_after_ejection(FULL)?;
    assert!(with.len() > 100, "it returns: {with:?}");
    assert_eq!(with, without, "within the budget, as in full");
    Ok(())
}

#[test]
fn a_drain_that_begins_during_the_summary_binds_and_ends() -> Checked {
    let mut world = one_endpoint(SUMMARIES);
    send_one(&mut world, Outcome::Delivered)?;
    become_idle(&mut world)?;
    let entry = listed_endpoint(1, 0, 20.0);
    world.report_change(with_status(entry.clone(), EndpointStatus::Draining))?;
    become_idle(&mut world)?;
    let before = attempts(&world).len();
    world.submit(IDEMPOTENT, 0)?;
    world.advance(9_000 * MS)?;
    assert_eq!(attempts(&world).len(), before);
    become_idle(&mut world)?;
    world.report_change(entry)?;
    send_one(&mut world, Outcome::Delivered)?;
    assert_eq!(attempts(&world).len(), before + 1);
    Ok(())
}

#[test]
fn an_endpoint_replaced_during_the_summary_gets_nothing_more() -> Checked {
    let mut world = one_endpoint(SUMMARIES);
    send_one(&mut world, Outcome::Delivered)?;
    become_idle(&mut world)?;
    let old = listed_endpoint(1, 0, 20.0);
    let new = EndpointEntry {
        endpoint: EndpointId {
            incarnation: 1,
            ..endpoint(1)
        },
        ..old.clone()
    };
    let old = with_status(old, EndpointStatus::Removed);
    world.report_list(EndpointListUpdate::Changes(vec![old, new.clone()]))?;
    become_idle(&mut world)?;
    assert_eq!(
        world.forwarder.state_counts().summaries,
        2,
        "the old one is not forgotten at once"
    );
    send_one(&mut world, Outcome::Delivered)?;
    let last_endpoint = attempts(&world).last().map(|attempt| attempt.endpoint);
    assert_eq!(last_endpoint, Some(new.endpoint));
    become_idle(&mut world)?;
    world.report_list(EndpointListUpdate::Complete(vec![new]))?;
    world.advance(3_000 * MS)?;
    assert_eq!(
        world.forwarder.state_counts().summaries,
        1,
        "the old one is forgotten now"
    );
    Ok(())
}

/// When calls are sent within ten seconds, from the moment when gossip, if any, reached the idle
/// destination.
fn calls_after_gossip(
    full_destinations: Option<u32>,
    gossip: Option<&[u8]>,
) -> Checked<Vec<Micros>> {
    let mut world = one_endpoint(full_destinations);
    send_one(&mut world, Outcome::Delivered)?;
    pause(&mut world)?;
    let restored = world.restored();
    let (start, before) = (world.now, attempts(&world).len());
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
    let sent_at = sent_at_after(&world, before);
    check_pace_is_forgotten(&mut world)?;
    Ok(sent_at.into_iter().map(|at| at - start).collect())
}

/// Delivers what is left and one message more. The pace of the calls binds no more in the next
/// summary.
fn check_pace_is_forgotten(world: &mut World) -> Checked {
    for _ in 0..90 {
        world.advance(100 * MS)?;
        world.end_all_attempts(Outcome::Delivered)?;
    }
    send_one(world, Outcome::Delivered)?;
    if world.config.full_destinations.is_some() {
        become_idle(world)?;
        assert_eq!(world.forwarder.state_counts().bounds, 0);
    }
    Ok(())
}

/// Destinations at their limit somewhere in the fleet must not all be held in full here.
#[test]
fn gossip_about_an_idle_destination_leaves_it_idle_and_slows_its_calls() -> Checked {
    let (about_destination, about_unknown) = ([1, 1, 0, 0], [1, 1, 9, 0]);
    let slowed = calls_after_gossip(SUMMARIES, Some(&about_destination))?;
    let slowed_in_full = calls_after_gossip(FULL, Some(&about_destination))?;
    assert_eq!(slowed, slowed_in_full);
    let free = calls_after_gossip(SUMMARIES, None)?;
    assert!(
        slowed.len() < free.len(),
        "{slowed:?}, without gossip {free:?}"
    );
    assert_eq!(calls_after_gossip(FULL, Some(&about_unknown))?, free);
    Ok(())
}
