//! The `outbox` module provides where decisions put what has to happen next.

use std::collections::VecDeque;

use crate::action::CoreAction;
use crate::signal::CoreSignal;

/// Actions for the edges and signals for other duties of the core, in order.
#[derive(Debug, Default)]
pub struct CoreOutbox {
    /// What the edges have to carry out.
    pub actions: Vec<CoreAction>,
    /// What other duties of the core have to hear before the event is done.
    pub signals: VecDeque<CoreSignal>,
}

impl CoreOutbox {
    /// An empty outbox.
    pub fn new() -> Self {
        CoreOutbox::default()
    }

    /// Adds an action for an edge.
    pub fn act(&mut self, action: impl Into<CoreAction>) {
        self.actions.push(action.into());
    }

    /// Adds a signal for another duty.
    pub fn signal(&mut self, signal: CoreSignal) {
        self.signals.push_back(signal);
    }
}
