//! The `stream_exchange` module provides calls that are answered by streams of events.

use std::rc::Rc;

use beechsaddle_core::gateway::{AttemptEnd, TargetChoice, TargetRecord};
use beechsaddle_platform::answer_headers;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::answer_body::AnswerBody;
use super::attempt_guard::AttemptGuard;
use super::call_context::CallContext;
use super::refusal::RefusalCause;
use super::stream_relay::{StallWatch, StreamAttempt, StreamRelay};
use super::target_choice::{choose_place, no_target_cause, note_choice, refuse_call};
use super::target_send::{SendFailure, TargetAnswer, send_attempt};
use super::token_reservation::TokenReservation;

/// The largest failure that is passed on, in bytes.
const FAILURE_BYTES: usize = 1_024 * 1_024;

/// A stream whose head has come.
pub(super) struct OpenStream {
    /// The headers of its answer.
    pub(super) headers: HeaderMap,
    /// The status of its answer.
    pub(super) status: StatusCode,
    /// Its target and body.
    pub(super) attempt: StreamAttempt,
}

/// What came of the search for a stream.
pub(super) enum StreamOpening {
    /// A stream.
    Open(Box<OpenStream>),
    /// A target's own failure, to be passed on.
    Failed(Response<AnswerBody>),
    /// Nothing usable.
    Refused(RefusalCause),
}

/// Serves a call.
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
            call.record.note("status", status.as_u16());
            let relay = StreamRelay::new(Rc::clone(&call), reservation, attempt);
            let mut response = Response::new(AnswerBody::Parts(relay.into_parts()));
            *response.status_mut() = status;
            *response.headers_mut() = answer_headers(&headers);
            response.headers_mut().remove(CONTENT_LENGTH);
            response
        }
        StreamOpening::Failed(response) => {
            call.record.note("status", response.status().as_u16());
            call.record.end("target_failed");
            response
        }
        StreamOpening::Refused(cause) => {
            refuse_call(&call, cause, "no target gave a usable stream")
        }
    }
}

/// Looks for a target that streams the answer from behind `last_event` on.
pub(super) async fn open_stream(
    call: &CallContext,
    last_event: Option<u64>,
    reservation: Option<&TokenReservation>,
) -> StreamOpening {
    let mut failure = None;
    loop {
        let Some((choice, target)) = choose_place(call).await else {
            return failure.map_or_else(
                || StreamOpening::Refused(no_target_cause(call)),
                StreamOpening::Failed,
            );
        };
        note_choice(call, &choice);
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
        call.note_end(&target, end, &detail);
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
    let guard = AttemptGuard::start(&call.state, target.clone(), choice.load, call.fingerprint);
    let outcome = exchange(call, &guard, last_event, &choice).await;
    match outcome {
        Ok(answer) => sort_answer(call, guard, answer).await,
        Err(failure) => {
            guard.note_end(failure.end);
            guard.look_for_crash(failure.end).await;
            Err(failure)
        }
    }
}

/// Sends the call and waits for the head. While others hear from the target, it is only slow.
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
        call.left()
    ));
    let stall = StallWatch::first(call, choice.load.prefill_tokens);
    loop {
        match timeout(stall.pause(call), &mut sending).await {
            Ok(answer) => return answer,
            Err(_) if stall.is_over(call, guard) => {
                return Err(SendFailure::new(AttemptEnd::Silent, "no head of an answer"));
            }
            Err(_) => {}
        }
    }
}

async fn sort_answer(
    call: &CallContext,
    guard: AttemptGuard,
    answer: TargetAnswer,
) -> Result<AttemptAnswer, SendFailure> {
    let facts = &answer.facts;
    if facts.is_not_run {
        if facts.is_misdirected {
            guard.note_misdirected();
        }
        guard.note_end(AttemptEnd::NotRun);
        let detail = format!("status {}", facts.status);
        return Err(SendFailure::new(AttemptEnd::NotRun, detail));
    }
    if !facts.is_sealed || facts.is_encoded {
        guard.note_end(AttemptEnd::Broken);
        return Err(SendFailure::new(AttemptEnd::Broken, "an unsealed answer"));
    }
    if facts.status.is_success() {
        let (parts, body) = answer.response.into_parts();
        return Ok(AttemptAnswer::Stream(Box::new(OpenStream {
            headers: parts.headers,
            status: parts.status,
            attempt: StreamAttempt::new(guard, answer.link, body, answer.facts),
        })));
    }
    guard.note_end(AttemptEnd::Failed);
    read_failure(call, answer.response)
        .await
        .map(AttemptAnswer::Failure)
}

/// Reads a target's own failure as a whole.
async fn read_failure(
    call: &CallContext,
    response: Response<Incoming>,
) -> Result<Response<AnswerBody>, SendFailure> {
    let (parts, body) = response.into_parts();
    let reading = Limited::new(body, FAILURE_BYTES).collect();
    let body = match timeout(call.left(), reading).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        Ok(Err(error)) => {
            return Err(SendFailure::new(AttemptEnd::Broken, error.to_string()));
        }
        Err(_) => return Err(SendFailure::new(AttemptEnd::Silent, "half a failure")),
    };
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = answer_headers(&parts.headers);
    response.headers_mut().remove(CONTENT_LENGTH);
    Ok(response)
}
