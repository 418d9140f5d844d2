//! The `link_state` module provides the state shared by a link's task and its senders.

use std::cell::{Cell, RefCell};

use beechsaddle_core::peer::PeerMessage;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::PeersOptions;
use super::edge_context::EdgeContext;
use super::send_queue::{SendBatch, SendQueue};

/// State shared by a link's task and its senders.
pub(super) struct LinkState {
    queue: RefCell<SendQueue>,
    changed: Notify,
    closing: Cell<bool>,
}

impl LinkState {
    pub(super) fn new(context: &EdgeContext) -> Self {
        LinkState {
            queue: RefCell::new(SendQueue::new(&context.options)),
            changed: Notify::new(),
            closing: Cell::new(false),
        }
    }

    /// Queues a message and returns how many were dropped for it.
    pub(super) fn push(&self, message: PeerMessage) -> usize {
        let dropped = self.queue.borrow_mut().push(message, Instant::now());
        self.changed.notify_one();
        dropped
    }

    /// Lets the task end once all messages are sent.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.changed.notify_one();
    }

    /// Whether the queue is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Whether the task has to end once all messages are sent.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Waits until a message is queued or the link closes.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the oldest messages for one delivery, and returns how many had expired.
    pub(super) fn take_batch(&self, options: &PeersOptions) -> (SendBatch, usize) {
        self.queue.borrow_mut().take_batch(
            options.batch_messages,
            options.batch_bytes,
            Instant::now(),
        )
    }

    /// Drops all queued messages and returns their number.
    pub(super) fn clear(&self) -> usize {
        self.queue.borrow_mut().clear()
    }
}
