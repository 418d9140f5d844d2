//! The `connection_ring` module provides a limit on connections whose peers have not proven that they are
//! needed.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::task::AbortHandle;

/// Whether the peer of a connection has proven that it belongs to the fleet.
pub(super) type ProofMark = Rc<Cell<bool>>;

/// Connections of which the oldest ends when there are too many.
///
/// Refusing new ones instead would let silent connections keep all others out.
pub(super) struct ConnectionRing {
    limit: usize,
    /// Connections without a proof, the oldest first.
    unproven: VecDeque<RingEntry>,
}

struct RingEntry {
    task: AbortHandle,
    mark: ProofMark,
}

impl ConnectionRing {
    /// Creates a ring of at most `limit` connections without a proof.
    pub(super) fn new(limit: usize) -> Self {
        ConnectionRing {
            limit: limit.max(1),
            unproven: VecDeque::new(),
        }
    }

    /// Adds a connection that `task` serves. Returns whether another one ends for it.
    pub(super) fn push(&mut self, task: AbortHandle, mark: ProofMark) -> bool {
        let is_open = |entry: &RingEntry| !entry.task.is_finished() && !entry.mark.get();
        self.unproven.retain(is_open);
        self.unproven.push_back(RingEntry { task, mark });
        if self.unproven.len() <= self.limit {
            return false;
        }
        if let Some(oldest) = self.unproven.pop_front() {
            oldest.task.abort();
        }
        true
    }
}
