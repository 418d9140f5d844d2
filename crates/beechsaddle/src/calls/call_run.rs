//! The `call_run` module provides the life of one call, from its arrival to its answer.

use std::sync::Arc;

use beechsaddle_core::call::{
    AnswerEnd, AttemptFailure, CallAction, CallArrival, CallEvent, TokenUsage,
};
use beechsaddle_core::prelude::*;
use bytes::Bytes;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::response::Response;

use super::answer_body::AnswerBody;
use super::attempt::{AttemptOrder, CallContent};
use super::body_memory::MemoryShare;
use super::call_fault::CallFault;
use super::call_guard::CallGuard;
use super::connection_mark::ConnectionMark;
use super::ready_answer::{AnswerHead, ReadyAnswer};
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
    /// The core decided otherwise in the meantime, or closed the call.
    Overruled(Option<CallAction>),
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
            let action = self.actions.recv().await;
            let order = match action.map(AttemptOrder::try_from) {
                Some(Ok(order)) => order,
                Some(Err(action)) => match self.overrule(Some(action)) {
                    Some(response) => return response,
                    None => continue,
                },
                None => return self.give_up(),
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

    async fn answer(self, answer: ReadyAnswer) -> Response {
        self.guard.tell_started();
        match answer {
            ReadyAnswer::Whole { head, body, usage } => self.hold_answer(head, body, usage).await,
            ReadyAnswer::Streamed { head, body, tail } => {
                let call = self.guard.call().clone();
                let body = AnswerBody::new(body, tail, self.guard, self.actions, self.mark);
                head.with_body(Body::from_body(body), &call)
            }
        }
    }

    /// Holds a whole answer back until the core says that its usage is safe.
    async fn hold_answer(mut self, head: AnswerHead, body: Bytes, usage: TokenUsage) -> Response {
        self.guard.note_usage(usage);
        self.guard.end_answer(AnswerEnd::Complete);
        // The request's body is not sent again from here on.
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

    /// Carries out an action other than a dispatch; `None` when the call goes on.
    fn overrule(&mut self, action: Option<CallAction>) -> Option<Response> {
        match action {
            Some(CallAction::Refuse { refusal, .. }) => {
                self.guard.settle();
                Some(refusal_answer(&refusal, self.guard.call()))
            }
            Some(CallAction::Abort { .. }) | None => Some(self.give_up()),
            Some(_) => None,
        }
    }

    /// Ends the call without an answer, though an attempt may have run.
    fn give_up(&mut self) -> Response {
        self.guard.end_answer(AnswerEnd::Truncated);
        unknown_outcome(self.guard.call())
    }
}

/// Waits for an action that ends a running attempt; `None` when the call was closed.
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
