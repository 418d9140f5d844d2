//! The `plain_service` module provides the request handling of the plain service stand-in.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde_json::json;

use super::plain_echo::PlainEcho;
use super::plain_options::PlainOptions;
use crate::stand_in::listen_gate::ListenGate;
use crate::stand_in::responses;
use crate::stand_in::stand_in_server::{StandInResponse, StandInService};
use crate::stand_in::target_control::{TargetControl, header_text};
use crate::stand_in::target_faults::{TargetFault, TargetScope};

/// The attempt id in responses to [`TargetFault::WrongAttempt`].
const OTHER_ATTEMPT: &str = "other@1#1.0";

/// Answers each call with a description of the call.
#[derive(Debug)]
pub(super) struct PlainService {
    pub(super) control: TargetControl,
    answer_time: Duration,
}

impl PlainService {
    pub(super) fn new(options: &PlainOptions, gate: ListenGate) -> Self {
        PlainService {
            control: TargetControl::new(options.seed, gate),
            answer_time: Duration::from_millis(options.answer_ms),
        }
    }

    async fn answer_health(&self) -> StandInResponse {
        let health = json!({
            "state": self.control.state(),
            "load": {"running": 0, "waiting": 0, "cache_permille": 0},
        });
        match self.control.faults.pick(TargetScope::Health) {
            Some(TargetFault::Hang) => std::future::pending().await,
            Some(TargetFault::Late { ms }) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                responses::json(StatusCode::OK, &health)
            }
            Some(_) => StandInResponse::Close,
            None => responses::json(StatusCode::OK, &health),
        }
    }

    async fn answer_call(&self, request: Request<Bytes>) -> StandInResponse {
        let fault = self.control.faults.pick(TargetScope::Calls);
        if let Some(TargetFault::Busy { retry_after_ms }) = fault {
            return responses::retry_after(StatusCode::SERVICE_UNAVAILABLE, retry_after_ms);
        }
        let mut echo = read_echo(&request);
        let guard = self.control.ledger.start(&echo.attempt, &echo.key);
        echo.runs = self.control.ledger.key_runs(&echo.key);
        tokio::time::sleep(self.answer_time).await;
        match fault {
            Some(TargetFault::Hang) => std::future::pending().await,
            Some(TargetFault::CloseAfterRead) => return StandInResponse::Close,
            Some(TargetFault::ServerError) => {
                return responses::status(StatusCode::INTERNAL_SERVER_ERROR);
            }
            Some(TargetFault::Garbage) => return responses::malformed(),
            Some(TargetFault::DieAfter { .. }) => return truncated_response(&echo),
            Some(TargetFault::Late { ms }) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
            Some(TargetFault::WrongAttempt) => OTHER_ATTEMPT.clone_into(&mut echo.attempt),
            Some(TargetFault::Busy { .. }) | None => {}
        }
        guard.complete();
        echo_response(&echo)
    }
}

impl StandInService for PlainService {
    async fn respond(&self, request: Request<Bytes>) -> StandInResponse {
        if let Some(response) = self.control.respond(&request) {
            return response;
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => self.answer_health().await,
            _ => self.answer_call(request).await,
        }
    }
}

fn read_echo(request: &Request<Bytes>) -> PlainEcho {
    let headers = request.headers();
    PlainEcho {
        method: request.method().to_string(),
        path: request.uri().path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        body: String::from_utf8_lossy(request.body()).into_owned(),
        key: header_text(headers, "idempotency-key"),
        attempt: header_text(headers, "beechsaddle-attempt"),
        runs: 0,
    }
}

fn echo_response(echo: &PlainEcho) -> StandInResponse {
    responses::with_attempt(responses::json(StatusCode::OK, echo), &echo.attempt)
}

fn truncated_response(echo: &PlainEcho) -> StandInResponse {
    let half = serde_json::to_vec(echo).map(|mut bytes| {
        bytes.truncate(bytes.len() / 2);
        bytes
    });
    let parts = vec![Bytes::from(half.unwrap_or_default())];
    responses::with_attempt(responses::truncated(parts), &echo.attempt)
}
