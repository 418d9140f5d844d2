//! The `host_listener` module provides the HTTP endpoints for the host and operators: readiness, status and
//! metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::READY_PATH;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::connection_ring::{ConnectionRing, ProofMark};
use super::gateway_state::GatewayState;
use super::status_view::view_status;

const METRICS_PATH: &str = "/metrics";

/// The path of the status, the same as on routers with the product's own interface.
const STATUS_PATH: &str = "/admin/status";

/// Idle timeout of a connection: several times the interval between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of connections to one address. The balancer and each operator need one or two.
const CONNECTIONS_MAX: usize = 64;

/// Maximum size of a request head, in bytes: the least that the library takes.
const HEAD_BYTES_MAX: usize = 8_192;

/// Serves requests until the process ends. With too many connections, the oldest one is closed.
pub(super) async fn run_host_listener(listener: TcpListener, state: Rc<GatewayState>) {
    let mut ring = ConnectionRing::new(CONNECTIONS_MAX);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                let fields = [("error", error.to_string())];
                state.report.log(LogLevel::Warning, "accept_failed", fields);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let state = Rc::clone(&state);
        let serving = spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = answer(&state, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .max_buf_size(HEAD_BYTES_MAX)
                .serve_connection(TokioIo::new(stream), service);
            // A failed connection has no consequences here; the client repeats its request.
            let _ = connection.await;
        });
        ring.push(serving.abort_handle(), ProofMark::default());
    }
}

fn answer(state: &GatewayState, path: &str) -> Response<Full<Bytes>> {
    let (status, text) = match path {
        READY_PATH if state.is_in_rotation() => (StatusCode::OK, "ready\n".to_owned()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        METRICS_PATH => (StatusCode::OK, state.metrics.to_text()),
        STATUS_PATH => status_text(state),
        _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn status_text(state: &GatewayState) -> (StatusCode, String) {
    match serde_json::to_string(&view_status(state)) {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
