//! Seeds and random numbers shared by the fuzz tests.

#![allow(dead_code)]

use {
    quickcheck::{Arbitrary, Gen},
    std::env,
};

/// Random numbers of one seed.
pub struct Dice(Gen);

impl Dice {
    /// Creates the numbers of `seed`.
    pub fn new(seed: u64) -> Self {
        Self(Gen::from_size_and_seed(100, seed))
    }

    /// Returns a number below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        (u64::arbitrary(&mut self.0) % n as u64) as usize
    }

    /// Returns true once in `n` times.
    pub fn once_in(&mut self, n: usize) -> bool {
        self.below(n) == 0
    }

    /// Returns one of `items`.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        (!items.is_empty()).then(|| &items[self.below(items.len())])
    }
}

/// Runs `test` with the fixed seeds, with the one in `COWSLIP_FUZZ_SEED`, or with as many random
/// ones as `COWSLIP_FUZZ_SEEDS` says.
pub fn seeds(fixed: u64, test: impl Fn(u64)) {
    if let Some(seed) = env::var("COWSLIP_FUZZ_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
    {
        return test(seed);
    }
    let random = env::var("COWSLIP_FUZZ_SEEDS").ok();
    match random.and_then(|n| n.parse::<u64>().ok()) {
        None => (0..fixed).for_each(test),
        Some(n) => (0..n).for_each(|_| {
            let seed = u64::arbitrary(&mut Gen::new(100));
            println!("seed {seed}");
            test(seed);
        }),
    }
}
