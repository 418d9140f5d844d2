//! The `share_table` module provides a Zipf-distributed choice among few items.

use rand::Rng;

/// Zipf-distributed shares: the item of rank `r` has a share proportional to `1 / r^exponent`.
#[derive(Clone, Debug)]
pub struct ShareTable {
    sums: Vec<f64>,
}

impl ShareTable {
    /// Creates a table of `count` items, at least one. With exponent zero all shares are equal.
    pub fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let sums = (1..=count.max(1))
            .map(|rank| {
                sum += (rank as f64).powf(-exponent);
                sum
            })
            .collect();
        ShareTable { sums }
    }

    /// Draws the index of an item.
    pub fn pick(&self, random: &mut impl Rng) -> usize {
        let last = self.sums.len() - 1;
        let point = random.random_range(0.0..self.sums[last]);
        self.sums.partition_point(|sum| *sum <= point).min(last)
    }
}
