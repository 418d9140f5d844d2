//! The `stand_in_server` module provides the HTTP server that all stand-ins share.
//!
//! It uses `hyper` instead of `volo-http`: a stand-in has to close connections without a response,
//! abort responses and refuse connections. A `volo-http` handler can do none of these, since its
//! errors become responses.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::listen_gate::ListenGate;

/// The largest request body that a stand-in reads, in bytes.
const REQUEST_BYTES_MAX: usize = 8_000_000;

/// The pause between attempts to bind the port again after an outage.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// The body of a response; an error in it aborts the connection.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// The reaction of a stand-in to a request.
#[derive(Debug)]
pub enum StandInResponse {
    /// Sends a response.
    Reply(Response<ResponseBody>),
    /// Closes the connection without a response.
    Close,
}

/// The request handling of one kind of stand-in.
pub trait StandInService: Send + Sync + 'static {
    /// Handles a request. The future is dropped when the client disconnects.
    fn respond(&self, request: Request<Bytes>) -> impl Future<Output = StandInResponse> + Send;
}

/// A running stand-in; dropping it stops the server.
pub struct StandInServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl StandInServer {
    /// Listens on `listen` and serves on a thread of its own.
    pub fn try_start(
        listen: SocketAddr,
        gate: ListenGate,
        service: Arc<impl StandInService>,
    ) -> eyre::Result<Self> {
        // The listener is bound without a runtime, so that tests can start stand-ins inside one.
        let listener = std::net::TcpListener::bind(listen)
            .wrap_err_with(|| format!("cannot listen on {listen}"))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new()
            .name("stand-in".to_owned())
            .spawn(move || run(listener, address, gate, service, stopped))
            .wrap_err("cannot start the server thread")?;
        Ok(StandInServer {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Blocks until the server ends, which happens only when the process ends.
    pub fn join(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl fmt::Debug for StandInServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "StandInServer({})", self.address)
    }
}

fn run(
    listener: std::net::TcpListener,
    address: SocketAddr,
    gate: ListenGate,
    service: Arc<impl StandInService>,
    stopped: watch::Receiver<bool>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return;
    };
    runtime.block_on(async move {
        if let Ok(listener) = TcpListener::from_std(listener) {
            serve(listener, address, gate, service, stopped).await;
        }
    });
}

async fn serve(
    listener: TcpListener,
    address: SocketAddr,
    gate: ListenGate,
    service: Arc<impl StandInService>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut listener = Some(listener);
    loop {
        let Some(open) = listener.take() else {
            return;
        };
        tokio::select! {
            () = accept_all(open, Arc::clone(&service)) => {}
            () = gate.wait_until_closed() => {}
            _ = stopped.changed() => return,
        }
        // The listener and all connections are dropped by now: clients see resets and refused
        // connections.
        tokio::select! {
            () = gate.wait_until_open() => {}
            _ = stopped.changed() => return,
        }
        listener = rebind(address).await;
    }
}

async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Some(listener);
        }
        tokio::time::sleep(REBIND_PAUSE).await;
    }
    None
}

async fn accept_all(listener: TcpListener, service: Arc<impl StandInService>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let _ = stream.set_nodelay(true);
                    connections.spawn(serve_connection(stream, Arc::clone(&service)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, service: Arc<impl StandInService>) {
    let handler = service_fn(move |request| respond(Arc::clone(&service), request));
    // Errors are expected here: a client disconnected, or a fault was injected.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), handler)
        .await;
}

async fn respond(
    service: Arc<impl StandInService>,
    request: Request<Incoming>,
) -> io::Result<Response<ResponseBody>> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, REQUEST_BYTES_MAX)
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    match service.respond(Request::from_parts(parts, body)).await {
        StandInResponse::Reply(response) => Ok(response),
        StandInResponse::Close => Err(io::Error::other("connection closed by an injected fault")),
    }
}

/// Returns a response body with all bytes available at once.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    http_body_util::Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
