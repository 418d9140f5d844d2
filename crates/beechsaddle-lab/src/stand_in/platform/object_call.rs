//! The `object_call` module provides parsed calls of the object API.

use std::collections::BTreeMap;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};

use super::object_store::ChangeGuard;
use super::platform_faults::CallScope;

/// A call of the object API, parsed from a request.
pub(super) struct ObjectCall {
    /// The kind of call, for fault rules and rate limits.
    pub(super) scope: CallScope,
    pub(super) method: Method,
    /// The key of an object, or the prefix of a list or watch.
    pub(super) key: String,
    /// The last key of the previous list page, or the revision that a watch starts from.
    pub(super) after: Option<String>,
    /// Whether the call is a list or a watch.
    pub(super) is_collection: bool,
    pub(super) headers: HeaderMap,
    /// The value to write.
    pub(super) body: Bytes,
}

impl ObjectCall {
    /// Parses a call; `None` if the request is malformed.
    pub(super) fn read(request: Request<Bytes>) -> Option<ObjectCall> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        let query = read_query(parts.uri.query().unwrap_or_default());
        let scope = match (&parts.method, path) {
            (&Method::GET, "/watch") => CallScope::Watches,
            (&Method::GET, _) => CallScope::Reads,
            (&Method::PUT | &Method::DELETE, _) => CallScope::Writes,
            _ => return None,
        };
        let (key, is_collection) = match path.strip_prefix("/objects/") {
            Some(key) => (key.to_owned(), false),
            None if path == "/list" || path == "/watch" => (query.get("prefix")?.clone(), true),
            None => return None,
        };
        is_key(&key).then_some(ObjectCall {
            scope,
            method: parts.method,
            key,
            after: query.get("after").cloned(),
            is_collection,
            headers: parts.headers,
            body,
        })
    }

    /// Returns the value that the call stores; `None` for a delete.
    pub(super) fn written_value(&self) -> Option<Bytes> {
        (self.method == Method::PUT).then(|| self.body.clone())
    }

    /// Returns the condition of a write; `None` if it is missing or malformed.
    pub(super) fn guard(&self) -> Option<ChangeGuard> {
        if let Some(value) = self.headers.get("if-none-match") {
            return (value == "*").then_some(ChangeGuard::Absent);
        }
        let value = self.headers.get("if-match")?.to_str().ok()?;
        let version = value.strip_prefix('"')?.strip_suffix('"')?;
        version.parse().ok().map(ChangeGuard::Version)
    }

    /// Returns the host in `Beechsaddle-Router: <host>@<epoch>`, empty without this header.
    pub(super) fn host(&self) -> &str {
        self.headers
            .get("beechsaddle-router")
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.split('@').next())
            .unwrap_or_default()
    }
}

/// Splits a query into its parameters; keys need no escaping, so values are not decoded.
fn read_query(query: &str) -> BTreeMap<String, String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn is_key(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"._@-/".contains(&byte))
}
