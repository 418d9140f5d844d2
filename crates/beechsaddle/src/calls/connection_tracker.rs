//! The `connection_tracker` module provides state shared by a connection and the requests on it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::Waker;

use futures::task::AtomicWaker;

/// State shared by a connection and the requests on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionTracker {
    inner: Arc<TrackerState>,
}

#[derive(Debug, Default)]
struct TrackerState {
    is_broken: AtomicBool,
    started: AtomicU64,
    ended: AtomicU64,
    reader: AtomicWaker,
    is_stalled: AtomicBool,
}

impl ConnectionTracker {
    /// Makes the connection end in a reset, so that the caller cannot take a truncated answer for a
    /// complete one.
    pub(crate) fn mark_broken(&self) {
        self.inner.is_broken.store(true, Ordering::Release);
    }

    /// Makes the connection end regularly again: its answer is whole.
    pub(crate) fn mark_whole(&self) {
        self.inner.is_broken.store(false, Ordering::Release);
    }

    /// Whether the connection has to end in a reset.
    pub(crate) fn is_broken(&self) -> bool {
        self.inner.is_broken.load(Ordering::Acquire)
    }

    /// Records whether the peer reads nothing of its answer.
    pub(crate) fn set_stalled(&self, is_stalled: bool) {
        self.inner.is_stalled.store(is_stalled, Ordering::Release);
    }

    /// Whether the peer reads nothing of its answer.
    pub(crate) fn is_stalled(&self) -> bool {
        self.inner.is_stalled.load(Ordering::Acquire)
    }

    /// Records that the head of a request was read.
    pub(crate) fn start_request(&self) {
        self.inner.started.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that the answer to the running request was sent. Wakes the reader of the connection, as
    /// the wait for the next request begins.
    pub(crate) fn end_request(&self) {
        self.inner.ended.fetch_add(1, Ordering::AcqRel);
        self.inner.reader.wake();
    }

    /// Sets the task to wake when the running request ends.
    pub(crate) fn set_reader(&self, reader: &Waker) {
        self.inner.reader.register(reader);
    }

    /// Number of requests before the awaited one; `None` while one is running.
    pub(crate) fn awaited_request(&self) -> Option<u64> {
        let started = self.inner.started.load(Ordering::Acquire);
        let ended = self.inner.ended.load(Ordering::Acquire);
        (started == ended).then_some(started)
    }
}
