//! The `whole_answer` module provides answers that are read whole before they are relayed.

use std::time::Duration;

use beechsaddle_core::call::{AttemptFailure, TokenUsage};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use serde::Deserialize;
use volo_http::body::Body;

/// The usage as engines report it.
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

/// Reads an answer of at most `limit` bytes.
///
/// # Errors
///
/// `ConnectionLost` when it breaks off, `TimedOut` when nothing comes for `idle`, and `BadAnswer`
/// when it is too long.
pub(crate) async fn read_whole(
    mut body: Body,
    limit: usize,
    idle: Duration,
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
        if first.len() + joined.len() + part.len() > limit {
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

/// Reads the usage of a whole chat answer.
///
/// # Errors
///
/// `BadAnswer` when it has none: it could not be billed.
pub(crate) fn read_usage(answer: &[u8]) -> Result<TokenUsage, AttemptFailure> {
    let answer: ChatAnswer =
        serde_json::from_slice(answer).map_err(|_| AttemptFailure::BadAnswer)?;
    Ok(answer.usage.into())
}
