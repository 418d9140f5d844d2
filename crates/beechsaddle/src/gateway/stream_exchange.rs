//! The `stream_exchange` module provides calls that are answered by event streams.

use std::net::SocketAddr;
use std::rc::Rc;

use beechsaddle_core::gateway::{AttemptEnd, TargetChoice, TargetRecord};
use beechsaddle_link::LinkBody;
use beechsaddle_platform::response_headers;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Response, StatusCode};

use super::answer_body::AnswerBody;
use super::attempt_guard::AttemptGuard;
use super::attempt_race::{AttemptRace, AttemptResult, RaceEntry, RaceResult};
use super::buffered_body::BufferedBody;
use super::call_context::CallContext;
use super::origins::{ResumeActor, ResumeVersion};
use super::refusal::RefusalCause;
use super::stall_watch::StallWatch;
use super::stream_attempt::StreamAttempt;
use super::stream_relay::StreamRelay;
use super::target_choice::refuse_call;
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
    let race = AttemptRace::new(call, reservation);
    let result = race
        .run(|choice, target| begin_attempt(call, choice, target, last_event))
        .await;
    match result {
        RaceResult::Won(AttemptAnswer::Stream(open)) => StreamOpening::Open(open),
        RaceResult::Won(AttemptAnswer::Failure(response)) => StreamOpening::Failed(response),
        RaceResult::Lost {
            answer: Some((AttemptAnswer::Failure(response), _)),
            end: None | Some(AttemptEnd::Failed),
            ..
        } => StreamOpening::Failed(response),
        RaceResult::Lost { cause, .. } => StreamOpening::Refused(cause),
    }
}

enum AttemptAnswer {
    Stream(Box<OpenStream>),
    Failure(Response<AnswerBody>),
}

fn begin_attempt(
    call: &CallContext,
    choice: TargetChoice,
    target: TargetRecord,
    last_event: Option<u64>,
) -> RaceEntry<'_, AttemptAnswer> {
    let watch = StallWatch::for_first_event(call, &target, choice.load.prefill_tokens);
    let guard = Rc::new(AttemptGuard::start(call, target, choice.load));
    let running = run_attempt(call, Rc::clone(&guard), last_event, choice.fetch_from);
    RaceEntry {
        guard,
        watch,
        running: Box::pin(running),
    }
}

async fn run_attempt(
    call: &CallContext,
    guard: Rc<AttemptGuard>,
    last_event: Option<u64>,
    fetch_from: Option<SocketAddr>,
) -> AttemptResult<AttemptAnswer> {
    let target = guard.target();
    let sending = send_attempt(call, target, last_event, fetch_from);
    let result = match sending.await {
        Ok(answer) => classify_answer(call, guard, answer).await,
        Err(failure) => {
            guard.record_failure(failure.end);
            guard.detect_crash(failure.end).await;
            Err(failure)
        }
    };
    match result {
        Ok(AttemptAnswer::Failure(response)) => AttemptResult::Unusable {
            detail: format!("status {}", response.status()),
            answer: AttemptAnswer::Failure(response),
            end: AttemptEnd::Failed,
        },
        Ok(answer) => AttemptResult::Usable(answer),
        Err(failure) => AttemptResult::Failure(failure),
    }
}

async fn classify_answer(
    call: &CallContext,
    guard: Rc<AttemptGuard>,
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
    response: Response<LinkBody>,
) -> Result<Response<AnswerBody>, SendFailure> {
    let (parts, body) = response.into_parts();
    let share = call.state.answer_memory.share(call.service.clone());
    let body = BufferedBody::read(body, share, MAX_FAILURE_BYTES, call.remaining()).await?;
    let mut response = Response::new(AnswerBody::Buffered(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = response_headers(&parts.headers);
    response.headers_mut().remove(CONTENT_LENGTH);
    Ok(response)
}
