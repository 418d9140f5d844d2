//! The `connection` module provides the server side of one HTTP connection.
//!
//! The library's own server loop has no time limit for request heads and no limit on connections,
//! and it stops 30 s after a signal even if calls are running. The edge therefore runs its own loop
//! over the HTTP connection that the library uses; services, requests and answers are the
//! library's.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use beechsaddle_core::prelude::*;
use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use motore::service::Service;
use tokio::net::TcpStream;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;

use super::call_fault::CallFault;
use super::connection_limits::ConnectionLimits;
use super::connection_tracker::ConnectionTracker;
use super::edge_phase::EdgePhase;
use super::edge_state::EdgeState;
use super::guarded_stream::GuardedStream;
use super::linger::{LingerBytes, linger};
use super::tracked_body::TrackedBody;

/// The library panics below this limit.
const MIN_HEAD_BYTES: usize = 8_192;

/// Serves one connection to its end.
pub(crate) async fn serve_connection<S>(
    stream: TcpStream,
    peer: SocketAddr,
    service: S,
    state: Arc<EdgeState>,
) where
    S: Service<ServerContext, Request<Body>, Response = Response, Error = Infallible>
        + Clone
        + Send
        + Sync,
{
    let tracker = ConnectionTracker::default();
    let head_timeout = Duration::from_millis(state.options.head_timeout_ms);
    let idle_timeout = Duration::from_millis(state.options.idle_timeout_ms);
    let write_stall = Duration::from_millis(state.options.write_stall_ms);
    let limits = ConnectionLimits::new(head_timeout);
    let stream = GuardedStream::new(stream, tracker.clone(), limits.clone(), write_stall);
    let hyper_service = service_fn(|request: Request<Incoming>| {
        let service = service.clone();
        let tracker = tracker.clone();
        let limits = limits.clone();
        Box::pin(async move {
            tracker.start_request();
            let mut request = request.map(Body::from_incoming);
            request.extensions_mut().insert(tracker.clone());
            let mut context = ServerContext::new(Address::Ip(peer));
            let mut response = service.call(&mut context, request).await?;
            if limits.is_closing() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, tracker)))
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + head_timeout)
        .max_buf_size(state.options.head_bytes.max(MIN_HEAD_BYTES))
        .max_headers(state.options.max_headers)
        .serve_connection(TokioIo::new(stream), hyper_service);
    let mut closing = pin!(wait_for_grace_end(&state));
    let ended = loop {
        tokio::select! {
            ended = std::future::poll_fn(|context| connection.poll_without_shutdown(context)) => {
                break ended;
            }
            // Polls the connection, which ends if it waits for a request. The library's own shutdown
            // would drop a part of a head, and a request that has arrived but is not read yet.
            () = &mut closing, if !limits.is_closing() => limits.close(),
        }
    };
    if let Err(error) = ended {
        count_unreadable(&error, &state);
    }
    if !tracker.is_broken() {
        let stream = connection.into_parts().io.into_inner();
        linger(stream, LingerBytes::PATIENT, &state.lingering).await;
    }
}

/// Waits until a connection without a running call has to close.
async fn wait_for_grace_end(state: &EdgeState) {
    let mut phase = state.phase.subscribe();
    let _ = phase.wait_for(|phase| *phase >= EdgePhase::Refusing).await;
    // A call may be in flight on an idle connection. Closing now would leave its caller without an
    // answer; during the grace period it receives a refusal, even if the router has no open call and
    // could exit.
    tokio::time::sleep(Duration::from_millis(state.options.drain_grace_ms)).await;
}

/// Counts a request head that the library rejected with a bare 4xx.
fn count_unreadable(error: &hyper::Error, state: &EdgeState) {
    if error.is_parse() || error.is_parse_too_large() {
        state.count_fault(&CallFault::new(
            RefusalReason::BadRequest,
            "the request head cannot be read",
        ));
    }
}
