//! The `target_notice` module provides the recording of what a target announces about itself in a
//! response.

use beechsaddle_core::gateway::TargetRecord;
use beechsaddle_platform::ResponseHead;

use super::call_context::CallContext;
use super::gateway_metrics::{OutcomeLabel, TARGET_NOTICES};

/// Records that a response announces that its target leaves, or wants no requests for a while.
pub(super) fn record_notice(call: &CallContext, target: &TargetRecord, facts: &ResponseHead) {
    let [leaving, rest] = TARGET_NOTICES;
    if facts.is_leaving {
        log_notice(call, target, leaving, None);
    }
    if let Some(rest_ms) = facts.rest_ms {
        log_notice(call, target, rest, Some(rest_ms));
    }
}

fn log_notice(call: &CallContext, target: &TargetRecord, what: &'static str, rest_ms: Option<u64>) {
    let notices = &call.state.metrics.target_notices;
    notices.get_or_create(&OutcomeLabel { what }).inc();
    let mut fields = vec![
        ("target", target.name.to_string()),
        ("what", what.to_owned()),
    ];
    fields.extend(rest_ms.map(|rest_ms| ("rest_ms", rest_ms.to_string())));
    call.record.log_decision("target_announced", fields);
}
