//! The `call_exchange` module provides the handling of one call, from its head to its final
//! response.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    AttemptHistory, CallUrgency, LinkDirection, RefusedCaller, ReturnCause, RouteRule, ServiceRule,
    SuspectKey,
};
use beechsaddle_core::hash::stable_hash;
use beechsaddle_core::prelude::*;
use beechsaddle_platform::CallHead;
use http::header::{CONNECTION, EXPECT, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::answer_body::AnswerBody;
use super::call_checks::{
    CallRefusal, CallRules, check_head, oversized_refusal, refuse_behind_full_link,
    refuse_in_shutdown, refuse_oversized, refuse_without_room,
};
use super::call_context::CallContext;
use super::call_record::CallRecord;
use super::caller_connection::RequestArrival;
use super::caller_slots::CallerSlot;
use super::crashes::refuse_crashing;
use super::gateway_state::{GatewayPhase, GatewayState};
use super::known_refusals::{TokenRefusal, count_refusal, return_ms};
use super::origins::check_resume;
use super::plain_exchange::serve_plain;
use super::refusal::RefusalCause;
use super::request_body::{BodyFault, read_request};
use super::stream_exchange::serve_stream;
use super::target_choice::refuse_resting;
use super::token_reservation::TokenReservation;
use crate::calls::LingerBytes;

/// Maximum time to read a request body, in milliseconds, if the caller's deadline allows more.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Maximum size of a refused body that is read to keep its connection, in bytes: most requests have
/// smaller ones, and a new connection costs more than reading them.
const DISCARD_BYTES_MAX: usize = 65_536;

/// Maximum time to read a refused body: it has mostly arrived with its head.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

pub(super) async fn serve_call(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
    arrival: RequestArrival,
    slot: &CallerSlot,
) -> Response<AnswerBody> {
    let record = CallRecord::start(&state, arrival);
    let (parts, body) = request.into_parts();
    let checked = check_head(&state, &parts, &record);
    let admitted = checked.and_then(|(head, rules)| {
        refuse_oversized(&state, body.size_hint().lower())?;
        refuse_behind_full_link(&state).map_err(|refusal| CallRefusal {
            retry_ms: full_link_return_ms(&state, &head, &rules),
            ..refusal
        })?;
        let ends_at = record.arrived_at().plus_ms(rules.timeout_ms(&head));
        refuse_in_shutdown(&state, &rules, ends_at)?;
        refuse_without_room(&state, &rules, body.size_hint().lower())?;
        match slot.try_start_call() {
            true => Ok((head, rules)),
            false => Err(CallRefusal::new(
                RefusalCause::MemoryFull,
                "this router has no memory left for the call",
            )),
        }
    });
    let mut response = match admitted {
        Ok((head, rules)) => serve_checked(&state, parts, body, head, rules, record, slot).await,
        Err(refusal) => refuse_unread(&state, &record, &refusal, &parts, body).await,
    };
    // Makes callers send their next request elsewhere before this connection is closed.
    if state.phase() >= GatewayPhase::Leaving || state.has_left_rotation() {
        announce_close(&mut response);
    }
    response
}

/// Returns when the caller of a call that is refused behind a full link should come back. Its body was not
/// read, so the id of this attempt spreads its return.
fn full_link_return_ms(state: &GatewayState, head: &CallHead, rules: &CallRules) -> Option<u64> {
    let caller = RefusedCaller {
        urgency: CallUrgency(rules.priority()),
        left_ms: Some(rules.timeout_ms(head)),
        spread: stable_hash(&head.request_id),
    };
    return_ms(state, ReturnCause::LinkFull, caller)
}

/// Marks a response to a request that is not read to its end. Its connection has to be read on after
/// the response, or a reset takes the response from its caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnreadRequest {
    /// How much of the rest is read.
    pub(super) linger_bytes: LingerBytes,
}

fn leave_unread(response: &mut Response<AnswerBody>, linger_bytes: LingerBytes) {
    announce_close(response);
    let unread = UnreadRequest { linger_bytes };
    response.extensions_mut().insert(unread);
}

/// Announces that the connection ends with the response.
fn announce_close(response: &mut Response<AnswerBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

async fn serve_checked(
    state: &Rc<GatewayState>,
    parts: Parts,
    body: Incoming,
    head: CallHead,
    rules: CallRules,
    record: CallRecord,
    slot: &CallerSlot,
) -> Response<AnswerBody> {
    let linger_bytes = linger_bytes(state, &body);
    match read_call(state, parts, body, head, rules, record, slot).await {
        Ok(call) => serve_read(Rc::new(call)).await,
        Err((record, refusal)) => {
            let mut response = refuse(&record, &refusal);
            if refusal.cause.leaves_body_unread() {
                leave_unread(&mut response, linger_bytes);
            }
            response
        }
    }
}

/// Serves a call to its final response, which comes at the end of a shutdown's grace period at the
/// latest.
async fn serve_read(call: Rc<CallContext>) -> Response<AnswerBody> {
    let ending = async {
        call.state.calls_ending().await;
        // Read here, as the attempts end with the call.
        call.all_attempts().may_have_run()
    };
    tokio::select! {
        biased;
        response = serve_admitted(Rc::clone(&call)) => response,
        may_have_run = ending => refuse_ending(&call, may_have_run),
    }
}

/// Refuses a call that has no response at the end of a shutdown's grace period.
fn refuse_ending(call: &CallContext, may_have_run: bool) -> Response<AnswerBody> {
    let cause = match may_have_run {
        true => RefusalCause::OutcomeUnknown,
        false => RefusalCause::ShuttingDown,
    };
    let message = "this router shuts down";
    call.record.add_field("why", message);
    call.record.record_refusal(cause);
    cause.response(message)
}

async fn serve_admitted(call: Rc<CallContext>) -> Response<AnswerBody> {
    let state = &call.state;
    if let Some(refusal) = refuse_resting(&call) {
        return refusal;
    }
    if let Some(refusal) = refuse_crashing(&call).await {
        return refusal;
    }
    state
        .retries
        .borrow_mut()
        .record_request(state.now(), &call.service);
    let reservation = match reserve(&call).await {
        Ok(reservation) => reservation,
        Err(refusal) => return refuse_tokens(&call, refusal),
    };
    if call.remaining_ms() == 0 {
        call.record.record_refusal(RefusalCause::TooLate);
        return RefusalCause::TooLate.response("the deadline is over");
    }
    match call.route.kind.is_stream() {
        true => serve_stream(call, reservation).await,
        false => {
            // A plain response does not report its tokens, so the call is charged the most it may
            // use.
            if let Some(reservation) = &reservation {
                reservation.record_delivered(u64::MAX);
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

/// Refuses a call that gets no tokens.
fn refuse_tokens(call: &CallContext, refusal: TokenRefusal) -> Response<AnswerBody> {
    let cause = refusal.cause;
    let message = "the workspace's tokens do not cover the request now";
    call.record.record_refusal(cause);
    let returning = refusal.return_cause;
    match returning.and_then(|cause| return_ms(&call.state, cause, call.refused_caller())) {
        Some(retry_ms) => {
            call.record.add_field("retry_ms", retry_ms);
            cause.response_after(retry_ms, message)
        }
        None => cause.response(message),
    }
}

async fn reserve(call: &CallContext) -> Result<Option<TokenReservation>, TokenRefusal> {
    let Some((workspace, bound)) = call.reservation_bound() else {
        return Ok(None);
    };
    let started = call.state.now();
    // The calls that compete for a workspace's tokens are its own, and differ by their routes only.
    let urgency = CallUrgency(call.route.priority);
    let reservation = TokenReservation::try_take(&call.state, workspace, urgency, bound).await;
    let waited_ms = call.state.now().since(started);
    call.state
        .metrics
        .reserve_s
        .observe(waited_ms as f64 / 1_000.0);
    call.record.add_field("tokens", bound.total());
    call.record.add_field("reserve_ms", waited_ms);
    if let Err(refusal) = &reservation {
        count_refusal(&call.state, refusal);
        call.record.add_field("shortage", refusal.shortage());
        call.record.add_field("known", refusal.known.is_some());
    }
    log_reservation(call, workspace, bound.total(), reservation.as_ref().err());
    reservation.map(Some)
}

/// Logs the outcome of a reservation, with the known state of the workspace's total and the age of
/// the ledger copy.
fn log_reservation(
    call: &CallContext,
    workspace: &WorkspaceName,
    tokens: u64,
    refusal: Option<&TokenRefusal>,
) {
    let facts = call
        .state
        .escrow
        .borrow()
        .facts(call.state.now(), workspace);
    let mut fields = vec![
        ("workspace", workspace.to_string()),
        ("tokens", tokens.to_string()),
        ("urgency", call.route.priority.to_string()),
        (
            "outcome",
            refusal
                .map_or("reserved", |refusal| refusal.cause.as_str())
                .to_owned(),
        ),
    ];
    if let Some(refusal) = refusal {
        fields.push(("shortage", refusal.shortage().to_owned()));
        fields.push(("known", refusal.known.is_some().to_string()));
    }
    if let Some(facts) = facts {
        fields.push(("free", facts.free.to_string()));
        fields.push(("role", facts.role.as_str().to_owned()));
        fields.extend(facts.left.map(|left| ("left", left.to_string())));
        let age_ms = facts.ledger_age_ms;
        fields.extend(age_ms.map(|age_ms| ("ledger_age_ms", age_ms.to_string())));
    }
    call.record.log_decision("tokens_reserved", fields);
}

async fn read_call(
    state: &Rc<GatewayState>,
    parts: Parts,
    body: Incoming,
    head: CallHead,
    rules: CallRules,
    record: CallRecord,
    slot: &CallerSlot,
) -> Result<CallContext, (CallRecord, CallRefusal)> {
    let arrived_at = record.arrived_at();
    let body_max = state.caller_limits().body_bytes;
    let timeout_ms = rules.timeout_ms(&head);
    let ends_at = arrived_at.plus_ms(timeout_ms);
    let workspace = rules.workspace.as_ref().map(|rule| rule.name.clone());
    let share = state.request_memory.share(workspace);
    let left = Duration::from_millis(timeout_ms.min(BODY_TIMEOUT_MS));
    let (body, body_share) = match read_request(body, share, slot, body_max, left).await {
        Ok(read) => read,
        Err(fault) => return Err((record, body_refusal(fault, body_max))),
    };
    slot.record_request();
    // The body may have come in a later phase than the head.
    if let Err(refusal) = refuse_in_shutdown(state, &rules, ends_at) {
        return Err((record, refusal));
    }
    state.record_message(LinkDirection::In, body.len());
    let (service, version) = match find_service(state, &record, &rules.route, &head).await {
        Ok(found) => found,
        Err(refusal) => return Err((record, refusal)),
    };
    record.add_field("service", &service);
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let workspace = rules.workspace.as_ref();
    let caller = workspace.map_or("", |rule| rule.name.as_str());
    let fingerprint = SuspectKey::for_request(path, caller, &body);
    let mut fields = vec![
        ("config", rules.config.version.to_string()),
        ("route", rules.route.name.to_string()),
        ("service", service.to_string()),
        ("body_bytes", body.len().to_string()),
        ("fingerprint", fingerprint.to_string()),
        ("span_ms", timeout_ms.to_string()),
    ];
    let shared = SuspectKey::for_shared_parts(&head.prompt);
    if !shared.is_empty() {
        fields.push(("parts", join_keys(&shared)));
    }
    let mut suspects = vec![fingerprint];
    suspects.extend(shared);
    let last_event = head.last_event.map(|event| event.to_string());
    fields.extend(last_event.map(|event| ("last_event", event)));
    fields.extend(head.resumes.clone().map(|id| ("resumes", id)));
    if state.phase() >= GatewayPhase::Leaving {
        fields.extend(shutdown_fields(state, record.arrival()));
    }
    record.log_decision("call_admitted", fields);
    let plain = ServiceRule {
        is_engine: false,
        event_tokens: 1,
        warm_up: None,
    };
    let rule = rules.config.services.get(&service).cloned();
    Ok(CallContext {
        state: Rc::clone(state),
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        _body_share: body_share,
        fingerprint,
        suspects,
        route: rules.route,
        service,
        version: RefCell::new(version),
        rule: rule.unwrap_or(plain),
        workspace: rules.workspace,
        ends_at,
        history: RefCell::new(AttemptHistory::default()),
        open: Rc::default(),
        tried: RefCell::new(Vec::new()),
        trials: RefCell::default(),
        record,
    })
}

/// Tells how a call that is admitted in a shutdown arrived: late or held up, on which connection.
fn shutdown_fields(state: &GatewayState, arrival: RequestArrival) -> [(&'static str, String); 4] {
    [
        ("phase", state.phase().as_str().to_owned()),
        ("connection_ms", arrival.connection_ms.to_string()),
        ("earlier_requests", arrival.earlier_requests.to_string()),
        ("head_ms", arrival.head_ms.to_string()),
    ]
}

fn join_keys(keys: &[SuspectKey]) -> String {
    let keys: Vec<_> = keys.iter().map(ToString::to_string).collect();
    keys.join(",")
}

/// Returns the service of a call and, if the call resumes a stream, the software version that began
/// the stream.
async fn find_service(
    state: &Rc<GatewayState>,
    record: &CallRecord,
    route: &RouteRule,
    head: &CallHead,
) -> Result<(ServiceName, Option<SoftwareVersion>), CallRefusal> {
    let Some(service) = route.service_for(&head.request_id) else {
        let cause = RefusalCause::NoTarget;
        return Err(CallRefusal::new(cause, "the route has no service"));
    };
    match check_resume(state, record, route, head, service).await {
        Ok(Some(origin)) => Ok((origin.service, Some(origin.version))),
        Ok(None) => Ok((service.clone(), None)),
        Err(cause) => Err(CallRefusal::new(cause, "the stream cannot be resumed now")),
    }
}

fn body_refusal(fault: BodyFault, body_max: usize) -> CallRefusal {
    match fault {
        BodyFault::TooLarge => oversized_refusal(body_max),
        BodyFault::Unreadable(error) => CallRefusal::new(
            RefusalCause::BadHead,
            format!("the body cannot be read: {error}"),
        ),
        BodyFault::TimedOut => {
            CallRefusal::new(RefusalCause::BodyTimeout, "the body did not come in time")
        }
        BodyFault::MemoryFull => CallRefusal::new(
            RefusalCause::MemoryFull,
            "this router has no memory left for the body",
        ),
    }
}

/// Returns how much is read of a body that is refused.
fn linger_bytes(state: &GatewayState, body: &Incoming) -> LingerBytes {
    let body_max = state.caller_limits().body_bytes;
    LingerBytes::for_body(body.size_hint().lower(), body_max)
}

/// Refuses a call whose body is still to be read.
async fn refuse_unread(
    state: &GatewayState,
    record: &CallRecord,
    refusal: &CallRefusal,
    parts: &Parts,
    body: Incoming,
) -> Response<AnswerBody> {
    let mut response = refuse(record, refusal);
    let linger_bytes = linger_bytes(state, &body);
    // Reading would ask a caller that waits for a `100 Continue` to send its body.
    let is_awaited = parts.headers.contains_key(EXPECT);
    if !body.is_end_stream() && (is_awaited || !discard_body(body).await) {
        leave_unread(&mut response, linger_bytes);
    }
    response
}

/// Reads the rest of a refused request if it is small and at hand; returns whether it is.
async fn discard_body(body: Incoming) -> bool {
    if body.size_hint().lower() > DISCARD_BYTES_MAX as u64 {
        return false;
    }
    let mut body = Limited::new(body, DISCARD_BYTES_MAX);
    let reading = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    timeout(DISCARD_TIMEOUT, reading).await.unwrap_or(false)
}

fn refuse(record: &CallRecord, refusal: &CallRefusal) -> Response<AnswerBody> {
    record.add_field("why", &refusal.message);
    record.record_refusal(refusal.cause);
    match refusal.retry_ms {
        Some(retry_ms) => refusal.cause.response_after(retry_ms, &refusal.message),
        None => refusal.cause.response(&refusal.message),
    }
}
