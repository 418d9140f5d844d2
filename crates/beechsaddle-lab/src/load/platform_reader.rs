//! The `platform_reader` module provides a reader of the objects stored at the platform.

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

/// Maximum number of keys in one list response of the platform.
const LIST_PAGE: usize = 1_000;

/// Reads objects of a platform, or JSON pages of any stand-in.
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
    /// Creates a reader of the server at `address`.
    pub fn new(address: impl Into<String>) -> Self {
        PlatformReader {
            address: address.into(),
            client: Arc::new(HttpClient::new()),
        }
    }

    /// Returns all objects under a key prefix, in key order.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond, or if an object cannot be decoded.
    pub async fn read_all(&self, prefix: &str) -> eyre::Result<Vec<(String, PlatformObject)>> {
        let mut objects = Vec::new();
        for key in self.list(prefix).await? {
            // The object may have been deleted since it was listed.
            let Some(bytes) = self.get(&format!("/objects/{key}")).await? else {
                continue;
            };
            let object = decode_object(&bytes).map_err(|error| eyre!("{key}: {error}"))?;
            objects.push((key, object));
        }
        Ok(objects)
    }

    /// Reads a JSON page.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not respond, or if the page does not decode as `T`.
    pub async fn read_json<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let bytes = self.get(path).await?;
        let bytes = bytes.ok_or_else(|| eyre!("{} has no {path}", self.address))?;
        serde_json::from_slice(&bytes).wrap_err_with(|| format!("{}{path}", self.address))
    }

    /// Posts a body and returns the response status.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not respond.
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
        self.client.release_connection(&self.address, connection);
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => eyre::bail!("{}{path} answered {status}", self.address),
        }
    }
}
