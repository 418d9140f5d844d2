//! The `listener` module provides the accepting of connections up to a limit.

use std::convert::Infallible;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use beechsaddle_core::prelude::*;
use http::Request;
use motore::service::Service;
use socket2::SockRef;
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

/// Accepts connections until the edge reaches `last_phase`, and then those that already wait to be
/// accepted.
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
    let start = |(stream, peer): (TcpStream, SocketAddr)| {
        start_connection(stream, peer, service.clone(), &state, &slots);
    };
    let mut phase = state.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase >= last_phase) => break,
        };
        match accepted {
            Ok(accepted) => start(accepted),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    let grace = Duration::from_millis(state.options.drain_grace_ms);
    // Beyond the grace only a lack of file descriptors can last.
    let _ = tokio::time::timeout(grace, accept_waiting(&listener, start)).await;
}

/// Accepts the connections that wait in the listener's queue. Closing the listener would reset them
/// together with the requests that their callers have sent.
async fn accept_waiting(listener: &TcpListener, start: impl Fn((TcpStream, SocketAddr))) {
    loop {
        match try_accept_waiting(listener) {
            Ok(accepted) => start(accepted),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) if is_of_one_connection(&error) => {}
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Accepts a connection that the runtime may not have noticed yet.
fn try_accept_waiting(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (socket, address) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    let peer = address.as_socket().ok_or(io::ErrorKind::Unsupported)?;
    Ok((TcpStream::from_std(socket.into())?, peer))
}

/// Whether a failed accept says nothing about the connections that wait behind it.
fn is_of_one_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
    )
}

/// Serves a connection in a task of its own, or refuses it if there are too many.
fn start_connection<S>(
    stream: TcpStream,
    peer: SocketAddr,
    service: S,
    state: &Arc<EdgeState>,
    slots: &Arc<Semaphore>,
) where
    S: Service<ServerContext, Request<Body>, Response = Response, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
{
    let Ok(slot) = Arc::clone(slots).try_acquire_owned() else {
        return refuse_connection(stream, state);
    };
    // Events of a stream are small; waiting to fill a packet would delay every token.
    let _ = stream.set_nodelay(true);
    let state = Arc::clone(state);
    state.connections.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(async move {
        serve_connection(stream, peer, service, Arc::clone(&state)).await;
        state.connections.fetch_sub(1, Ordering::Relaxed);
        drop(slot);
    });
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
