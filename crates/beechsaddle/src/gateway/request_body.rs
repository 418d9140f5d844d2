//! The `request_body` module provides the reading of callers' request bodies.

use std::time::Duration;

use beechsaddle_core::prelude::*;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::buffer_memory::BufferShare;

/// The memory of a request body.
type RequestShare = BufferShare<Option<WorkspaceName>>;

/// Why a request body was not read to its end.
#[derive(Debug)]
pub(super) enum BodyFault {
    TooLarge,
    Unreadable(hyper::Error),
    TimedOut,
    MemoryFull,
}

/// Reads a request body of at most `bytes_max` bytes, up to the time `left`.
///
/// # Errors
///
/// A [`BodyFault`]; a rest of the body is unread.
pub(super) async fn read_request(
    body: Incoming,
    share: RequestShare,
    bytes_max: usize,
    left: Duration,
) -> Result<(Bytes, RequestShare), BodyFault> {
    let reading = read_to_end(body, share, bytes_max);
    timeout(left, reading)
        .await
        .unwrap_or(Err(BodyFault::TimedOut))
}

async fn read_to_end(
    mut body: Incoming,
    mut share: RequestShare,
    bytes_max: usize,
) -> Result<(Bytes, RequestShare), BodyFault> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyFault::Unreadable)?;
        // Trailers are not passed on.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = first.len() + joined.len() + data.len();
        if length > bytes_max {
            return Err(BodyFault::TooLarge);
        }
        if !share.try_resize(length) {
            return Err(BodyFault::MemoryFull);
        }
        if length == data.len() {
            // Most bodies come as one chunk.
            first = data;
            continue;
        }
        if joined.is_empty() {
            // What has no announced length grows by itself.
            let rest = usize::try_from(body.size_hint().lower()).unwrap_or(0);
            joined.reserve((length + rest).min(bytes_max));
            joined.extend_from_slice(&first);
            first = Bytes::new();
        }
        joined.extend_from_slice(&data);
    }
    let whole = match joined.is_empty() {
        true => first,
        false => joined.freeze(),
    };
    Ok((whole, share))
}
