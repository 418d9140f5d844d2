//! The `attempt` module provides one attempt of a call at a target, up to the head of the answer.

use std::net::SocketAddr;
use std::time::Duration;

use beechsaddle_core::call::{AttemptFailure, CallAction};
use beechsaddle_core::prelude::*;
use http::header::{ACCEPT, CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

use super::attempt_failure::read_client_error;
use super::chat_request::ChatRequest;
use super::edge_state::{EdgeState, system_time};
use super::header_filter::{ATTEMPT_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER};
use super::plain_request::PlainRequest;
use super::target_client::ConnectionChoice;

/// Chat endpoint of the engines.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Request content of a call.
pub(crate) enum CallContent {
    Chat {
        chat: ChatRequest,
        idempotency: Option<KeyText>,
    },
    Plain(PlainRequest),
}

/// Result of comparing the attempt id that a target echoes with the attempt sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerEcho {
    /// This attempt.
    Own,
    /// Another attempt.
    Other,
    /// The answer has no echo.
    None,
}

/// The core's decision about one attempt.
pub(crate) struct AttemptDispatch {
    pub(crate) attempt: AttemptId,
    /// Socket address of the target.
    pub(crate) address: String,
    /// Value for `max_tokens`.
    pub(crate) output_limit: Option<u64>,
    /// Time limit for the answer's head, in milliseconds.
    pub(crate) head_timeout_ms: u64,
    /// The caller's deadline.
    pub(crate) deadline: Option<ClockTime>,
    /// Whether the call may be repeated.
    pub(crate) repeatable: bool,
}

impl TryFrom<CallAction> for AttemptDispatch {
    type Error = CallAction;

    fn try_from(action: CallAction) -> Result<Self, CallAction> {
        match action {
            CallAction::Dispatch {
                attempt,
                target: _,
                address,
                output_limit,
                head_timeout_ms,
                deadline,
                repeatable,
            } => Ok(AttemptDispatch {
                attempt,
                address,
                output_limit,
                head_timeout_ms,
                deadline,
                repeatable,
            }),
            action => Err(action),
        }
    }
}

impl AttemptDispatch {
    /// Sends the call once and returns an answer whose body has not been read.
    ///
    /// # Errors
    ///
    /// The reason of the failure; `ConnectFailed` only if no byte can have reached the target.
    pub(crate) async fn try_send(
        &self,
        content: &CallContent,
        state: &EdgeState,
    ) -> Result<Response, AttemptFailure> {
        let address: SocketAddr = self
            .address
            .parse()
            .map_err(|_| AttemptFailure::ConnectFailed)?;
        let request = self
            .build_request(content)
            .ok_or(AttemptFailure::ConnectFailed)?;
        let choice = match self.repeatable && state.echoes.echoes(&address) {
            true => ConnectionChoice::Pooled,
            false => ConnectionChoice::Fresh,
        };
        let sending = state.client.send(address, request, choice);
        let answer = match tokio::time::timeout(self.head_timeout(), sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return Err(read_client_error(&error)),
            Err(_elapsed) => return Err(AttemptFailure::TimedOut),
        };
        let echo = self.read_echo(answer.headers());
        state.echoes.record(address, echo == AnswerEcho::Own);
        match (echo, choice) {
            (AnswerEcho::Own, _) | (AnswerEcho::None, ConnectionChoice::Fresh) => {}
            (AnswerEcho::Other, _) | (AnswerEcho::None, ConnectionChoice::Pooled) => {
                state.client.drop_pool();
                return Err(AttemptFailure::WrongAttempt);
            }
        }
        self.check_status(answer.status(), content)?;
        Ok(answer)
    }

    fn head_timeout(&self) -> Duration {
        let left_ms = self
            .deadline
            .map_or(u64::MAX, |deadline| deadline.since(system_time()));
        Duration::from_millis(self.head_timeout_ms.min(left_ms).max(1))
    }

    fn build_request(&self, content: &CallContent) -> Option<Request<Body>> {
        let mut request = match content {
            CallContent::Chat { chat, idempotency } => {
                self.build_chat(chat, idempotency.as_ref())?
            }
            CallContent::Plain(plain) => build_plain(plain),
        };
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::try_from(&self.address).ok()?);
        let attempt = HeaderValue::try_from(self.attempt.to_string()).ok()?;
        headers.insert(ATTEMPT_HEADER, attempt);
        if let Some(deadline) = self.deadline {
            let left_ms = deadline.since(system_time());
            headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms));
        }
        Some(request)
    }

    fn build_chat(
        &self,
        chat: &ChatRequest,
        idempotency: Option<&KeyText>,
    ) -> Option<Request<Body>> {
        let body = chat.write_body(self.output_limit);
        let mut request = Request::new(Body::from(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(CHAT_PATH);
        let headers = request.headers_mut();
        let json = HeaderValue::from_static("application/json");
        let accepted = match chat.stream {
            true => HeaderValue::from_static("text/event-stream"),
            false => json.clone(),
        };
        headers.insert(CONTENT_TYPE, json);
        headers.insert(ACCEPT, accepted);
        if let Some(key) = idempotency {
            headers.insert(
                IDEMPOTENCY_HEADER,
                HeaderValue::try_from(key.as_str()).ok()?,
            );
        }
        Some(request)
    }

    /// Compares the echoed attempt id with this attempt.
    ///
    /// A target, or a proxy before it, that mixes up connections would give one caller another
    /// caller's answer. An answer that names another attempt is dropped with its connection; so is
    /// one without an echo on a reused connection, since connections are reused only for targets
    /// that echo.
    fn read_echo(&self, headers: &HeaderMap) -> AnswerEcho {
        let expected = self.attempt.to_string();
        let mut echoes = headers.get_all(ATTEMPT_HEADER).iter().peekable();
        if echoes.peek().is_none() {
            return AnswerEcho::None;
        }
        match echoes.all(|echo| echo.as_bytes() == expected.as_bytes()) {
            true => AnswerEcho::Own,
            false => AnswerEcho::Other,
        }
    }

    /// Separates failed attempts from answers for the caller.
    ///
    /// A server error of a call that may not be repeated is relayed: the call cannot be retried,
    /// and the target's own error describes best what happened.
    fn check_status(
        &self,
        status: StatusCode,
        content: &CallContent,
    ) -> Result<(), AttemptFailure> {
        let is_engine = matches!(content, CallContent::Chat { .. });
        match status {
            _ if status.is_informational() => Err(AttemptFailure::BadAnswer),
            _ if status.is_redirection() && is_engine => Err(AttemptFailure::BadAnswer),
            _ if !self.repeatable => Ok(()),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(AttemptFailure::TargetBusy)
            }
            _ if status.is_server_error() => Err(AttemptFailure::ServerError),
            _ => Ok(()),
        }
    }
}

fn build_plain(plain: &PlainRequest) -> Request<Body> {
    let body = match plain.body.is_empty() {
        true => Body::empty(),
        false => Body::from(plain.body.clone()),
    };
    let mut request = Request::new(body);
    *request.method_mut() = plain.method.clone();
    *request.uri_mut() = http::Uri::from(plain.path.clone());
    *request.headers_mut() = plain.headers.clone();
    request
}
