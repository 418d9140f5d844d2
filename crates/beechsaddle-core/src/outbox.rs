//! The `outbox` module provides the collection of actions and signals that decisions produce.

use std::collections::VecDeque;

use crate::action::CoreAction;
use crate::signal::CoreSignal;

/// Actions for the edges and signals for other parts of the core, in order.
#[derive(Debug, Default)]
pub struct CoreOutbox {
    /// Actions that the edges carry out.
    pub actions: Vec<CoreAction>,
    /// Signals that other parts of the core handle before the event is finished.
    pub signals: VecDeque<CoreSignal>,
}

impl CoreOutbox {
    pub fn new() -> Self {
        CoreOutbox::default()
    }

    /// Adds an action for an edge.
    pub fn act(&mut self, action: impl Into<CoreAction>) {
        self.actions.push(action.into());
    }

    /// Adds a signal for another part of the core.
    pub fn signal(&mut self, signal: CoreSignal) {
        self.signals.push_back(signal);
    }
}
