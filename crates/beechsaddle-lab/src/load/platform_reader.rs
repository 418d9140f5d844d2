//! The `platform_reader` module provides reading of the objects at the platform.

use std::sync::Arc;

use beechsaddle_core::objects::PlatformObject;
use beechsaddle_wire::decode_object;
use bytes::Bytes;
use eyre::{WrapErr, eyre};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::HttpClient;

/// How many keys the platform lists at most in one answer.
const LIST_PAGE: usize = 1_000;

/// Reads a platform, or any other stand-in that answers in JSON.
#[derive(Clone, Debug)]
pub struct PlatformReader {
    address: String,
    client: Arc<HttpClient>,
}

#[derive(Debug, Deserialize)]
struct ListedPage {
    objects: Vec<ListedObject>,
}

#[derive(Debug, Deserialize)]
struct ListedObject {
    key: String,
}

impl PlatformReader {
    /// A reader of the server at `address`.
    pub fn new(address: impl Into<String>) -> Self {
        PlatformReader {
            address: address.into(),
            client: Arc::new(HttpClient::new()),
        }
    }

    /// All objects under a prefix, in the order of their keys.
    ///
    /// # Errors
    ///
    /// When the platform does not answer, or an object cannot be decoded.
    pub async fn read_all(&self, prefix: &str) -> eyre::Result<Vec<(String, PlatformObject)>> {
        let mut objects = Vec::new();
        for key in self.list(prefix).await? {
            // An object may be deleted between the list and here.
            let Some(bytes) = self.get(&format!("/objects/{key}")).await? else {
                continue;
            };
            let object = decode_object(&bytes).map_err(|error| eyre!("{key}: {error}"))?;
            objects.push((key, object));
        }
        Ok(objects)
    }

    /// A JSON answer.
    ///
    /// # Errors
    ///
    /// When the server does not answer, or not in this form.
    pub async fn read_json<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let bytes = self.get(path).await?;
        let bytes = bytes.ok_or_else(|| eyre!("{} has no {path}", self.address))?;
        serde_json::from_slice(&bytes).wrap_err_with(|| format!("{}{path}", self.address))
    }

    /// Sends a body and gives the status of the answer.
    ///
    /// # Errors
    ///
    /// When the server does not answer.
    pub async fn post(&self, path: &str, body: impl Into<Bytes>) -> eyre::Result<StatusCode> {
        let request = Request::post(path)
            .header("host", &self.address)
            .body(Full::new(body.into()))?;
        let (response, _connection) = self.client.send(&self.address, request).await?;
        Ok(response.status())
    }

    async fn list(&self, prefix: &str) -> eyre::Result<Vec<String>> {
        let mut keys: Vec<String> = Vec::new();
        loop {
            let after = keys.last().map(|key| format!("&after={key}"));
            let after = after.unwrap_or_default();
            let page: ListedPage = self
                .read_json(&format!("/list?prefix={prefix}{after}"))
                .await?;
            let full = page.objects.len() >= LIST_PAGE;
            keys.extend(page.objects.into_iter().map(|object| object.key));
            if !full {
                return Ok(keys);
            }
        }
    }

    async fn get(&self, path: &str) -> eyre::Result<Option<Bytes>> {
        let request = Request::get(path)
            .header("host", &self.address)
            .body(Full::new(Bytes::new()))?;
        let (response, connection) = self.client.send(&self.address, request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        self.client.give_back(&self.address, connection);
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => eyre::bail!("{}{path} answered {status}", self.address),
        }
    }
}
