//! The `admin_client` module provides questions to running routers.

use std::time::Duration;

use beechsaddle_core::gateway::GatewayStatus;
use beechsaddle_core::status::RouterStatus;
use eyre::{WrapErr, bail};
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;
use volo_http::client::Client;

/// How long a router may take to answer.
const ANSWER_MS: u64 = 2_000;

/// A larger answer is not read.
const ANSWER_BYTES_MAX: usize = 8_000_000;

/// What a running router answers, by the interface that it serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StatusReply {
    /// A router of the product's own interface.
    Router(RouterStatus),
    /// A gateway.
    Gateway(GatewayStatus),
}

/// Asks running routers.
#[derive(Clone)]
pub struct AdminClient {
    client: Client,
}

impl AdminClient {
    /// Makes a client.
    pub fn try_new() -> eyre::Result<Self> {
        let client = Client::builder()
            .build()
            .wrap_err("cannot make an HTTP client")?;
        Ok(AdminClient { client })
    }

    /// Asks a router for its status, at its admin address.
    ///
    /// # Errors
    ///
    /// When it does not answer, or is a gateway.
    pub async fn status(&self, address: &str) -> eyre::Result<RouterStatus> {
        match self.any_status(address).await? {
            StatusReply::Router(status) => Ok(status),
            StatusReply::Gateway(_) => bail!("{address} is a gateway, which has no catalogue"),
        }
    }

    /// Asks a router of either interface for its status.
    pub async fn any_status(&self, address: &str) -> eyre::Result<StatusReply> {
        match timeout(Duration::from_millis(ANSWER_MS), self.exchange(address)).await {
            Ok(answer) => answer,
            Err(_) => bail!("{address} does not answer within {ANSWER_MS} ms"),
        }
    }

    async fn exchange(&self, address: &str) -> eyre::Result<StatusReply> {
        let uri = format!("http://{address}/admin/status");
        let response = self
            .client
            .request(Method::GET, uri)
            .send()
            .await
            .wrap_err_with(|| format!("{address} cannot be asked"))?;
        let (parts, body) = response.into_parts();
        if parts.status != StatusCode::OK {
            bail!("{address} answers {}", parts.status);
        }
        let body = match Limited::new(body, ANSWER_BYTES_MAX).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => bail!("the answer of {address} breaks off: {error}"),
        };
        serde_json::from_slice(&body)
            .wrap_err_with(|| format!("{address} answers with something that is no status"))
    }
}
