//! The `target_choice` module provides the choice of a target for a call, and the refusal if there
//! is none.

use beechsaddle_core::gateway::{
    ChoiceInput, TargetChoice, TargetRecord, TargetRoster, WarmUpPlan, choose_target,
};
use beechsaddle_core::hash::rendezvous_weight;
use beechsaddle_core::names::TargetName;
use http::Response;

use super::answer_body::AnswerBody;
use super::call_context::CallContext;
use super::limits::request_permit;
use super::refusal::RefusalCause;
use super::speed_steps::refresh_steps;

/// Maximum number of targets that the record of a refusal names: enough to find their own lines.
const NAMED_TARGETS_MAX: usize = 8;
/// The time over which callers return after the end of a rest, in milliseconds: a router with some
/// dozens of calls a second hands on a few of them at once.
const RETURN_SPAN_MS: u64 = 500;

/// Chooses a target and, if it has a rate limit, obtains a permit for it. A target without a permit
/// is excluded for a while, so that the next choice differs. Returns `None` if no target is left.
pub(super) async fn choose_permitted_target(
    call: &CallContext,
) -> Option<(TargetChoice, TargetRecord)> {
    loop {
        let (choice, target) = choose(call)?;
        if request_permit(&call.state, &target).await {
            // It may have asked for rest while the call waited for the permit.
            if call.state.is_resting(&target) {
                continue;
            }
            return Some((choice, target));
        }
        let fields = [("target", target.name.to_string())];
        call.record.log_decision("place_refused", fields);
        if call.remaining_ms() == 0 {
            return None;
        }
    }
}

/// Whether there is a target for one more attempt of a call.
pub(super) fn has_candidate(call: &CallContext) -> bool {
    find_choice(call).is_some()
}

/// Chooses a target and counts the request in its slow start.
fn choose(call: &CallContext) -> Option<(TargetChoice, TargetRecord)> {
    refresh_steps(&call.state);
    let choice = find_choice(call)?;
    let (state, now) = (&call.state, call.state.now());
    let mut roster = state.roster.borrow_mut();
    let entry = roster.get_mut(&choice.target)?;
    if let Some(rule) = call.rule.warm_up {
        entry.stats.warm_up.record(now, rule.share());
    }
    Some((choice, entry.record.clone()))
}

/// Finds a target among those that were not tried yet, or among all once every one was tried. While
/// an attempt of the call is open, its target may still answer, and none is tried again.
fn find_choice(call: &CallContext) -> Option<TargetChoice> {
    let state = &call.state;
    // The router's link may have become saturated while the call waited or was tried.
    if state.is_behind_full_link() {
        return None;
    }
    let open = call.open.targets();
    let mut tried = call.tried.borrow().clone();
    tried.extend_from_slice(&open);
    let now = state.now();
    with_input(call, &tried, |roster, input| {
        let untried = choose_target(roster, now, input);
        if untried.is_some() || !open.is_empty() {
            return untried;
        }
        let input = ChoiceInput {
            tried: &[],
            ..input
        };
        choose_target(roster, now, input)
    })
}

/// Calls `decide` with the known targets and the inputs of a choice for a call.
fn with_input<T>(
    call: &CallContext,
    tried: &[TargetName],
    decide: impl FnOnce(&TargetRoster, ChoiceInput<'_>) -> T,
) -> T {
    let state = &call.state;
    let settings = state.settings();
    let roster = state.roster.borrow();
    let evacuations = state.evacuations.borrow();
    let ring = state.lending.ring.borrow();
    let suspect = call.isolation_key().map(|key| key.to_string());
    let warm_up = call.rule.warm_up.map(|rule| WarmUpPlan {
        rule,
        ring: &ring,
        knows_routers: state.lending.are_roles_enabled(),
    });
    let version = call.version.borrow();
    let input = ChoiceInput {
        service: &call.service,
        version: version.as_ref(),
        is_engine: call.rule.is_engine,
        domain: &settings.domain,
        prompt: &call.head.prompt,
        request_id: &call.head.request_id,
        tried,
        runs_once: !call.route.kind.may_repeat(),
        suspect: suspect.as_deref(),
        evacuations: &evacuations,
        warm_up,
        routers: ring.router_count(),
        policy: settings.policy,
    };
    decide(&roster, input)
}

/// Returns why there is no target to send to.
pub(super) fn no_target_cause(call: &CallContext) -> RefusalCause {
    if call.history.borrow().may_have_run() {
        return RefusalCause::OutcomeUnknown;
    }
    if call.state.is_behind_full_link() {
        return RefusalCause::LinkFull;
    }
    if is_version_gone(call) {
        return RefusalCause::VersionGone;
    }
    match shortest_pause(call) {
        Some(TargetPause::Limited { .. }) => RefusalCause::TargetsLimited,
        Some(TargetPause::Cold { .. }) => RefusalCause::TargetsCold,
        Some(TargetPause::Resting { .. }) => {
            call.record.add_field("resting", resting_targets(call));
            RefusalCause::TargetsResting
        }
        None if is_evacuated(call) => {
            let evacuations = call.state.evacuations.borrow();
            let domains: Vec<_> = evacuations
                .in_force()
                .map(|(domain, _)| domain.as_str())
                .collect();
            call.record.add_field("evacuated", domains.join(","));
            RefusalCause::TargetsEvacuated
        }
        None => match record_leaving_targets(call) {
            true => RefusalCause::TargetsLeaving,
            false => RefusalCause::NoTarget,
        },
    }
}

/// Records the targets of the service that leave if no other one accepts requests; returns whether
/// there are any.
fn record_leaving_targets(call: &CallContext) -> bool {
    let roster = call.state.roster.borrow();
    if roster.ready(&call.service).next().is_some() {
        return false;
    }
    let names = roster.leaving(&call.service);
    let names = names.map(|entry| entry.record.name.as_str());
    let names: Vec<_> = names.take(NAMED_TARGETS_MAX).collect();
    if names.is_empty() {
        return false;
    }
    call.record.add_field("leaving", names.join(","));
    true
}

/// Refuses a call whose targets all rest, before anything is reserved for it.
pub(super) fn refuse_resting(call: &CallContext) -> Option<Response<AnswerBody>> {
    let state = &call.state;
    if !state.roster.borrow().rests.has_any(state.now()) {
        return None;
    }
    let is_resting = matches!(shortest_pause(call), Some(TargetPause::Resting { .. }));
    if !is_resting || has_candidate(call) {
        return None;
    }
    let cause = no_target_cause(call);
    Some(refuse_call(call, cause, "all targets rest"))
}

/// Refuses a call that no target answered.
pub(super) fn refuse_call(
    call: &CallContext,
    cause: RefusalCause,
    message: &str,
) -> Response<AnswerBody> {
    call.record.record_refusal(cause);
    match (cause, shortest_pause(call)) {
        (RefusalCause::TargetsLimited, Some(TargetPause::Limited { pause_ms }))
        | (RefusalCause::TargetsCold, Some(TargetPause::Cold { pause_ms })) => {
            cause.response_after(pause_ms, message)
        }
        (RefusalCause::TargetsResting, Some(TargetPause::Resting { pause_ms })) => {
            let retry_ms = pause_ms.saturating_add(return_delay_ms(call));
            cause.response_after(retry_ms, message)
        }
        _ => cause.response(message),
    }
}

/// Returns how long after the end of a rest a caller returns, so that those that wait for it do not
/// return in the same instant.
fn return_delay_ms(call: &CallContext) -> u64 {
    rendezvous_weight(&call.head.request_id, "rest") % RETURN_SPAN_MS
}

fn resting_targets(call: &CallContext) -> String {
    let now = call.state.now();
    let names = with_input(call, &[], |roster, input| {
        let eligible = input.eligible(roster);
        let resting = eligible.filter(|entry| input.rest_wait_ms(roster, entry, now) > 0);
        let names = resting.map(|entry| entry.record.name.to_string());
        names.take(NAMED_TARGETS_MAX).collect::<Vec<_>>()
    });
    names.join(",")
}

/// Records the chosen target and the reasons.
pub(super) fn record_choice(call: &CallContext, choice: &TargetChoice, target: &TargetRecord) {
    call.record.add_field("target", &choice.target);
    call.record.add_field("cost", choice.cost as u64);
    call.record.add_field("home", choice.is_affinity_target);
    call.record.add_field("of", choice.candidates);
    call.record.add_field("speed", choice.speed_step.as_str());
    call.record.add_field("version", &target.version);
    let name = &choice.target;
    let roster = call.state.roster.borrow();
    let active = roster.get(name).map(|entry| entry.stats.active);
    let fields = [
        ("target", name.to_string()),
        ("version", target.version.to_string()),
        ("cost", (choice.cost as u64).to_string()),
        ("home", choice.is_affinity_target.to_string()),
        ("of", choice.candidates.to_string()),
        ("active", active.unwrap_or(0).to_string()),
        ("store_age_ms", call.state.store_age_ms().to_string()),
    ];
    call.record.log_decision("call_placed", fields);
    call.record.record_attempt_start(call.state.now());
}

/// Why a ready target gets no request at present, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetPause {
    /// It has reached its rate limit.
    Limited { pause_ms: u64 },
    /// It is cold, and has received this router's part of its requests.
    Cold { pause_ms: u64 },
    /// It has asked for rest, or has just rested and its slots are taken.
    Resting { pause_ms: u64 },
}

impl TargetPause {
    fn pause_ms(self) -> u64 {
        match self {
            TargetPause::Limited { pause_ms }
            | TargetPause::Cold { pause_ms }
            | TargetPause::Resting { pause_ms } => pause_ms,
        }
    }
}

/// Returns the pause that ends first among the targets of the service; `None` if there is none.
fn shortest_pause(call: &CallContext) -> Option<TargetPause> {
    let now = call.state.now();
    with_input(call, &[], |roster, input| {
        let allowed = input
            .eligible(roster)
            .filter(|entry| input.evacuations.allows(&entry.record.domain));
        let pauses = allowed.filter_map(|entry| {
            let pauses = [
                TargetPause::Resting {
                    pause_ms: input.rest_wait_ms(roster, entry, now),
                },
                TargetPause::Cold {
                    pause_ms: input.warm_up_wait_ms(entry, now),
                },
                TargetPause::Limited {
                    pause_ms: entry.stats.limit.paused_for_ms(now),
                },
            ];
            // The last of several that are equally long counts.
            let longest = pauses.into_iter().max_by_key(|pause| pause.pause_ms());
            longest.filter(|pause| pause.pause_ms() > 0)
        });
        pauses.min_by_key(|pause| pause.pause_ms())
    })
}

/// Whether the call continues a stream, and no target of the version that began it accepts requests.
fn is_version_gone(call: &CallContext) -> bool {
    with_input(call, &[], |roster, input| {
        input.version.is_some() && input.eligible(roster).next().is_none()
    })
}

/// Whether the service has ready targets, all of them in domains that are evacuated.
fn is_evacuated(call: &CallContext) -> bool {
    with_input(call, &[], |roster, input| {
        let mut ready = input.eligible(roster).peekable();
        let has_targets = ready.peek().is_some();
        has_targets && ready.all(|entry| !input.evacuations.allows(&entry.record.domain))
    })
}
