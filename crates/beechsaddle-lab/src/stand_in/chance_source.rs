//! The `chance_source` module provides seeded chances for faults.

use std::sync::{Mutex, PoisonError};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Draws chances from a seed, so that a run can be repeated.
#[derive(Debug)]
pub struct ChanceSource {
    generator: Mutex<ChaCha8Rng>,
}

impl ChanceSource {
    /// Starts from a seed.
    pub fn new(seed: u64) -> Self {
        ChanceSource {
            generator: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Whether an event of this many thousandths happens now.
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
