//! The `peer_link` module provides the task that delivers to one peer.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_core::report::LogLevel;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::backoff_span::BackoffSpan;
use super::edge_context::EdgeContext;
use super::link_flight::{DeliveryEnd, LinkFlight};
use super::link_state::LinkState;
use super::peer_session::{PeerSession, SentBatch, SessionError};
use super::peers_stats::add;

/// Delivers to one peer: connects when there is something to send, and again when it broke.
pub(super) struct PeerLink {
    context: Rc<EdgeContext>,
    to: RouterIncarnation,
    address: String,
    state: Rc<LinkState>,
    backoff: BackoffSpan,
    is_known_down: bool,
}

/// Why a session has come to its end.
#[derive(Debug)]
enum SessionEnd {
    /// Nothing was sent for long, or the edge closes and all is sent.
    Idle,
    /// The connection broke or a delivery took too long.
    Broken(String),
}

impl PeerLink {
    /// A link to one life of a peer at one address.
    pub(super) fn new(
        context: Rc<EdgeContext>,
        to: RouterIncarnation,
        address: String,
        state: Rc<LinkState>,
    ) -> Self {
        let options = &context.options;
        let backoff = BackoffSpan::new(options.backoff_min_ms, options.backoff_max_ms);
        PeerLink {
            context,
            to,
            address,
            state,
            backoff,
            is_known_down: false,
        }
    }

    /// Delivers until nothing was to be sent for long, or until the edge closes and all is sent.
    pub(super) async fn run(mut self) {
        while self.wait_for_news().await {
            match PeerSession::try_open(&self.context, &self.to, &self.address).await {
                Ok(session) => {
                    self.note_connected();
                    match self.serve(session).await {
                        SessionEnd::Idle => {}
                        SessionEnd::Broken(reason) => self.note_broken(reason).await,
                    }
                }
                Err(error) => self.note_failed(error).await,
            }
        }
    }

    // Waits until there is something to send; `false` when the link shall end.
    async fn wait_for_news(&self) -> bool {
        let idle = Duration::from_millis(self.context.options.idle_ms);
        while self.state.is_empty() {
            if self.state.is_closing() {
                return false;
            }
            if timeout(idle, self.state.news()).await.is_err() {
                return !self.state.is_empty();
            }
        }
        true
    }

    async fn serve(&mut self, mut session: PeerSession) -> SessionEnd {
        let idle = Duration::from_millis(self.context.options.idle_ms);
        let mut idle_at = Instant::now() + idle;
        let mut flight = LinkFlight::new();
        let end = loop {
            if self.send_waiting(&session, &mut flight) {
                idle_at = Instant::now() + idle;
            }
            if self.state.is_closing() && flight.is_empty() && self.state.is_empty() {
                break SessionEnd::Idle;
            }
            tokio::select! {
                Some(done) = flight.next(), if !flight.is_empty() => {
                    if let Err(reason) = self.note_delivered(done) {
                        break SessionEnd::Broken(reason);
                    }
                }
                () = self.state.news() => {}
                reason = session.broken() => break SessionEnd::Broken(reason),
                () = sleep_until(idle_at), if flight.is_empty() => break SessionEnd::Idle,
            }
        };
        // What was on its way may have been taken: sending it again could do something twice.
        self.context.count_lost(flight.messages());
        end
    }

    // Sends what waits, as far as the bounds allow. Tells whether anything was sent.
    fn send_waiting(&self, session: &PeerSession, flight: &mut LinkFlight) -> bool {
        let options = &self.context.options;
        let mut sent = false;
        while flight.has_room(options) {
            let (batch, expired) = self.state.take_batch(options);
            self.context.count_dropped(expired);
            if batch.messages.is_empty() {
                break;
            }
            let bytes = batch.bytes;
            let delivery = session.deliver(batch.messages);
            self.note_rejected(&delivery);
            flight.add(delivery, bytes, options.delivery_timeout_ms);
            add(&self.context.stats.deliveries, 1);
            sent = true;
        }
        sent
    }

    fn note_rejected(&self, delivery: &SentBatch) {
        self.context.count_dropped(delivery.rejected.len());
        for error in &delivery.rejected {
            self.log(LogLevel::Error, "peer_message_rejected", error.to_string());
        }
    }

    fn note_delivered(&self, done: DeliveryEnd) -> Result<(), String> {
        if done.outcome.is_ok() {
            add(&self.context.stats.delivered, done.count as u64);
        }
        done.outcome
    }

    fn note_connected(&mut self) {
        add(&self.context.stats.connected, 1);
        self.backoff.reset();
        self.is_known_down = false;
        self.log(LogLevel::Info, "peer_connected", String::new());
    }

    async fn note_broken(&mut self, reason: String) {
        self.is_known_down = true;
        self.log(LogLevel::Info, "peer_disconnected", reason);
        self.wait_backoff().await;
    }

    async fn note_failed(&mut self, error: SessionError) {
        match error {
            SessionError::Unreachable(reason) => {
                // One line when a peer goes; not one for each attempt while it is away.
                if !self.is_known_down {
                    self.is_known_down = true;
                    self.log(LogLevel::Info, "peer_unreachable", reason);
                }
            }
            SessionError::Refused(reason) => {
                self.context.refuse(self.to.to_string(), reason);
                // Nothing that waits is for whoever listens there now.
                self.context.count_dropped(self.state.clear());
                self.backoff.set_longest();
            }
        }
        self.wait_backoff().await;
    }

    async fn wait_backoff(&mut self) {
        let span = self.backoff.next_span();
        sleep(span).await;
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
