//! The `link_flight` module provides the deliveries that are on their way to one peer.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::timeout;

use super::PeersOptions;
use super::peer_session::SentBatch;

/// A delivery that has come to its end.
pub(super) struct DeliveryEnd {
    /// How many messages it had.
    pub(super) count: usize,
    /// About how many bytes they had.
    bytes: usize,
    /// Taken, or why it is not known.
    pub(super) outcome: Result<(), String>,
}

/// Deliveries that are on their way.
pub(super) struct LinkFlight {
    pending: FuturesUnordered<Pin<Box<dyn Future<Output = DeliveryEnd>>>>,
    messages: usize,
    bytes: usize,
}

impl LinkFlight {
    /// Nothing is on its way.
    pub(super) fn new() -> Self {
        LinkFlight {
            pending: FuturesUnordered::new(),
            messages: 0,
            bytes: 0,
        }
    }

    /// Whether nothing is on its way.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether another delivery may be sent.
    pub(super) fn has_room(&self, options: &PeersOptions) -> bool {
        self.pending.len() < options.flight_calls && self.bytes < options.flight_bytes
    }

    /// How many messages are on their way.
    pub(super) fn messages(&self) -> usize {
        self.messages
    }

    /// The next delivery that comes to its end. One that failed still counts as on its way, since it
    /// may have been taken.
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
            // A frozen peer's kernel goes on taking bytes, so that nothing but the missing answer
            // tells. Without the limit its deliveries would stay on their way for ever.
            let outcome = match timeout(span, answer).await {
                Ok(Ok(_)) => Ok(()),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("no answer in time".to_owned()),
            };
            DeliveryEnd {
                count,
                bytes,
                outcome,
            }
        }));
    }
}
