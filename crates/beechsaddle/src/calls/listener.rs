//! The `listener` module provides the accepting of connections up to a limit.

use std::convert::Infallible;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use beechsaddle_core::prelude::*;
use http::Request;
use motore::service::Service;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;

use super::call_fault::CallFault;
use super::connection::serve_connection;
use super::edge_phase::EdgePhase;
use super::edge_state::EdgeState;

/// Delay after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Body of the answer to a connection beyond the limit.
const CONNECTION_REFUSAL: &str = "{\"error\":{\"type\":\"beechsaddle_refusal\",\
    \"reason\":\"overloaded\",\"ran\":\"no\",\"message\":\"too many open connections\",\
    \"retry_after_ms\":1000}}";

/// Accepts connections until the edge reaches `last_phase`.
pub(crate) async fn run_listener<S>(
    listener: TcpListener,
    service: S,
    state: Arc<EdgeState>,
    limit: usize,
    last_phase: EdgePhase,
) where
    S: Service<ServerContext, Request<Body>, Response = Response, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
{
    let slots = Arc::new(Semaphore::new(limit.min(Semaphore::MAX_PERMITS)));
    let mut phase = state.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase >= last_phase) => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            refuse_connection(stream, &state);
            continue;
        };
        // Events of a stream are small; waiting to fill a packet would delay every token.
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        let state = Arc::clone(&state);
        state.connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            serve_connection(stream, peer, service, Arc::clone(&state)).await;
            state.connections.fetch_sub(1, Ordering::Relaxed);
            drop(slot);
        });
    }
}

/// Refuses a connection beyond the limit at once, without a task or a buffer for it.
fn refuse_connection(stream: TcpStream, state: &EdgeState) {
    let fault = CallFault::new(RefusalReason::Overloaded, "too many open connections");
    state.count_fault(&fault);
    let length = CONNECTION_REFUSAL.len();
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         retry-after: 1\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n\
         {CONNECTION_REFUSAL}"
    );
    if let Ok(mut stream) = stream.into_std() {
        let _ = stream.write(answer.as_bytes());
    }
}
