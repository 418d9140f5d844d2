//! The `plain_exchange` module provides calls whose responses are short and buffered before they
//! are forwarded.

use std::rc::Rc;

use beechsaddle_core::gateway::{AttemptEnd, LinkDirection, TargetChoice, TargetRecord};
use beechsaddle_platform::{BodyFraming, ResponseHead, response_headers};
use http::{HeaderMap, Method, Response, StatusCode};

use super::answer_body::AnswerBody;
use super::attempt_guard::AttemptGuard;
use super::attempt_race::{AttemptRace, AttemptResult, RaceEntry, RaceResult};
use super::buffered_body::BufferedBody;
use super::call_context::CallContext;
use super::call_record::ANSWERED;
use super::crashes::record_completion;
use super::gateway_metrics::AnswerEndLabel;
use super::stall_watch::StallWatch;
use super::target_choice::refuse_call;
use super::target_path::TargetLink;
use super::target_send::{SendFailure, TargetAnswer, send_attempt};

/// Maximum size of a plain response, in bytes. It is read completely before any of it is forwarded,
/// so that a truncated response can be retried.
const MAX_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;

/// Share of the route's objective after which an idempotent call is sent to another target as well,
/// which can still answer in time.
const WAIT_LIMIT_SHARE: f64 = 0.55;

/// Multiple of a target's usual response time that it is allowed at least, so that a loaded service
/// does not receive every request twice.
const WAIT_LIMIT_FACTOR: f64 = 3.0;

/// Minimum time that a target is allowed, in milliseconds.
const MIN_WAIT_LIMIT_MS: f64 = 40.0;

/// A target's complete response.
struct BufferedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: BufferedBody,
    end: Option<AttemptEnd>,
    is_misdirected: bool,
}

pub(super) async fn serve_plain(call: &CallContext) -> Response<AnswerBody> {
    let race = AttemptRace::new(call, None);
    let result = race
        .run(|choice, target| begin_attempt(call, &choice, target))
        .await;
    match result {
        RaceResult::Won(answer) => forward_answer(call, answer),
        // If no attempt did better, the caller gets the target's own error response.
        RaceResult::Lost {
            answer: Some((answer, AttemptEnd::Failed)),
            ..
        } => forward_answer(call, answer),
        RaceResult::Lost { cause, .. } => {
            refuse_call(call, cause, "no target gave a usable answer")
        }
    }
}

fn begin_attempt<'a>(
    call: &'a CallContext,
    choice: &TargetChoice,
    target: TargetRecord,
) -> RaceEntry<'a, BufferedAnswer> {
    let watch = StallWatch::for_answer(call, &target, wait_limit_ms(call, &target));
    let guard = Rc::new(AttemptGuard::start(call, target, choice.load));
    let running = run_attempt(call, Rc::clone(&guard));
    RaceEntry {
        guard,
        watch,
        running: Box::pin(running),
    }
}

async fn run_attempt(call: &CallContext, guard: Rc<AttemptGuard>) -> AttemptResult<BufferedAnswer> {
    let answer = match exchange(call, guard.target()).await {
        Ok(answer) => answer,
        Err(failure) => {
            guard.record_failure(failure.end);
            guard.detect_crash(failure.end).await;
            return AttemptResult::Failure(failure);
        }
    };
    if let Some(end) = answer.end {
        if answer.is_misdirected {
            guard.record_misdirected();
        }
        guard.record_failure(end);
        guard.detect_crash(end).await;
        return AttemptResult::Unusable {
            detail: format!("status {}", answer.status),
            answer,
            end,
        };
    }
    guard.record_first_event();
    guard.record_success();
    // A target that rejects a request has not begun to write an answer to it.
    let completed = match answer.status.is_success() {
        true => &call.suspects[..],
        false => &[call.fingerprint],
    };
    record_completion(&call.state, completed);
    AttemptResult::Usable(answer)
}

async fn exchange(
    call: &CallContext,
    target: &TargetRecord,
) -> Result<BufferedAnswer, SendFailure> {
    let answer = send_attempt(call, target, None, None).await?;
    let TargetAnswer {
        response,
        facts,
        link,
    } = answer;
    let end = judge_head(&facts);
    let (parts, body) = response.into_parts();
    let share = call.state.answer_memory.share(call.service.clone());
    let body = match end {
        // The connection is closed with the link.
        Some(end) if end != AttemptEnd::Failed => BufferedBody::empty(share),
        _ if call.method == Method::HEAD => BufferedBody::empty(share),
        _ => BufferedBody::read(body, share, MAX_ANSWER_BYTES, call.remaining()).await?,
    };
    record_answer_end(call, &facts, &link);
    if end.is_none() && facts.status.is_success() {
        link.release(&call.state, target.address, &facts);
    }
    Ok(BufferedAnswer {
        status: parts.status,
        headers: parts.headers,
        body,
        end,
        is_misdirected: facts.is_misdirected,
    })
}

/// Records how a response was framed whose body ended without an error.
fn record_answer_end(call: &CallContext, facts: &ResponseHead, link: &TargetLink) {
    let framing = facts.framing.as_str();
    let way = link.way();
    let label = AnswerEndLabel { framing, way };
    let ends = &call.state.metrics.answer_ends;
    ends.get_or_create(&label).inc();
    if facts.framing == BodyFraming::Connection {
        call.record.add_field("framing", framing);
    }
}

/// Returns how the attempt ends by the head of its response; `None` if the response is for the caller.
///
/// Only a response that may be forwarded needs its body, and what a target sends after another head may
/// have no end.
fn judge_head(facts: &ResponseHead) -> Option<AttemptEnd> {
    let is_usable = facts.is_sealed && !facts.is_encoded;
    match facts.status {
        _ if facts.is_misdirected => Some(AttemptEnd::Misdirected),
        _ if facts.is_not_run => Some(AttemptEnd::NotRun),
        _ if !is_usable => Some(AttemptEnd::Broken),
        status if status.is_server_error() => Some(AttemptEnd::Failed),
        _ => None,
    }
}

/// Returns how long to wait for a target before another one is tried beside it, in milliseconds.
fn wait_limit_ms(call: &CallContext, target: &TargetRecord) -> u64 {
    let roster = call.state.roster.borrow();
    let usual_ms = roster
        .get(&target.name)
        .and_then(|entry| entry.stats.speed_ms(call.state.now()))
        .unwrap_or(0.0);
    let objective_ms = call.route.objective_ms as f64;
    let wait_limit_ms = (objective_ms * WAIT_LIMIT_SHARE)
        .max(usual_ms * WAIT_LIMIT_FACTOR)
        .max(MIN_WAIT_LIMIT_MS);
    wait_limit_ms as u64
}

fn forward_answer(call: &CallContext, answer: BufferedAnswer) -> Response<AnswerBody> {
    call.record.add_field("status", answer.status.as_u16());
    call.record.record_first_event();
    call.record
        .set_outcome(match answer.status.is_server_error() {
            true => "target_failed",
            false => {
                call.record.record_lateness(&call.route);
                ANSWERED
            }
        });
    for way in [LinkDirection::In, LinkDirection::Out] {
        call.state.record_message(way, answer.body.len());
    }
    let mut response = Response::new(AnswerBody::Buffered(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = response_headers(&answer.headers);
    if call.method != Method::HEAD {
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
    }
    response
}
