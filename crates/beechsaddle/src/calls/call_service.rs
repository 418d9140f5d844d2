//! The `call_service` module provides the HTTP service for callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use beechsaddle_core::call::{CallAction, CallArrival, CallEvent, CallRoute};
use beechsaddle_core::prelude::*;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode, Version};
use motore::service::Service;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use super::attempt::CallContent;
use super::call_fault::CallFault;
use super::call_guard::CallGuard;
use super::call_head::{CallHead, read_key};
use super::call_run::CallRun;
use super::chat_request::ChatRequest;
use super::connection_tracker::ConnectionTracker;
use super::edge_state::{EdgeState, system_time};
use super::plain_request::{PlainRequest, SERVICE_PREFIX, read_service_path};
use super::refusal_answer::{fault_answer, refusal_answer};
use super::request_body::RequestBody;

/// Retry delay in milliseconds while draining; the load balancer has chosen another router by then.
const DRAIN_RETRY_MS: u64 = 1_000;
/// Time limit for the core to list the models.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves calls, the list of models and `/healthz`.
#[derive(Clone)]
pub(crate) struct CallService {
    state: Arc<EdgeState>,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelText>,
}

#[derive(Serialize)]
struct ModelText {
    id: ModelName,
    object: &'static str,
    owned_by: &'static str,
}

impl Service<ServerContext, Request<Body>> for CallService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: Request<Body>,
    ) -> Result<Response, Infallible> {
        match self.route(request).await {
            Ok(response) => Ok(response),
            Err(fault) => {
                self.state.count_fault(&fault);
                Ok(fault_answer(&fault, None))
            }
        }
    }
}

impl CallService {
    pub(crate) fn new(state: Arc<EdgeState>) -> Self {
        CallService { state }
    }

    async fn route(&self, request: Request<Body>) -> Result<Response, CallFault> {
        let path = request.uri().path();
        let method = request.method();
        if path == "/healthz" {
            return Ok(self.answer_health());
        }
        check_version(request.version())?;
        self.check_phase()?;
        match path {
            "/v1/chat/completions" if method == Method::POST => self.handle_chat(request).await,
            "/v1/chat/completions" => Err(CallFault::bad_request("use POST")),
            "/v1/models" if method == Method::GET => self.list_models(&request).await,
            "/v1/models" => Err(CallFault::bad_request("use GET")),
            path if path.starts_with(SERVICE_PREFIX) => self.handle_plain(request).await,
            _ => Err(CallFault::new(
                RefusalReason::UnknownService,
                "there is no such path",
            )),
        }
    }

    fn check_phase(&self) -> Result<(), CallFault> {
        if self.state.is_accepting() {
            return Ok(());
        }
        let fault = CallFault::new(RefusalReason::Draining, "the router is shutting down");
        Err(fault.retry_after(DRAIN_RETRY_MS).closing())
    }

    fn answer_health(&self) -> Response {
        let mut response = Response::new(Body::empty());
        if !self.state.is_serving() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    async fn handle_chat(&self, request: Request<Body>) -> Result<Response, CallFault> {
        let head = CallHead::try_read(request.headers(), system_time())?;
        let tracker = connection_tracker(&request);
        let RequestBody { bytes, share } =
            RequestBody::try_read(request.into_body(), &self.state).await?;
        let mut chat = ChatRequest::try_read(&bytes)?;
        // The request holds its own copy; the call may run for minutes.
        drop(bytes);
        let (call, actions) = self.state.calls.open();
        let guard = CallGuard::new(Arc::clone(&self.state), call.clone());
        let arrival = CallArrival {
            call,
            key_digest: head.key_digest,
            route: CallRoute::Chat {
                model: chat.model.clone(),
            },
            budget: head.budget,
            idempotency: head.idempotency.clone(),
            repeatable: head.repeatable,
            deadline: head.deadline,
            input_bound: chat.input_bound,
            output_bound: chat.output_bound,
            prefix: std::mem::take(&mut chat.prefix),
        };
        let run = CallRun {
            guard,
            actions,
            content: CallContent::Chat {
                chat,
                idempotency: head.idempotency,
            },
            share,
            tracker,
        };
        Ok(run.run(arrival).await)
    }

    async fn handle_plain(&self, request: Request<Body>) -> Result<Response, CallFault> {
        let head = CallHead::try_read(request.headers(), system_time())?;
        let (service, path) = read_service_path(request.uri())?;
        let tracker = connection_tracker(&request);
        let (parts, body) = request.into_parts();
        let mut plain = PlainRequest::new(parts.method, path, &parts.headers);
        let RequestBody { bytes, share } = RequestBody::try_read(body, &self.state).await?;
        plain.body = bytes;
        let (call, actions) = self.state.calls.open();
        let guard = CallGuard::new(Arc::clone(&self.state), call.clone());
        let arrival = CallArrival {
            call,
            key_digest: head.key_digest,
            route: CallRoute::Service { service },
            budget: head.budget,
            idempotency: head.idempotency,
            repeatable: head.repeatable,
            deadline: head.deadline,
            input_bound: 0,
            output_bound: None,
            prefix: Vec::new(),
        };
        let run = CallRun {
            guard,
            actions,
            content: CallContent::Plain(plain),
            share,
            tracker,
        };
        Ok(run.run(arrival).await)
    }

    async fn list_models(&self, request: &Request<Body>) -> Result<Response, CallFault> {
        let busy =
            || CallFault::new(RefusalReason::RingFull, "the router is busy").retry_after(1_000);
        let key_digest = read_key(request.headers())?;
        let (call, mut actions) = self.state.calls.open();
        let guard = CallGuard::new(Arc::clone(&self.state), call.clone());
        let query = CallEvent::ModelsQuery { call, key_digest };
        if !self.state.ring.try_raise(CoreEvent::Call(query)) {
            return Err(busy());
        }
        match tokio::time::timeout(LIST_TIMEOUT, actions.recv()).await {
            Ok(Some(CallAction::Models { models, .. })) => Ok(models_answer(models)),
            Ok(Some(CallAction::Refuse { refusal, .. })) => {
                Ok(refusal_answer(&refusal, guard.call()))
            }
            _ => Err(busy()),
        }
    }
}

fn check_version(version: Version) -> Result<(), CallFault> {
    // To HTTP/1.0 an answer of unknown length ends with the connection, so a truncated answer would
    // look complete.
    match version {
        Version::HTTP_11 => Ok(()),
        _ => Err(CallFault::bad_request("HTTP/1.1 is needed").closing()),
    }
}

fn connection_tracker(request: &Request<Body>) -> ConnectionTracker {
    request
        .extensions()
        .get::<ConnectionTracker>()
        .cloned()
        .unwrap_or_default()
}

fn models_answer(models: Vec<ModelName>) -> Response {
    let list = ModelList {
        object: "list",
        data: models
            .into_iter()
            .map(|id| ModelText {
                id,
                object: "model",
                owned_by: "beechsaddle",
            })
            .collect(),
    };
    let text = serde_json::to_vec(&list).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
