//! The `stand_in_server` module provides the HTTP server that all stand-ins share.
//!
//! It stands on `hyper` and not on `volo-http`: a stand-in has to close a connection without an
//! answer, break an answer off and refuse connections, and a `volo-http` handler can do none of
//! these, since its errors become answers.

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

/// How long a stand-in tries to get its port back after it refused connections.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// The body of an answer; an error in it breaks the connection off.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// What a stand-in does with a request.
#[derive(Debug)]
pub enum StandInAnswer {
    /// It answers.
    Reply(Response<AnswerBody>),
    /// It closes the connection without an answer.
    Close,
}

/// What makes one stand-in differ from another.
pub trait StandInService: Send + Sync + 'static {
    /// Answers a request. The future is dropped when the client hangs up.
    fn answer(&self, request: Request<Bytes>) -> impl Future<Output = StandInAnswer> + Send;
}

/// A running stand-in; it stops when this is dropped.
pub struct StandInServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl StandInServer {
    /// Listens on `listen` and serves from a thread of its own.
    pub fn try_start(
        listen: SocketAddr,
        gate: ListenGate,
        service: Arc<impl StandInService>,
    ) -> eyre::Result<Self> {
        // The listener is made without a runtime, so that tests may start stand-ins from within one.
        let listener = std::net::TcpListener::bind(listen)
            .wrap_err_with(|| format!("cannot listen on {listen}"))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new()
            .name("stand-in".to_owned())
            .spawn(move || run(listener, address, gate, service, stopped))
            .wrap_err("cannot start a thread")?;
        Ok(StandInServer {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server ends, which it does only when its process does.
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
            () = gate.until_closed() => {}
            _ = stopped.changed() => return,
        }
        // The listener and all connections are dropped here: clients see resets and refusals.
        tokio::select! {
            () = gate.until_open() => {}
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
    let answering = service_fn(move |request| answer(Arc::clone(&service), request));
    // An error here is a client that hung up or a fault that was asked for.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), answering)
        .await;
}

async fn answer(
    service: Arc<impl StandInService>,
    request: Request<Incoming>,
) -> io::Result<Response<AnswerBody>> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, REQUEST_BYTES_MAX)
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    match service.answer(Request::from_parts(parts, body)).await {
        StandInAnswer::Reply(response) => Ok(response),
        StandInAnswer::Close => Err(io::Error::other("closed on purpose")),
    }
}

/// Makes an answer body of bytes that are all there.
pub fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    http_body_util::Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
