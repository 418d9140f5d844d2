//! The `call_checks` module provides the checks of a call before its body is read.

use std::rc::Rc;
use std::sync::Arc;

use beechsaddle_core::gateway::{
    CallUrgency, GatewayConfig, RoomRequest, RouteMatch, RouteRule, WorkspaceRule,
};
use beechsaddle_core::prelude::*;
use beechsaddle_platform::CallHead;
use http::request::Parts;

use super::call_record::CallRecord;
use super::gateway_state::{GatewayPhase, GatewayState};
use super::refusal::RefusalCause;

/// A refusal that the router itself answers with.
pub(super) struct CallRefusal {
    pub(super) cause: RefusalCause,
    pub(super) message: String,
    /// When the caller should come back, in milliseconds; `None` if the cause says so.
    pub(super) retry_ms: Option<u64>,
}

impl CallRefusal {
    pub(super) fn new(cause: RefusalCause, message: impl Into<String>) -> Self {
        CallRefusal {
            cause,
            message: message.into(),
            retry_ms: None,
        }
    }
}

/// The configuration that applies to a call.
pub(super) struct CallRules {
    pub(super) config: Rc<GatewayConfig>,
    pub(super) route: Arc<RouteRule>,
    pub(super) workspace: Option<Arc<WorkspaceRule>>,
}

impl CallRules {
    /// Returns the call's priority: the workspace's if it sets one, else the route's.
    pub(super) fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|rule| rule.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns the time that a call may take: up to its deadline or its route's timeout.
    pub(super) fn timeout_ms(&self, head: &CallHead) -> u64 {
        let deadline_ms = head.deadline_ms.unwrap_or(u64::MAX);
        deadline_ms.min(self.route.timeout_ms)
    }

    /// Returns the urgency of a call.
    fn urgency(&self) -> CallUrgency {
        let priority = self.workspace.as_ref().and_then(|rule| rule.priority);
        CallUrgency(priority.unwrap_or(self.route.priority))
    }
}

/// Refuses calls while changes of targets arrive late over this router's saturated link: the call
/// would be late and might go to a target that has left, while other routers can serve it at once.
pub(super) fn refuse_behind_full_link(state: &GatewayState) -> Result<(), CallRefusal> {
    match state.is_behind_full_link() {
        true => Err(CallRefusal::new(
            RefusalCause::LinkFull,
            "this router's link is full",
        )),
        false => Ok(()),
    }
}

/// Refuses calls whose announced body is too large, before any of it is read. `body_bytes` is the size of the
/// body as far as it is known.
pub(super) fn refuse_oversized(state: &GatewayState, body_bytes: u64) -> Result<(), CallRefusal> {
    let body_max = state.caller_limits().body_bytes;
    match body_bytes > body_max as u64 {
        true => Err(oversized_refusal(body_max)),
        false => Ok(()),
    }
}

/// Returns the refusal of a body of more than `body_max` bytes.
pub(super) fn oversized_refusal(body_max: usize) -> CallRefusal {
    let message = format!("at most {body_max} bytes are taken");
    CallRefusal::new(RefusalCause::BodyTooLarge, message)
}

/// Refuses calls that exceed this router's short link, the less urgent and large ones first: other
/// routers can serve them at once. `body_bytes` is the size of the body as far as it is known.
pub(super) fn refuse_without_room(
    state: &GatewayState,
    rules: &CallRules,
    body_bytes: u64,
) -> Result<(), CallRefusal> {
    let request = RoomRequest {
        urgency: rules.urgency(),
        is_stream: rules.route.kind.is_stream(),
        body_bytes,
    };
    match state.has_room(request) {
        true => Ok(()),
        false => Err(CallRefusal::new(
            RefusalCause::LinkShort,
            "this router's link is short",
        )),
    }
}

/// Refuses calls that are read after the drain of a shutdown and that its end may cut. Another router
/// can serve them whole. `ends_at` is when a call ends at the latest.
pub(super) fn refuse_in_shutdown(
    state: &GatewayState,
    rules: &CallRules,
    ends_at: ClockTime,
) -> Result<(), CallRefusal> {
    let calls_end_at = state.calls_end_at.get();
    let has_time = calls_end_at.is_none_or(|calls_end_at| ends_at < calls_end_at);
    let is_refused = match state.phase() {
        GatewayPhase::Serving | GatewayPhase::Leaving => false,
        // Plain calls get a response even if they do not end in time; a stream that has begun cannot.
        GatewayPhase::Closing => rules.route.kind.is_stream() && !has_time,
        GatewayPhase::Ending => true,
    };
    match is_refused {
        true => Err(CallRefusal::new(
            RefusalCause::ShuttingDown,
            "this router shuts down",
        )),
        false => Ok(()),
    }
}

/// Reads the head of a call and finds the rules that apply to it.
///
/// # Errors
///
/// A [`CallRefusal`]; nothing of the body was read.
pub(super) fn check_head(
    state: &GatewayState,
    parts: &Parts,
    record: &CallRecord,
) -> Result<(CallHead, CallRules), CallRefusal> {
    let Some(config) = state.config() else {
        return Err(CallRefusal::new(
            RefusalCause::NoConfig,
            "no configuration is known yet",
        ));
    };
    if !state.evacuations.borrow().is_known() {
        return Err(CallRefusal::new(
            RefusalCause::NoConfig,
            "no evacuations are known yet",
        ));
    }
    check_head_size(state, parts)?;
    let head = CallHead::try_read(parts)
        .map_err(|fault| CallRefusal::new(RefusalCause::BadHead, fault.to_string()))?;
    record.set_id(&head.request_id);
    record.add_field("config", config.version);
    let RouteMatch::Found(route) = config.find_route(&head.host, &head.path) else {
        return Err(deny(
            state,
            RefusalCause::UnknownRoute,
            "no route takes this host and path",
        ));
    };
    record.add_field("route", &route.name);
    let workspace = find_workspace(state, &config, &route, &head)?;
    if let Some(rule) = &workspace {
        record.add_field("workspace", &rule.name);
    }
    let rules = CallRules {
        config,
        route,
        workspace,
    };
    Ok((head, rules))
}

/// Refuses heads that are larger than any version allows that callers may go by. The HTTP connection
/// has a limit of its own, which has to allow what later versions may.
fn check_head_size(state: &GatewayState, parts: &Parts) -> Result<(), CallRefusal> {
    let head_max = state.caller_limits().head_bytes;
    match head_bytes(parts) > head_max {
        true => Err(CallRefusal::new(
            RefusalCause::HeadTooLarge,
            format!("at most {head_max} bytes are taken"),
        )),
        false => Ok(()),
    }
}

/// Returns the size of a head without optional white space, in bytes.
fn head_bytes(parts: &Parts) -> usize {
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let first_line = parts.method.as_str().len() + path.len() + "  HTTP/1.1\r\n".len();
    let lines = parts.headers.iter().map(|(name, value)| {
        let separators = ":\r\n".len();
        name.as_str().len() + value.len() + separators
    });
    first_line + lines.sum::<usize>() + "\r\n".len()
}

/// Refuses a call that the known configuration does not allow. Callers take that for final, so a router
/// that may lack a newer version only says that the call was not run.
fn deny(state: &GatewayState, cause: RefusalCause, message: &str) -> CallRefusal {
    match state.knows_config() {
        true => CallRefusal::new(cause, message),
        false => CallRefusal::new(
            RefusalCause::ConfigUnconfirmed,
            "this router may lack the newest configuration",
        ),
    }
}

fn find_workspace(
    state: &GatewayState,
    config: &GatewayConfig,
    route: &RouteRule,
    head: &CallHead,
) -> Result<Option<Arc<WorkspaceRule>>, CallRefusal> {
    if !config.has_workspaces || route.is_open {
        return Ok(None);
    }
    let found = head.key.as_ref().and_then(|key| config.find_key(key));
    match found {
        Some(rule) => Ok(Some(Arc::clone(rule))),
        None => Err(deny(
            state,
            RefusalCause::UnknownKey,
            "no workspace has this key",
        )),
    }
}
