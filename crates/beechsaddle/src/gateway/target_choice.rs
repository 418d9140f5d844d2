//! The `target_choice` module provides the choice of a target for a call, and the answer where there is none.

use beechsaddle_core::gateway::{ChoiceInput, TargetChoice, TargetRecord, choose_target};
use http::Response;

use super::answer_body::AnswerBody;
use super::call_context::CallContext;
use super::limits::ask_place;
use super::refusal::RefusalCause;

/// Chooses a target, and asks for a place where it has a limit. While there is none the target is left out, so that
/// the next choice is another one; `None` where no target is left.
pub(super) async fn choose_place(call: &CallContext) -> Option<(TargetChoice, TargetRecord)> {
    loop {
        let (choice, target) = choose(call)?;
        if ask_place(&call.state, &target).await {
            return Some((choice, target));
        }
        let fields = [("target", target.name.to_string())];
        call.record.decide("place_refused", fields);
        if call.left_ms() == 0 {
            return None;
        }
    }
}

/// Chooses a target among those that were not tried; when all were, among all.
fn choose(call: &CallContext) -> Option<(TargetChoice, TargetRecord)> {
    let state = &call.state;
    // Its link may have filled up while the call waited or was tried.
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
    let again = ChoiceInput {
        tried: &[],
        ..input
    };
    let now = state.now();
    let choice =
        choose_target(&roster, now, input).or_else(|| choose_target(&roster, now, again))?;
    let record = roster.get(&choice.target)?.record.clone();
    Some((choice, record))
}

/// Why there is no target to send to.
pub(super) fn no_target_cause(call: &CallContext) -> RefusalCause {
    match call.history.borrow().may_have_run() {
        true => RefusalCause::OutcomeUnknown,
        false if call.state.is_behind_full_link() => RefusalCause::LinkFull,
        false if least_pause_ms(call).is_some() => RefusalCause::TargetsLimited,
        false => RefusalCause::NoTarget,
    }
}

/// The router's own final answer to a call that no target answers.
pub(super) fn refuse_call(
    call: &CallContext,
    cause: RefusalCause,
    message: &str,
) -> Response<AnswerBody> {
    call.record.refuse(cause);
    match least_pause_ms(call) {
        Some(pause_ms) if cause == RefusalCause::TargetsLimited => {
            cause.response_after(pause_ms, message)
        }
        Some(_) | None => cause.response(message),
    }
}

/// Notes where a call goes and why.
pub(super) fn note_choice(call: &CallContext, choice: &TargetChoice) {
    call.record.note("target", &choice.target);
    call.record.note("cost", choice.cost as u64);
    call.record.note("home", choice.is_affinity_target);
    call.record.note("of", choice.candidates);
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
    call.record.decide("call_placed", fields);
    call.record.note_sent();
}

/// When the first target of the call's service takes a request again, in milliseconds; `None` where none of them
/// is left out for its limit.
fn least_pause_ms(call: &CallContext) -> Option<u64> {
    let now = call.state.now();
    let roster = call.state.roster.borrow();
    let paused = roster
        .ready(&call.service)
        .map(|entry| entry.stats.limit.paused_for_ms(now));
    paused.filter(|paused_ms| *paused_ms > 0).min()
}
