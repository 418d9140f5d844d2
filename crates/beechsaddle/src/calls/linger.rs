//! The `linger` module provides the close of connections whose peers may still be sending.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::guarded_stream::GuardedStream;
use super::stream_limits::StreamLimits;

/// Time limit for a peer to read the last answer and close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of bytes read after the last answer from a peer that is far over a limit: what it has on its way
/// when the answer arrives, on a fast and distant link.
const FAR_LINGER_BYTES: usize = 1_024 * 1_024;

/// Number of bytes read after the last answer where nothing is known of the limit: a few times the largest
/// accepted body.
const PATIENT_LINGER_BYTES: usize = 16 * 1_024 * 1_024;

/// How many times the largest accepted body a refused one may announce so that it is read to its end.
const NEAR_BODY_FACTOR: u64 = 2;

/// Number of bytes that are read from all peers that linger at the same time: a few large bodies.
const POOL_BYTES: usize = 32 * 1_024 * 1_024;

/// Read size while lingering, in bytes.
const LINGER_BUFFER_BYTES: usize = 8 * 1_024;

/// How many bytes may be read from a peer after the last answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LingerBytes {
    /// The rest of a request that keeps to the limits: reading it costs no more than serving it.
    Allowed(usize),
    /// So many bytes, as far as the pool has them.
    Pooled(usize),
}

impl LingerBytes {
    /// The bytes for a peer that is far over a limit, or that sends without a request.
    pub(crate) const FAR: LingerBytes = LingerBytes::Pooled(FAR_LINGER_BYTES);

    /// The bytes for a peer of which it is not known how far it is over a limit.
    pub(crate) const PATIENT: LingerBytes = LingerBytes::Pooled(PATIENT_LINGER_BYTES);

    /// Returns the bytes for a refused body that announced a length (0 for none), where bodies up to
    /// `body_max` bytes are accepted: a caller just above that limit still receives its refusal.
    pub(crate) fn for_body(announced: u64, body_max: usize) -> Self {
        let near_max = (body_max as u64).saturating_mul(NEAR_BODY_FACTOR);
        match announced {
            0 => LingerBytes::Pooled(body_max.max(FAR_LINGER_BYTES)),
            announced if announced <= body_max as u64 => LingerBytes::Allowed(announced as usize),
            announced if announced <= near_max => LingerBytes::Pooled(announced as usize),
            _ => LingerBytes::FAR,
        }
    }
}

/// What is read from all peers that linger at the same time.
///
/// A crowd that sends on after its refusals would otherwise cost more than callers that are served, and fill
/// the receive queues of all connections meanwhile. Peers that come when nothing is left are closed at once.
#[derive(Clone, Debug)]
pub(crate) struct LingerPool {
    left: Arc<AtomicUsize>,
}

/// The bytes that one peer has taken from the pool, until it is dropped.
struct LingerShare {
    left: Arc<AtomicUsize>,
    bytes: usize,
}

impl Default for LingerPool {
    fn default() -> Self {
        LingerPool {
            left: Arc::new(AtomicUsize::new(POOL_BYTES)),
        }
    }
}

impl LingerPool {
    /// Takes the bytes of a peer, or what is left of them.
    fn take(&self, wanted: usize) -> LingerShare {
        let take = |left: usize| Some(left - left.min(wanted));
        let before = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        let left = before.unwrap_or_else(|unchanged| unchanged);
        LingerShare {
            left: Arc::clone(&self.left),
            bytes: left.min(wanted),
        }
    }
}

impl Drop for LingerShare {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Closes a connection so that the peer can read the last answer.
///
/// If unread bytes of the peer remain, closing makes the host send a reset, which can destroy an
/// answer that the peer has not read yet: a caller whose body is too large would see a broken
/// connection instead of its 413. The remaining bytes are therefore read, within limits, until the
/// peer closes. A connection that exceeded one of its own limits is closed at once.
pub(crate) async fn linger(
    mut guarded: GuardedStream<impl StreamLimits + Unpin>,
    bytes: LingerBytes,
    pool: &LingerPool,
) {
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
    let (mut left, _share) = match bytes {
        LingerBytes::Allowed(bytes) => (bytes, None),
        LingerBytes::Pooled(bytes) => {
            let share = pool.take(bytes);
            (share.bytes, Some(share))
        }
    };
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
