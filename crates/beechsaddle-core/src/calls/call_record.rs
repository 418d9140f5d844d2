//! The `call_record` module provides the state of one open call.

use std::sync::Arc;

use crate::admission::AdmissionPass;
use crate::call::{AnswerEnd, CallArrival};
use crate::catalogue::{EntryClass, ModelEntry, ServiceEntry, ServiceKind, WorkspaceEntry};
use crate::prelude::*;
use crate::targets::CallWork;

/// The typical length of a token in bytes. Only used to estimate work; bills use the engine's
/// count.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;

/// The phase of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallPhase {
    /// The admit request was sent to the budget's holder.
    Admitting,
    /// The dedup record is being made durable.
    Recording,
    /// The call was sent to a target that has not answered.
    Dispatched,
    /// The answer is being relayed to the caller.
    Relaying,
    /// The usage is being settled with the budget's holder.
    Settling,
}

/// The terms of a call under the catalogue in effect at its arrival.
#[derive(Clone, Debug)]
pub(super) struct CallTerms {
    pub workspace: Arc<WorkspaceEntry>,
    pub service: Arc<ServiceEntry>,
    pub model: Option<Arc<ModelEntry>>,
    pub key: RequestKey,
    pub budget: BudgetName,
    /// The largest number of tokens that the call can use.
    pub bound: u64,
    /// The `max_tokens` sent to an engine.
    pub output_limit: Option<u64>,
    pub repeatable: bool,
}

impl CallTerms {
    /// Returns the lowest class of the call's entries, by which the call is shed.
    pub fn class(&self) -> EntryClass {
        let class = self.workspace.header.class.min(self.service.header.class);
        match &self.model {
            Some(model) => class.min(model.header.class),
            None => class,
        }
    }

    /// Returns the expected work for an engine, at four prompt bytes per token.
    pub fn work(&self, arrival: &CallArrival) -> CallWork {
        match self.output_limit {
            Some(output_tokens) => CallWork {
                prompt_tokens: arrival.input_bound / PROMPT_BYTES_PER_TOKEN,
                output_tokens,
            },
            None => CallWork::default(),
        }
    }

    /// Returns the tokens to bill when the call may have run and its usage is unknown.
    pub fn unknown_cost(&self) -> u64 {
        match self.service.kind {
            ServiceKind::Plain => self.bound,
            ServiceKind::Engine => 0,
        }
    }
}

/// The current attempt.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    pub attempt: AttemptId,
    pub target: TargetName,
    pub sent: ClockTime,
    /// The expected time to first token at dispatch, in milliseconds.
    pub first_token_ms: u64,
}

#[derive(Debug)]
pub(super) struct CallRecord {
    pub arrival: CallArrival,
    pub terms: CallTerms,
    pub pass: AdmissionPass,
    pub phase: CallPhase,
    pub attempts: u32,
    pub tried: Vec<TargetName>,
    pub running: Option<RunningAttempt>,
    /// Whether a byte of the call may have reached a target.
    pub may_have_run: bool,
    /// Whether a dedup record was requested.
    pub recorded: bool,
    /// Whether the caller disconnected.
    pub caller_gone: bool,
    /// How the answer ended.
    pub end: Option<AnswerEnd>,
    /// The billed tokens.
    pub tokens: u64,
}

impl CallRecord {
    /// Creates a call that has passed admission.
    pub fn new(arrival: CallArrival, terms: CallTerms, pass: AdmissionPass) -> Self {
        CallRecord {
            arrival,
            terms,
            pass,
            phase: CallPhase::Admitting,
            attempts: 0,
            tried: Vec::new(),
            running: None,
            may_have_run: false,
            recorded: false,
            caller_gone: false,
            end: None,
            tokens: 0,
        }
    }

    /// Whether `attempt` is the current one. Events of earlier attempts are ignored.
    pub fn is_running(&self, attempt: &AttemptId) -> bool {
        self.running
            .as_ref()
            .is_some_and(|running| running.attempt == *attempt)
    }
}
