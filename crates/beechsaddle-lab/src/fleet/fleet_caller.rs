//! The `fleet_caller` module provides a caller that sends single calls and shows their answers.

use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::load::{HttpClient, SseLines};

/// Sends single calls.
#[derive(Debug, Default)]
pub struct FleetCaller {
    client: HttpClient,
}

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: String,
}

impl FleetCaller {
    /// A caller without connections.
    pub fn new() -> Self {
        FleetCaller::default()
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    ///
    /// When the connection breaks before the answer is whole.
    pub async fn send(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> eyre::Result<CallerAnswer> {
        let (response, connection) = self
            .client
            .send(address, request)
            .await
            .wrap_err_with(|| format!("no answer from {address}"))?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .wrap_err_with(|| format!("the answer of {address} broke off"))?
            .to_bytes();
        self.client.give_back(address, connection);
        Ok(CallerAnswer {
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
            .wrap_err_with(|| format!("{address}{path} gave {:?}", answer.body))
    }

    /// Posts JSON, as to the faults of a stand-in.
    pub async fn post(
        &self,
        address: &str,
        path: &str,
        value: &impl Serialize,
    ) -> eyre::Result<CallerAnswer> {
        let body = serde_json::to_vec(value)?;
        let request = Request::post(path)
            .header("host", address)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))?;
        self.send(address, request).await
    }
}

impl CallerAnswer {
    /// The body as JSON; null when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// The text of a chat answer, streamed or whole; `None` unless its end is there.
    pub fn chat_content(&self) -> Option<String> {
        if let Ok(whole) = serde_json::from_str::<Value>(&self.body) {
            let content = &whole["choices"][0]["message"]["content"];
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

    /// The reason of a refusal.
    pub fn refusal(&self) -> Option<String> {
        let body = self.json();
        body["error"]["reason"].as_str().map(str::to_owned)
    }
}

/// The body of a chat with one message; a streamed one asks for its usage.
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
