//! The `buffer_budget` module provides a limit on the memory of all bodies that a process buffers.

use std::collections::BTreeMap;

/// Size up to which a body always fits, in bytes: a connection takes about as much without one.
const SMALL_BODY_BYTES: usize = 16_384;

/// A limit on the memory of buffered bodies, which belong to groups, such as one for each service.
///
/// A body may grow as long as it is, together with its whole group, no larger than what is left free.
/// The group that takes the most is thus limited first, in it the body that asks for more, and the
/// others always find room. A body alone may take a third of the memory.
#[derive(Clone, Debug)]
pub struct BufferBudget<K> {
    total_bytes: usize,
    used_bytes: usize,
    group_bytes: BTreeMap<K, usize>,
}

impl<K: Ord + Clone> BufferBudget<K> {
    /// Creates a limit of `total_bytes`.
    pub fn new(total_bytes: usize) -> Self {
        BufferBudget {
            total_bytes,
            used_bytes: 0,
            group_bytes: BTreeMap::new(),
        }
    }

    /// Sets another limit, which applies to bodies that grow from now on.
    pub fn set_total(&mut self, total_bytes: usize) {
        self.total_bytes = total_bytes;
    }

    /// Changes the size of a body of a group; `false` if it may not grow so far.
    pub fn try_resize(&mut self, group: &K, from_bytes: usize, to_bytes: usize) -> bool {
        if to_bytes > from_bytes && !self.may_grow(group, from_bytes, to_bytes) {
            return false;
        }
        self.used_bytes = self.used_bytes.saturating_sub(from_bytes) + to_bytes;
        let held_bytes = self.group_bytes(group).saturating_sub(from_bytes) + to_bytes;
        match held_bytes {
            0 => drop(self.group_bytes.remove(group)),
            _ => drop(self.group_bytes.insert(group.clone(), held_bytes)),
        }
        true
    }

    /// Returns the bytes of all bodies.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn may_grow(&self, group: &K, from_bytes: usize, to_bytes: usize) -> bool {
        let added_bytes = to_bytes - from_bytes;
        let used_bytes = self.used_bytes.saturating_add(added_bytes);
        let free_bytes = self.total_bytes.saturating_sub(used_bytes);
        let held_bytes = self.group_bytes(group).saturating_add(added_bytes);
        to_bytes <= SMALL_BODY_BYTES || to_bytes.saturating_add(held_bytes) <= free_bytes
    }

    fn group_bytes(&self, group: &K) -> usize {
        self.group_bytes.get(group).copied().unwrap_or(0)
    }
}
