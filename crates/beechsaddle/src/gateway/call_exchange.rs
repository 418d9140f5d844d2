//! The `call_exchange` module provides the life of one call, from its head to its final answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    AttemptHistory, GatewayConfig, LinkDirection, RequestFingerprint, RouteMatch, RouteRule,
    ServiceRule, WorkspaceRule,
};
use beechsaddle_core::prelude::*;
use beechsaddle_platform::CallHead;
use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::answer_body::AnswerBody;
use super::call_context::CallContext;
use super::call_record::CallRecord;
use super::crashes::{CrashAdmission, admit_request};
use super::gateway_state::{GatewayPhase, GatewayState};
use super::plain_exchange::serve_plain;
use super::refusal::RefusalCause;
use super::stream_exchange::serve_stream;
use super::token_reservation::TokenReservation;

/// How long a body may take, in milliseconds, where the caller's deadline leaves more.
const BODY_MS: u64 = 10_000;

/// A call that the router answers by itself.
struct CallRefused {
    cause: RefusalCause,
    message: String,
}

impl CallRefused {
    fn new(cause: RefusalCause, message: impl Into<String>) -> Self {
        CallRefused {
            cause,
            message: message.into(),
        }
    }
}

/// What the configuration says of a call.
struct CallPlace {
    config: Rc<GatewayConfig>,
    route: Arc<RouteRule>,
    workspace: Option<Arc<WorkspaceRule>>,
}

/// Serves one call.
pub(super) async fn serve_call(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let record = CallRecord::start(&state);
    let (parts, body) = request.into_parts();
    let checked = check_head(&state, &parts, &record);
    let admitted = checked.and_then(|found| refuse_behind_link(&state).map(|()| found));
    let mut response = match admitted {
        Ok((head, place)) => serve_checked(&state, parts, body, head, place, record).await,
        Err(refused) => refuse(&record, &refused),
    };
    // Callers go elsewhere with their next request, before the connection is closed.
    if state.phase() >= GatewayPhase::Leaving || state.has_left_rotation() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn serve_checked(
    state: &Rc<GatewayState>,
    parts: Parts,
    body: Incoming,
    head: CallHead,
    place: CallPlace,
    record: CallRecord,
) -> Response<AnswerBody> {
    match read_call(state, parts, body, head, place, record).await {
        Ok(call) => serve_read(Rc::new(call)).await,
        Err((record, refused)) => refuse(&record, &refused),
    }
}

async fn serve_read(call: Rc<CallContext>) -> Response<AnswerBody> {
    let state = &call.state;
    if let Some(refusal) = refuse_crashing(&call) {
        return refusal;
    }
    state
        .retries
        .borrow_mut()
        .record_request(state.now(), &call.service);
    let reservation = match reserve(&call).await {
        Ok(reservation) => reservation,
        Err(cause) => {
            call.record.refuse(cause);
            return cause.response("the workspace's tokens do not cover the request now");
        }
    };
    if call.left_ms() == 0 {
        call.record.refuse(RefusalCause::TooLate);
        return RefusalCause::TooLate.response("the deadline is over");
    }
    match call.route.kind.is_stream() {
        true => serve_stream(call, reservation).await,
        false => {
            // A plain answer does not tell its tokens: the call counts as the most it may use.
            if let Some(reservation) = &reservation {
                reservation.note_delivered(u64::MAX);
            }
            let response = serve_plain(&call).await;
            if let Some(reservation) = &reservation
                && !call.history.borrow().may_have_run()
                && response.status() == http::StatusCode::SERVICE_UNAVAILABLE
            {
                reservation.undo_attempts();
            }
            response
        }
    }
}

/// Refuses a request that crashes targets, before any token is set aside for it.
fn refuse_crashing(call: &CallContext) -> Option<Response<AnswerBody>> {
    match admit_request(&call.state, call.fingerprint) {
        CrashAdmission::Admitted(trial) => {
            *call.trial.borrow_mut() = trial;
            None
        }
        CrashAdmission::Refused { retry_ms, targets } => {
            let fields = [
                ("fingerprint", call.fingerprint.to_string()),
                ("targets", targets),
                ("retry_ms", retry_ms.to_string()),
            ];
            call.record.decide("call_blocked", fields);
            let cause = RefusalCause::CrashesTargets;
            call.record.refuse(cause);
            Some(cause.response_after(retry_ms, "targets crash when they run this request"))
        }
    }
}

async fn reserve(call: &CallContext) -> Result<Option<TokenReservation>, RefusalCause> {
    let Some((workspace, bound)) = call.reservation_bound() else {
        return Ok(None);
    };
    let started = call.state.now();
    let reservation = TokenReservation::try_take(&call.state, workspace, bound).await;
    let waited_ms = call.state.now().since(started);
    call.state
        .metrics
        .reserve_s
        .observe(waited_ms as f64 / 1_000.0);
    call.record.note("tokens", bound.total());
    call.record.note("reserve_ms", waited_ms);
    log_reservation(call, workspace, bound.total(), reservation.as_ref().err());
    reservation.map(Some)
}

/// Logs whether a call got its tokens, with what was known of the total and how old that was.
fn log_reservation(
    call: &CallContext,
    workspace: &WorkspaceName,
    tokens: u64,
    refused: Option<&RefusalCause>,
) {
    let facts = call
        .state
        .escrow
        .borrow()
        .facts(call.state.now(), workspace);
    let mut fields = vec![
        ("workspace", workspace.to_string()),
        ("tokens", tokens.to_string()),
        (
            "outcome",
            refused
                .map_or("reserved", |cause| cause.as_str())
                .to_owned(),
        ),
    ];
    if let Some(facts) = facts {
        fields.push(("free", facts.free.to_string()));
        fields.push(("role", facts.role.as_str().to_owned()));
        fields.extend(facts.left.map(|left| ("left", left.to_string())));
        let age_ms = facts.ledger_age_ms;
        fields.extend(age_ms.map(|age_ms| ("ledger_age_ms", age_ms.to_string())));
    }
    call.record.decide("tokens_reserved", fields);
}

/// Turns a call away that this router would serve late, at a target that may have left: others serve it at once.
fn refuse_behind_link(state: &GatewayState) -> Result<(), CallRefused> {
    match state.is_behind_full_link() {
        true => Err(CallRefused::new(
            RefusalCause::LinkFull,
            "this router's link is full",
        )),
        false => Ok(()),
    }
}

fn check_head(
    state: &GatewayState,
    parts: &Parts,
    record: &CallRecord,
) -> Result<(CallHead, CallPlace), CallRefused> {
    let Some(config) = state.config() else {
        return Err(CallRefused::new(
            RefusalCause::NoConfig,
            "no configuration is known yet",
        ));
    };
    let head = CallHead::try_read(parts)
        .map_err(|fault| CallRefused::new(RefusalCause::BadHead, fault.to_string()))?;
    record.set_id(&head.request_id);
    record.note("config", config.version);
    let RouteMatch::Found(route) = config.find_route(&head.host, &head.path) else {
        return Err(CallRefused::new(
            RefusalCause::UnknownRoute,
            "no route takes this host and path",
        ));
    };
    record.note("route", &route.name);
    let workspace = find_workspace(&config, &route, &head)?;
    if let Some(rule) = &workspace {
        record.note("workspace", &rule.name);
    }
    let place = CallPlace {
        config,
        route,
        workspace,
    };
    Ok((head, place))
}

fn find_workspace(
    config: &GatewayConfig,
    route: &RouteRule,
    head: &CallHead,
) -> Result<Option<Arc<WorkspaceRule>>, CallRefused> {
    if !config.has_workspaces || route.is_open {
        return Ok(None);
    }
    let found = head.key.as_ref().and_then(|key| config.find_key(key));
    match found {
        Some(rule) => Ok(Some(Arc::clone(rule))),
        None => Err(CallRefused::new(
            RefusalCause::UnknownKey,
            "no workspace has this key",
        )),
    }
}

async fn read_call(
    state: &Rc<GatewayState>,
    parts: Parts,
    body: Incoming,
    head: CallHead,
    place: CallPlace,
    record: CallRecord,
) -> Result<CallContext, (CallRecord, CallRefused)> {
    let arrived_at = record.arrived_at();
    let body_max = place.config.limits.body_bytes;
    let span_ms = head.deadline_ms.unwrap_or(u64::MAX);
    let span_ms = span_ms.min(place.route.timeout_ms);
    let body = match read_body(body, body_max, span_ms.min(BODY_MS)).await {
        Ok(body) => body,
        Err(refused) => return Err((record, refused)),
    };
    state.record_message(LinkDirection::In, &body);
    let Some(service) = place.route.service_for(&head.request_id).cloned() else {
        let refused = CallRefused::new(RefusalCause::NoTarget, "the route has no service");
        return Err((record, refused));
    };
    record.note("service", &service);
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let workspace = place.workspace.as_ref();
    let caller = workspace.map_or("", |rule| rule.name.as_str());
    let fingerprint = RequestFingerprint::new(path, caller, &body);
    record.decide(
        "call_admitted",
        [
            ("config", place.config.version.to_string()),
            ("route", place.route.name.to_string()),
            ("service", service.to_string()),
            ("body_bytes", body.len().to_string()),
            ("fingerprint", fingerprint.to_string()),
            ("span_ms", span_ms.to_string()),
        ],
    );
    let plain = ServiceRule {
        is_engine: false,
        event_tokens: 1,
    };
    let rule = place.config.services.get(&service).cloned();
    Ok(CallContext {
        state: Rc::clone(state),
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        fingerprint,
        route: place.route,
        service,
        rule: rule.unwrap_or(plain),
        workspace: place.workspace,
        ends_at: arrived_at.plus_ms(span_ms),
        history: RefCell::new(AttemptHistory::default()),
        tried: RefCell::new(Vec::new()),
        trial: RefCell::default(),
        record,
    })
}

async fn read_body(body: Incoming, body_max: usize, span_ms: u64) -> Result<Bytes, CallRefused> {
    let reading = Limited::new(body, body_max).collect();
    match timeout(Duration::from_millis(span_ms), reading).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(CallRefused::new(
            RefusalCause::BodyTooLarge,
            format!("at most {body_max} bytes are taken"),
        )),
        Ok(Err(error)) => Err(CallRefused::new(
            RefusalCause::BadHead,
            format!("the body cannot be read: {error}"),
        )),
        Err(_) => Err(CallRefused::new(
            RefusalCause::BodyTimeout,
            "the body did not come in time",
        )),
    }
}

fn refuse(record: &CallRecord, refused: &CallRefused) -> Response<AnswerBody> {
    record.note("why", &refused.message);
    record.refuse(refused.cause);
    refused.cause.response(&refused.message)
}
