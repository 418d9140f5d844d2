//! The `peer_link` module provides the task that delivers to one peer.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::report::LogLevel;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::backoff_span::BackoffSpan;
use super::edge_context::EdgeContext;
use super::peer_session::{PeerSession, SentBatch, SessionError};
use super::peers_stats::add;
use super::send_queue::SendQueue;

/// What the task of a link and those who feed it share.
pub(super) struct LinkState {
    queue: RefCell<SendQueue>,
    news: Notify,
    closing: Cell<bool>,
}

/// Delivers to one peer: connects when there is something to send, and again when it broke.
pub(super) struct PeerLink {
    context: Rc<EdgeContext>,
    to: RouterIncarnation,
    address: String,
    state: Rc<LinkState>,
    backoff: BackoffSpan,
    is_known_down: bool,
}

/// A delivery that has come to its end.
struct DeliveryEnd {
    count: usize,
    bytes: usize,
    outcome: Result<(), String>,
}

/// Deliveries that are on their way.
struct LinkFlight {
    pending: FuturesUnordered<Pin<Box<dyn Future<Output = DeliveryEnd>>>>,
    messages: usize,
    bytes: usize,
}

/// Why a session has come to its end.
#[derive(Debug)]
enum SessionEnd {
    /// Nothing was sent for long, or the edge closes and all is sent.
    Idle,
    /// The connection broke or a delivery took too long.
    Broken(String),
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

    fn clear(&self) -> usize {
        self.queue.borrow_mut().clear()
    }
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
            if self.state.closing.get() {
                return false;
            }
            if timeout(idle, self.state.news.notified()).await.is_err() {
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
            if self.state.closing.get() && flight.is_empty() && self.state.is_empty() {
                break SessionEnd::Idle;
            }
            tokio::select! {
                Some(done) = flight.pending.next(), if !flight.is_empty() => {
                    if let Err(reason) = self.note_delivered(&mut flight, done) {
                        break SessionEnd::Broken(reason);
                    }
                }
                () = self.state.news.notified() => {}
                reason = session.broken() => break SessionEnd::Broken(reason),
                () = sleep_until(idle_at), if flight.is_empty() => break SessionEnd::Idle,
            }
        };
        // What was on its way may have been taken: sending it again could do something twice.
        self.context.count_lost(flight.messages);
        end
    }

    // Sends what waits, as far as the bounds allow. Tells whether anything was sent.
    fn send_waiting(&self, session: &PeerSession, flight: &mut LinkFlight) -> bool {
        let options = &self.context.options;
        let mut sent = false;
        while flight.pending.len() < options.flight_calls && flight.bytes < options.flight_bytes {
            let (batch, expired) = self.state.queue.borrow_mut().take_batch(
                options.batch_messages,
                options.batch_bytes,
                Instant::now(),
            );
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

    fn note_delivered(&self, flight: &mut LinkFlight, done: DeliveryEnd) -> Result<(), String> {
        if done.outcome.is_ok() {
            flight.messages -= done.count;
            flight.bytes -= done.bytes;
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

impl LinkFlight {
    fn new() -> Self {
        LinkFlight {
            pending: FuturesUnordered::new(),
            messages: 0,
            bytes: 0,
        }
    }

    fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn add(&mut self, delivery: SentBatch, bytes: usize, timeout_ms: u64) {
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
