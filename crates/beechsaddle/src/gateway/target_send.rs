//! The `target_send` module provides the sending of one attempt to its target.

use std::net::SocketAddr;

use beechsaddle_core::gateway::{AttemptEnd, LinkDirection, TargetRecord};
use beechsaddle_link::{LinkBody, LinkFailure, LinkOptions};
use beechsaddle_platform::{ForwardFields, ResponseHead, forward_headers};
use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body_util::Full;
use tokio::time::timeout;

use super::call_context::CallContext;
use super::gateway_state::GatewayState;
use super::limits::record_limit;
use super::target_notice::{NoticeSource, is_answer_to, is_own, log_notice, record_notice};
use super::target_path::{TargetLink, open_link};

/// The head of a target's response and its connection.
pub(super) struct TargetAnswer {
    pub(super) response: Response<LinkBody>,
    /// The parsed response head.
    pub(super) facts: ResponseHead,
    /// The connection, which can be reused only after the response body was read.
    pub(super) link: TargetLink,
}

/// An attempt without a response to this call.
#[derive(Debug)]
pub(super) struct SendFailure {
    /// How the attempt ended.
    pub(super) end: AttemptEnd,
    /// Details for the log.
    pub(super) detail: String,
}

impl SendFailure {
    pub(super) fn new(end: AttemptEnd, detail: impl Into<String>) -> Self {
        SendFailure {
            end,
            detail: detail.into(),
        }
    }
}

/// Sends a call to a target and waits for the response head, up to the call's deadline.
///
/// `last_event` replaces the caller's own `Last-Event-Id`.
pub(super) async fn send_attempt(
    call: &CallContext,
    target: &TargetRecord,
    last_event: Option<u64>,
    fetch_from: Option<SocketAddr>,
) -> Result<TargetAnswer, SendFailure> {
    check_target(&call.state, target)?;
    let pooled = call.state.pool.take(call.state.now(), target.address);
    if let Some(link) = pooled {
        let request = build_request(call, target, last_event, fetch_from);
        call.state
            .record_message(LinkDirection::Out, call.body.len());
        let link = TargetLink::direct(link);
        match send_on(call, target, link, request, false).await {
            // The target closed the idle connection before anything was written; a new connection
            // may still work.
            Err((failure, true)) if failure.end == AttemptEnd::Unsent => {}
            other => return other.map_err(|(failure, _)| failure),
        }
    }
    let opening = open_link(&call.state, target, LinkOptions::default());
    let Ok(opened) = timeout(call.remaining(), opening).await else {
        let failure = SendFailure::new(AttemptEnd::Unsent, "the deadline is over");
        return Err(failure);
    };
    let link = opened?;
    if let Some(router) = &link.router {
        call.record.add_field("through", router);
    }
    check_target(&call.state, target)?;
    let request = build_request(call, target, last_event, fetch_from);
    call.state
        .record_message(LinkDirection::Out, call.body.len());
    let sent = send_on(call, target, link, request, true).await;
    sent.map_err(|(failure, _)| failure)
}

/// Checks that a target that was chosen earlier may still get a request.
fn check_target(state: &GatewayState, target: &TargetRecord) -> Result<(), SendFailure> {
    if !state.accepts_requests(target) {
        let detail = "target was withdrawn meanwhile";
        return Err(SendFailure::new(AttemptEnd::Withdrawn, detail));
    }
    if state.is_resting(target) {
        let detail = "target asked for rest meanwhile";
        return Err(SendFailure::new(AttemptEnd::Resting, detail));
    }
    Ok(())
}

/// Sends on a connection. The flag of a failure is set if the connection was closed before anything
/// was written.
async fn send_on(
    call: &CallContext,
    target: &TargetRecord,
    mut link: TargetLink,
    request: Request<Full<Bytes>>,
    is_fresh: bool,
) -> Result<TargetAnswer, (SendFailure, bool)> {
    let sent_at = call.state.now();
    let response = match timeout(call.remaining(), link.http.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(failure)) => return Err(convert_failure(&failure)),
        Err(_) => {
            let failure = SendFailure::new(
                AttemptEnd::Silent,
                "timed out waiting for the response head",
            );
            return Err((failure, false));
        }
    };
    let facts = ResponseHead::read(&response);
    // Forwarding another response would give one caller that of another one.
    if !is_answer_to(&facts, &call.head.request_id, is_fresh) {
        let failure = SendFailure::new(AttemptEnd::Broken, "response lacks the id of this request");
        return Err((failure, false));
    }
    if is_own(&facts) {
        record_limit(&call.state, target, facts.limit_per_s, sent_at);
        record_cold(&call.state, target, facts.cold_ms);
        record_notice(&call.state, target, &facts, NoticeSource::Answer);
        log_notice(call, target, &facts);
    }
    Ok(TargetAnswer {
        response,
        facts,
        link,
    })
}

/// Records that a response announces how long its target stays cold.
fn record_cold(state: &GatewayState, target: &TargetRecord, cold_ms: Option<u64>) {
    let Some(cold_ms) = cold_ms else {
        return;
    };
    let mut roster = state.roster.borrow_mut();
    let entry = roster.get_mut(&target.name);
    if let Some(entry) = entry.filter(|entry| entry.record.started == target.started) {
        entry.record_cold(state.now(), cold_ms);
    }
}

fn convert_failure(failure: &LinkFailure) -> (SendFailure, bool) {
    let end = match failure.is_unsent() {
        true => AttemptEnd::Unsent,
        false => AttemptEnd::Broken,
    };
    let is_closed = matches!(failure, LinkFailure::NotSent(_));
    (SendFailure::new(end, failure.to_string()), is_closed)
}

fn build_request(
    call: &CallContext,
    target: &TargetRecord,
    last_event: Option<u64>,
    fetch_from: Option<SocketAddr>,
) -> Request<Full<Bytes>> {
    let fields = ForwardFields {
        target: &target.name,
        workspace: call.workspace.as_ref().map(|rule| &rule.name),
        priority: call.rule.is_engine.then(|| call.priority()),
        deadline_ms: call.remaining_ms(),
        last_event,
        fetch_from,
    };
    let path = call.uri.path_and_query().cloned();
    let uri = path.map(Uri::from).unwrap_or_default();
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = forward_headers(&call.headers, fields);
    request
}
