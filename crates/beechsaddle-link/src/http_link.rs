//! The `http_link` module provides a single connection to an HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::answer_state::AnswerState;
use crate::bounded_stream::{BoundedStream, HeadBound};
use crate::{LinkBody, LinkFailure, LinkStream};

/// How many TCP keepalive probes may stay unanswered before the connection is closed. A shorter
/// `unacknowledged_timeout` closes it earlier.
const KEEPALIVE_PROBES: u32 = 2;

/// Timeouts and limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// The time between the starts of two connection attempts. After the last one, connecting fails
    /// once this time has passed.
    pub connect_timeout: Duration,
    /// The number of connection attempts. Earlier attempts continue in parallel: after a network
    /// cut a new attempt connects faster, since an old one retransmits its SYN only after a second;
    /// on a congested path an old one does, since every new SYN joins the end of the same queue.
    pub connect_attempts: u32,
    /// How long written bytes may stay unacknowledged. A network cut drops packets silently, and by
    /// default the operating system retransmits for a quarter of an hour.
    pub unacknowledged_timeout: Duration,
    /// The idle time after which TCP keepalive probes the peer, in whole seconds as the operating
    /// system requires; `None` disables it. Needed where a response may legitimately take long,
    /// since a connection whose packets are dropped looks the same.
    pub keepalive: Option<Duration>,
    /// The maximum size of a response head together with the interim responses before it, in bytes; at
    /// least 8,192.
    pub head_bytes: usize,
}

impl Default for LinkOptions {
    /// For servers in the same region: about a hundred times the usual round trip to connect, and
    /// six retransmissions of written bytes.
    fn default() -> Self {
        LinkOptions {
            connect_timeout: Duration::from_millis(350),
            connect_attempts: 1,
            unacknowledged_timeout: Duration::from_millis(1_500),
            keepalive: None,
            head_bytes: 65_536,
        }
    }
}

/// A connection. Dropping it closes the connection at once, even during a request, so that the
/// server can cancel its work. During a request the connection is reset, which also drops what the
/// server has not received.
#[derive(Debug)]
pub struct HttpLink {
    sender: SendRequest<Full<Bytes>>,
    bound: Arc<HeadBound>,
    answer: Arc<AnswerState>,
    task: JoinHandle<()>,
}

impl HttpLink {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// [`LinkFailure::Connect`] or [`LinkFailure::ConnectTimeout`]; [`LinkFailure::NotSent`] if the
    /// HTTP handshake fails.
    pub async fn try_connect(
        address: SocketAddr,
        options: LinkOptions,
    ) -> Result<HttpLink, LinkFailure> {
        let stream = open_stream(address, &options).await?;
        HttpLink::try_start(stream, &options).await
    }

    /// Starts HTTP on an established connection.
    ///
    /// # Errors
    ///
    /// [`LinkFailure::NotSent`] if the HTTP handshake fails.
    pub async fn try_start(
        stream: impl LinkStream,
        options: &LinkOptions,
    ) -> Result<HttpLink, LinkFailure> {
        let head_bytes = options.head_bytes.max(8_192);
        let bound = Arc::new(HeadBound::new(head_bytes));
        let answer = Arc::new(AnswerState::default());
        let stream = BoundedStream::new(stream, Arc::clone(&bound), Arc::clone(&answer));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(head_bytes);
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(LinkFailure::NotSent)?;
        let task = tokio::spawn(async move {
            // A pending request receives the error as well. Without one, `is_ready` reports the
            // closed connection before the next use.
            let _ = connection.await;
        });
        Ok(HttpLink {
            sender,
            bound,
            answer,
            task,
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`LinkFailure::NotSent`], [`LinkFailure::HeadTooLarge`] or [`LinkFailure::Unanswered`]; the link
    /// cannot be used afterwards.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<LinkBody>, LinkFailure> {
        self.bound.begin();
        let reader = self.answer.begin();
        let bound = Arc::clone(&self.bound);
        on_informational(&mut request, move |_| bound.record_interim());
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.bound.end();
                Ok(response.map(|body| LinkBody::new(body, reader)))
            }
            Err(mut failure) => {
                let is_unsent = failure.take_message().is_some();
                let error = failure.into_error();
                let is_too_large = self.bound.is_exceeded() || error.is_parse_too_large();
                match (is_unsent, is_too_large) {
                    (true, _) => Err(LinkFailure::NotSent(error)),
                    (false, true) => Err(LinkFailure::HeadTooLarge(error)),
                    (false, false) => Err(LinkFailure::Unanswered(error)),
                }
            }
        }
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }
}

/// Opens a connection without HTTP.
///
/// # Errors
///
/// [`LinkFailure::Connect`] or [`LinkFailure::ConnectTimeout`].
pub async fn open_stream(
    address: SocketAddr,
    options: &LinkOptions,
) -> Result<TcpStream, LinkFailure> {
    let stream = connect(address, options).await?;
    // Messages are written in one piece; Nagle's algorithm would only delay them.
    stream.set_nodelay(true).map_err(LinkFailure::Connect)?;
    set_timeouts(&stream, options).map_err(LinkFailure::Connect)?;
    Ok(stream)
}

/// Connects with the first attempt that succeeds. An error, such as a refused connection, ends all
/// attempts, since the peer has responded.
async fn connect(address: SocketAddr, options: &LinkOptions) -> Result<TcpStream, LinkFailure> {
    let mut attempts = FuturesUnordered::new();
    for _ in 0..options.connect_attempts.max(1) {
        attempts.push(TcpStream::connect(address));
        match timeout(options.connect_timeout, attempts.next()).await {
            Ok(Some(Ok(stream))) => return Ok(stream),
            Ok(Some(Err(error))) => return Err(LinkFailure::Connect(error)),
            Ok(None) | Err(_) => {}
        }
    }
    Err(LinkFailure::ConnectTimeout)
}

/// Sets the socket options that close a connection whose peer stops acknowledging or is gone.
fn set_timeouts(stream: &TcpStream, options: &LinkOptions) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(options.unacknowledged_timeout))?;
    let Some(idle_time) = options.keepalive else {
        return Ok(());
    };
    let keepalive = TcpKeepalive::new()
        .with_time(idle_time)
        .with_interval(idle_time)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

impl Drop for HttpLink {
    fn drop(&mut self) {
        self.answer.give_up();
        self.task.abort();
    }
}
