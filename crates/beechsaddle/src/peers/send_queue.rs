//! The `send_queue` module provides the queue of messages for one peer.

use std::collections::VecDeque;
use std::time::Duration;

use beechsaddle_core::peer::PeerMessage;
use beechsaddle_wire::peer::message_bytes_hint;
use tokio::time::Instant;

use super::PeersOptions;

/// A queued message.
struct WaitingMessage {
    message: PeerMessage,
    bytes: usize,
    since: Instant,
}

/// Messages of one delivery.
#[derive(Debug, Default)]
pub(super) struct SendBatch {
    /// The messages, oldest first.
    pub(super) messages: Vec<PeerMessage>,
    /// Approximate size in bytes.
    pub(super) bytes: usize,
}

/// The bounded queue of messages for one peer.
pub(super) struct SendQueue {
    waiting: VecDeque<WaitingMessage>,
    bytes: usize,
    messages_max: usize,
    bytes_max: usize,
    age_max: Duration,
}

impl SendQueue {
    pub(super) fn new(options: &PeersOptions) -> Self {
        SendQueue {
            waiting: VecDeque::new(),
            bytes: 0,
            messages_max: options.queue_messages.max(1),
            bytes_max: options.queue_bytes,
            age_max: Duration::from_millis(options.message_age_ms),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Queues a message and returns how many were dropped for it, itself included.
    ///
    /// Messages keep arriving for a frozen or unreachable peer that accepts none. Without limits
    /// they would fill the router's memory; dropping is allowed, since messages may be lost.
    pub(super) fn push(&mut self, message: PeerMessage, now: Instant) -> usize {
        let bytes = message_bytes_hint(&message);
        // A message larger than the whole queue, such as a catalogue, must not displace all others.
        if bytes > self.bytes_max && !self.is_empty() {
            return 1;
        }
        let mut dropped = 0;
        while !self.is_empty() && !self.has_room(bytes) {
            self.drop_message();
            dropped += 1;
        }
        self.bytes += bytes;
        self.waiting.push_back(WaitingMessage {
            message,
            bytes,
            since: now,
        });
        dropped
    }

    /// Takes the oldest messages for one delivery, and returns how many had expired.
    pub(super) fn take_batch(
        &mut self,
        messages_max: usize,
        bytes_max: usize,
        now: Instant,
    ) -> (SendBatch, usize) {
        let mut batch = SendBatch::default();
        let mut expired = 0;
        while let Some(first) = self.waiting.front() {
            let is_expired = now.duration_since(first.since) > self.age_max;
            let is_full = batch.messages.len() >= messages_max
                || (!batch.messages.is_empty() && batch.bytes + first.bytes > bytes_max);
            if is_full && !is_expired {
                break;
            }
            let Some(item) = self.waiting.pop_front() else {
                break;
            };
            self.bytes -= item.bytes;
            if is_expired {
                // The sender no longer waits for this message. After a partition, a flood of old
                // requests would delay those that callers still wait for.
                expired += 1;
                continue;
            }
            batch.bytes += item.bytes;
            batch.messages.push(item.message);
        }
        (batch, expired)
    }

    /// Drops all messages and returns their number.
    pub(super) fn clear(&mut self) -> usize {
        let count = self.waiting.len();
        self.waiting.clear();
        self.bytes = 0;
        count
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.waiting.len() < self.messages_max && self.bytes + bytes <= self.bytes_max
    }

    // Drops a message that is sent periodically, otherwise the oldest one.
    fn drop_message(&mut self) {
        let repeated = self
            .waiting
            .iter()
            .position(|item| is_repeated(&item.message));
        if let Some(item) = self.waiting.remove(repeated.unwrap_or(0)) {
            self.bytes -= item.bytes;
        }
    }
}

// Messages whose content the sender sends again in a newer version without being asked.
fn is_repeated(message: &PeerMessage) -> bool {
    match message {
        PeerMessage::Heartbeat(_)
        | PeerMessage::ProgressReport { .. }
        | PeerMessage::CatalogueRequest { .. }
        | PeerMessage::HostsRequest
        | PeerMessage::HostsUpdate { .. }
        | PeerMessage::CatalogueUpdate { .. } => true,
        PeerMessage::AdmitRequest(_)
        | PeerMessage::AdmitReply { .. }
        | PeerMessage::SettleRequest(_)
        | PeerMessage::SettleReply { .. }
        | PeerMessage::CallUnknown { .. }
        | PeerMessage::BillsDurable { .. }
        | PeerMessage::WitnessNote(_)
        | PeerMessage::WitnessReply { .. }
        | PeerMessage::RecordRequest(_)
        | PeerMessage::RecordReply { .. } => false,
    }
}
