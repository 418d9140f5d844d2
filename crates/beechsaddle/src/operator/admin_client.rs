//! The `admin_client` module provides a client for the admin interface of running routers.

use std::time::Duration;

use beechsaddle_core::gateway::GatewayStatus;
use beechsaddle_core::status::RouterStatus;
use eyre::{WrapErr, bail};
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;
use volo_http::client::Client;

/// The time limit of a status request, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 2_000;

/// The largest response body that is read, in bytes.
const BODY_BYTES_MAX: usize = 8_000_000;

/// The status of a running router, by the interface that it serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StatusReply {
    /// A router that serves the product's own interface.
    Router(RouterStatus),
    Gateway(GatewayStatus),
}

/// Requests the status of running routers over HTTP.
#[derive(Clone)]
pub struct AdminClient {
    client: Client,
}

impl AdminClient {
    pub fn try_new() -> eyre::Result<Self> {
        let client = Client::builder()
            .build()
            .wrap_err("cannot make an HTTP client")?;
        Ok(AdminClient { client })
    }

    /// Returns the status of the router at an admin address.
    ///
    /// # Errors
    ///
    /// If the router does not answer in time, or is a gateway.
    pub async fn status(&self, address: &str) -> eyre::Result<RouterStatus> {
        match self.any_status(address).await? {
            StatusReply::Router(status) => Ok(status),
            StatusReply::Gateway(_) => bail!("{address} is a gateway, which has no catalogue"),
        }
    }

    /// Returns the status of a router of either interface.
    pub async fn any_status(&self, address: &str) -> eyre::Result<StatusReply> {
        match timeout(
            Duration::from_millis(STATUS_TIMEOUT_MS),
            self.exchange(address),
        )
        .await
        {
            Ok(result) => result,
            Err(_) => bail!("{address} does not answer within {STATUS_TIMEOUT_MS} ms"),
        }
    }

    async fn exchange(&self, address: &str) -> eyre::Result<StatusReply> {
        let uri = format!("http://{address}/admin/status");
        let response = self
            .client
            .request(Method::GET, uri)
            .send()
            .await
            .wrap_err_with(|| format!("the request to {address} failed"))?;
        let (parts, body) = response.into_parts();
        if parts.status != StatusCode::OK {
            bail!("{address} answers {}", parts.status);
        }
        let body = match Limited::new(body, BODY_BYTES_MAX).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => bail!("incomplete response from {address}: {error}"),
        };
        serde_json::from_slice(&body)
            .wrap_err_with(|| format!("{address} returned a body that is not a router status"))
    }
}
