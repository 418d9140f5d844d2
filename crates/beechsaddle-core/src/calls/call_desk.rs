//! The `call_desk` module provides the steps of all open calls.

use std::collections::BTreeMap;

use super::call_checks::check_arrival;
use super::call_record::{CallPhase, CallRecord, CallTerms, RunningAttempt};
use super::{CallContext, CallOptions};
use crate::admission::{AttemptFacts, CallFacts, RetryDecision};
use crate::call::{
    AnswerEnd, AttemptFailure, CallAction, CallArrival, CallEvent, KeyDigest, TokenUsage,
};
use crate::peer::{AdmitRequest, RecordRequest};
use crate::prelude::*;
use crate::report::{CounterName, LogLevel, LogLine, ReportAction};
use crate::targets::{ChoiceRequest, TargetChoice};

/// All open calls of one router.
#[derive(Debug)]
pub struct CallDesk {
    options: CallOptions,
    draining: bool,
    calls: BTreeMap<CallId, CallRecord>,
}

impl CallDesk {
    /// A desk without calls.
    pub fn new(options: CallOptions) -> Self {
        CallDesk {
            options,
            draining: false,
            calls: BTreeMap::new(),
        }
    }

    /// How many calls are open.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Refuses new calls from now on; open calls go on to their end.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Takes an event of the call edge.
    pub fn on_event(&mut self, now: ClockTime, event: CallEvent, context: &mut CallContext<'_>) {
        match event {
            CallEvent::Arrived(arrival) => self.on_arrival(now, *arrival, context),
            CallEvent::Rejected(refusal) => count_refusal(&refusal, context),
            CallEvent::ModelsQuery { call, key_digest } => list_models(&call, &key_digest, context),
            CallEvent::CallerGone { call } => self.on_caller_gone(now, &call, context),
            CallEvent::AttemptFailed { attempt, failure } => {
                self.on_attempt_failed(now, &attempt, failure, context);
            }
            CallEvent::AnswerStarted { attempt } => self.on_answer_started(now, &attempt, context),
            CallEvent::AnswerProgress { attempt, usage } => {
                self.on_progress(now, &attempt, usage, context);
            }
            CallEvent::AnswerEnded {
                attempt,
                end,
                usage,
            } => {
                self.on_answer_ended(now, &attempt, end, usage, context);
            }
        }
    }

    /// Takes a signal of another duty.
    pub fn on_signal(
        &mut self,
        now: ClockTime,
        signal: &CoreSignal,
        context: &mut CallContext<'_>,
    ) {
        match signal {
            CoreSignal::AdmitDone { call, outcome } => {
                self.on_admit_done(now, call, outcome, context);
            }
            CoreSignal::RecordDone { call, outcome } => {
                self.on_record_done(now, call, outcome, context);
            }
            CoreSignal::SettleDone { call } => self.on_settle_done(now, call, context),
            CoreSignal::MemberUp(_)
            | CoreSignal::MemberDown(_)
            | CoreSignal::MemberGone(_)
            | CoreSignal::HostsChanged
            | CoreSignal::CatalogueChanged { .. }
            | CoreSignal::HostLeaving(_) => {}
        }
    }

    fn on_arrival(&mut self, now: ClockTime, arrival: CallArrival, context: &mut CallContext<'_>) {
        context
            .outbox
            .act(ReportAction::Count(CounterName::CallsArrived));
        let call = arrival.call.clone();
        match self.try_admit(now, arrival, context) {
            Ok(record) => {
                let request = AdmitRequest {
                    call: call.clone(),
                    key: record.terms.key.clone(),
                    budget: record.terms.budget.clone(),
                    bound: record.terms.bound,
                };
                self.calls.insert(call, record);
                context
                    .money
                    .admit(now, request, context.members, context.outbox);
            }
            Err(refusal) => refuse(&call, refusal, context),
        }
    }

    fn try_admit(
        &self,
        now: ClockTime,
        arrival: CallArrival,
        context: &mut CallContext<'_>,
    ) -> Result<CallRecord, CallRefusal> {
        let retry_after_ms = Some(self.options.retry_after_ms);
        if self.draining {
            return Err(CallRefusal::not_run(
                RefusalReason::Draining,
                retry_after_ms,
            ));
        }
        let terms = check_arrival(now, context.view, &arrival, self.options.retry_after_ms)?;
        let facts = call_facts(now, &arrival, &terms, context);
        let pass = context.gate.admit(now, &facts)?;
        context.retries.requested(now);
        Ok(CallRecord::new(arrival, terms, pass))
    }

    fn on_caller_gone(&mut self, now: ClockTime, call: &CallId, context: &mut CallContext<'_>) {
        let Some(record) = self.calls.get_mut(call) else {
            return;
        };
        // A call that waits for its reservation or its record learns of it at the next step.
        record.caller_gone = true;
        if record.phase != CallPhase::Dispatched {
            return;
        }
        // The edge says this only when no attempt runs: the dispatch crossed it on the way and was
        // not carried out. Nothing else would ever end the call, and a drain would wait for it.
        if let Some(running) = record.running.take() {
            context.targets.ended(now, &running.target);
        }
        self.release(now, call, context);
    }

    fn on_admit_done(
        &mut self,
        now: ClockTime,
        call: &CallId,
        outcome: &Result<(), CallRefusal>,
        context: &mut CallContext<'_>,
    ) {
        let Some(record) = self.calls.get_mut(call) else {
            return;
        };
        if record.phase != CallPhase::Admitting {
            return;
        }
        if let Err(refusal) = outcome {
            // Nothing is reserved, so nothing has to be settled.
            let record = self.calls.remove(call);
            end_refused(now, call, record, refusal.clone(), context);
            return;
        }
        if record.caller_gone {
            self.release(now, call, context);
            return;
        }
        if record.terms.repeatable {
            self.dispatch(now, call, context);
            return;
        }
        record.phase = CallPhase::Recording;
        record.recorded = true;
        let request = RecordRequest {
            call: call.clone(),
            key: record.terms.key.clone(),
        };
        context
            .once
            .record(now, request, context.members, context.outbox);
    }

    fn on_record_done(
        &mut self,
        now: ClockTime,
        call: &CallId,
        outcome: &Result<(), CallRefusal>,
        context: &mut CallContext<'_>,
    ) {
        let Some(record) = self.calls.get_mut(call) else {
            return;
        };
        if record.phase != CallPhase::Recording {
            return;
        }
        match outcome {
            Ok(()) if record.caller_gone => self.release(now, call, context),
            Ok(()) => self.dispatch(now, call, context),
            Err(refusal) => {
                record.recorded = false;
                self.refuse_and_release(now, call, refusal.clone(), context);
            }
        }
    }

    fn dispatch(&mut self, now: ClockTime, call: &CallId, context: &mut CallContext<'_>) {
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

    fn on_attempt_failed(
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
        let facts = AttemptFacts {
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
        match context.retries.decide(now, &facts) {
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

    fn on_answer_started(
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

    fn on_progress(
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
            context.money.progress(now, &attempt.call, tokens);
        }
    }

    fn on_answer_ended(
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
        // The reservation is all that the budget is known to have: billing more could overspend.
        if used > record.terms.bound {
            context
                .outbox
                .act(ReportAction::Count(CounterName::UsageOverBound));
        }
        record.tokens = used.min(record.terms.bound);
        record.end = Some(end);
        record.phase = CallPhase::Settling;
        let complete = end == AnswerEnd::Complete;
        context.money.settle(
            now,
            call,
            record.tokens,
            true,
            complete,
            context.members,
            context.outbox,
        );
    }

    fn on_settle_done(&mut self, now: ClockTime, call: &CallId, context: &mut CallContext<'_>) {
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

    /// Ends a call whose caller hung up before anything was dispatched.
    fn release(&mut self, now: ClockTime, call: &CallId, context: &mut CallContext<'_>) {
        context
            .outbox
            .act(ReportAction::Count(CounterName::CallersGone));
        self.end_call(now, call, context);
    }

    fn refuse_and_release(
        &mut self,
        now: ClockTime,
        call: &CallId,
        refusal: CallRefusal,
        context: &mut CallContext<'_>,
    ) {
        refuse(call, refusal, context);
        self.end_call(now, call, context);
    }

    /// Gives back what a call without an answer holds.
    ///
    /// A call that did not run leaves no bill and no dedup record. A repeatable call that may have
    /// run leaves no bill either: its caller got nothing and may send it again. A not-repeatable
    /// one cannot run again, so what it may have cost is billed now or never.
    fn end_call(&mut self, now: ClockTime, call: &CallId, context: &mut CallContext<'_>) {
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
                .once
                .forget(now, call, &record.terms.key, context.outbox);
        }
        context.gate.ended(now, record.pass, tokens);
        context.money.settle(
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

fn call_facts<'a>(
    now: ClockTime,
    arrival: &CallArrival,
    terms: &'a CallTerms,
    context: &CallContext<'_>,
) -> CallFacts<'a> {
    let model = terms.model.as_ref().map(|model| &model.name);
    let work = terms.work(arrival);
    CallFacts {
        workspace: &terms.workspace,
        service: &terms.service,
        model: terms.model.as_deref(),
        class: terms.class(),
        tokens: terms.bound,
        deadline: arrival.deadline,
        load: context
            .targets
            .service_load(now, &terms.service.name, model, work),
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

fn end_refused(
    now: ClockTime,
    call: &CallId,
    record: Option<CallRecord>,
    refusal: CallRefusal,
    context: &mut CallContext<'_>,
) {
    if let Some(record) = record {
        context.gate.ended(now, record.pass, 0);
    }
    refuse(call, refusal, context);
}

fn list_models(call: &CallId, key_digest: &KeyDigest, context: &mut CallContext<'_>) {
    match context.view.workspace_of(key_digest) {
        Some(workspace) => {
            let models = workspace.models.clone();
            context.outbox.act(CallAction::Models {
                call: call.clone(),
                models,
            });
        }
        None => {
            let refusal = CallRefusal::not_run(RefusalReason::UnknownKey, None);
            refuse(call, refusal, context);
        }
    }
}

fn refuse(call: &CallId, refusal: CallRefusal, context: &mut CallContext<'_>) {
    count_refusal(&refusal, context);
    context.outbox.act(ReportAction::Log(LogLine {
        level: LogLevel::Info,
        event: "call_refused",
        fields: vec![
            ("call", call.to_string()),
            ("reason", refusal.reason.to_string()),
            ("ran", format!("{:?}", refusal.ran).to_lowercase()),
        ],
    }));
    context.outbox.act(CallAction::Refuse {
        call: call.clone(),
        refusal,
    });
}

fn count_refusal(refusal: &CallRefusal, context: &mut CallContext<'_>) {
    context
        .outbox
        .act(ReportAction::Count(CounterName::Refused(refusal.reason)));
}

fn attempt_line(
    attempt: &AttemptId,
    running: &RunningAttempt,
    failure: AttemptFailure,
) -> ReportAction {
    ReportAction::Log(LogLine {
        level: LogLevel::Warning,
        event: "attempt_failed",
        fields: vec![
            ("attempt", attempt.to_string()),
            ("target", running.target.to_string()),
            ("failure", failure.as_str().to_owned()),
        ],
    })
}

fn ended_line(call: &CallId, record: &CallRecord, end: AnswerEnd) -> ReportAction {
    ReportAction::Log(LogLine {
        level: LogLevel::Info,
        event: "call_ended",
        fields: vec![
            ("call", call.to_string()),
            ("key", record.terms.key.to_string()),
            ("end", format!("{end:?}").to_lowercase()),
            ("tokens", record.tokens.to_string()),
            ("attempts", record.attempts.to_string()),
        ],
    })
}
