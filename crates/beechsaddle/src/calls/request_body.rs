//! The `request_body` module provides the reading of request bodies within limits.

use std::time::Duration;

use beechsaddle_core::prelude::*;
use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt;
use volo_http::body::Body;

use super::body_memory::MemoryShare;
use super::call_fault::CallFault;
use super::edge_state::EdgeState;

/// Retry delay in milliseconds for callers refused because the memory for bodies is used up.
const MEMORY_RETRY_MS: u64 = 1_000;
/// First allocation in bytes for a body that arrives in parts; a larger one would let callers
/// allocate memory by a claimed length alone.
const FIRST_ALLOCATION_BYTES: usize = 16 * 1_024;

/// A request body and its share of the memory for bodies.
pub(crate) struct RequestBody {
    pub(crate) bytes: Bytes,
    /// Held as long as the bytes may be sent again.
    pub(crate) share: MemoryShare,
}

impl RequestBody {
    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// `body_too_large`, `body_timeout`, `overloaded` if the memory for bodies is used up, and
    /// `bad_request` if the body is truncated.
    pub(crate) async fn try_read(body: Body, state: &EdgeState) -> Result<Self, CallFault> {
        let limit = state.options.body_bytes;
        let claimed = body.size_hint().lower();
        if usize::try_from(claimed).map_or(true, |claimed| claimed > limit) {
            return Err(too_large(limit));
        }
        let share = state.body_memory.share();
        let span = Duration::from_millis(state.options.body_timeout_ms);
        match tokio::time::timeout(span, read_parts(body, limit, share)).await {
            Ok(read) => read,
            Err(_elapsed) => {
                let message = format!("the body did not arrive within {} ms", span.as_millis());
                Err(CallFault::new(RefusalReason::BodyTimeout, message).closing())
            }
        }
    }
}

async fn read_parts(
    mut body: Body,
    limit: usize,
    mut share: MemoryShare,
) -> Result<RequestBody, CallFault> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallFault::bad_request("the body broke off").closing())?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let length = first.len() + joined.len() + part.len();
        if length > limit {
            return Err(too_large(limit));
        }
        if !share.try_grow(length) {
            return Err(memory_used_up());
        }
        if first.is_empty() && joined.is_empty() {
            first = part;
            continue;
        }
        if joined.is_empty() {
            joined.reserve(length.max(FIRST_ALLOCATION_BYTES));
            joined.extend_from_slice(&first);
            first = Bytes::new();
        }
        joined.extend_from_slice(&part);
    }
    let bytes = if joined.is_empty() {
        first
    } else {
        joined.freeze()
    };
    Ok(RequestBody { bytes, share })
}

fn too_large(limit: usize) -> CallFault {
    let message = format!("a body may have at most {limit} bytes");
    CallFault::new(RefusalReason::BodyTooLarge, message).closing()
}

fn memory_used_up() -> CallFault {
    CallFault::new(RefusalReason::Overloaded, "too many large bodies at a time")
        .retry_after(MEMORY_RETRY_MS)
        .closing()
}
