//! The `ready_answer` module provides target answers that may be relayed to the caller.

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
use super::attempt::{AttemptDispatch, CallContent};
use super::body_memory::{BodyMemory, MemoryShare};
use super::buffered_answer::{read_usage, read_while};
use super::chat_request::ChatRequest;
use super::edge_state::EdgeState;
use super::event_scanner::EventScanner;
use super::header_filter::{CALL_HEADER, answer_headers};

/// Media type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Memory of all whole answers together in bytes, beyond the small ones. The limit of one answer times
/// the number of calls is more than a host has.
const ANSWER_MEMORY_BYTES: usize = 64 * 1_024 * 1_024;

/// Size of an answer up to which it always finds memory, in bytes: that of usual answers. A target in
/// trouble then takes none of them away.
const SMALL_ANSWER_BYTES: usize = 64 * 1_024;

/// Status and headers of an answer, as sent to the caller.
pub(crate) struct AnswerHead {
    status: StatusCode,
    headers: HeaderMap,
}

/// A complete body, and the memory that it holds.
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    // Released together with the body.
    _share: MemoryShare,
}

/// Creates the limit on the memory of all whole answers.
pub(crate) fn answer_memory() -> BodyMemory {
    BodyMemory::new(ANSWER_MEMORY_BYTES)
}

/// A target's answer that may be relayed to the caller.
pub(crate) enum ReadyAnswer {
    /// Completely received, so it cannot be truncated any more.
    Buffered {
        head: AnswerHead,
        body: BufferedBody,
        usage: TokenUsage,
    },
    /// Relayed while it arrives.
    Streamed {
        head: AnswerHead,
        /// Body, not read yet.
        body: Body,
        /// Held-back last part.
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

    /// Builds the answer for the caller of `call`.
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
    /// Sends the call once and reads as much of the answer as is needed before it can be relayed.
    ///
    /// # Errors
    ///
    /// The reason why the attempt failed; nothing was sent to the caller.
    pub(crate) async fn try_fetch(
        dispatch: &AttemptDispatch,
        content: &CallContent,
        state: &EdgeState,
    ) -> Result<Self, AttemptFailure> {
        let answer = dispatch.try_send(content, state).await?;
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
    // The event with the usage may be left out, so the target's length would be wrong.
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
        true => read_usage(&body.bytes)?,
        false => TokenUsage::default(),
    };
    Ok(ReadyAnswer::Buffered { head, body, usage })
}

async fn relay_plain(answer: Response, state: &EdgeState) -> Result<ReadyAnswer, AttemptFailure> {
    let head = AnswerHead::new(&answer);
    let limit = state.options.plain_whole_bytes;
    let tail = match answer.body().size_hint().exact() {
        Some(size) if size <= limit as u64 => {
            let body = read_answer(answer, limit, state).await?;
            let usage = TokenUsage::default();
            return Ok(ReadyAnswer::Buffered { head, body, usage });
        }
        Some(remaining) => AnswerTail::Sized {
            remaining,
            tail: Bytes::new(),
        },
        None if answer.headers().contains_key(TRANSFER_ENCODING) => AnswerTail::Chunked,
        // A body that ends with the connection looks the same complete and truncated. If the target
        // died halfway, the caller would take half an answer for all of it.
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
) -> Result<BufferedBody, AttemptFailure> {
    let idle = Duration::from_millis(state.options.answer_idle_ms);
    let mut share = state.answer_memory.share();
    let has_room =
        |size: usize| size <= limit && share.try_grow(size.saturating_sub(SMALL_ANSWER_BYTES));
    let bytes = read_while(answer.into_body(), idle, has_room).await?;
    Ok(BufferedBody {
        bytes,
        _share: share,
    })
}
