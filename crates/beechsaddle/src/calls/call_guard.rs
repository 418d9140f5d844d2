//! The `call_guard` module provides the guard that reports the end of every call to the core.

use std::sync::Arc;

use beechsaddle_core::call::{AnswerEnd, CallEvent, TokenUsage};
use beechsaddle_core::prelude::*;

use super::edge_state::EdgeState;

/// What the core has to be sent if the caller disconnects now.
#[derive(Clone, Debug, PartialEq, Eq)]
enum GuardState {
    /// Nothing: the core does not know the call, or has been sent its end.
    Settled,
    /// The disconnect of the caller.
    Waiting,
    /// The cancellation of the running attempt.
    Attempting(AttemptId),
}

/// Reports the end of a call to the core, however it ends.
///
/// When a caller disconnects, the HTTP library drops the call's future or the body of its answer at
/// any point. Without this guard the core would wait for such a call forever, and its reservation
/// would never be returned. Only `Drop` runs on every path.
pub(crate) struct CallGuard {
    state: Arc<EdgeState>,
    call: CallId,
    stage: GuardState,
    last_attempt: Option<AttemptId>,
    usage: TokenUsage,
}

impl CallGuard {
    /// Guards a call that the core does not know yet.
    pub(crate) fn new(state: Arc<EdgeState>, call: CallId) -> Self {
        CallGuard {
            state,
            call,
            stage: GuardState::Settled,
            last_attempt: None,
            usage: TokenUsage::default(),
        }
    }

    pub(crate) fn call(&self) -> &CallId {
        &self.call
    }

    /// Shared state of the edge that received the call.
    pub(crate) fn state(&self) -> &Arc<EdgeState> {
        &self.state
    }

    /// Marks the call as known to the core, without a running attempt.
    pub(crate) fn wait(&mut self) {
        self.stage = GuardState::Waiting;
    }

    /// Marks an attempt as running.
    pub(crate) fn start_attempt(&mut self, attempt: AttemptId) {
        self.last_attempt = Some(attempt.clone());
        self.stage = GuardState::Attempting(attempt);
    }

    /// Marks the call as ended for the core.
    pub(crate) fn settle(&mut self) {
        self.stage = GuardState::Settled;
    }

    /// Records the usage so far, for an answer that is truncated.
    pub(crate) fn record_usage(&mut self, usage: TokenUsage) {
        self.usage = usage;
    }

    /// Reports that the running attempt's answer is being sent to the caller.
    pub(crate) fn report_started(&self) {
        if let GuardState::Attempting(attempt) = &self.stage {
            let attempt = attempt.clone();
            self.state
                .ring
                .raise_call(CallEvent::AnswerStarted { attempt });
        }
    }

    /// Reports how the running attempt's answer ended; does nothing without an attempt.
    pub(crate) fn end_answer(&mut self, end: AnswerEnd) {
        let stage = std::mem::replace(&mut self.stage, GuardState::Settled);
        if let GuardState::Attempting(attempt) = stage {
            self.state.ring.raise_call(CallEvent::AnswerEnded {
                attempt,
                end,
                usage: self.usage,
            });
        }
    }

    /// Reports the usage of the running attempt so far; may be lost.
    pub(crate) fn report_progress(&self) {
        if let GuardState::Attempting(attempt) = &self.stage {
            self.state
                .ring
                .try_raise(CoreEvent::Call(CallEvent::AnswerProgress {
                    attempt: attempt.clone(),
                    usage: self.usage,
                }));
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        match self.stage {
            GuardState::Settled => {}
            GuardState::Waiting => {
                let call = self.call.clone();
                let last_attempt = self.last_attempt.take();
                let gone = CallEvent::CallerGone { call, last_attempt };
                self.state.ring.raise_call(gone);
            }
            GuardState::Attempting(_) => self.end_answer(AnswerEnd::CallerGone),
        }
        self.state.calls.close(&self.call);
    }
}
