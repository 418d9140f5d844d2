//! The `random_source` module provides seeded random draws for faults.

use std::sync::{Mutex, PoisonError};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A random number generator with a fixed seed, so that a run can be repeated.
#[derive(Debug)]
pub struct RandomSource {
    generator: Mutex<ChaCha8Rng>,
}

impl RandomSource {
    pub fn new(seed: u64) -> Self {
        RandomSource {
            generator: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Returns `true` with a probability in thousandths.
    pub fn draw(&self, permille: u32) -> bool {
        if permille >= 1000 {
            return true;
        }
        let mut generator = self
            .generator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        generator.random_range(0..1000) < permille
    }
}
