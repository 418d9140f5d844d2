//! The `caller_listener` module provides the accepting and serving of callers' connections.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::CallerLimits;
use beechsaddle_core::report::LogLevel;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::answer_body::MarkedParts;
use super::call_exchange::serve_call;
use super::gateway_state::{GatewayPhase, GatewayState};
use crate::calls::{ConnectionMark, GuardedStream};

/// How long to wait after a failed accept, which is mostly for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The library panics below this limit of a head, in bytes.
const SMALLEST_HEAD_BYTES: usize = 8_192;

/// How long a caller may take no byte of its answer.
const WRITE_STALL: Duration = Duration::from_secs(20);

/// Accepts connections until the gateway closes.
pub(super) async fn run_listener(listener: TcpListener, state: Rc<GatewayState>) {
    let mut phase = state.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase >= GatewayPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_local(serve_connection(stream, Rc::clone(&state)));
            }
            Err(error) => {
                let fields = [("error", error.to_string())];
                state.report.log(LogLevel::Warning, "accept_failed", fields);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, state: Rc<GatewayState>) {
    // Events of a stream are small; waiting to fill a packet would delay every token.
    if stream.set_nodelay(true).is_err() {
        // The caller has gone already.
        return;
    }
    let limits = state
        .config()
        .map_or(CallerLimits::default(), |config| config.limits);
    let head_span = Duration::from_millis(limits.head_timeout_ms);
    let idle_span = Duration::from_millis(limits.idle_timeout_ms);
    let mark = ConnectionMark::default();
    let stream = GuardedStream::new(stream, mark.clone(), head_span, WRITE_STALL);
    let service = service_fn(|request| {
        mark.start_request();
        let mark = mark.clone();
        let state = Rc::clone(&state);
        async move {
            let response = serve_call(state, request).await;
            Ok::<_, Infallible>(response.map(|body| MarkedParts::new(body, mark)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_span + head_span)
        .max_buf_size(limits.head_bytes.max(SMALLEST_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut phase = state.phase.subscribe();
    let mut closing = pin!(phase.wait_for(|phase| *phase >= GatewayPhase::Closing));
    let mut is_closing = false;
    loop {
        tokio::select! {
            // What ended the connection is in the record of the call that was running, if any.
            _ = connection.as_mut() => return,
            _ = &mut closing, if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
