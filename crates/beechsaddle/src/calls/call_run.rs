//! The `call_run` module provides the life of one call, from its arrival to its answer.

use std::sync::Arc;

use beechsaddle_core::call::{AnswerEnd, AttemptFailure, CallAction, CallArrival, CallEvent};
use beechsaddle_core::prelude::*;
use tokio::sync::mpsc;
use volo_http::response::Response;

use super::answer_body::AnswerBody;
use super::attempt::{AttemptOrder, CallContent};
use super::body_memory::MemoryShare;
use super::call_fault::CallFault;
use super::call_guard::CallGuard;
use super::connection_mark::ConnectionMark;
use super::ready_answer::ReadyAnswer;
use super::refusal_answer::{fault_answer, refusal_answer};

/// After how many milliseconds a caller may come back when the core's ring is full.
const RING_RETRY_MS: u64 = 1_000;

/// One call that was read and checked.
pub(crate) struct CallRun {
    /// Tells the core of the call's end.
    pub(crate) guard: CallGuard,
    /// What the core decides.
    pub(crate) actions: mpsc::Receiver<CallAction>,
    /// What goes to the target.
    pub(crate) content: CallContent,
    /// The memory of the request's body, kept while the body may be sent again.
    pub(crate) share: MemoryShare,
    /// The caller's connection.
    pub(crate) mark: ConnectionMark,
}

/// How an attempt came out.
enum AttemptOutcome {
    /// There is an answer that may be relayed.
    Answered(ReadyAnswer),
    /// There is none.
    Failed(AttemptFailure),
    /// The core decided otherwise in the meantime.
    Overruled(CallAction),
}

impl CallRun {
    /// Hands the call to the core and carries out what it decides.
    pub(crate) async fn run(mut self, arrival: CallArrival) -> Response {
        let arrived = CoreEvent::Call(CallEvent::Arrived(Box::new(arrival)));
        if !self.guard.state().ring.try_raise(arrived) {
            let fault = CallFault::new(RefusalReason::RingFull, "the router is busy");
            return fault_answer(&fault.retry_after(RING_RETRY_MS), Some(self.guard.call()));
        }
        self.guard.wait();
        loop {
            let Some(action) = self.actions.recv().await else {
                return self.give_up();
            };
            let order = match AttemptOrder::try_from(action) {
                Ok(order) => order,
                Err(action) => match self.overrule(action) {
                    Some(response) => return response,
                    None => continue,
                },
            };
            match self.attempt(&order).await {
                AttemptOutcome::Answered(answer) => return self.answer(answer).await,
                AttemptOutcome::Failed(failure) => self.fail_attempt(order.attempt, failure),
                AttemptOutcome::Overruled(action) => {
                    if let Some(response) = self.overrule(action) {
                        return response;
                    }
                }
            }
        }
    }

    async fn attempt(&mut self, order: &AttemptOrder) -> AttemptOutcome {
        self.guard.start_attempt(order.attempt.clone());
        let state = Arc::clone(self.guard.state());
        tokio::select! {
            biased;
            result = ReadyAnswer::try_fetch(order, &self.content, &state) => match result {
                Ok(answer) => AttemptOutcome::Answered(answer),
                Err(failure) => AttemptOutcome::Failed(failure),
            },
            action = receive_final(&mut self.actions) => AttemptOutcome::Overruled(action),
        }
    }

    fn fail_attempt(&mut self, attempt: AttemptId, failure: AttemptFailure) {
        self.guard.wait();
        let failed = CallEvent::AttemptFailed { attempt, failure };
        self.guard.state().ring.raise_call(failed);
    }

    async fn answer(mut self, answer: ReadyAnswer) -> Response {
        self.guard.tell_started();
        match answer {
            ReadyAnswer::Whole { head, body, usage } => {
                self.guard.note_usage(usage);
                self.guard.end_answer(AnswerEnd::Complete);
                // The body is not sent again from here on.
                drop(self.share);
                loop {
                    match self.actions.recv().await {
                        Some(CallAction::Finish { .. }) => {
                            return head.with_body(body.into(), self.guard.call());
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
            ReadyAnswer::Streamed { head, body, tail } => {
                let call = self.guard.call().clone();
                let body = AnswerBody::new(body, tail, self.guard, self.actions, self.mark);
                head.with_body(volo_http::body::Body::from_body(body), &call)
            }
        }
    }

    /// Carries out an action other than a dispatch; `None` when the call goes on.
    fn overrule(&mut self, action: CallAction) -> Option<Response> {
        match action {
            CallAction::Refuse { refusal, .. } => {
                self.guard.settle();
                Some(refusal_answer(&refusal, self.guard.call()))
            }
            CallAction::Abort { .. } => Some(self.give_up()),
            _ => None,
        }
    }

    /// Ends the call without an answer, though an attempt may have run.
    fn give_up(&mut self) -> Response {
        self.guard.end_answer(AnswerEnd::Truncated);
        unknown_outcome(self.guard.call())
    }
}

/// Waits for an action that ends a running attempt.
async fn receive_final(actions: &mut mpsc::Receiver<CallAction>) -> CallAction {
    loop {
        match actions.recv().await {
            Some(action @ (CallAction::Refuse { .. } | CallAction::Abort { .. })) => return action,
            Some(_) => {}
            // The sender lives as long as the call's guard, so that this is not reached.
            None => std::future::pending().await,
        }
    }
}

fn unknown_outcome(call: &CallId) -> Response {
    refusal_answer(
        &CallRefusal::unknown(RefusalReason::OutcomeUnknown, None),
        call,
    )
}
