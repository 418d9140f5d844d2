//! The `listen_gate` module provides the switch for outages in which a stand-in refuses
//! connections.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Shared switch that determines whether a stand-in listens.
#[derive(Clone, Debug)]
pub struct ListenGate {
    closed_until: Arc<watch::Sender<Option<Instant>>>,
}

impl ListenGate {
    /// Creates an open gate.
    pub fn new() -> Self {
        let (closed_until, _) = watch::channel(None);
        ListenGate {
            closed_until: Arc::new(closed_until),
        }
    }

    /// Closes the gate for a time span.
    pub fn refuse_for(&self, span: Duration) {
        self.closed_until.send_replace(Some(Instant::now() + span));
    }

    /// Opens the gate at once.
    pub fn open(&self) {
        self.closed_until.send_replace(None);
    }

    pub(super) async fn wait_until_closed(&self) {
        let mut receiver = self.closed_until.subscribe();
        // The channel stays open: its sender belongs to this gate.
        let _ = receiver
            .wait_for(|until| until.is_some_and(|until| until > Instant::now()))
            .await;
    }

    pub(super) async fn wait_until_open(&self) {
        let mut receiver = self.closed_until.subscribe();
        loop {
            let until = *receiver.borrow_and_update();
            let Some(until) = until.filter(|until| *until > Instant::now()) else {
                return;
            };
            tokio::select! {
                () = tokio::time::sleep_until(until) => return,
                _ = receiver.changed() => {}
            }
        }
    }
}

impl Default for ListenGate {
    fn default() -> Self {
        ListenGate::new()
    }
}
