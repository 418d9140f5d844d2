//! The `call_guard` module provides the promise that the core hears of every call's end.

use std::sync::Arc;

use beechsaddle_core::call::{AnswerEnd, CallEvent, TokenUsage};
use beechsaddle_core::prelude::*;

use super::edge_state::EdgeState;

/// What the core would have to hear if the caller hung up now.
#[derive(Clone, Debug, PartialEq, Eq)]
enum GuardState {
    /// Nothing: the core does not know of the call, or has heard of its end.
    Settled,
    /// That the caller is gone.
    Waiting,
    /// That the attempt was cancelled.
    Trying(AttemptId),
}

/// Tells the core of a call's end, whatever way it ends.
///
/// When a caller hangs up, the HTTP library drops the call's future or its answer's body wherever
/// it stands. Without this guard the core would wait for such a call for ever, and its reservation
/// would never come back. Dropping is the one thing that happens on every way out.
pub(crate) struct CallGuard {
    state: Arc<EdgeState>,
    call: CallId,
    stage: GuardState,
    last_attempt: Option<AttemptId>,
    usage: TokenUsage,
}

impl CallGuard {
    /// Guards a call of which the core has not heard yet.
    pub(crate) fn new(state: Arc<EdgeState>, call: CallId) -> Self {
        CallGuard {
            state,
            call,
            stage: GuardState::Settled,
            last_attempt: None,
            usage: TokenUsage::default(),
        }
    }

    /// The call.
    pub(crate) fn call(&self) -> &CallId {
        &self.call
    }

    /// The edge that the call came to.
    pub(crate) fn state(&self) -> &Arc<EdgeState> {
        &self.state
    }

    /// The core knows of the call, and no attempt is running.
    pub(crate) fn wait(&mut self) {
        self.stage = GuardState::Waiting;
    }

    /// An attempt is running.
    pub(crate) fn start_attempt(&mut self, attempt: AttemptId) {
        self.last_attempt = Some(attempt.clone());
        self.stage = GuardState::Trying(attempt);
    }

    /// The core needs to hear nothing more.
    pub(crate) fn settle(&mut self) {
        self.stage = GuardState::Settled;
    }

    /// Notes what was used so far, for an answer that breaks off.
    pub(crate) fn note_usage(&mut self, usage: TokenUsage) {
        self.usage = usage;
    }

    /// Tells the core that the running attempt's answer goes to the caller now.
    pub(crate) fn tell_started(&self) {
        if let GuardState::Trying(attempt) = &self.stage {
            let attempt = attempt.clone();
            self.state
                .ring
                .raise_call(CallEvent::AnswerStarted { attempt });
        }
    }

    /// Tells the core how the running attempt's answer ended; does nothing without one.
    pub(crate) fn end_answer(&mut self, end: AnswerEnd) {
        let stage = std::mem::replace(&mut self.stage, GuardState::Settled);
        if let GuardState::Trying(attempt) = stage {
            self.state.ring.raise_call(CallEvent::AnswerEnded {
                attempt,
                end,
                usage: self.usage,
            });
        }
    }

    /// Tells the core how far the running attempt's answer has come; may be lost.
    pub(crate) fn tell_progress(&self) {
        if let GuardState::Trying(attempt) = &self.stage {
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
            GuardState::Trying(_) => self.end_answer(AnswerEnd::CallerGone),
        }
        self.state.calls.close(&self.call);
    }
}
