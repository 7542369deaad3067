//! Pacing of the calls to a destination.

use super::common::*;
use opalpulley::*;

/// If each of many forwarders increased its rate by the whole listed rate, a third of all calls
/// would be rejected.
#[test]
fn grows_call_rate_by_even_share_of_forwarder() -> CheckResult {
    let config = Config {
        fleet_size: 10,
        concurrency_limit: 100,
        max_messages: 1_000,
        ..config()
    };
    let mut world = World::new(config, vec![listed_endpoint(1, 0, 20.0)]);
    let mut calls = 0;
    for _ in 0..100 {
        world.submit_many(2, IDEMPOTENT, 0)?;
        world.advance(50 * MS)?;
        calls += world.end_all_attempts(Outcome::Delivered)?;
    }
    assert!(
        (10..30).contains(&calls),
        "{calls} calls in five seconds, expected 10 to 29 at an even share of two calls per second"
    );
    Ok(())
}
