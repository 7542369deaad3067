//! Seeded random histories: the oracle checks the six rules after every step.

mod common;

use quickcheck::{Gen, QuickCheck};

#[test]
fn no_history_breaks_a_rule() {
    let source = Gen::from_size_and_seed(100, 20_261_201);
    QuickCheck::new()
        .rng(source)
        .tests(200)
        .quickcheck((|seed: u64| common::history(seed, 600)) as fn(u64) -> Result<(), String>);
}
