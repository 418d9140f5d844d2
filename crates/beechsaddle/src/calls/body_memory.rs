//! The `body_memory` module provides common limits on the memory of bodies: of all requests, of all
//! whole answers, and of all answers to probes.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Unit of accounting in bytes, so that the counts fit the semaphore's number of permits.
const MEMORY_UNIT_BYTES: usize = 1_024;

/// Limit on the memory of many bodies together.
///
/// The limit of one body times the number of connections is more memory than a small host has.
/// Callers that send large bodies at the same time would get the process killed, and with it every
/// stream.
#[derive(Clone)]
pub(crate) struct BodyMemory {
    units: Arc<Semaphore>,
}

/// Memory held for one body; released when dropped.
pub(crate) struct MemoryShare {
    memory: BodyMemory,
    permit: Option<OwnedSemaphorePermit>,
    reserved_bytes: usize,
}

impl BodyMemory {
    /// Creates a limit of `total_bytes`.
    pub(crate) fn new(total_bytes: usize) -> Self {
        let units = (total_bytes / MEMORY_UNIT_BYTES).min(Semaphore::MAX_PERMITS);
        BodyMemory {
            units: Arc::new(Semaphore::new(units)),
        }
    }

    /// Returns an empty share.
    pub(crate) fn share(&self) -> MemoryShare {
        MemoryShare {
            memory: self.clone(),
            permit: None,
            reserved_bytes: 0,
        }
    }
}

impl MemoryShare {
    /// Grows the share to `bytes`; false if the memory is used up.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        if bytes <= self.reserved_bytes {
            return true;
        }
        let units = (bytes - self.reserved_bytes).div_ceil(MEMORY_UNIT_BYTES);
        let Ok(count) = u32::try_from(units) else {
            return false;
        };
        let Ok(additional) = Arc::clone(&self.memory.units).try_acquire_many_owned(count) else {
            return false;
        };
        self.reserved_bytes += units * MEMORY_UNIT_BYTES;
        match self.permit.as_mut() {
            Some(permit) => permit.merge(additional),
            None => self.permit = Some(additional),
        }
        true
    }
}
