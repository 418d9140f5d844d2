//! The `target_client` module provides the HTTP client for targets.

use std::net::SocketAddr;
use std::panic;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use eyre::{Result, eyre};
use http::header::CONNECTION;
use http::{HeaderValue, Uri};
use motore::layer::Identity;
use volo::loadbalance::MkLbLayer;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::ClientError;
use volo_http::request::Request;
use volo_http::response::Response;

use super::calls_options::CallsOptions;

/// Maximum number of idle connections to each target.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// No load balancing: the core chooses the target, and requests name it by address.
struct NoBalance;

impl MkLbLayer for NoBalance {
    type Layer = Identity;

    fn make(self) -> Self::Layer {
        Identity::new()
    }
}

/// Whether a request may use a connection that was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    /// An idle connection, or a new one if there is none.
    Pooled,
    /// A new connection, closed after the answer.
    ///
    /// A target may close an idle connection while a request is in flight, and it is then unknown
    /// whether the request ran. For a call that may not be repeated, that would cause the outcome
    /// "unknown" in normal operation; a new connection has no such race.
    Fresh,
}

/// HTTP client for targets.
///
/// It is built without the library's outer layers, which would set headers that belong to the
/// caller. Neither the library's pool nor the connections below it ever send a request twice;
/// `docs/CALL-EDGE.md` describes how that was verified.
pub(crate) struct TargetClient {
    options: CallsOptions,
    pooled: RwLock<Client>,
    fresh: Client,
}

impl TargetClient {
    /// Creates the client.
    ///
    /// # Errors
    ///
    /// If the host's resolver configuration cannot be read. The library reads it although no name
    /// is ever resolved, and panics without it; the panic is returned as an error.
    pub(crate) fn try_new(options: &CallsOptions) -> Result<Self> {
        Ok(TargetClient {
            options: options.clone(),
            pooled: RwLock::new(try_build(options, MAX_IDLE_CONNECTIONS)?),
            fresh: try_build(options, 0)?,
        })
    }

    /// Drops all pooled connections after an answer that belongs to another attempt.
    ///
    /// A connection whose answers are one behind gives each call the answer of the one before. The
    /// library's pool has already taken it back and cannot drop a single connection, so every
    /// further call on it would fail. Such a mix-up is a serious and rare fault of a target, and
    /// reconnecting to the others is cheap. Answers that are being relayed are not affected.
    pub(crate) fn drop_pool(&self) {
        if let Ok(client) = try_build(&self.options, MAX_IDLE_CONNECTIONS) {
            *self.pooled.write().unwrap_or_else(PoisonError::into_inner) = client;
        }
    }

    fn pooled(&self) -> Client {
        self.pooled
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends one request once and waits for the head of the answer.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        choice: ConnectionChoice,
    ) -> Result<Response, ClientError> {
        let (mut parts, body) = request.into_parts();
        let client = match choice {
            ConnectionChoice::Pooled => self.pooled(),
            ConnectionChoice::Fresh => {
                let close = HeaderValue::from_static("close");
                parts.headers.insert(CONNECTION, close);
                self.fresh.clone()
            }
        };
        let path = parts.uri.path_and_query().cloned();
        let uri = path.map(Uri::from).unwrap_or_default();
        let mut builder = client
            .request_builder()
            .method(parts.method)
            .uri(uri)
            .address(address);
        *builder.headers_mut() = parts.headers;
        builder.body(body).send().await
    }
}

fn try_build(options: &CallsOptions, idle_connections: usize) -> Result<Client> {
    let builder = panic::catch_unwind(Client::builder)
        .map_err(|_| eyre!("cannot read the host's resolver configuration"))?;
    let mut builder = builder.mk_load_balance(NoBalance);
    builder
        .set_connect_timeout(Duration::from_millis(options.connect_timeout_ms))
        .set_pool_idle_timeout(Duration::from_millis(options.target_idle_ms))
        .set_max_idle_per_host(idle_connections);
    builder
        .build_without_extra_layers()
        .map_err(|error| eyre!("cannot create the client for targets: {error}"))
}
