//! The `object_call` module provides calls on the object API as they are read from requests.

use std::collections::BTreeMap;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};

use super::object_store::ChangeGuard;
use super::platform_faults::CallScope;

/// A call on the object API, read from a request.
pub(super) struct ObjectCall {
    /// Which fault rules and limits are about it.
    pub(super) scope: CallScope,
    /// How it was asked.
    pub(super) method: Method,
    /// The key of an object, or the prefix of a list or watch.
    pub(super) key: String,
    /// The last key of a list or the revision of a watch.
    pub(super) after: Option<String>,
    /// Whether it is a list or watch.
    pub(super) many: bool,
    /// The headers.
    pub(super) headers: HeaderMap,
    /// The value of a write.
    pub(super) body: Bytes,
}

impl ObjectCall {
    /// Reads a call; `None` when it is malformed.
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
        let (key, many) = match path.strip_prefix("/objects/") {
            Some(key) => (key.to_owned(), false),
            None if path == "/list" || path == "/watch" => (query.get("prefix")?.clone(), true),
            None => return None,
        };
        is_key(&key).then_some(ObjectCall {
            scope,
            method: parts.method,
            key,
            after: query.get("after").cloned(),
            many,
            headers: parts.headers,
            body,
        })
    }

    /// The value that a write leaves; `None` for a delete.
    pub(super) fn written_value(&self) -> Option<Bytes> {
        (self.method == Method::PUT).then(|| self.body.clone())
    }

    /// The condition of a write; `None` when there is none.
    pub(super) fn guard(&self) -> Option<ChangeGuard> {
        if let Some(value) = self.headers.get("if-none-match") {
            return (value == "*").then_some(ChangeGuard::Absent);
        }
        let value = self.headers.get("if-match")?.to_str().ok()?;
        let version = value.strip_prefix('"')?.strip_suffix('"')?;
        version.parse().ok().map(ChangeGuard::Version)
    }

    /// The host in `Beechsaddle-Router: <host>@<epoch>`.
    pub(super) fn host(&self) -> &str {
        self.headers
            .get("beechsaddle-router")
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.split('@').next())
            .unwrap_or_default()
    }
}

/// Keys need no escapes, so that the parts of a query are taken as they are.
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
