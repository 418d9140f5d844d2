//! The `stream_exchange` module provides calls that are answered by event streams.

use std::rc::Rc;

use beechsaddle_core::gateway::{AttemptEnd, TargetChoice, TargetRecord};
use beechsaddle_platform::response_headers;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::answer_body::AnswerBody;
use super::attempt_guard::AttemptGuard;
use super::call_context::CallContext;
use super::origins::{ResumeActor, ResumeVersion};
use super::refusal::RefusalCause;
use super::stall_watch::StallWatch;
use super::stream_relay::{StreamAttempt, StreamRelay};
use super::target_choice::{choose_permitted_target, no_target_cause, record_choice, refuse_call};
use super::target_send::{SendFailure, TargetAnswer, send_attempt};
use super::token_reservation::TokenReservation;

/// Maximum size of an error response that is forwarded, in bytes.
const MAX_FAILURE_BYTES: usize = 1_024 * 1_024;

/// A stream whose response head has arrived.
pub(super) struct OpenStream {
    pub(super) headers: HeaderMap,
    pub(super) status: StatusCode,
    /// The target's attempt and response body.
    pub(super) attempt: StreamAttempt,
}

/// The result of trying to open a stream.
pub(super) enum StreamOpening {
    Open(Box<OpenStream>),
    /// A target's own error response, to be forwarded.
    Failed(Response<AnswerBody>),
    /// No target gave a usable response.
    Refused(RefusalCause),
}

pub(super) async fn serve_stream(
    call: Rc<CallContext>,
    reservation: Option<TokenReservation>,
) -> Response<AnswerBody> {
    match open_stream(&call, call.head.last_event, reservation.as_ref()).await {
        StreamOpening::Open(open) => {
            let OpenStream {
                headers,
                status,
                attempt,
            } = *open;
            call.record.add_field("status", status.as_u16());
            record_caller_resume(&call, &attempt);
            let relay = StreamRelay::new(Rc::clone(&call), reservation, attempt);
            let mut response = Response::new(AnswerBody::Streamed(relay.into_stream()));
            *response.status_mut() = status;
            *response.headers_mut() = response_headers(&headers);
            response.headers_mut().remove(CONTENT_LENGTH);
            response
        }
        StreamOpening::Failed(response) => {
            call.record.add_field("status", response.status().as_u16());
            call.record.set_outcome("target_failed");
            response
        }
        StreamOpening::Refused(cause) => {
            refuse_call(&call, cause, "no target gave a usable stream")
        }
    }
}

/// Records at which software version a caller's stream is resumed.
fn record_caller_resume(call: &CallContext, attempt: &StreamAttempt) {
    let began_at = call.version.borrow();
    if began_at.is_none() {
        return;
    }
    // The version of a stream that the caller does not name is that of the listed targets.
    let named = began_at.as_ref().filter(|_| call.head.resumes.is_some());
    let what = ResumeVersion::compare(named, &attempt.version());
    call.record.record_resume(ResumeActor::Caller, what);
}

/// Opens a stream at some target, starting after `last_event`.
pub(super) async fn open_stream(
    call: &CallContext,
    last_event: Option<u64>,
    reservation: Option<&TokenReservation>,
) -> StreamOpening {
    let mut failure = None;
    loop {
        let Some((choice, target)) = choose_permitted_target(call).await else {
            return failure.map_or_else(
                || StreamOpening::Refused(no_target_cause(call)),
                StreamOpening::Failed,
            );
        };
        record_choice(call, &choice, &target);
        if let Some(reservation) = reservation {
            reservation.begin_attempt();
        }
        let (end, detail) = match run_attempt(call, choice, &target, last_event).await {
            Ok(AttemptAnswer::Stream(open)) => return StreamOpening::Open(open),
            Ok(AttemptAnswer::Failure(response)) => {
                let detail = format!("status {}", response.status());
                failure = Some(response);
                (AttemptEnd::Failed, detail)
            }
            Err(failure) => (failure.end, failure.detail),
        };
        call.record_attempt_end(&target, end, &detail);
        if let Some(reservation) = reservation
            && !call.history.borrow().may_have_run()
        {
            reservation.undo_attempts();
        }
        if !call.try_repeat(end) {
            return match failure {
                Some(response) if end == AttemptEnd::Failed => StreamOpening::Failed(response),
                Some(_) | None => StreamOpening::Refused(call.final_cause(end)),
            };
        }
    }
}

enum AttemptAnswer {
    Stream(Box<OpenStream>),
    Failure(Response<AnswerBody>),
}

async fn run_attempt(
    call: &CallContext,
    choice: TargetChoice,
    target: &TargetRecord,
    last_event: Option<u64>,
) -> Result<AttemptAnswer, SendFailure> {
    let guard = AttemptGuard::start(call, target.clone(), choice.load);
    let outcome = exchange(call, &guard, last_event, &choice).await;
    match outcome {
        Ok(answer) => classify_answer(call, guard, answer).await,
        Err(failure) => {
            guard.record_failure(failure.end);
            guard.detect_crash(failure.end).await;
            Err(failure)
        }
    }
}

/// Sends the call and waits for the response head. A target that still sends data to other calls
/// counts as slow, not dead.
async fn exchange(
    call: &CallContext,
    guard: &AttemptGuard,
    last_event: Option<u64>,
    choice: &TargetChoice,
) -> Result<TargetAnswer, SendFailure> {
    let mut sending = std::pin::pin!(send_attempt(
        call,
        guard.target(),
        last_event,
        choice.fetch_from,
        call.remaining()
    ));
    let stall = StallWatch::for_first_event(call, choice.load.prefill_tokens);
    loop {
        match timeout(stall.poll_interval(call), &mut sending).await {
            Ok(answer) => return answer,
            Err(_) if stall.is_expired(call, guard) => {
                return Err(SendFailure::new(
                    AttemptEnd::Silent,
                    "target sent no response head in time",
                ));
            }
            Err(_) => {}
        }
    }
}

async fn classify_answer(
    call: &CallContext,
    guard: AttemptGuard,
    answer: TargetAnswer,
) -> Result<AttemptAnswer, SendFailure> {
    let facts = &answer.facts;
    if facts.is_not_run {
        let end = match facts.is_misdirected {
            true => AttemptEnd::Misdirected,
            false => AttemptEnd::NotRun,
        };
        if end == AttemptEnd::Misdirected {
            guard.record_misdirected();
        }
        guard.record_failure(end);
        let detail = format!("status {}", facts.status);
        return Err(SendFailure::new(end, detail));
    }
    if !facts.is_sealed || facts.is_encoded {
        guard.record_failure(AttemptEnd::Broken);
        return Err(SendFailure::new(
            AttemptEnd::Broken,
            "response is unsealed or encoded",
        ));
    }
    if facts.status.is_success() {
        let (parts, body) = answer.response.into_parts();
        return Ok(AttemptAnswer::Stream(Box::new(OpenStream {
            headers: parts.headers,
            status: parts.status,
            attempt: StreamAttempt::new(guard, answer.link, body, answer.facts),
        })));
    }
    guard.record_failure(AttemptEnd::Failed);
    read_failure(call, answer.response)
        .await
        .map(AttemptAnswer::Failure)
}

/// Buffers a target's own error response.
async fn read_failure(
    call: &CallContext,
    response: Response<Incoming>,
) -> Result<Response<AnswerBody>, SendFailure> {
    let (parts, body) = response.into_parts();
    let reading = Limited::new(body, MAX_FAILURE_BYTES).collect();
    let body = match timeout(call.remaining(), reading).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) => {
            return Err(SendFailure::new(AttemptEnd::Broken, error.to_string()));
        }
        Err(_) => return Err(SendFailure::new(AttemptEnd::Silent, "error body timed out")),
    };
    let mut response = Response::new(AnswerBody::full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = response_headers(&parts.headers);
    response.headers_mut().remove(CONTENT_LENGTH);
    Ok(response)
}
