//! Seeded random histories: the oracle checks the six rules after every step.

mod common;

use common::{Play, MS};
use quickcheck::{Gen, QuickCheck};

#[test]
fn no_history_breaks_a_rule() {
    let source = Gen::from_size_and_seed(100, 20_261_201);
    QuickCheck::new()
        .rng(source)
        .tests(200)
        .quickcheck((|seed: u64| common::history(seed, 600)) as fn(u64) -> Result<(), String>);
}

/// Off, or at today's size, idle destinations change nothing: the same actions, to the byte.
#[test]
fn no_history_tells_whether_idle_destinations_may_be_summarised() {
    let same = |seed: u64| {
        let pause = if seed.is_multiple_of(8) {
            6_000 * MS
        } else {
            200 * MS
        };
        let run = |full_destinations| {
            let world = common::play(
                seed,
                &Play {
                    steps: 600,
                    pause,
                    endpoints: 2,
                    full_destinations,
                },
            )?;
            assert_eq!(world.restored(), 0, "too few destinations for a summary");
            Ok::<_, String>((world.earlier, world.actions))
        };
        run(None) == run(Some(1_024))
    };
    let source = Gen::from_size_and_seed(100, 20_261_202);
    QuickCheck::new()
        .rng(source)
        .tests(100)
        .quickcheck(same as fn(u64) -> bool);
}
