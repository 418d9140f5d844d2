//! The `http_link` module provides one connection to an HTTP server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::LinkFailure;

/// How many questions of a silent connection may stay unanswered. The limit on unacknowledged bytes
/// ends it first where that is shorter.
const KEEPALIVE_TRIES: u32 = 2;

/// How connections are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// How long one try to connect may go alone. After it the next one begins, and the last one ends
    /// them all.
    pub connect_timeout: Duration,
    /// How many tries there are. The tries before the last go on beside it: on a path that was cut
    /// and is whole again a new try is faster, since the old one asks again after a second only; on a
    /// crowded path an old one is, since every new one waits in the same queue from its end.
    pub connect_tries: u32,
    /// How long written bytes may stay unacknowledged. A cut drops packets without a word, and the
    /// system by itself goes on trying for a quarter of an hour.
    pub unacknowledged_timeout: Duration,
    /// How long a connection may stay silent before its peer's host is asked whether it is still
    /// there, in whole seconds as the system counts them; `None` never asks. It matters where an
    /// answer may rightly take long: a connection whose packets are dropped looks the same.
    pub keepalive: Option<Duration>,
    /// The largest head of an answer, in bytes.
    pub head_bytes: usize,
}

impl Default for LinkOptions {
    /// For servers in the same region: some hundred times the usual round trip to connect, and six
    /// retransmissions of written bytes.
    fn default() -> Self {
        LinkOptions {
            connect_timeout: Duration::from_millis(350),
            connect_tries: 1,
            unacknowledged_timeout: Duration::from_millis(1_500),
            keepalive: None,
            head_bytes: 65_536,
        }
    }
}

/// One connection. Dropping it closes it at once, whatever is under way: the server sees that the
/// caller has gone and can stop its work.
#[derive(Debug)]
pub struct HttpLink {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl HttpLink {
    /// Connects.
    ///
    /// # Errors
    ///
    /// [`LinkFailure::Connect`] or [`LinkFailure::ConnectTimeout`].
    pub async fn try_connect(
        address: SocketAddr,
        options: LinkOptions,
    ) -> Result<HttpLink, LinkFailure> {
        let stream = connect(address, &options).await?;
        // A request is written at once, whole; waiting to fill a packet would only delay it.
        stream.set_nodelay(true).map_err(LinkFailure::Connect)?;
        set_timeouts(&stream, &options).map_err(LinkFailure::Connect)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(options.head_bytes.max(8_192));
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(LinkFailure::NotSent)?;
        let task = tokio::spawn(async move {
            // Its error also reaches the request that is under way, which tells of it. Without one
            // the link is found closed before it is used again.
            let _ = connection.await;
        });
        Ok(HttpLink { sender, task })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`LinkFailure::NotSent`] or [`LinkFailure::Unanswered`]; the link is of no use then.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkFailure> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut failure) => {
                let is_unsent = failure.take_message().is_some();
                let error = failure.into_error();
                match is_unsent {
                    true => Err(LinkFailure::NotSent(error)),
                    false => Err(LinkFailure::Unanswered(error)),
                }
            }
        }
    }

    /// Whether a request could be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }
}

/// Connects by the first of some tries that succeeds. A refusal ends them: somebody answered.
async fn connect(address: SocketAddr, options: &LinkOptions) -> Result<TcpStream, LinkFailure> {
    let mut tries = FuturesUnordered::new();
    for _ in 0..options.connect_tries.max(1) {
        tries.push(TcpStream::connect(address));
        match timeout(options.connect_timeout, tries.next()).await {
            Ok(Some(Ok(stream))) => return Ok(stream),
            Ok(Some(Err(error))) => return Err(LinkFailure::Connect(error)),
            Ok(None) | Err(_) => {}
        }
    }
    Err(LinkFailure::ConnectTimeout)
}

/// Has the system end a connection whose peer does not acknowledge, or is not there any more.
fn set_timeouts(stream: &TcpStream, options: &LinkOptions) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(options.unacknowledged_timeout))?;
    let Some(silence) = options.keepalive else {
        return Ok(());
    };
    let keepalive = TcpKeepalive::new()
        .with_time(silence)
        .with_interval(silence)
        .with_retries(KEEPALIVE_TRIES);
    socket.set_tcp_keepalive(&keepalive)
}

impl Drop for HttpLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}
