//! The `linger` module provides the close of connections whose peers may still be sending.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::guarded_stream::GuardedStream;
use super::stream_limits::StreamLimits;

/// Time limit for a peer to read the last answer and close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes read from a peer that keeps sending after the last answer: a few times
/// the largest accepted body, so that a caller just above that limit still receives the refusal.
const MAX_LINGER_BYTES: usize = 16 * 1_024 * 1_024;

/// Read size while lingering, in bytes.
const LINGER_BUFFER_BYTES: usize = 16 * 1_024;

/// Closes a connection so that the peer can read the last answer.
///
/// If unread bytes of the peer remain, closing makes the host send a reset, which can destroy an
/// answer that the peer has not read yet: a caller whose body is too large would see a broken
/// connection instead of its 413. The remaining bytes are therefore read, within limits, until the
/// peer closes. A connection that exceeded one of its own limits is closed at once.
pub(crate) async fn linger(mut guarded: GuardedStream<impl StreamLimits + Unpin>) {
    if guarded.is_cut() {
        return;
    }
    // Limits on requests do not apply any more: none is awaited.
    let stream = guarded.unlimited();
    if stream.shutdown().await.is_err() {
        return;
    }
    // On the heap: in the future it would be part of every connection's task from its start.
    let mut buffer = vec![0_u8; LINGER_BUFFER_BYTES];
    let mut left = MAX_LINGER_BYTES;
    let reading = async {
        while left > 0 {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => left = left.saturating_sub(count),
            }
        }
    };
    let _ = tokio::time::timeout(LINGER_TIMEOUT, reading).await;
}
