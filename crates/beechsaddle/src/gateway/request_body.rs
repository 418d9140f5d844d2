//! The `request_body` module provides the reading of callers' request bodies.

use std::time::Duration;

use beechsaddle_core::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::body_parts::BodyParts;
use super::buffer_memory::BufferShare;
use super::caller_slots::CallerSlot;

/// Size from which a body is worth a large receive window, in bytes: several round trips with a small one.
const LARGE_BODY_BYTES: usize = 65_536;

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
    slot: &CallerSlot,
    bytes_max: usize,
    left: Duration,
) -> Result<(Bytes, RequestShare), BodyFault> {
    let reading = read_to_end(body, share, slot, bytes_max);
    tokio::select! {
        biased;
        read = timeout(left, reading) => read.unwrap_or(Err(BodyFault::TimedOut)),
        // The memory is needed for calls whose requests have arrived.
        () = slot.evicted() => Err(BodyFault::MemoryFull),
    }
}

async fn read_to_end(
    mut body: Incoming,
    mut share: RequestShare,
    slot: &CallerSlot,
    bytes_max: usize,
) -> Result<(Bytes, RequestShare), BodyFault> {
    let mut parts = BodyParts::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyFault::Unreadable)?;
        // Trailers are not passed on.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = parts.len() + data.len();
        if length > bytes_max {
            return Err(BodyFault::TooLarge);
        }
        if !share.try_resize(length) {
            return Err(BodyFault::MemoryFull);
        }
        if length > LARGE_BODY_BYTES {
            slot.widen();
        }
        parts.push(&data);
    }
    Ok((parts.join(), share))
}
