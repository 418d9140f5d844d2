//! The `random` module provides seeded random numbers, so that the same events give the same
//! decisions.

/// The increment of the SplitMix64 generator (Steele, Lea and Flood, 2014).
const SPLIT_MIX_INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;

/// A SplitMix64 generator with one word of state, suitable for distributing choices but not for
/// secrets.
#[derive(Clone, Debug)]
pub struct SeededRandom {
    state: u64,
}

impl SeededRandom {
    /// Creates a generator; equal seeds give equal numbers.
    pub fn new(seed: u64) -> Self {
        SeededRandom { state: seed }
    }

    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(SPLIT_MIX_INCREMENT);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`; zero when `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.next_u64() % bound
    }

    /// Returns a number from zero up to, but not including, one.
    pub fn unit(&mut self) -> f64 {
        // The 53 high bits fill the mantissa of a double exactly.
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
