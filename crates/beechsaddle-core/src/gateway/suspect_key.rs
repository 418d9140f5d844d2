//! The `request_fingerprint` module provides the identity of a request across attempts and routers.

use std::fmt;

use crate::hash::WideHash;

/// The identity of a request: a 128-bit hash of its path with query, its caller and its body.
///
/// Callers give each attempt its own id and may send it to any router; only the content of the
/// request stays the same. Neither the body nor a key can be recovered from the hash, so it may
/// appear in logs and in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// Creates the fingerprint of a request; `caller` is its workspace, or empty if unknown.
    pub fn new(path: &str, caller: &str, body: &[u8]) -> Self {
        let mut hash = WideHash::default();
        hash.add(path.as_bytes());
        hash.add(caller.as_bytes());
        hash.add(body);
        RequestFingerprint(hash.finish())
    }

    /// Decodes the output of [`to_bytes`](Self::to_bytes); `None` if the length differs.
    pub fn try_from_bytes(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.try_into().ok()?;
        Some(RequestFingerprint(u128::from_be_bytes(bytes)))
    }

    /// Returns the fingerprint in big-endian byte order.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Parses the hexadecimal form; `None` if it is malformed.
    pub fn try_parse(text: &str) -> Option<Self> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok()?;
        is_hex.then_some(RequestFingerprint(number))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
