//! The `link_state` module provides what the task of a link and those who feed it share.

use std::cell::{Cell, RefCell};

use beechsaddle_core::peer::PeerMessage;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::PeersOptions;
use super::edge_context::EdgeContext;
use super::send_queue::{SendBatch, SendQueue};

/// What the task of a link and those who feed it share.
pub(super) struct LinkState {
    queue: RefCell<SendQueue>,
    news: Notify,
    closing: Cell<bool>,
}

impl LinkState {
    /// Nothing waits.
    pub(super) fn new(context: &EdgeContext) -> Self {
        LinkState {
            queue: RefCell::new(SendQueue::new(&context.options)),
            news: Notify::new(),
            closing: Cell::new(false),
        }
    }

    /// Adds a message and tells how many were dropped for it.
    pub(super) fn push(&self, message: PeerMessage) -> usize {
        let dropped = self.queue.borrow_mut().push(message, Instant::now());
        self.news.notify_one();
        dropped
    }

    /// Lets the task end once all is sent.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.news.notify_one();
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Whether the task shall end once all is sent.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Waits until something was added or the link closes.
    pub(super) async fn news(&self) {
        self.news.notified().await;
    }

    /// Takes the oldest messages for one delivery, and tells how many were too old to be sent.
    pub(super) fn take_batch(&self, options: &PeersOptions) -> (SendBatch, usize) {
        self.queue.borrow_mut().take_batch(
            options.batch_messages,
            options.batch_bytes,
            Instant::now(),
        )
    }

    /// Drops all that waits and tells how many messages there were.
    pub(super) fn clear(&self) -> usize {
        self.queue.borrow_mut().clear()
    }
}
