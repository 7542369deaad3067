//! Tests of a fleet whose forwarders all start at the same time.

use super::discovery::Discovery;
use super::*;

/// Returns the time at which each forwarder is answered, or `None` if it is not answered by
/// `until`. Discovery processes one poll in `poll_cost` µs.
fn answers_after_start(
    fleet_size: u32,
    poll_cost: Micros,
    seed: u64,
    until: Micros,
) -> Vec<Option<Micros>> {
    let mut fleet = PollingForwarder::fleet(fleet_size, seed);
    let mut discovery = Discovery::new(poll_cost, 3 * POLL_TIMEOUT);
    let mut answered_at = vec![None; fleet.len()];
    let mut fails_at = vec![None; fleet.len()];
    for now in (0..until).step_by(MS as usize) {
        for (index, forwarder) in fleet.iter_mut().enumerate() {
            if forwarder.fire_timer(now) {
                match discovery.accept(now) {
                    None => fails_at[index] = Some(now + REJECTION_TIME),
                    Some(at) if at - now <= POLL_TIMEOUT => answered_at[index] = Some(at),
                    Some(_) => fails_at[index] = Some(now + POLL_TIMEOUT),
                }
            }
            if fails_at[index].take_if(|at| *at <= now).is_some() {
                forwarder.fail_poll(now);
            }
        }
    }
    answered_at
}

/// Guards against a fleet that repeats its polls each second, which a slow discovery service would
/// never answer.
#[test]
fn fleet_started_at_once_gets_list_within_25_seconds() {
    for (fleet_size, poll_cost) in [
        (3, 500 * MS),
        (100, 20 * MS),
        (100, 80 * MS),
        (300, 25 * MS),
    ] {
        for seed in 0..5 {
            let answers = answers_after_start(fleet_size, poll_cost, seed, 30_000 * MS);
            let late_count = answers
                .iter()
                .filter(|at| at.is_none_or(|at| at > 25_000 * MS))
                .count();
            assert!(
                late_count * 50 <= fleet_size as usize,
                "{fleet_size} forwarders, {poll_cost} µs per poll: \
                 {late_count} not answered in 25 s, expected at most 2%"
            );
        }
    }
}
