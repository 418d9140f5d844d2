//! The `call_manager` module provides all open calls of one router.

use std::collections::BTreeMap;

use super::call_record::CallRecord;
use super::call_reports::{count_refusal, list_models};
use super::{CallContext, CallOptions};
use crate::call::CallEvent;
use crate::prelude::*;

/// All open calls of one router.
#[derive(Debug)]
pub struct CallManager {
    pub(super) options: CallOptions,
    pub(super) draining: bool,
    pub(super) calls: BTreeMap<CallId, CallRecord>,
}

impl CallManager {
    pub fn new(options: CallOptions) -> Self {
        CallManager {
            options,
            draining: false,
            calls: BTreeMap::new(),
        }
    }

    /// How many calls are open.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Refuses new calls from now on; open calls continue to their end.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Handles an event of the edge towards callers and targets.
    pub fn on_event(&mut self, now: ClockTime, event: CallEvent, context: &mut CallContext<'_>) {
        match event {
            CallEvent::Arrived(arrival) => self.on_arrival(now, *arrival, context),
            CallEvent::Rejected(refusal) => count_refusal(&refusal, context),
            CallEvent::ModelsQuery { call, key_digest } => list_models(&call, &key_digest, context),
            CallEvent::CallerGone { call, last_attempt } => {
                self.on_caller_gone(now, &call, last_attempt.as_ref(), context);
            }
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

    /// Handles a signal of another manager.
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
}
