//! The `connection_mark` module provides a sign on a connection that it has to end in a reset.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Shared by a connection and the answers on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionMark {
    is_broken: Arc<AtomicBool>,
}

impl ConnectionMark {
    /// Has the connection end in a reset, so that no caller takes a broken answer for a whole one.
    pub(crate) fn break_off(&self) {
        self.is_broken.store(true, Ordering::Release);
    }

    /// Whether the connection has to end in a reset.
    pub(crate) fn is_broken(&self) -> bool {
        self.is_broken.load(Ordering::Acquire)
    }
}
