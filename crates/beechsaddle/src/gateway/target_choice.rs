//! The `target_choice` module provides the choice of a target for a call, and the refusal if there
//! is none.

use beechsaddle_core::gateway::{ChoiceInput, TargetChoice, TargetRecord, choose_target};
use http::Response;

use super::answer_body::AnswerBody;
use super::call_context::CallContext;
use super::limits::request_permit;
use super::refusal::RefusalCause;

/// Chooses a target and, if it has a rate limit, obtains a permit for it. A target without a permit
/// is excluded for a while, so that the next choice differs. Returns `None` if no target is left.
pub(super) async fn choose_permitted_target(
    call: &CallContext,
) -> Option<(TargetChoice, TargetRecord)> {
    loop {
        let (choice, target) = choose(call)?;
        if request_permit(&call.state, &target).await {
            return Some((choice, target));
        }
        let fields = [("target", target.name.to_string())];
        call.record.log_decision("place_refused", fields);
        if call.remaining_ms() == 0 {
            return None;
        }
    }
}

/// Chooses a target among those that were not tried yet, or among all once every one was tried.
fn choose(call: &CallContext) -> Option<(TargetChoice, TargetRecord)> {
    let state = &call.state;
    // The router's link may have become saturated while the call waited or was tried.
    if state.is_behind_full_link() {
        return None;
    }
    let settings = state.settings();
    let tried = call.tried.borrow();
    let roster = state.roster.borrow();
    let crash_count = state.crashes.crash_count(call.fingerprint);
    let suspect = (crash_count > 0).then(|| call.fingerprint.to_string());
    let input = ChoiceInput {
        service: &call.service,
        is_engine: call.rule.is_engine,
        domain: &settings.domain,
        prompt: &call.head.prompt,
        request_id: &call.head.request_id,
        tried: &tried,
        runs_once: !call.route.kind.may_repeat(),
        suspect: suspect.as_deref(),
        policy: settings.policy,
    };
    let retry_input = ChoiceInput {
        tried: &[],
        ..input
    };
    let now = state.now();
    let choice =
        choose_target(&roster, now, input).or_else(|| choose_target(&roster, now, retry_input))?;
    let record = roster.get(&choice.target)?.record.clone();
    Some((choice, record))
}

/// Returns why there is no target to send to.
pub(super) fn no_target_cause(call: &CallContext) -> RefusalCause {
    match call.history.borrow().may_have_run() {
        true => RefusalCause::OutcomeUnknown,
        false if call.state.is_behind_full_link() => RefusalCause::LinkFull,
        false if shortest_pause_ms(call).is_some() => RefusalCause::TargetsLimited,
        false => RefusalCause::NoTarget,
    }
}

/// Refuses a call that no target answered.
pub(super) fn refuse_call(
    call: &CallContext,
    cause: RefusalCause,
    message: &str,
) -> Response<AnswerBody> {
    call.record.record_refusal(cause);
    match shortest_pause_ms(call) {
        Some(pause_ms) if cause == RefusalCause::TargetsLimited => {
            cause.response_after(pause_ms, message)
        }
        Some(_) | None => cause.response(message),
    }
}

/// Records the chosen target and the reasons.
pub(super) fn record_choice(call: &CallContext, choice: &TargetChoice) {
    call.record.add_field("target", &choice.target);
    call.record.add_field("cost", choice.cost as u64);
    call.record.add_field("home", choice.is_affinity_target);
    call.record.add_field("of", choice.candidates);
    let target = &choice.target;
    let roster = call.state.roster.borrow();
    let active = roster.get(target).map(|entry| entry.stats.active);
    let fields = [
        ("target", target.to_string()),
        ("cost", (choice.cost as u64).to_string()),
        ("home", choice.is_affinity_target.to_string()),
        ("of", choice.candidates.to_string()),
        ("active", active.unwrap_or(0).to_string()),
        ("store_age_ms", call.state.store_age_ms().to_string()),
    ];
    call.record.log_decision("call_placed", fields);
    call.record.record_attempt_start();
}

/// Returns the time until the first rate-limited target of the service accepts a request again, in
/// milliseconds; `None` if no target is excluded for its limit.
fn shortest_pause_ms(call: &CallContext) -> Option<u64> {
    let now = call.state.now();
    let roster = call.state.roster.borrow();
    let paused = roster
        .ready(&call.service)
        .map(|entry| entry.stats.limit.paused_for_ms(now));
    paused.filter(|paused_ms| *paused_ms > 0).min()
}
