//! The `buffer_memory` module provides the memory that buffered bodies share.

use std::cell::RefCell;
use std::rc::Rc;

use beechsaddle_core::gateway::BufferBudget;

/// The memory of all bodies of one kind.
///
/// The limit of one body times the number of calls is more memory than a small host has. One service
/// whose responses have no end would get the process killed, and with it the calls of all others.
pub(super) struct BufferMemory<K> {
    budget: Rc<RefCell<BufferBudget<K>>>,
}

impl<K: Ord + Clone> BufferMemory<K> {
    /// Creates a limit of `total_bytes`.
    pub(super) fn new(total_bytes: usize) -> Self {
        BufferMemory {
            budget: Rc::new(RefCell::new(BufferBudget::new(total_bytes))),
        }
    }

    /// Sets another limit.
    pub(super) fn set_total(&self, total_bytes: usize) {
        self.budget.borrow_mut().set_total(total_bytes);
    }

    /// Returns the share of a body that is still empty.
    pub(super) fn share(&self, group: K) -> BufferShare<K> {
        BufferShare {
            budget: Rc::clone(&self.budget),
            group,
            bytes: 0,
        }
    }
}

/// The memory of one body; dropping it frees the memory.
pub(super) struct BufferShare<K: Ord + Clone> {
    budget: Rc<RefCell<BufferBudget<K>>>,
    group: K,
    bytes: usize,
}

impl<K: Ord + Clone> BufferShare<K> {
    /// Returns the size, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size to `bytes`; `false` if the memory does not allow it.
    pub(super) fn try_resize(&mut self, bytes: usize) -> bool {
        let mut budget = self.budget.borrow_mut();
        let is_resized = budget.try_resize(&self.group, self.bytes, bytes);
        if is_resized {
            self.bytes = bytes;
        }
        is_resized
    }
}

impl<K: Ord + Clone> Drop for BufferShare<K> {
    fn drop(&mut self) {
        // A smaller size is always allowed.
        self.try_resize(0);
    }
}
