//! The `buffered_answer` module provides answers that are read completely before they are relayed.

use std::time::Duration;

use beechsaddle_core::call::{AttemptFailure, TokenUsage};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use serde::Deserialize;
use volo_http::body::Body;

/// Token usage in the engines' format.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct ReportedUsage {
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

impl From<ReportedUsage> for TokenUsage {
    fn from(usage: ReportedUsage) -> Self {
        TokenUsage {
            input: usage.prompt_tokens,
            output: usage.completion_tokens,
        }
    }
}

#[derive(Deserialize)]
struct ChatAnswer {
    usage: ReportedUsage,
}

/// Reads a whole answer as long as its size is accepted.
///
/// # Errors
///
/// `ConnectionLost` if it is truncated, `TimedOut` if nothing arrives for `idle`, and `BadAnswer`
/// if its size is not accepted.
pub(crate) async fn read_while(
    mut body: Body,
    idle: Duration,
    mut is_accepted: impl FnMut(usize) -> bool,
) -> Result<Bytes, AttemptFailure> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    loop {
        let part = match tokio::time::timeout(idle, body.frame()).await {
            Err(_elapsed) => return Err(AttemptFailure::TimedOut),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(AttemptFailure::ConnectionLost),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        if !is_accepted(first.len() + joined.len() + part.len()) {
            return Err(AttemptFailure::BadAnswer);
        }
        if first.is_empty() && joined.is_empty() {
            first = part;
            continue;
        }
        if joined.is_empty() {
            joined.extend_from_slice(&first);
            first = Bytes::new();
        }
        joined.extend_from_slice(&part);
    }
    Ok(match joined.is_empty() {
        true => first,
        false => joined.freeze(),
    })
}

/// Reads the usage of a complete chat answer.
///
/// # Errors
///
/// `BadAnswer` if it has none, since it could not be billed.
pub(crate) fn read_usage(answer: &[u8]) -> Result<TokenUsage, AttemptFailure> {
    let answer: ChatAnswer =
        serde_json::from_slice(answer).map_err(|_| AttemptFailure::BadAnswer)?;
    Ok(answer.usage.into())
}
