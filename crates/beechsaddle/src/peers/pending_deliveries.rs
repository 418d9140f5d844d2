//! The `pending_deliveries` module provides the deliveries in flight to one peer.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::timeout;

use super::PeersOptions;
use super::peer_session::SentBatch;

/// A completed delivery.
pub(super) struct DeliveryEnd {
    /// Number of messages in it.
    pub(super) count: usize,
    /// Approximate size in bytes.
    bytes: usize,
    /// `Ok` if the peer accepted it, otherwise the reason why that is unknown.
    pub(super) outcome: Result<(), String>,
}

/// The deliveries in flight to one peer.
pub(super) struct PendingDeliveries {
    pending: FuturesUnordered<Pin<Box<dyn Future<Output = DeliveryEnd>>>>,
    messages: usize,
    bytes: usize,
}

impl PendingDeliveries {
    pub(super) fn new() -> Self {
        PendingDeliveries {
            pending: FuturesUnordered::new(),
            messages: 0,
            bytes: 0,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether another delivery may be sent.
    pub(super) fn has_room(&self, options: &PeersOptions) -> bool {
        self.pending.len() < options.in_flight_deliveries && self.bytes < options.in_flight_bytes
    }

    /// Number of messages in flight.
    pub(super) fn messages(&self) -> usize {
        self.messages
    }

    /// Waits for the next delivery to complete. A failed one still counts as in flight, since the
    /// peer may have accepted it.
    pub(super) async fn next(&mut self) -> Option<DeliveryEnd> {
        let done = self.pending.next().await?;
        if done.outcome.is_ok() {
            self.messages -= done.count;
            self.bytes -= done.bytes;
        }
        Some(done)
    }

    /// Adds a delivery that was sent.
    pub(super) fn add(&mut self, delivery: SentBatch, bytes: usize, timeout_ms: u64) {
        let Some(answer) = delivery.answer else {
            return;
        };
        let count = delivery.count;
        self.messages += count;
        self.bytes += bytes;
        let span = Duration::from_millis(timeout_ms);
        self.pending.push(Box::pin(async move {
            // The kernel of a frozen peer keeps accepting bytes, so only the missing answer shows
            // the failure. Without the time limit its deliveries would stay in flight forever.
            let outcome = match timeout(span, answer).await {
                Ok(Ok(_)) => Ok(()),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("delivery timed out without an answer".to_owned()),
            };
            DeliveryEnd {
                count,
                bytes,
                outcome,
            }
        }));
    }
}
