//! The `probe` module provides probes of targets and orders to engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{
    CacheUpdate, EngineState, OrderOutcome, ProbeOutcome, TargetAction, TargetEvent,
};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use volo_http::body::Body;

use super::body_memory::BodyMemory;
use super::buffered_answer::read_while;
use super::edge_state::EdgeState;
use super::probe_answer::{read_health, write_order};
use super::target_client::ConnectionChoice;

/// Maximum number of concurrent probes and orders.
const PROBE_SLOTS: usize = 512;
/// Maximum size of an answer to a probe in bytes.
const MAX_PROBE_ANSWER_BYTES: usize = 1_024 * 1_024;
/// Memory of all answers to probes together in bytes, beyond the small ones. A router's host has little
/// memory.
const PROBE_MEMORY_BYTES: usize = 16 * 1_024 * 1_024;
/// Size of an answer up to which it always finds memory, in bytes: that of usual answers. Targets in
/// trouble then cause no failed probes of others.
const SMALL_ANSWER_BYTES: usize = 64 * 1_024;
/// Retry delay of a throttled order without a `retry-after-ms` header, in milliseconds.
const DEFAULT_THROTTLE_MS: u64 = 1_000;

/// Maximum retry delay accepted from an engine, in milliseconds. One invalid answer could otherwise
/// stop all loads that this router orders forever.
const MAX_THROTTLE_MS: u64 = 60_000;
/// Header with the retry delay in milliseconds.
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Runs probes and orders.
pub(crate) struct ProbeRunner {
    state: Arc<EdgeState>,
    runtime: Handle,
    slots: Arc<Semaphore>,
}

/// Creates the limit on the memory of all answers to probes.
pub(crate) fn probe_memory() -> BodyMemory {
    BodyMemory::new(PROBE_MEMORY_BYTES)
}

/// A target's answer to a probe or an order.
struct ProbeReply {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl ProbeRunner {
    /// Creates a runner whose probes run on `runtime`.
    pub(crate) fn new(state: Arc<EdgeState>, runtime: Handle) -> Self {
        ProbeRunner {
            state,
            runtime,
            slots: Arc::new(Semaphore::new(PROBE_SLOTS)),
        }
    }

    /// Starts a probe or an order. Its outcome is always sent to the core; if no slot is free,
    /// which means that hundreds of targets do not answer, it is sent as failed or unknown at once.
    pub(crate) fn start(&self, action: TargetAction) {
        let state = Arc::clone(&self.state);
        let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() else {
            state.ring.raise(CoreEvent::Target(failed_event(action)));
            return;
        };
        self.runtime.spawn(async move {
            let event = carry_out(action, &state).await;
            state.ring.raise(CoreEvent::Target(event));
            drop(slot);
        });
    }
}

fn failed_event(action: TargetAction) -> TargetEvent {
    match action {
        TargetAction::Probe { target, .. } => TargetEvent::Probed {
            target,
            outcome: ProbeOutcome::Failed,
            cache: None,
        },
        TargetAction::Order { target, fence, .. } => TargetEvent::Ordered {
            target,
            fence,
            outcome: OrderOutcome::Unknown,
        },
    }
}

async fn carry_out(action: TargetAction, state: &EdgeState) -> TargetEvent {
    match action {
        TargetAction::Probe {
            target,
            address,
            cache_after,
        } => {
            let outcome = probe(&address, state).await;
            let cache = match cache_after {
                Some(after) if outcome != ProbeOutcome::Failed => {
                    read_cache_update(&address, after, state).await
                }
                _ => None,
            };
            TargetEvent::Probed {
                target,
                outcome,
                cache,
            }
        }
        TargetAction::Order {
            target,
            address,
            fence,
            state: engine,
        } => TargetEvent::Ordered {
            target,
            fence,
            outcome: order(&address, fence, &engine, state).await,
        },
    }
}

async fn probe(address: &str, state: &EdgeState) -> ProbeOutcome {
    let request = get_request("/health");
    match exchange(address, request, ConnectionChoice::Pooled, state).await {
        Some(reply) => read_health(reply.status.is_success(), &reply.body),
        None => ProbeOutcome::Failed,
    }
}

/// Cache events are hints: if they cannot be read, the next probe requests them again.
async fn read_cache_update(address: &str, after: u64, state: &EdgeState) -> Option<CacheUpdate> {
    let request = get_request(&format!("/cache-events?after={after}"));
    let reply = exchange(address, request, ConnectionChoice::Pooled, state).await?;
    match reply.status.is_success() {
        true => serde_json::from_slice(&reply.body).ok(),
        false => None,
    }
}

async fn order(address: &str, fence: u64, engine: &EngineState, state: &EdgeState) -> OrderOutcome {
    let mut request = Request::new(Body::from(write_order(fence, engine)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("/orders");
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    let reply = exchange(address, request, ConnectionChoice::Fresh, state).await;
    let Some(reply) = reply else {
        return OrderOutcome::Unknown;
    };
    match reply.status {
        StatusCode::ACCEPTED | StatusCode::OK => OrderOutcome::Accepted,
        StatusCode::CONFLICT => OrderOutcome::Fenced,
        StatusCode::TOO_MANY_REQUESTS => OrderOutcome::Throttled {
            retry_after_ms: read_retry_after(&reply.headers),
        },
        _ => OrderOutcome::Unknown,
    }
}

fn read_retry_after(headers: &HeaderMap) -> u64 {
    headers
        .get(RETRY_AFTER_MS_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(DEFAULT_THROTTLE_MS)
        .min(MAX_THROTTLE_MS)
}

fn get_request(path: &str) -> Request<Body> {
    let mut request = Request::new(Body::empty());
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
}

/// Sends a small request and reads the whole answer, all within the time limit for probes.
async fn exchange(
    address: &str,
    mut request: Request<Body>,
    choice: ConnectionChoice,
    state: &EdgeState,
) -> Option<ProbeReply> {
    let span = Duration::from_millis(state.options.probe_timeout_ms);
    let peer: SocketAddr = address.parse().ok()?;
    let host = HeaderValue::try_from(address).ok()?;
    request.headers_mut().insert(HOST, host);
    let exchange = async {
        let answer = state.client.send(peer, request, choice).await.ok()?;
        let (parts, body) = answer.into_parts();
        let mut share = state.probe_memory.share();
        let has_room = |size: usize| {
            size <= MAX_PROBE_ANSWER_BYTES
                && share.try_grow(size.saturating_sub(SMALL_ANSWER_BYTES))
        };
        let body = read_while(body, span, has_room).await.ok()?;
        Some(ProbeReply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    };
    tokio::time::timeout(span, exchange).await.ok()?
}
