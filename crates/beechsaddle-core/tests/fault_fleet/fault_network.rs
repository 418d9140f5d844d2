//! The `fault_network` module provides what is wrong between routers and towards the platform.

use std::collections::BTreeSet;

/// What is wrong now. Shares are in thousandths.
#[derive(Clone, Debug, Default)]
pub struct FaultNetwork {
    /// Pairs of hosts that do not reach each other, the smaller number first.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Hosts that do not reach the platform.
    pub platform_cuts: BTreeSet<usize>,
    /// Whether the platform is away for all.
    pub is_platform_away: bool,
    /// Messages between routers that are lost.
    pub loss_permille: u32,
    /// Messages between routers that come twice.
    pub double_permille: u32,
    /// The longest delay of a message beyond the usual, in milliseconds.
    pub delay_ms: u64,
    /// Platform calls that take effect and whose answers are lost.
    pub lost_answer_permille: u32,
    /// Platform writes that take effect long after they were given up.
    pub late_write_permille: u32,
}

impl FaultNetwork {
    /// Whether two hosts reach each other.
    pub fn is_joined(&self, one: usize, other: usize) -> bool {
        !self.cuts.contains(&(one.min(other), one.max(other)))
    }

    /// Whether a host reaches the platform.
    pub fn reaches_platform(&self, node: usize) -> bool {
        !self.is_platform_away && !self.platform_cuts.contains(&node)
    }

    /// Cuts two hosts apart, or joins them again.
    pub fn toggle(&mut self, one: usize, other: usize) {
        let pair = (one.min(other), one.max(other));
        if one != other && !self.cuts.remove(&pair) {
            self.cuts.insert(pair);
        }
    }
}
