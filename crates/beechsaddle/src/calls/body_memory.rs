//! The `body_memory` module provides a common bound on the memory of all request bodies.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The unit in which memory is counted, so that the counts fit the semaphore's numbers.
const UNIT_BYTES: usize = 1_024;

/// What all request bodies together may take.
///
/// The limit of one body times the number of connections is more than a small host has: callers
/// that each send a large body at a time would have the process killed, and with it every stream.
#[derive(Clone)]
pub(crate) struct BodyMemory {
    units: Arc<Semaphore>,
}

/// The part of the memory that one body takes; given back when dropped.
pub(crate) struct MemoryShare {
    memory: BodyMemory,
    permit: Option<OwnedSemaphorePermit>,
    covered_bytes: usize,
}

impl BodyMemory {
    /// A bound of `total_bytes`.
    pub(crate) fn new(total_bytes: usize) -> Self {
        let units = (total_bytes / UNIT_BYTES).min(Semaphore::MAX_PERMITS);
        BodyMemory {
            units: Arc::new(Semaphore::new(units)),
        }
    }

    /// A share that covers nothing yet.
    pub(crate) fn share(&self) -> MemoryShare {
        MemoryShare {
            memory: self.clone(),
            permit: None,
            covered_bytes: 0,
        }
    }
}

impl MemoryShare {
    /// Enlarges the share to `bytes`; false when the memory is used up.
    pub(crate) fn try_cover(&mut self, bytes: usize) -> bool {
        if bytes <= self.covered_bytes {
            return true;
        }
        let units = (bytes - self.covered_bytes).div_ceil(UNIT_BYTES);
        let Ok(count) = u32::try_from(units) else {
            return false;
        };
        let Ok(more) = Arc::clone(&self.memory.units).try_acquire_many_owned(count) else {
            return false;
        };
        self.covered_bytes += units * UNIT_BYTES;
        match self.permit.as_mut() {
            Some(permit) => permit.merge(more),
            None => self.permit = Some(more),
        }
        true
    }
}
