//! The `refusal_answer` module provides the HTTP answers for refusals.

use beechsaddle_core::prelude::*;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use super::call_fault::CallFault;
use super::header_filter::CALL_HEADER;

#[derive(Serialize)]
struct RefusalEnvelope<'a> {
    error: RefusalText<'a>,
}

#[derive(Serialize)]
struct RefusalText<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    reason: RefusalReason,
    ran: RanState,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    call: Option<String>,
}

/// Builds the answer for a refusal by the core.
pub(crate) fn refusal_answer(refusal: &CallRefusal, call: &CallId) -> Response {
    let message = refusal_message(refusal.reason);
    build_answer(refusal, message, Some(call))
}

/// Builds the answer for a refusal by the edge.
pub(crate) fn fault_answer(fault: &CallFault, call: Option<&CallId>) -> Response {
    let mut response = build_answer(&fault.refusal, &fault.message, call);
    if fault.closes {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn build_answer(refusal: &CallRefusal, message: &str, call: Option<&CallId>) -> Response {
    let envelope = RefusalEnvelope {
        error: RefusalText {
            kind: "beechsaddle_refusal",
            reason: refusal.reason,
            ran: refusal.ran,
            message,
            retry_after_ms: refusal.retry_after_ms,
            call: call.map(ToString::to_string),
        },
    };
    let text = serde_json::to_vec(&envelope).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    let code = refusal.reason.status_code();
    *response.status_mut() =
        StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(value) = call.and_then(|call| HeaderValue::try_from(call.to_string()).ok()) {
        headers.insert(CALL_HEADER, value);
    }
    response
}

/// Message for the caller; `OPERATIONS.md` describes what operators can do.
fn refusal_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::BadRequest => "the request cannot be read",
        RefusalReason::BodyTooLarge => "the body is larger than this router accepts",
        RefusalReason::BodyTimeout => "the body did not arrive in time",
        RefusalReason::UnknownKey => "no workspace has this key",
        RefusalReason::ForeignBudget => "the workspace has no such budget",
        RefusalReason::UnknownService => "there is no such service or model",
        RefusalReason::NotAllowed => "the workspace may not use this service or model",
        RefusalReason::BudgetExhausted => "the budget has no tokens left for this request",
        RefusalReason::BudgetUnreachable => "the budget cannot be drawn on at the moment",
        RefusalReason::HolderUnreachable => "the holder of the budget does not answer",
        RefusalReason::ConcurrencyLimit => "too many requests are running at a time",
        RefusalReason::RequestRateLimit => "too many requests a second",
        RefusalReason::TokenRateLimit => "too many tokens a minute",
        RefusalReason::Overloaded => "the router sheds load",
        RefusalReason::NoTarget => "no target of the service is alive",
        RefusalReason::AttemptsFailed => "every attempt at a target failed",
        RefusalReason::DeadlineExceeded => "the deadline of the request cannot be met",
        RefusalReason::InProgress => "a request with this key is running",
        RefusalReason::AlreadyAnswered => "a request with this key was answered before",
        RefusalReason::AlreadyDispatched => {
            "a request with this key was sent to a target before; its outcome is unknown here"
        }
        RefusalReason::RecordUnavailable => "the request cannot be recorded at the moment",
        RefusalReason::OutcomeUnknown => {
            "a target may have run the request, but no complete answer came"
        }
        RefusalReason::NoCatalogue => "the router has no catalogue yet",
        RefusalReason::Draining => "the router is shutting down",
        RefusalReason::RingFull => "the router is busy",
    }
}
