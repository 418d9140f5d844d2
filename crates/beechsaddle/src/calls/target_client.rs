//! The `target_client` module provides connections to targets.

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

/// Idle connections kept to each target.
const IDLE_CONNECTIONS: usize = 64;

/// Targets are chosen by the core and named by address, so that nothing is left to balance.
struct NoBalance;

impl MkLbLayer for NoBalance {
    type Layer = Identity;

    fn make(self) -> Self::Layer {
        Identity::new()
    }
}

/// Whether a request may go over a connection that was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    /// An idle connection, or a new one where there is none.
    Pooled,
    /// A new one, closed after the answer.
    ///
    /// A target may close an idle connection while a request is on its way, and then nobody knows
    /// whether the request ran. For a call that may not be repeated that would be an outcome
    /// "unknown" in ordinary operation; a new connection has no such race.
    Fresh,
}

/// The client towards targets.
///
/// It is built without the library's outer layers, which would set headers that are the caller's
/// business. Neither the library's pool nor the connections below ever send a request twice;
/// `docs/CALL-EDGE.md` tells how that was found out.
pub(crate) struct TargetClient {
    options: CallsOptions,
    pooled: RwLock<Client>,
    fresh: Client,
}

impl TargetClient {
    /// Makes the client.
    ///
    /// # Errors
    ///
    /// The library reads the host's name resolver settings, though it is never asked for a name,
    /// and panics where there are none; that is told as an error.
    pub(crate) fn try_new(options: &CallsOptions) -> Result<Self> {
        Ok(TargetClient {
            options: options.clone(),
            pooled: RwLock::new(try_build(options, IDLE_CONNECTIONS)?),
            fresh: try_build(options, 0)?,
        })
    }

    /// Gives up all kept connections, because an answer came on one that belongs to another
    /// attempt.
    ///
    /// A connection whose answers are one behind gives each call the answer of the one before.
    /// The library's pool has taken it back by then and cannot be told to drop it, so that every
    /// further call on it would fail. Such a mix-up is a grave fault of a target and rare;
    /// connecting anew to the others costs little. Answers that are being relayed go on.
    pub(crate) fn drop_pool(&self) {
        if let Ok(client) = try_build(&self.options, IDLE_CONNECTIONS) {
            *self.pooled.write().unwrap_or_else(PoisonError::into_inner) = client;
        }
    }

    fn pooled(&self) -> Client {
        self.pooled
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends one request once and waits for the head of its answer.
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
        .map_err(|_| eyre!("the host's name resolver settings cannot be read"))?;
    let mut builder = builder.mk_load_balance(NoBalance);
    builder
        .set_connect_timeout(Duration::from_millis(options.connect_timeout_ms))
        .set_pool_idle_timeout(Duration::from_millis(options.target_idle_ms))
        .set_max_idle_per_host(idle_connections);
    builder
        .build_without_extra_layers()
        .map_err(|error| eyre!("the client towards targets cannot be made: {error}"))
}
