//! The `connection_mark` module provides what a connection and the requests on it tell each other.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Shared by a connection and the requests on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionMark {
    inner: Arc<MarkInner>,
}

#[derive(Debug, Default)]
struct MarkInner {
    is_broken: AtomicBool,
    started: AtomicU64,
    ended: AtomicU64,
}

impl ConnectionMark {
    /// Has the connection end in a reset, so that no caller takes a broken answer for a whole one.
    pub(crate) fn break_off(&self) {
        self.inner.is_broken.store(true, Ordering::Release);
    }

    /// Whether the connection has to end in a reset.
    pub(crate) fn is_broken(&self) -> bool {
        self.inner.is_broken.load(Ordering::Acquire)
    }

    /// A request's head was read.
    pub(crate) fn start_request(&self) {
        self.inner.started.fetch_add(1, Ordering::AcqRel);
    }

    /// The answer to the running request has gone out.
    pub(crate) fn end_request(&self) {
        self.inner.ended.fetch_add(1, Ordering::AcqRel);
    }

    /// How many requests came before the one that is awaited; `None` while one is running.
    pub(crate) fn awaited_request(&self) -> Option<u64> {
        let started = self.inner.started.load(Ordering::Acquire);
        let ended = self.inner.ended.load(Ordering::Acquire);
        (started == ended).then_some(started)
    }
}
