//! The `plain_echo` module provides the response body of a plain service stand-in.

use serde::{Deserialize, Serialize};

/// A call as the plain service received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainEcho {
    /// The HTTP method.
    pub method: String,
    /// The path of the URI.
    pub path: String,
    /// The query, empty if there is none.
    pub query: String,
    /// The body as UTF-8 text.
    pub body: String,
    /// The idempotency key, empty if there is none.
    pub key: String,
    /// The attempt id.
    pub attempt: String,
    /// How often a call with this key was executed, including this one; zero without a key.
    pub runs: u64,
}
