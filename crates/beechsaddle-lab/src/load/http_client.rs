//! The `http_client` module provides an HTTP/1.1 client that never resends a request.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The connection of a request in progress, to be released once its response is complete.
pub type OpenConnection = SendRequest<Full<Bytes>>;

/// A client that pools idle connections and leaves retries to its caller.
#[derive(Debug, Default)]
pub struct HttpClient {
    idle: Mutex<BTreeMap<String, Vec<OpenConnection>>>,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        HttpClient::default()
    }

    /// Sends a request once and returns the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be made, or if it is lost before the head is complete.
    pub async fn send(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> eyre::Result<(Response<Incoming>, OpenConnection)> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => connect(address).await?,
        };
        connection.ready().await?;
        let response = connection.send_request(request).await?;
        Ok((response, connection))
    }

    /// Returns a connection to the pool once its response has been read to the end.
    pub fn release_connection(&self, address: &str, connection: OpenConnection) {
        if connection.is_closed() {
            return;
        }
        if let Ok(mut idle) = self.idle.lock() {
            idle.entry(address.to_owned()).or_default().push(connection);
        }
    }

    // Connections that the server closed while idle are dropped here. If one closes while a request
    // is being sent, the caller gets an error, because only it may decide to send again.
    fn take_idle(&self, address: &str) -> Option<OpenConnection> {
        let mut idle = self.idle.lock().ok()?;
        let stack = idle.get_mut(address)?;
        while let Some(connection) = stack.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

async fn connect(address: &str) -> eyre::Result<OpenConnection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    // The task ends with the connection. The sender receives its error too.
    tokio::spawn(async move { connection.await.ok() });
    Ok(sender)
}
