//! The `peer_link` module provides the task that delivers messages to one peer.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_core::report::LogLevel;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::backoff_delay::BackoffDelay;
use super::edge_context::EdgeContext;
use super::link_state::LinkState;
use super::peer_session::{PeerSession, SentBatch, SessionError};
use super::peers_stats::add;
use super::pending_deliveries::{DeliveryEnd, PendingDeliveries};

/// Delivers messages to one peer: connects if there is something to send, and reconnects after
/// failures.
pub(super) struct PeerLink {
    context: Rc<EdgeContext>,
    to: RouterIncarnation,
    address: String,
    state: Rc<LinkState>,
    backoff: BackoffDelay,
    is_known_down: bool,
}

/// Why a session ended.
#[derive(Debug)]
enum SessionEnd {
    /// Nothing was sent for the idle time, or the edge closes and all messages are sent.
    Idle,
    /// The connection broke or a delivery timed out.
    Broken(String),
}

impl PeerLink {
    /// Creates a link to one incarnation of a peer at one address.
    pub(super) fn new(
        context: Rc<EdgeContext>,
        to: RouterIncarnation,
        address: String,
        state: Rc<LinkState>,
    ) -> Self {
        let options = &context.options;
        let backoff = BackoffDelay::new(options.backoff_min_ms, options.backoff_max_ms);
        PeerLink {
            context,
            to,
            address,
            state,
            backoff,
            is_known_down: false,
        }
    }

    /// Delivers until the link is idle, or until the edge closes and all messages are sent.
    pub(super) async fn run(mut self) {
        while self.wait_for_messages().await {
            match PeerSession::try_open(&self.context, &self.to, &self.address).await {
                Ok(session) => {
                    self.record_connected();
                    match self.serve(session).await {
                        SessionEnd::Idle => {}
                        SessionEnd::Broken(reason) => self.handle_disconnect(reason).await,
                    }
                }
                Err(error) => self.handle_open_failure(error).await,
            }
        }
    }

    // Waits until there is something to send; `false` if the link has to end.
    async fn wait_for_messages(&self) -> bool {
        let idle = Duration::from_millis(self.context.options.idle_ms);
        while self.state.is_empty() {
            if self.state.is_closing() {
                return false;
            }
            if timeout(idle, self.state.changed()).await.is_err() {
                return !self.state.is_empty();
            }
        }
        true
    }

    async fn serve(&mut self, mut session: PeerSession) -> SessionEnd {
        let idle = Duration::from_millis(self.context.options.idle_ms);
        let mut idle_at = Instant::now() + idle;
        let mut pending = PendingDeliveries::new();
        let end = loop {
            if self.send_waiting(&session, &mut pending) {
                idle_at = Instant::now() + idle;
            }
            if self.state.is_closing() && pending.is_empty() && self.state.is_empty() {
                break SessionEnd::Idle;
            }
            tokio::select! {
                Some(done) = pending.next(), if !pending.is_empty() => {
                    if let Err(reason) = self.record_delivered(done) {
                        break SessionEnd::Broken(reason);
                    }
                }
                () = self.state.changed() => {}
                reason = session.broken() => break SessionEnd::Broken(reason),
                () = sleep_until(idle_at), if pending.is_empty() => break SessionEnd::Idle,
            }
        };
        // The peer may have accepted what was in flight: sending it again could execute it twice.
        self.context.count_lost(pending.messages());
        end
    }

    // Sends queued messages as far as the limits allow. Returns whether any was sent.
    fn send_waiting(&self, session: &PeerSession, pending: &mut PendingDeliveries) -> bool {
        let options = &self.context.options;
        let mut sent = false;
        while pending.has_room(options) {
            let (batch, expired) = self.state.take_batch(options);
            self.context.count_dropped(expired);
            if batch.messages.is_empty() {
                break;
            }
            let bytes = batch.bytes;
            let delivery = session.deliver(batch.messages);
            self.record_rejected(&delivery);
            pending.add(delivery, bytes, options.delivery_timeout_ms);
            add(&self.context.stats.deliveries, 1);
            sent = true;
        }
        sent
    }

    fn record_rejected(&self, delivery: &SentBatch) {
        self.context.count_dropped(delivery.rejected.len());
        for error in &delivery.rejected {
            self.log(LogLevel::Error, "peer_message_rejected", error.to_string());
        }
    }

    fn record_delivered(&self, done: DeliveryEnd) -> Result<(), String> {
        if done.outcome.is_ok() {
            add(&self.context.stats.delivered, done.count as u64);
        }
        done.outcome
    }

    fn record_connected(&mut self) {
        add(&self.context.stats.connected, 1);
        self.backoff.reset();
        self.is_known_down = false;
        self.log(LogLevel::Info, "peer_connected", String::new());
    }

    async fn handle_disconnect(&mut self, reason: String) {
        self.is_known_down = true;
        self.log(LogLevel::Info, "peer_disconnected", reason);
        self.wait_backoff().await;
    }

    async fn handle_open_failure(&mut self, error: SessionError) {
        match error {
            SessionError::Unreachable(reason) => {
                // Logs one line when a peer becomes unreachable, not one for each failed attempt.
                if !self.is_known_down {
                    self.is_known_down = true;
                    self.log(LogLevel::Info, "peer_unreachable", reason);
                }
            }
            SessionError::Refused(reason) => {
                self.context.refuse(self.to.to_string(), reason);
                // None of the queued messages is meant for the process that listens there now.
                self.context.count_dropped(self.state.clear());
                self.backoff.set_to_max();
            }
        }
        self.wait_backoff().await;
    }

    async fn wait_backoff(&mut self) {
        let delay = self.backoff.next_delay();
        sleep(delay).await;
    }

    fn log(&self, level: LogLevel, event: &'static str, reason: String) {
        let mut fields = vec![
            ("peer", self.to.to_string()),
            ("address", self.address.clone()),
        ];
        if !reason.is_empty() {
            fields.push(("reason", reason));
        }
        self.context.reports.log(level, event, fields);
    }
}
