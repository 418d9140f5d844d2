//! The `plain_exchange` module provides calls whose answers are short and passed on as a whole.

use std::time::Duration;

use beechsaddle_core::gateway::{AttemptEnd, LinkDirection, TargetChoice, TargetRecord};
use beechsaddle_platform::answer_headers;
use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use super::answer_body::AnswerBody;
use super::attempt_guard::AttemptGuard;
use super::call_context::CallContext;
use super::call_record::ANSWERED;
use super::crashes::note_completed;
use super::target_choice::{choose_place, no_target_cause, note_choice, refuse_call};
use super::target_send::{SendFailure, TargetAnswer, send_attempt};

/// The largest plain answer, in bytes. It is read as a whole before anything of it goes out, so
/// that an answer that breaks off can be asked for again.
const ANSWER_BYTES: usize = 8 * 1_024 * 1_024;

/// The part of the objective after which a silent target of an idempotent call is given up while
/// another could still answer in time.
const PATIENCE_PART: f64 = 0.55;

/// How much longer than a target's usual wait it is given, so that a loaded service is not asked
/// twice for everything.
const PATIENCE_FACTOR: f64 = 3.0;

/// The shortest time that a target is given, in milliseconds.
const PATIENCE_LEAST_MS: f64 = 40.0;

/// A whole answer of a target.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    end: Option<AttemptEnd>,
    is_misdirected: bool,
}

/// Serves a call.
pub(super) async fn serve_plain(call: &CallContext) -> Response<AnswerBody> {
    let mut last_answer = None;
    let cause = loop {
        let Some((choice, target)) = choose_place(call).await else {
            break no_target_cause(call);
        };
        note_choice(call, &choice);
        let (end, detail) = match run_attempt(call, &choice, &target).await {
            Ok(answer) if answer.end.is_none() => return pass_on(call, answer),
            Ok(answer) => {
                let end = answer.end.unwrap_or(AttemptEnd::Failed);
                let detail = format!("status {}", answer.status);
                last_answer = Some(answer);
                (end, detail)
            }
            Err(failure) => (failure.end, failure.detail),
        };
        call.note_end(&target, end, &detail);
        if !call.try_repeat(end) {
            break call.final_cause(end);
        }
    };
    // A target's own failure is its answer to the caller, where nothing better came.
    match last_answer {
        Some(answer) if answer.end == Some(AttemptEnd::Failed) => pass_on(call, answer),
        Some(_) | None => refuse_call(call, cause, "no target gave a usable answer"),
    }
}

async fn run_attempt(
    call: &CallContext,
    choice: &TargetChoice,
    target: &TargetRecord,
) -> Result<WholeAnswer, SendFailure> {
    let mut guard = AttemptGuard::start(&call.state, target.clone(), choice.load, call.fingerprint);
    let outcome = exchange(call, target, patience(call, target)).await;
    match &outcome {
        Ok(answer) => match answer.end {
            Some(end) => {
                if answer.is_misdirected {
                    guard.note_misdirected();
                }
                guard.note_end(end);
                guard.look_for_crash(end).await;
            }
            None => {
                guard.record_first();
                guard.note_success();
                note_completed(&call.state, call.fingerprint);
            }
        },
        Err(failure) => {
            guard.note_end(failure.end);
            guard.look_for_crash(failure.end).await;
        }
    }
    outcome
}

async fn exchange(
    call: &CallContext,
    target: &TargetRecord,
    patience: Duration,
) -> Result<WholeAnswer, SendFailure> {
    let started = tokio::time::Instant::now();
    let answer = send_attempt(call, target, None, None, patience).await?;
    let left = patience.saturating_sub(started.elapsed());
    let TargetAnswer {
        response,
        facts,
        link,
    } = answer;
    let (parts, body) = response.into_parts();
    let body = match call.method {
        Method::HEAD => Bytes::new(),
        _ => read_body(body, left).await?,
    };
    if !facts.closes && facts.status.is_success() {
        let state = &call.state;
        let now = state.now();
        state
            .pool
            .put(now, target.address, link, facts.keep_alive_ms);
    }
    let is_usable = facts.is_sealed && !facts.is_encoded;
    let end = match facts.status {
        _ if facts.is_not_run => Some(AttemptEnd::NotRun),
        _ if !is_usable => Some(AttemptEnd::Broken),
        status if status.is_server_error() => Some(AttemptEnd::Failed),
        _ => None,
    };
    Ok(WholeAnswer {
        status: parts.status,
        headers: parts.headers,
        body,
        end,
        is_misdirected: facts.is_misdirected,
    })
}

async fn read_body(body: hyper::body::Incoming, left: Duration) -> Result<Bytes, SendFailure> {
    let reading = Limited::new(body, ANSWER_BYTES).collect();
    match timeout(left, reading).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) => Err(SendFailure::new(AttemptEnd::Broken, error.to_string())),
        Err(_) => Err(SendFailure::new(
            AttemptEnd::Silent,
            "the answer did not end in time",
        )),
    }
}

/// How long a target may take: all that is left, unless another could answer in time instead.
fn patience(call: &CallContext, target: &TargetRecord) -> Duration {
    let left = call.left();
    let mut after = call.history.borrow().clone();
    after.note(AttemptEnd::Silent);
    if !after.allows_another(call.route.kind, call.route.attempts_max) {
        return left;
    }
    let roster = call.state.roster.borrow();
    let usual_ms = roster
        .get(&target.name)
        .and_then(|entry| entry.stats.speed_ms(call.state.now()))
        .unwrap_or(0.0);
    let objective_ms = call.route.objective_ms as f64;
    let patience_ms = (objective_ms * PATIENCE_PART)
        .max(usual_ms * PATIENCE_FACTOR)
        .max(PATIENCE_LEAST_MS);
    left.min(Duration::from_millis(patience_ms as u64))
}

fn pass_on(call: &CallContext, answer: WholeAnswer) -> Response<AnswerBody> {
    call.record.note("status", answer.status.as_u16());
    call.record.record_first();
    call.record.end(match answer.status.is_server_error() {
        true => "target_failed",
        false => {
            call.record.note_lateness(&call.route);
            ANSWERED
        }
    });
    for way in [LinkDirection::In, LinkDirection::Out] {
        call.state.record_message(way, &answer.body);
    }
    let mut response = Response::new(AnswerBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer_headers(&answer.headers);
    if call.method != Method::HEAD {
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
    }
    response
}
