//! The `http_client` module provides an HTTP/1.1 client that never sends a request twice.

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

/// How long to wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The connection on which a request goes out, to be given back when its answer is whole.
pub type OpenConnection = SendRequest<Full<Bytes>>;

/// A client that keeps idle connections and leaves resending to its caller.
#[derive(Debug, Default)]
pub struct HttpClient {
    idle: Mutex<BTreeMap<String, Vec<OpenConnection>>>,
}

impl HttpClient {
    /// A client without connections.
    pub fn new() -> Self {
        HttpClient::default()
    }

    /// Sends a request once and gives the head of its answer.
    ///
    /// # Errors
    ///
    /// When there is no connection, or it broke before the head was whole.
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

    /// Gives back a connection whose answer was read to its end.
    pub fn give_back(&self, address: &str, connection: OpenConnection) {
        if connection.is_closed() {
            return;
        }
        if let Ok(mut idle) = self.idle.lock() {
            idle.entry(address.to_owned()).or_default().push(connection);
        }
    }

    // A connection that the server closed while it lay idle is dropped here. One that closes in
    // the moment of sending gives an error to the caller, who alone may decide to send again.
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
    // The task ends with the connection; its error reaches the sender as well.
    tokio::spawn(async move { connection.await.ok() });
    Ok(sender)
}
