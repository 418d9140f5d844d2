//! The `manager_endings` module provides the handling of answers and of all ends of a call.

use super::call_record::CallPhase;
use super::call_reports::{ended_line, refuse};
use super::{CallContext, CallManager};
use crate::call::{AnswerEnd, AttemptFailure, CallAction, TokenUsage};
use crate::prelude::*;
use crate::report::{CounterName, ReportAction};

impl CallManager {
    pub(super) fn on_answer_started(
        &mut self,
        now: ClockTime,
        attempt: &AttemptId,
        context: &mut CallContext<'_>,
    ) {
        let Some(record) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let Some(running) = record
            .running
            .as_ref()
            .filter(|running| running.attempt == *attempt)
        else {
            return;
        };
        context
            .targets
            .first_byte(now, &running.target, now.since(running.sent));
        record.may_have_run = true;
        record.phase = CallPhase::Relaying;
    }

    pub(super) fn on_progress(
        &mut self,
        now: ClockTime,
        attempt: &AttemptId,
        usage: TokenUsage,
        context: &mut CallContext<'_>,
    ) {
        let Some(record) = self.calls.get(&attempt.call) else {
            return;
        };
        if record.is_running(attempt) {
            let tokens = usage.total().min(record.terms.bound);
            context.accounting.progress(now, &attempt.call, tokens);
        }
    }

    pub(super) fn on_answer_ended(
        &mut self,
        now: ClockTime,
        attempt: &AttemptId,
        end: AnswerEnd,
        usage: TokenUsage,
        context: &mut CallContext<'_>,
    ) {
        let call = &attempt.call;
        let Some(record) = self.calls.get_mut(call) else {
            return;
        };
        if !record.is_running(attempt) {
            return;
        }
        let Some(running) = record.running.take() else {
            return;
        };
        match end {
            AnswerEnd::Truncated => {
                context
                    .targets
                    .failed(now, &running.target, AttemptFailure::ConnectionLost);
            }
            AnswerEnd::Complete | AnswerEnd::CallerGone => {
                context.targets.ended(now, &running.target);
            }
        }
        let used = match record.terms.output_limit {
            Some(_) => usage.total(),
            None => record.terms.bound,
        };
        // The budget is known to cover only the reservation; a higher bill could overspend it.
        if used > record.terms.bound {
            context
                .outbox
                .act(ReportAction::Count(CounterName::UsageOverBound));
        }
        record.tokens = used.min(record.terms.bound);
        record.end = Some(end);
        record.phase = CallPhase::Settling;
        let complete = end == AnswerEnd::Complete;
        context.accounting.settle(
            now,
            call,
            record.tokens,
            true,
            complete,
            context.members,
            context.outbox,
        );
    }

    pub(super) fn on_settle_done(
        &mut self,
        now: ClockTime,
        call: &CallId,
        context: &mut CallContext<'_>,
    ) {
        let settling = self
            .calls
            .get(call)
            .is_some_and(|record| record.phase == CallPhase::Settling);
        if !settling {
            return;
        }
        let Some(record) = self.calls.remove(call) else {
            return;
        };
        let Some(end) = record.end else {
            return;
        };
        let counter = match end {
            AnswerEnd::Complete => {
                context
                    .outbox
                    .act(CallAction::Finish { call: call.clone() });
                CounterName::CallsAnswered
            }
            AnswerEnd::Truncated => CounterName::CallsTruncated,
            AnswerEnd::CallerGone => CounterName::CallersGone,
        };
        context.outbox.act(ReportAction::Count(counter));
        context.outbox.act(ended_line(call, &record, end));
        context.gate.ended(now, record.pass, record.tokens);
    }

    /// Ends a call whose caller disconnected before the call was dispatched.
    pub(super) fn release(&mut self, now: ClockTime, call: &CallId, context: &mut CallContext<'_>) {
        context
            .outbox
            .act(ReportAction::Count(CounterName::CallersGone));
        self.end_call(now, call, context);
    }

    pub(super) fn refuse_and_release(
        &mut self,
        now: ClockTime,
        call: &CallId,
        refusal: CallRefusal,
        context: &mut CallContext<'_>,
    ) {
        refuse(call, refusal, context);
        self.end_call(now, call, context);
    }

    /// Returns everything that a call without an answer holds.
    ///
    /// A call that did not run leaves no bill and no dedup record. A repeatable call that may have
    /// run leaves no bill either: its caller got nothing and may send it again. A not-repeatable
    /// call cannot run again, so its possible cost can only be billed now.
    pub(super) fn end_call(
        &mut self,
        now: ClockTime,
        call: &CallId,
        context: &mut CallContext<'_>,
    ) {
        let Some(record) = self.calls.remove(call) else {
            return;
        };
        let billed = record.may_have_run && !record.terms.repeatable;
        let tokens = if billed {
            record.terms.unknown_cost()
        } else {
            0
        };
        if record.recorded && !record.may_have_run {
            context
                .dedup
                .forget(now, call, &record.terms.key, context.outbox);
        }
        context.gate.ended(now, record.pass, tokens);
        context.accounting.settle(
            now,
            call,
            tokens,
            billed,
            false,
            context.members,
            context.outbox,
        );
    }
}
