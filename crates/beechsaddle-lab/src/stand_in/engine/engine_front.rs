//! The `engine_front` module provides the HTTP interface of the engine stand-in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, StreamBody};

use super::chat_request::ChatRequest;
use super::engine_service::{BatchPlace, EngineService};
use super::token_stream::TokenStream;
use crate::stand_in::answers;
use crate::stand_in::run_ledger::RunGuard;
use crate::stand_in::stand_in_server::{StandInAnswer, StandInService};
use crate::stand_in::target_control::header_text;
use crate::stand_in::target_faults::{TargetFault, TargetScope};

/// What a call that is not this one is called.
const OTHER_ATTEMPT: &str = "other@1#1.0";

/// Answers requests for a shared engine.
pub(super) struct EngineFront {
    service: Arc<EngineService>,
}

impl EngineFront {
    pub(super) fn new(service: Arc<EngineService>) -> Self {
        EngineFront { service }
    }

    async fn answer_chat(&self, request: Request<Bytes>) -> StandInAnswer {
        let fault = self.service.control.faults.pick(TargetScope::Calls);
        if let Some(TargetFault::Busy { retry_after_ms }) = fault {
            return answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, retry_after_ms);
        }
        let chat: ChatRequest = match serde_json::from_slice(request.body()) {
            Ok(chat) => chat,
            Err(error) => return answers::bytes(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if !self.service.has_model(&chat.model) {
            return answers::bytes(StatusCode::NOT_FOUND, "the model is not loaded here");
        }
        let headers = request.headers();
        let mut attempt = header_text(headers, "beechsaddle-attempt");
        let key = header_text(headers, "idempotency-key");
        let place = BatchPlace::enter(Arc::clone(&self.service)).await;
        let guard = self.service.control.ledger.start(&attempt, &key);
        match fault {
            Some(TargetFault::Hang) => std::future::pending().await,
            Some(TargetFault::CloseAfterRead) => return StandInAnswer::Close,
            Some(TargetFault::ServerError) => {
                return answers::status(StatusCode::INTERNAL_SERVER_ERROR);
            }
            Some(TargetFault::Garbage) => return answers::garbage(),
            Some(TargetFault::Late { ms }) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
            Some(TargetFault::WrongAttempt) => OTHER_ATTEMPT.clone_into(&mut attempt),
            Some(TargetFault::DieAfter { .. } | TargetFault::Busy { .. }) | None => {}
        }
        let dies_after = match fault {
            Some(TargetFault::DieAfter { tokens }) => Some(tokens),
            Some(_) | None => None,
        };
        self.generate(&chat, attempt, place, guard, dies_after)
            .await
    }

    async fn generate(
        &self,
        chat: &ChatRequest,
        attempt: String,
        place: BatchPlace,
        guard: RunGuard,
        dies_after: Option<u64>,
    ) -> StandInAnswer {
        let (answer, first_token) = self.service.plan(chat, attempt.clone());
        tokio::time::sleep(first_token).await;
        let stream = TokenStream {
            service: Arc::clone(&self.service),
            answer,
            place,
            guard,
            sent: 0,
            dies_after,
        };
        let answer = if chat.stream {
            streamed(stream)
        } else {
            whole(stream).await
        };
        answers::with_attempt(answer, &attempt)
    }
}

impl StandInService for EngineFront {
    async fn answer(&self, request: Request<Bytes>) -> StandInAnswer {
        if let Some(answer) = self.service.control.answer(&request) {
            return answer;
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.answer_chat(request).await,
            (&Method::GET, "/health") => self.service.answer_health().await,
            (&Method::GET, "/cache-events") => {
                let query = request.uri().query().unwrap_or_default();
                self.service.answer_cache_events(query)
            }
            (&Method::POST, "/orders") => self.service.answer_order(request.body()),
            (&Method::GET, "/orders") => answers::json(StatusCode::OK, &self.service.orders()),
            _ => answers::status(StatusCode::NOT_FOUND),
        }
    }
}

fn streamed(stream: TokenStream) -> StandInAnswer {
    let body = StreamBody::new(stream.into_frames()).boxed_unsync();
    let mut response = answers::response(StatusCode::OK, body);
    answers::set_header(&mut response, "content-type", "text/event-stream");
    StandInAnswer::Reply(response)
}

async fn whole(stream: TokenStream) -> StandInAnswer {
    let pauses = stream.answer.proof.tokens.saturating_sub(1) as u32;
    let body = stream.answer.whole();
    tokio::time::sleep(stream.service.token_time() * pauses).await;
    if stream.dies_after.is_some() {
        let half = body.to_string().split_off(1);
        return answers::broken(vec![Bytes::from(half)]);
    }
    stream.complete();
    answers::json(StatusCode::OK, &body)
}
