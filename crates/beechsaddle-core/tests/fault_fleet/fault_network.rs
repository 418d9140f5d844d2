//! The `fault_network` module provides the faults between routers and towards the platform.

use std::collections::BTreeSet;

/// The current faults. Shares are in thousandths.
#[derive(Clone, Debug, Default)]
pub struct FaultNetwork {
    /// Pairs of hosts that cannot reach each other, the smaller number first.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Hosts that cannot reach the platform.
    pub platform_cuts: BTreeSet<usize>,
    /// Whether the platform is unreachable for all hosts.
    pub is_platform_down: bool,
    /// Lost messages between routers.
    pub loss_permille: u32,
    /// Duplicated messages between routers.
    pub duplicate_permille: u32,
    /// The maximum additional delay of a message, in milliseconds.
    pub delay_ms: u64,
    /// Platform calls that take effect and whose replies are lost.
    pub lost_answer_permille: u32,
    /// Platform writes that take effect long after their timeout.
    pub late_write_permille: u32,
}

impl FaultNetwork {
    /// Whether two hosts can reach each other.
    pub fn is_joined(&self, one: usize, other: usize) -> bool {
        !self.cuts.contains(&(one.min(other), one.max(other)))
    }

    /// Whether a host can reach the platform.
    pub fn reaches_platform(&self, node: usize) -> bool {
        !self.is_platform_down && !self.platform_cuts.contains(&node)
    }

    /// Cuts or restores the link between two hosts.
    pub fn toggle(&mut self, one: usize, other: usize) {
        let pair = (one.min(other), one.max(other));
        if one != other && !self.cuts.remove(&pair) {
            self.cuts.insert(pair);
        }
    }
}
