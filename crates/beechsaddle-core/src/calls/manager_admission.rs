//! The `manager_admission` module provides the steps of a call before it is dispatched.

use super::call_checks::check_arrival;
use super::call_record::{CallPhase, CallRecord, CallTerms};
use super::call_reports::refuse;
use super::{CallContext, CallManager};
use crate::admission::AdmissionInput;
use crate::call::CallArrival;
use crate::peer::{AdmitRequest, RecordRequest};
use crate::prelude::*;
use crate::report::{CounterName, ReportAction};

impl CallManager {
    pub(super) fn on_arrival(
        &mut self,
        now: ClockTime,
        arrival: CallArrival,
        context: &mut CallContext<'_>,
    ) {
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
                    .accounting
                    .admit(now, request, context.members, context.outbox);
            }
            Err(refusal) => refuse(&call, refusal, context),
        }
    }

    pub(super) fn try_admit(
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
        let input = admission_input(now, &arrival, &terms, context);
        let pass = context.gate.admit(now, &input)?;
        context.retries.requested(now);
        Ok(CallRecord::new(arrival, terms, pass))
    }

    pub(super) fn on_caller_gone(
        &mut self,
        now: ClockTime,
        call: &CallId,
        last_attempt: Option<&AttemptId>,
        context: &mut CallContext<'_>,
    ) {
        let Some(record) = self.calls.get_mut(call) else {
            return;
        };
        // A call that waits for its reservation or record ends at the next step.
        record.caller_gone = true;
        if record.phase != CallPhase::Dispatched {
            return;
        }
        // The attempt was made and its failure event is still queued; with a full ring this event
        // may overtake it. If the call were treated as not dispatched, the key of a call that may
        // have run would be released, and the next call with that key would run it again.
        if last_attempt.is_some_and(|attempt| record.is_running(attempt)) {
            return;
        }
        // Otherwise the dispatch crossed this event and was not carried out. No other event would
        // end the call, and a drain would wait for it.
        if let Some(running) = record.running.take() {
            context.targets.ended(now, &running.target);
        }
        self.release(now, call, context);
    }

    pub(super) fn on_admit_done(
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
            // Nothing is reserved, so there is nothing to settle.
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
            .dedup
            .record(now, request, context.members, context.outbox);
    }

    pub(super) fn on_record_done(
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
}

fn admission_input<'a>(
    now: ClockTime,
    arrival: &CallArrival,
    terms: &'a CallTerms,
    context: &CallContext<'_>,
) -> AdmissionInput<'a> {
    let model = terms.model.as_ref().map(|model| &model.name);
    let work = terms.work(arrival);
    AdmissionInput {
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
