//! The `call_run` module provides one call from its arrival to its answer.

use std::sync::Arc;

use beechsaddle_core::call::{
    AnswerEnd, AttemptFailure, CallAction, CallArrival, CallEvent, TokenUsage,
};
use beechsaddle_core::prelude::*;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::response::Response;

use super::answer_body::AnswerBody;
use super::attempt::{AttemptDispatch, CallContent};
use super::body_memory::MemoryShare;
use super::call_fault::CallFault;
use super::call_guard::CallGuard;
use super::connection_tracker::ConnectionTracker;
use super::ready_answer::{AnswerHead, BufferedBody, ReadyAnswer};
use super::refusal_answer::{fault_answer, refusal_answer};

/// Retry delay in milliseconds for callers refused because the core's ring is full.
const RING_RETRY_MS: u64 = 1_000;

/// A call whose request has been read and checked.
pub(crate) struct CallRun {
    /// Reports the call's end to the core.
    pub(crate) guard: CallGuard,
    /// Decisions of the core for this call.
    pub(crate) actions: mpsc::Receiver<CallAction>,
    /// The request for the target.
    pub(crate) content: CallContent,
    /// Memory of the request's body, held while the body may be sent again.
    pub(crate) share: MemoryShare,
    pub(crate) tracker: ConnectionTracker,
}

/// Outcome of an attempt.
enum AttemptOutcome {
    /// The target's answer may be relayed.
    Answered(ReadyAnswer),
    /// The attempt failed.
    Failed(AttemptFailure),
    /// The core ended the attempt with another action, or closed the call.
    Superseded(Option<CallAction>),
}

impl CallRun {
    /// Hands the call to the core and carries out its decisions.
    pub(crate) async fn run(mut self, arrival: CallArrival) -> Response {
        let arrived = CoreEvent::Call(CallEvent::Arrived(Box::new(arrival)));
        if !self.guard.state().ring.try_raise(arrived) {
            let fault = CallFault::new(RefusalReason::RingFull, "the router is busy");
            return fault_answer(&fault.retry_after(RING_RETRY_MS), Some(self.guard.call()));
        }
        self.guard.wait();
        loop {
            let action = self.actions.recv().await;
            let dispatch = match action.map(AttemptDispatch::try_from) {
                Some(Ok(dispatch)) => dispatch,
                Some(Err(action)) => match self.apply_action(Some(action)) {
                    Some(response) => return response,
                    None => continue,
                },
                None => return self.end_unanswered(),
            };
            match self.attempt(&dispatch).await {
                AttemptOutcome::Answered(answer) => return self.answer(answer).await,
                AttemptOutcome::Failed(failure) => self.fail_attempt(dispatch.attempt, failure),
                AttemptOutcome::Superseded(action) => {
                    if let Some(response) = self.apply_action(action) {
                        return response;
                    }
                }
            }
        }
    }

    async fn attempt(&mut self, dispatch: &AttemptDispatch) -> AttemptOutcome {
        self.guard.start_attempt(dispatch.attempt.clone());
        let state = Arc::clone(self.guard.state());
        tokio::select! {
            biased;
            result = ReadyAnswer::try_fetch(dispatch, &self.content, &state) => match result {
                Ok(answer) => AttemptOutcome::Answered(answer),
                Err(failure) => AttemptOutcome::Failed(failure),
            },
            action = receive_final(&mut self.actions) => AttemptOutcome::Superseded(action),
        }
    }

    fn fail_attempt(&mut self, attempt: AttemptId, failure: AttemptFailure) {
        self.guard.wait();
        let failed = CallEvent::AttemptFailed { attempt, failure };
        self.guard.state().ring.raise_call(failed);
    }

    async fn answer(self, answer: ReadyAnswer) -> Response {
        self.guard.report_started();
        match answer {
            ReadyAnswer::Buffered { head, body, usage } => self.hold_back(head, body, usage).await,
            ReadyAnswer::Streamed { head, body, tail } => {
                let call = self.guard.call().clone();
                let body = AnswerBody::new(body, tail, self.guard, self.actions, self.tracker);
                head.with_body(Body::from_body(body), &call)
            }
        }
    }

    /// Holds a complete answer back until the core has recorded its usage.
    async fn hold_back(
        mut self,
        head: AnswerHead,
        body: BufferedBody,
        usage: TokenUsage,
    ) -> Response {
        self.guard.record_usage(usage);
        self.guard.end_answer(AnswerEnd::Complete);
        // The request's body is not sent again from here on.
        drop(self.share);
        loop {
            match self.actions.recv().await {
                Some(CallAction::Finish { .. }) => {
                    return head.with_body(body.bytes.into(), self.guard.call());
                }
                Some(CallAction::Refuse { refusal, .. }) => {
                    return refusal_answer(&refusal, self.guard.call());
                }
                Some(CallAction::Abort { .. }) | None => {
                    return unknown_outcome(self.guard.call());
                }
                Some(_) => {}
            }
        }
    }

    /// Carries out an action other than a dispatch; returns `None` if the call continues.
    fn apply_action(&mut self, action: Option<CallAction>) -> Option<Response> {
        match action {
            Some(CallAction::Refuse { refusal, .. }) => {
                self.guard.settle();
                Some(refusal_answer(&refusal, self.guard.call()))
            }
            Some(CallAction::Abort { .. }) | None => Some(self.end_unanswered()),
            Some(_) => None,
        }
    }

    /// Ends the call without an answer, though an attempt may have run.
    fn end_unanswered(&mut self) -> Response {
        self.guard.end_answer(AnswerEnd::Truncated);
        unknown_outcome(self.guard.call())
    }
}

/// Waits for an action that ends a running attempt; `None` if the call was closed.
async fn receive_final(actions: &mut mpsc::Receiver<CallAction>) -> Option<CallAction> {
    loop {
        let action = actions.recv().await;
        let is_final = matches!(
            action,
            Some(CallAction::Refuse { .. } | CallAction::Abort { .. }) | None
        );
        if is_final {
            return action;
        }
    }
}

fn unknown_outcome(call: &CallId) -> Response {
    refusal_answer(
        &CallRefusal::unknown(RefusalReason::OutcomeUnknown, None),
        call,
    )
}
