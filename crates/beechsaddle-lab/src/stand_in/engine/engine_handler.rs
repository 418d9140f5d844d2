//! The `engine_handler` module provides the HTTP interface of the engine stand-in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, StreamBody};

use super::chat_request::ChatRequest;
use super::engine_service::{BatchSlot, EngineService};
use super::token_stream::TokenStream;
use crate::stand_in::responses;
use crate::stand_in::run_ledger::RunGuard;
use crate::stand_in::stand_in_server::{StandInResponse, StandInService};
use crate::stand_in::target_control::header_text;
use crate::stand_in::target_faults::{TargetFault, TargetScope};

/// The attempt id in responses to [`TargetFault::WrongAttempt`].
const OTHER_ATTEMPT: &str = "other@1#1.0";

/// Handles HTTP requests to an engine.
pub(super) struct EngineHandler {
    service: Arc<EngineService>,
}

impl EngineHandler {
    pub(super) fn new(service: Arc<EngineService>) -> Self {
        EngineHandler { service }
    }

    async fn answer_chat(&self, request: Request<Bytes>) -> StandInResponse {
        let fault = self.service.control.faults.pick(TargetScope::Calls);
        if let Some(TargetFault::Busy { retry_after_ms }) = fault {
            return responses::retry_after(StatusCode::SERVICE_UNAVAILABLE, retry_after_ms);
        }
        let chat: ChatRequest = match serde_json::from_slice(request.body()) {
            Ok(chat) => chat,
            Err(error) => return responses::bytes(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if !self.service.has_model(&chat.model) {
            return responses::bytes(StatusCode::NOT_FOUND, "the model is not loaded here");
        }
        let headers = request.headers();
        let mut attempt = header_text(headers, "beechsaddle-attempt");
        let key = header_text(headers, "idempotency-key");
        let slot = BatchSlot::enter(Arc::clone(&self.service)).await;
        let guard = self.service.control.ledger.start(&attempt, &key);
        match fault {
            Some(TargetFault::Hang) => std::future::pending().await,
            Some(TargetFault::CloseAfterRead) => return StandInResponse::Close,
            Some(TargetFault::ServerError) => {
                return responses::status(StatusCode::INTERNAL_SERVER_ERROR);
            }
            Some(TargetFault::Garbage) => return responses::malformed(),
            Some(TargetFault::Late { ms }) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
            Some(TargetFault::WrongAttempt) => OTHER_ATTEMPT.clone_into(&mut attempt),
            Some(TargetFault::DieAfter { .. } | TargetFault::Busy { .. }) | None => {}
        }
        let abort_after = match fault {
            Some(TargetFault::DieAfter { tokens }) => Some(tokens),
            Some(_) | None => None,
        };
        self.generate(&chat, attempt, slot, guard, abort_after)
            .await
    }

    async fn generate(
        &self,
        chat: &ChatRequest,
        attempt: String,
        slot: BatchSlot,
        guard: RunGuard,
        abort_after: Option<u64>,
    ) -> StandInResponse {
        let (completion, first_token) = self.service.plan(chat, attempt.clone());
        tokio::time::sleep(first_token).await;
        let stream = TokenStream {
            service: Arc::clone(&self.service),
            completion,
            slot,
            guard,
            sent: 0,
            abort_after,
        };
        let response = if chat.stream {
            streamed(stream)
        } else {
            buffered(stream).await
        };
        responses::with_attempt(response, &attempt)
    }
}

impl StandInService for EngineHandler {
    async fn respond(&self, request: Request<Bytes>) -> StandInResponse {
        if let Some(response) = self.service.control.respond(&request) {
            return response;
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.answer_chat(request).await,
            (&Method::GET, "/health") => self.service.answer_health().await,
            (&Method::GET, "/cache-events") => {
                let query = request.uri().query().unwrap_or_default();
                self.service.answer_cache_events(query)
            }
            (&Method::POST, "/orders") => self.service.answer_order(request.body()),
            (&Method::GET, "/orders") => responses::json(StatusCode::OK, &self.service.orders()),
            _ => responses::status(StatusCode::NOT_FOUND),
        }
    }
}

fn streamed(stream: TokenStream) -> StandInResponse {
    let body = StreamBody::new(stream.into_frames()).boxed_unsync();
    let mut response = responses::response(StatusCode::OK, body);
    responses::set_header(&mut response, "content-type", "text/event-stream");
    StandInResponse::Reply(response)
}

async fn buffered(stream: TokenStream) -> StandInResponse {
    let pauses = stream.completion.proof.tokens.saturating_sub(1) as u32;
    let body = stream.completion.buffered();
    tokio::time::sleep(stream.service.token_time() * pauses).await;
    if stream.abort_after.is_some() {
        let half = body.to_string().split_off(1);
        return responses::truncated(vec![Bytes::from(half)]);
    }
    stream.complete();
    responses::json(StatusCode::OK, &body)
}
