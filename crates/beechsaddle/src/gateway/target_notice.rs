//! The `target_notice` module provides the recording of what a target announces about itself in a
//! response.

use beechsaddle_core::gateway::TargetRecord;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::ResponseHead;

use super::call_context::CallContext;
use super::gateway_metrics::{OutcomeLabel, TARGET_NOTICES};
use super::gateway_state::GatewayState;

/// How a response reached this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoticeSource {
    /// It answers a call of this router.
    Answer,
    /// It answers a call of another router, and passes through a tunnel that this one carries.
    Tunnel,
}

impl NoticeSource {
    fn as_str(self) -> &'static str {
        match self {
            NoticeSource::Answer => "answer",
            NoticeSource::Tunnel => "tunnel",
        }
    }
}

/// Whether a response belongs to a request. A reused connection may hold a stale response to an
/// earlier one; a new connection cannot.
pub(super) fn is_answer_to(facts: &ResponseHead, request_id: &str, is_fresh: bool) -> bool {
    match &facts.request_id {
        Some(id) => id == request_id,
        None => is_fresh && !facts.status.is_success(),
    }
}

/// Whether a response is the target's own, so that it is believed what it says about the target.
pub(super) fn is_own(facts: &ResponseHead) -> bool {
    facts.is_sealed || (facts.is_not_run && !facts.is_misdirected)
}

/// Records that a response announces that its target leaves, or wants no requests for a while.
pub(super) fn record_notice(
    state: &GatewayState,
    target: &TargetRecord,
    facts: &ResponseHead,
    source: NoticeSource,
) {
    let [leaving, rest] = TARGET_NOTICES;
    if facts.is_leaving {
        count(state, leaving);
        record_leaving(state, target, source);
    }
    if let Some(rest_ms) = facts.rest_ms {
        count(state, rest);
        record_rest(state, target, rest_ms);
    }
}

/// Logs what a response to a call announces.
pub(super) fn log_notice(call: &CallContext, target: &TargetRecord, facts: &ResponseHead) {
    let [leaving, rest] = TARGET_NOTICES;
    if facts.is_leaving {
        log_announced(call, target, leaving, None);
    }
    if let Some(rest_ms) = facts.rest_ms {
        log_announced(call, target, rest, Some(rest_ms));
    }
}

/// Takes a target that leaves out of use; the calls that it runs go on.
fn record_leaving(state: &GatewayState, target: &TargetRecord, source: NoticeSource) {
    let mut roster = state.roster.borrow_mut();
    let is_news = roster.mark_leaving(state.now(), &target.incarnation());
    drop(roster);
    if !is_news {
        return;
    }
    state.pool.forget(target.address);
    let fields = [
        ("target", target.name.to_string()),
        ("source", source.as_str().to_owned()),
    ];
    state.report.log(LogLevel::Info, "target_leaving", fields);
}

/// Records that a target wants no requests from this router for a while.
fn record_rest(state: &GatewayState, target: &TargetRecord, rest_ms: u64) {
    let mut roster = state.roster.borrow_mut();
    let rests = &mut roster.rests;
    let is_longer = rests.record(state.now(), target.incarnation(), rest_ms);
    drop(roster);
    if !is_longer {
        return;
    }
    state.metrics.target_rests.inc();
    let fields = [
        ("target", target.name.to_string()),
        ("rest_ms", rest_ms.to_string()),
    ];
    state.report.log(LogLevel::Info, "target_resting", fields);
}

fn count(state: &GatewayState, what: &'static str) {
    let notices = &state.metrics.target_notices;
    notices.get_or_create(&OutcomeLabel { what }).inc();
}

fn log_announced(
    call: &CallContext,
    target: &TargetRecord,
    what: &'static str,
    rest_ms: Option<u64>,
) {
    let mut fields = vec![
        ("target", target.name.to_string()),
        ("what", what.to_owned()),
    ];
    fields.extend(rest_ms.map(|rest_ms| ("rest_ms", rest_ms.to_string())));
    call.record.log_decision("target_announced", fields);
}
