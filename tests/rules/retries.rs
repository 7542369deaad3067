//! When a message is sent again.

use super::common::*;
use opalpulley::*;

#[test]
fn the_backoff_doubles_up_to_a_quarter_of_the_time_to_live() -> Checked {
    let list = (1..7).map(|n| listed_endpoint(n, 0, 200.0)).collect();
    let mut world = World::new(config(), list);
    let id = world.submit(IDEMPOTENT, 0)?;
    let mut failed_at = Vec::new();
    for _ in 0..5 {
        failed_at.push(world.now);
        world.end_attempt(id, Outcome::Error)?;
        while world.attempts(id) == failed_at.len() {
            world.advance(5 * MS)?;
        }
    }
    let sent_at = world.sent_at(id);
    let backoffs = [100, 200, 400, 800, 1_600].map(|ms| ms * MS);
    assert!(sent_at.len() > backoffs.len(), "too few attempts");
    for (number, backoff) in backoffs.into_iter().enumerate() {
        let waited = sent_at[number + 1] - failed_at[number];
        assert!(
            waited >= backoff && waited <= backoff * 3 / 2 + 20 * MS,
            "waited {waited} µs, at least {backoff} µs"
        );
    }
    Ok(())
}
