//! The `caller_listener` module provides the listener for callers' connections.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::CallerLimits;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::answer_body::TrackedBody;
use super::call_exchange::serve_call;
use super::gateway_metrics::{CALLER_CLOSES, OutcomeLabel};
use super::gateway_state::{GatewayPhase, GatewayState};
use crate::calls::{ConnectionTracker, GuardedStream};

/// Delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// hyper panics if its buffer limit for a head is below this size, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Maximum time a caller may go without reading any byte of its response.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Accepts connections until the gateway is closing.
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, state: Rc<GatewayState>) {
    // Events are small; Nagle's algorithm would delay every token.
    if stream.set_nodelay(true).is_err() {
        // The caller has already disconnected.
        return;
    }
    let limits = state
        .config()
        .map_or(CallerLimits::default(), |config| config.limits);
    let head_timeout = Duration::from_millis(limits.head_timeout_ms);
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let accepted_at = state.now();
    let mark = ConnectionTracker::default();
    let stream = GuardedStream::new(stream, mark.clone(), head_timeout, WRITE_STALL_TIMEOUT);
    let service = service_fn(|request| {
        mark.start_request();
        let mark = mark.clone();
        let state = Rc::clone(&state);
        async move {
            let response = serve_call(state, request).await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, mark)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut phase = state.phase.subscribe();
    let mut closing = pin!(phase.wait_for(|phase| *phase >= GatewayPhase::Closing));
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                // Any other error is reflected in the record of the running call, if any.
                if ended.is_err_and(|error| error.is_timeout()) {
                    record_close(&state, accepted_at, limits);
                }
                return;
            }
            _ = &mut closing, if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Records that a caller's connection was closed by a time limit, and whether that limit was still in
/// force.
fn record_close(state: &GatewayState, accepted_at: ClockTime, limits: CallerLimits) {
    let in_force = state.config().map(|config| config.limits);
    let [current, superseded] = CALLER_CLOSES;
    let (what, level) = match in_force {
        Some(in_force) if in_force.idle_timeout_ms != limits.idle_timeout_ms => {
            (superseded, LogLevel::Info)
        }
        Some(_) | None => (current, LogLevel::Debug),
    };
    let label = OutcomeLabel { what };
    state.metrics.caller_closes.get_or_create(&label).inc();
    let mut fields = vec![
        ("open_ms", state.now().since(accepted_at).to_string()),
        ("idle_ms", limits.idle_timeout_ms.to_string()),
    ];
    let in_force_ms = in_force.map(|in_force| in_force.idle_timeout_ms);
    fields.extend(in_force_ms.map(|idle_ms| ("in_force_ms", idle_ms.to_string())));
    state.report.log(level, "caller_closed", fields);
}
