//! The `query_table` module provides the routing of the core's status to open queries.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use beechsaddle_core::status::RouterStatus;
use tokio::sync::oneshot;

/// The open status queries.
#[derive(Default)]
pub(crate) struct QueryTable {
    last_query: AtomicU64,
    queries: Mutex<BTreeMap<u64, oneshot::Sender<Box<RouterStatus>>>>,
}

impl QueryTable {
    /// Opens a query under a new number.
    pub(crate) fn open(&self) -> (u64, oneshot::Receiver<Box<RouterStatus>>) {
        let query = self.last_query.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(query, sender);
        (query, receiver)
    }

    /// Answers a query if it is still open.
    pub(crate) fn answer(&self, query: u64, status: Box<RouterStatus>) {
        if let Some(sender) = self.close(query) {
            let _ = sender.send(status);
        }
    }

    /// Removes a query.
    pub(crate) fn close(&self, query: u64) -> Option<oneshot::Sender<Box<RouterStatus>>> {
        self.lock().remove(&query)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<Box<RouterStatus>>>> {
        self.queries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
