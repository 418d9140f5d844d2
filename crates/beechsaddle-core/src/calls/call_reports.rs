//! The `call_reports` module provides refusals, log lines and counts of calls.

use super::CallContext;
use super::call_record::{CallRecord, RunningAttempt};
use crate::call::{AnswerEnd, AttemptFailure, CallAction, KeyDigest};
use crate::prelude::*;
use crate::report::{CounterName, LogLevel, LogLine, ReportAction};

pub(super) fn list_models(call: &CallId, key_digest: &KeyDigest, context: &mut CallContext<'_>) {
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

pub(super) fn refuse(call: &CallId, refusal: CallRefusal, context: &mut CallContext<'_>) {
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

pub(super) fn count_refusal(refusal: &CallRefusal, context: &mut CallContext<'_>) {
    context
        .outbox
        .act(ReportAction::Count(CounterName::Refused(refusal.reason)));
}

pub(super) fn attempt_line(
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

pub(super) fn ended_line(call: &CallId, record: &CallRecord, end: AnswerEnd) -> ReportAction {
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
