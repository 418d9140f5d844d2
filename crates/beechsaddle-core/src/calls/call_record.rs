//! The `call_record` module provides what the router knows of one open call.

use std::sync::Arc;

use crate::admission::AdmissionPass;
use crate::call::{AnswerEnd, CallArrival};
use crate::catalogue::{EntryClass, ModelEntry, ServiceEntry, ServiceKind, WorkspaceEntry};
use crate::prelude::*;
use crate::targets::CallWork;

/// The usual length of a token in bytes, for estimates of work only; bills go by the engine's count.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallPhase {
    /// The budget's holder was asked.
    Admitting,
    /// The dedup record is being made durable.
    Recording,
    /// A target has it and has not answered.
    Dispatched,
    /// The answer goes to the caller.
    Relaying,
    /// The usage goes to the budget's holder.
    Settling,
}

/// What a call may do and cost by the catalogue in force at its arrival.
#[derive(Clone, Debug)]
pub(super) struct CallTerms {
    pub workspace: Arc<WorkspaceEntry>,
    pub service: Arc<ServiceEntry>,
    pub model: Option<Arc<ModelEntry>>,
    pub key: RequestKey,
    pub budget: BudgetName,
    /// The largest number of tokens that it can use.
    pub bound: u64,
    /// The `max_tokens` sent to an engine.
    pub output_limit: Option<u64>,
    pub repeatable: bool,
}

impl CallTerms {
    /// The class under which the call is shed: the lowest that any of its entries has.
    pub fn class(&self) -> EntryClass {
        let class = self.workspace.header.class.min(self.service.header.class);
        match &self.model {
            Some(model) => class.min(model.header.class),
            None => class,
        }
    }

    /// How much work it is expected to be for an engine; a token of a prompt has some four bytes.
    pub fn work(&self, arrival: &CallArrival) -> CallWork {
        match self.output_limit {
            Some(output_tokens) => CallWork {
                prompt_tokens: arrival.input_bound / PROMPT_BYTES_PER_TOKEN,
                output_tokens,
            },
            None => CallWork::default(),
        }
    }

    /// What is billed when the call may have run and no answer tells the usage.
    pub fn unknown_cost(&self) -> u64 {
        match self.service.kind {
            ServiceKind::Plain => self.bound,
            ServiceKind::Engine => 0,
        }
    }
}

/// The attempt that runs now.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    pub attempt: AttemptId,
    pub target: TargetName,
    pub sent: ClockTime,
    /// The expected time to the first token when it was sent, in milliseconds.
    pub first_token_ms: u64,
}

/// One open call.
#[derive(Debug)]
pub(super) struct CallRecord {
    pub arrival: CallArrival,
    pub terms: CallTerms,
    pub pass: AdmissionPass,
    pub phase: CallPhase,
    pub attempts: u32,
    pub tried: Vec<TargetName>,
    pub running: Option<RunningAttempt>,
    /// Whether a byte of it may have reached a target.
    pub may_have_run: bool,
    /// Whether a dedup record was asked for.
    pub recorded: bool,
    /// Whether the caller hung up.
    pub caller_gone: bool,
    /// How the answer ended.
    pub end: Option<AnswerEnd>,
    /// What was billed.
    pub tokens: u64,
}

impl CallRecord {
    /// A call that has passed admission.
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

    /// Whether `attempt` is the one that runs now. Anything an earlier attempt still says is void.
    pub fn is_running(&self, attempt: &AttemptId) -> bool {
        self.running
            .as_ref()
            .is_some_and(|running| running.attempt == *attempt)
    }
}
