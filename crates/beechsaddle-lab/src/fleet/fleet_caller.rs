//! The `fleet_caller` module provides a caller that sends single calls and returns their responses.

use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::load::{HttpClient, SseLines};

/// A client for single calls.
#[derive(Debug, Default)]
pub struct FleetCaller {
    client: HttpClient,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

impl FleetCaller {
    /// Creates a caller without connections.
    pub fn new() -> Self {
        FleetCaller::default()
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost before the response is complete.
    pub async fn send(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> eyre::Result<CallerResponse> {
        let (response, connection) = self
            .client
            .send(address, request)
            .await
            .wrap_err_with(|| format!("no response from {address}"))?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .wrap_err_with(|| format!("the response of {address} was truncated"))?
            .to_bytes();
        self.client.release_connection(address, connection);
        Ok(CallerResponse {
            status: parts.status,
            headers: parts.headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Reads a JSON page.
    pub async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> eyre::Result<T> {
        let request = Request::get(path).header("host", address);
        let answer = self
            .send(address, request.body(Full::new(Bytes::new()))?)
            .await?;
        serde_json::from_str(&answer.body)
            .wrap_err_with(|| format!("{address}{path} returned {:?}", answer.body))
    }

    /// Posts JSON, for example to the `/faults` page of a stand-in.
    pub async fn post(
        &self,
        address: &str,
        path: &str,
        value: &impl Serialize,
    ) -> eyre::Result<CallerResponse> {
        let body = serde_json::to_vec(value)?;
        let request = Request::post(path)
            .header("host", address)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))?;
        self.send(address, request).await
    }
}

impl CallerResponse {
    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the text of a chat response, streamed or buffered, or `None` if its end is missing.
    pub fn chat_content(&self) -> Option<String> {
        if let Ok(value) = serde_json::from_str::<Value>(&self.body) {
            let content = &value["choices"][0]["message"]["content"];
            return content.as_str().map(str::to_owned);
        }
        let mut lines = SseLines::default();
        lines.push(self.body.as_bytes());
        let mut content = String::new();
        while let Some(line) = lines.next_data() {
            if line == "[DONE]" {
                return Some(content);
            }
            let chunk: Value = serde_json::from_str(&line).ok()?;
            let delta = &chunk["choices"][0]["delta"]["content"];
            content.push_str(delta.as_str().unwrap_or_default());
        }
        None
    }

    /// Returns the reason of a refusal.
    pub fn refusal(&self) -> Option<String> {
        let body = self.json();
        body["error"]["reason"].as_str().map(str::to_owned)
    }
}

/// Returns the request body of a chat with one message. A streamed chat requests its usage.
pub fn chat_body(model: &str, text: &str, streamed: bool, max_tokens: u64) -> Value {
    let mut body = json!({
        "model": model,
        "stream": streamed,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": text}],
    });
    if streamed {
        body["stream_options"] = json!({"include_usage": true});
    }
    body
}
