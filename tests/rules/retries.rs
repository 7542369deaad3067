//! Backoff between the attempts at a message.

use super::common::*;
use opalpulley::*;

#[test]
fn doubles_backoff_up_to_quarter_of_time_to_live() -> CheckResult {
    let list = (1..7).map(|n| listed_endpoint(n, 0, 200.0)).collect();
    let mut world = World::new(config(), list);
    let id = world.submit(IDEMPOTENT, 0)?;
    let mut failed_at = Vec::new();
    for _ in 0..5 {
        failed_at.push(world.now);
        world.end_attempt(id, Outcome::Error)?;
        while world.attempt_count(id) == failed_at.len() {
            world.advance(5 * MS)?;
        }
    }
    let sent_at = world.attempts_sent_at(id);
    let backoffs = [100, 200, 400, 800, 1_600].map(|ms| ms * MS);
    assert!(
        sent_at.len() > backoffs.len(),
        "expected an attempt after every backoff"
    );
    for (index, backoff) in backoffs.into_iter().enumerate() {
        let waited = sent_at[index + 1] - failed_at[index];
        assert!(
            waited >= backoff && waited <= backoff * 3 / 2 + 20 * MS,
            "waited {waited} µs, expected at least {backoff} µs and at most 1.5 times that plus \
             20 ms"
        );
    }
    Ok(())
}
