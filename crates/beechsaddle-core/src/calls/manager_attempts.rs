//! The `manager_attempts` module provides the dispatch of a call to targets.

use super::call_record::{CallPhase, CallRecord, RunningAttempt};
use super::call_reports::attempt_line;
use super::{CallContext, CallManager};
use crate::admission::{FailedAttempt, RetryDecision};
use crate::call::{AttemptFailure, CallAction};
use crate::prelude::*;
use crate::report::{CounterName, ReportAction};
use crate::targets::{ChoiceRequest, TargetChoice};

impl CallManager {
    pub(super) fn dispatch(
        &mut self,
        now: ClockTime,
        call: &CallId,
        context: &mut CallContext<'_>,
    ) {
        let Some(record) = self.calls.get_mut(call) else {
            return;
        };
        if record
            .arrival
            .deadline
            .is_some_and(|deadline| deadline <= now)
        {
            let refusal = refusal_of(record, RefusalReason::DeadlineExceeded, None);
            self.refuse_and_release(now, call, refusal, context);
            return;
        }
        let request = ChoiceRequest {
            service: record.terms.service.name.clone(),
            kind: record.terms.service.kind,
            model: record.terms.model.as_ref().map(|model| model.name.clone()),
            prefix: &record.arrival.prefix,
            tried: &record.tried,
            work: record.terms.work(&record.arrival),
        };
        let (target, address, first_token_ms) = match context.targets.choose(now, &request) {
            TargetChoice::Chosen(chosen) => (chosen.target, chosen.address, chosen.first_token_ms),
            TargetChoice::NoneAlive | TargetChoice::NoModel | TargetChoice::AllTried => {
                let retry_after_ms = Some(self.options.retry_after_ms);
                let reason = match record.attempts {
                    0 => RefusalReason::NoTarget,
                    _ => RefusalReason::AttemptsFailed,
                };
                let refusal = refusal_of(record, reason, retry_after_ms);
                self.refuse_and_release(now, call, refusal, context);
                return;
            }
        };
        let attempt = AttemptId {
            call: call.clone(),
            ordinal: record.attempts,
        };
        record.attempts += 1;
        record.tried.push(target.clone());
        record.phase = CallPhase::Dispatched;
        record.running = Some(RunningAttempt {
            attempt: attempt.clone(),
            target: target.clone(),
            sent: now,
            first_token_ms,
        });
        let work = record.terms.work(&record.arrival);
        context
            .targets
            .started(now, &target, &record.arrival.prefix, work);
        context.outbox.act(CallAction::Dispatch {
            attempt,
            target,
            address,
            output_limit: record.terms.output_limit,
            head_timeout_ms: head_timeout_ms(now, record),
            deadline: record.arrival.deadline,
            repeatable: record.terms.repeatable,
        });
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        now: ClockTime,
        attempt: &AttemptId,
        failure: AttemptFailure,
        context: &mut CallContext<'_>,
    ) {
        let call = &attempt.call;
        let Some(record) = self.calls.get_mut(call) else {
            return;
        };
        if !record.is_running(attempt) || record.phase != CallPhase::Dispatched {
            return;
        }
        let Some(running) = record.running.take() else {
            return;
        };
        context.targets.failed(now, &running.target, failure);
        context
            .outbox
            .act(ReportAction::Count(CounterName::AttemptFailed(failure)));
        context.outbox.act(attempt_line(attempt, &running, failure));
        let failed_attempt = FailedAttempt {
            failure,
            repeatable: record.terms.repeatable,
            first_byte_sent: false,
            attempts: record.attempts,
            may_have_run: record.may_have_run,
            deadline: record.arrival.deadline,
            first_byte_ms: running.first_token_ms,
        };
        record.may_have_run |= !failure.is_not_run();
        if record.caller_gone {
            self.release(now, call, context);
            return;
        }
        match context.retries.decide(now, &failed_attempt) {
            RetryDecision::Retry => {
                context
                    .outbox
                    .act(ReportAction::Count(CounterName::Retried(failure)));
                self.dispatch(now, call, context);
            }
            RetryDecision::Refuse {
                refusal,
                budget_empty,
            } => {
                if budget_empty {
                    context
                        .outbox
                        .act(ReportAction::Count(CounterName::RetryBudgetEmpty));
                }
                self.refuse_and_release(now, call, refusal, context);
            }
            RetryDecision::Abort => {
                context.outbox.act(CallAction::Abort { call: call.clone() });
                self.end_call(now, call, context);
            }
        }
    }
}

fn head_timeout_ms(now: ClockTime, record: &CallRecord) -> u64 {
    let timeout_ms = record.terms.service.head_timeout_ms;
    match record.arrival.deadline {
        Some(deadline) => timeout_ms.min(deadline.since(now)),
        None => timeout_ms,
    }
}

fn refusal_of(
    record: &CallRecord,
    reason: RefusalReason,
    retry_after_ms: Option<u64>,
) -> CallRefusal {
    match record.may_have_run {
        true => CallRefusal::unknown(reason, retry_after_ms),
        false => CallRefusal::not_run(reason, retry_after_ms),
    }
}
