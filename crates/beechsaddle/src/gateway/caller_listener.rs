//! The `caller_listener` module provides the listener for callers' connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::report::LogLevel;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::answer_body::TrackedBody;
use super::call_exchange::{UnreadRequest, serve_call};
use super::caller_connection::{ActiveConnection, CallerConnection, ConnectionHistory};
use super::caller_slots::CallerSlot;
use super::gateway_state::{GatewayPhase, GatewayState};
use crate::calls::{ConnectionTracker, GuardedStream, LingerBytes, linger};

/// Delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Size of a head up to which a connection serves all later versions of the limits, in bytes: some
/// times what servers commonly allow.
const HEAD_BYTES_MAX: usize = 65_536;

/// Maximum time a caller may go without reading any byte of its response.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Accepts connections until the gateway is closing, and then those that already wait to be accepted.
pub(super) async fn run_listener(listener: TcpListener, state: Rc<GatewayState>) {
    let mut phase = state.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase >= GatewayPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => start_connection(stream, &state),
            Err(error) => {
                log_failed_accept(&state, &error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(error) = accept_waiting(listener, &state) {
        log_failed_accept(&state, &error);
    }
}

/// Accepts the connections that wait in the listener's queue. Closing the listener would reset them
/// together with the requests that their callers have sent.
fn accept_waiting(listener: TcpListener, state: &Rc<GatewayState>) -> io::Result<()> {
    // The runtime may not have noticed all of them yet.
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                start_connection(TcpStream::from_std(stream)?, state);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if is_of_one_connection(&error) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Whether a failed accept says nothing about the connections that wait behind it.
fn is_of_one_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
    )
}

fn log_failed_accept(state: &GatewayState, error: &io::Error) {
    let fields = [("error", error.to_string())];
    state.report.log(LogLevel::Warning, "accept_failed", fields);
}

/// Serves a connection in a task of its own, for which a shutdown waits from now on. One for which there is no
/// memory or descriptor is closed.
fn start_connection(stream: TcpStream, state: &Rc<GatewayState>) {
    let Some(slot) = CallerSlot::try_open(state) else {
        return;
    };
    let active = ActiveConnection::start(state);
    spawn_local(serve_connection(stream, Rc::clone(state), active, slot));
}

async fn serve_connection(
    stream: TcpStream,
    state: Rc<GatewayState>,
    active: ActiveConnection,
    slot: CallerSlot,
) {
    // Events are small; Nagle's algorithm would delay every token.
    if stream.set_nodelay(true).is_err() {
        // The caller has already disconnected.
        return;
    }
    let history = Rc::new(ConnectionHistory::new(state.now()));
    let slot = Rc::new(slot);
    let connection =
        CallerConnection::new(Rc::clone(&state), Rc::clone(&history), Rc::clone(&slot));
    let head_bytes = state.caller_limits().head_bytes;
    let mark = ConnectionTracker::default();
    let stream = GuardedStream::new(stream, mark.clone(), connection, WRITE_STALL_TIMEOUT);
    let unread = Cell::new(None);
    let service = service_fn(|request| {
        mark.start_request();
        let version = request.version();
        let arrival = history.record_request(state.now());
        let mark = mark.clone();
        let state = Rc::clone(&state);
        let unread = &unread;
        let slot = Rc::clone(&slot);
        async move {
            // On the heap only while a call runs: idle connections would hold the memory of one each.
            let response = Box::pin(serve_call(state, request, arrival, &slot)).await;
            unread.set(response.extensions().get::<UnreadRequest>().copied());
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, mark, version, slot)))
        }
    });
    let mut connection = http1::Builder::new()
        .header_read_timeout(None::<Duration>)
        .max_buf_size(head_bytes.max(HEAD_BYTES_MAX))
        .serve_connection(TokioIo::new(stream), service);
    let mut phase = state.phase.subscribe();
    let mut closing = pin!(phase.wait_for(|phase| *phase >= GatewayPhase::Closing));
    let mut is_closing = false;
    let ended = loop {
        tokio::select! {
            ended = &mut connection => break ended,
            // Polls the connection, which closes if it is idle. The library's own shutdown would drop a
            // part of a head, and a request that has arrived but is not read yet.
            _ = &mut closing, if !is_closing => is_closing = true,
            // Polls the connection, which closes if it waits for a request.
            () = slot.woken() => {}
        }
    };
    let is_unreadable = ended.as_ref().is_err_and(hyper::Error::is_parse);
    if !is_unreadable && unread.get().is_none() {
        // All that was read is answered, and the answers are sent.
        drop(active);
    }
    // Other errors are reflected in the record of the running call, if any; its caller must see the
    // close at once.
    if is_unreadable || ended.is_ok() {
        let stream = connection.into_parts().io.into_inner();
        let bytes = unread.get().map(|unread| unread.linger_bytes);
        slot.record_linger();
        let lingering = linger(stream, bytes.unwrap_or(LingerBytes::FAR), &state.lingering);
        tokio::select! {
            () = lingering => {}
            () = slot.evicted() => {}
        }
    }
}
