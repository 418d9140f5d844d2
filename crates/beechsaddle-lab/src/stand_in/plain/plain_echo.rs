//! The `plain_echo` module provides what a plain service stand-in answers.

use serde::{Deserialize, Serialize};

/// A call as the plain service saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainEcho {
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Its query, empty when there is none.
    pub query: String,
    /// Its body as text.
    pub body: String,
    /// Its idempotency key, empty when there is none.
    pub key: String,
    /// Its attempt id.
    pub attempt: String,
    /// How often a call with this key ran, this one included; zero without a key.
    pub runs: u64,
}
