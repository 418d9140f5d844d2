//! The `ready_answer` module provides answers of targets that may go to the caller.

use std::time::Duration;

use beechsaddle_core::call::{AttemptFailure, TokenUsage};
use beechsaddle_core::prelude::*;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body::Body as _;
use volo_http::body::Body;
use volo_http::response::Response;

use super::answer_tail::AnswerTail;
use super::attempt::{AttemptOrder, CallContent};
use super::chat_request::ChatRequest;
use super::edge_state::EdgeState;
use super::event_scanner::EventScanner;
use super::header_filter::{CALL_HEADER, answer_headers};
use super::whole_answer::{read_usage, read_whole};

/// The media type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The head of an answer as the caller gets it.
pub(crate) struct AnswerHead {
    status: StatusCode,
    headers: HeaderMap,
}

/// An answer of a target that may go to the caller.
pub(crate) enum ReadyAnswer {
    /// It was read whole, so that nothing of it can break off any more.
    Whole {
        /// Its head.
        head: AnswerHead,
        /// Its body.
        body: Bytes,
        /// What it used.
        usage: TokenUsage,
    },
    /// It is relayed as it comes.
    Streamed {
        /// Its head.
        head: AnswerHead,
        /// Its body, still with the target.
        body: Body,
        /// What of it is held back.
        tail: AnswerTail,
    },
}

impl AnswerHead {
    fn new(answer: &Response) -> Self {
        AnswerHead {
            status: answer.status(),
            headers: answer_headers(answer.headers()),
        }
    }

    /// The answer for the caller of `call`.
    pub(crate) fn with_body(self, body: Body, call: &CallId) -> Response {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        if let Ok(value) = HeaderValue::try_from(call.to_string()) {
            response.headers_mut().insert(CALL_HEADER, value);
        }
        response
    }
}

impl ReadyAnswer {
    /// Sends the call once and reads as much of the answer as must be known before it is relayed.
    ///
    /// # Errors
    ///
    /// Why the attempt failed; nothing of it has gone to the caller.
    pub(crate) async fn try_fetch(
        order: &AttemptOrder,
        content: &CallContent,
        state: &EdgeState,
    ) -> Result<Self, AttemptFailure> {
        let answer = order.try_send(content, state).await?;
        match content {
            CallContent::Chat { chat, .. } if chat.stream && answer.status().is_success() => {
                stream_chat(answer, chat)
            }
            CallContent::Chat { .. } => read_chat(answer, state).await,
            CallContent::Plain(_) => relay_plain(answer, state).await,
        }
    }
}

fn stream_chat(answer: Response, chat: &ChatRequest) -> Result<ReadyAnswer, AttemptFailure> {
    let is_stream = answer
        .headers()
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(EVENT_STREAM));
    if !is_stream {
        return Err(AttemptFailure::BadAnswer);
    }
    let mut head = AnswerHead::new(&answer);
    // The event with the usage may be left out, so that a length of the target's would be wrong.
    head.headers.remove(CONTENT_LENGTH);
    let scanner = EventScanner::new(chat.include_usage, chat.input_estimate);
    Ok(ReadyAnswer::Streamed {
        head,
        body: answer.into_body(),
        tail: AnswerTail::Events(Box::new(scanner)),
    })
}

async fn read_chat(answer: Response, state: &EdgeState) -> Result<ReadyAnswer, AttemptFailure> {
    let head = AnswerHead::new(&answer);
    let body = read_answer(answer, state.options.answer_bytes, state).await?;
    let usage = match head.status.is_success() {
        true => read_usage(&body)?,
        false => TokenUsage::default(),
    };
    Ok(ReadyAnswer::Whole { head, body, usage })
}

async fn relay_plain(answer: Response, state: &EdgeState) -> Result<ReadyAnswer, AttemptFailure> {
    let head = AnswerHead::new(&answer);
    let limit = state.options.plain_whole_bytes;
    let tail = match answer.body().size_hint().exact() {
        Some(size) if size <= limit as u64 => {
            let body = read_answer(answer, limit, state).await?;
            let usage = TokenUsage::default();
            return Ok(ReadyAnswer::Whole { head, body, usage });
        }
        Some(remaining) => AnswerTail::Sized {
            remaining,
            tail: Bytes::new(),
        },
        None if answer.headers().contains_key(TRANSFER_ENCODING) => AnswerTail::Chunked,
        // A body that ends with the connection looks the same whole and cut off. A target that
        // died halfway would give the caller half an answer as if it were all.
        None => return Err(AttemptFailure::BadAnswer),
    };
    Ok(ReadyAnswer::Streamed {
        head,
        body: answer.into_body(),
        tail,
    })
}

async fn read_answer(
    answer: Response,
    limit: usize,
    state: &EdgeState,
) -> Result<Bytes, AttemptFailure> {
    let idle = Duration::from_millis(state.options.answer_idle_ms);
    read_whole(answer.into_body(), limit, idle).await
}
